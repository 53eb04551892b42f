package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/job"
	"orchidward/internal/controlplane"
	"orchidward/internal/daemon/gatewayd"
	"orchidward/internal/state"
)

type drainCommand struct {
	Domain string `arg:"" help:"Zone to drain."`
	ID     string `name:"id" help:"The drain's own id, so that a resend is known for one."`
}

// drainBody carries the id of a drain, so that a repeated request does not start a second
// drain.
type drainBody struct {
	ID string `json:"id"`
}

// Run drains a zone.
func (c *drainCommand) Run(a *api) error {
	var body []byte
	if c.ID != "" {
		var err error
		if body, err = json.Marshal(drainBody{c.ID}); err != nil {
			return err
		}
	}
	return callAndShow(a, http.MethodPut, endpoint.DrainPath(url.PathEscape(c.Domain)), body, printStartedDrain)
}

type reopenCommand struct {
	Name string `arg:"" help:"The drain's id, or its zone."`
}

// Run ends a drain.
func (c *reopenCommand) Run(a *api) error {
	return callAndShow(a, http.MethodDelete, endpoint.DrainPath(url.PathEscape(c.Name)), nil, printStartedDrain)
}

type drainsCommand struct {
	Name string `arg:"" optional:"" help:"One drain's id or zone."`
}

// Run shows all drains, or one of them.
func (c *drainsCommand) Run(a *api) error {
	if c.Name != "" {
		return callAndShow(a, http.MethodGet, endpoint.DrainPath(url.PathEscape(c.Name)), nil, printDrain)
	}
	return callAndShow(a, http.MethodGet, endpoint.DrainsPath, nil, func(doc controlplane.DrainsDoc) {
		for _, drain := range doc.Drains {
			printDrain(drain)
		}
	})
}

func printStartedDrain(drain state.Drain) { printDrain(controlplane.DrainDoc{Drain: &drain}) }

func printDrain(d controlplane.DrainDoc) {
	where := string(d.Domain)
	if d.Rack != "" {
		where += "/" + string(d.Rack)
	}
	fmt.Printf("%v  %v %s  stage %v  scope %v\n", d.ID, d.Kind, where, d.Stage, d.Scope)
	if d.PreflightDone {
		fmt.Printf("  preflight fits=%v short=%v  displaced %d tasks, %v gangs\n",
			d.Fits, formatDemand(d.Shortage), len(d.Displaced), d.DisplacedGangs)
	}
	if d.Verdict != "" {
		fmt.Printf("  post-drain: %v (unconfirmed stops: %v)\n", d.Verdict, d.UnconfirmedStops)
	}
}

// formatDemand formats a demand: cores and memory always, other resources if not zero.
func formatDemand(d job.Demand) string {
	amounts := map[string]int64{"cores": d.Cores, "memMb": d.Mem}
	if d.MilliCores != 0 {
		amounts["milliCores"] = d.MilliCores
	}
	if d.GPUs != 0 {
		amounts["gpus"] = d.GPUs
	}
	return fmt.Sprint(amounts)
}

type runnersCommand struct{}

// Run shows the runners.
func (c *runnersCommand) Run(a *api) error {
	return callAndShow(a, http.MethodGet, endpoint.RunnersPath, nil, func(doc controlplane.RunnersDoc) {
		for _, runner := range doc.Runners {
			printRunner(runner)
		}
	})
}

func printRunner(r controlplane.RunnerDoc) {
	mode := r.Mode
	if r.Gone {
		mode = "gone"
	}
	fmt.Printf("%-12v %-8v %-8v %-9s cores %v/%v  memMb %v/%v  tasks %v  well %v  defects %v",
		r.Runner, r.Domain, r.Rack, mode, r.Used.Cores, r.Cores, r.Used.Mem, r.Mem, r.Tasks, r.Successes, r.Defects)
	if r.CordonedBy != "" {
		fmt.Printf("  cordoned by %v", r.CordonedBy)
	}
	fmt.Println()
}

type serversCommand struct{}

// Run shows the control-plane servers as the leader sees them.
func (c *serversCommand) Run(a *api) error {
	return callAndShow(a, http.MethodGet, endpoint.ServersPath, nil, func(doc controlplane.ServersDoc) {
		fmt.Printf("term %v  commit %v  snapshot %v  level %v  cluster time %v  clocks agree %v\n",
			uint64(doc.Term), uint64(doc.Commit), uint64(doc.Snapshot), doc.Level, doc.ClusterTime, doc.ClocksAgree)
		for _, server := range doc.Servers {
			fmt.Printf("%v  %-8v %-22v %-8s match %v  quiet %vms  knows level %v\n",
				server.Name, server.Domain, server.Addr, role(server), uint64(server.Match), int64(server.SilentFor), server.Level)
		}
		for _, policy := range doc.Policies {
			fmt.Printf("policy of %v: used %v, failed %v  %v\n", policy.Row, policy.Used, policy.Failed, policy.LastFailure)
		}
	})
}

func role(server controlplane.ServerDoc) string {
	switch {
	case server.Leads:
		return "leader"
	case server.Voter:
		return "voter"
	}
	return "learner"
}

type membersCommand struct{}

// Run shows the servers and gateways that one gateway knows.
func (c *membersCommand) Run(a *api) error {
	return callAndShow(a, http.MethodGet, endpoint.MembersPath, nil, func(doc gatewayd.MembersDoc) {
		for _, server := range doc.Servers {
			fmt.Printf("server %v %v %v\n", server.Node, server.Addr, server.Domain)
		}
		for _, gateway := range doc.Gateways {
			fmt.Printf("gateway %v\n", gateway)
		}
	})
}
