package simulation

import (
	"fmt"
	"net/http"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/invariants"
	"orchidward/internal/runner"
)

// Runner is a process that runs tasks.
type Runner struct {
	*Process
	Machine *runner.Runner
	Config  runner.Config
	// Rack is the rack that the runner shares with its neighbours.
	Rack string
	// OnStart, if set, is called for every attempt that starts.
	OnStart func(e runner.Event)

	cluster *Cluster
	// extraDefects is the share of defective attempts, in percent, that a fault adds.
	extraDefects int64
	removed      bool
}

// runnersPerRack is how many runners share a rack, and therefore a domain.
const runnersPerRack = 3

// Labels of the runners: all have standardLabel, every second one also has ssdLabel.
const (
	standardLabel identifier.Label = "std"
	ssdLabel      identifier.Label = "ssd"
)

func (c *Cluster) addRunner(i int) {
	rack := i / runnersPerRack
	r := &Runner{
		Process: c.addProcess(fmt.Sprintf("r%d", i+1), Domains[rack%len(Domains)]),
		Rack:    fmt.Sprintf("rack-%d", rack),
		cluster: c,
	}
	r.Config = runner.Config{
		Name:     identifier.Runner(r.Name),
		Capacity: job.Demand{Cores: c.Spec.Cores, Mem: c.Spec.Mem},
		Labels:   []identifier.Label{standardLabel},
		Domain:   identifier.Domain(r.Domain),
		Rack:     identifier.Rack(r.Rack),
	}
	if i%2 == 1 {
		r.Config.Labels = []identifier.Label{ssdLabel, standardLabel}
	}
	c.Runners = append(c.Runners, r)
}

func (r *Runner) view() invariants.RunnerView {
	return invariants.RunnerView{
		Domain:      r.Domain,
		Incarnation: r.Incarnation,
		Live:        r.Up && !r.Frozen,
		Labels:      r.Config.Labels,
		Capacity:    r.Config.Capacity,
	}
}

func (r *Runner) start() {
	c := r.cluster
	r.begin(c.Now)
	config := r.Config
	config.Incarnation = identifier.Incarnation(fmt.Sprintf("%016x", c.Random.Uint64()))
	config.Seed = c.Random.Int63()
	config.DefectPercent = c.Spec.DefectPercent + r.extraDefects
	for _, gateway := range c.Gateways {
		config.Gateways = append(config.Gateways, gateway.Addr)
	}
	r.Machine = runner.New(config, 0)
	c.Checker.RunnerStaying(r.Name)
	r.cluster.tickWhileUp(r.Process, runner.TickInterval, r.tick)
}

func (r *Runner) crash() {
	if !r.Up {
		return
	}
	r.cluster.Kill(r.Process)
	r.cluster.Checker.RunnerDead(r.Name)
}

func (r *Runner) tick() {
	r.Machine.Tick(r.cluster.Monotonic(r.Process))
	r.flush()
}

// flush reports the runner's events to the checker and sends the polls that are due.
func (r *Runner) flush() {
	output := r.Machine.TakeOutput()
	for _, e := range output.Events {
		r.cluster.Checker.RunnerEvent(r.Name, e)
		if e.Kind == runner.EventStart && r.OnStart != nil {
			r.OnStart(e)
		}
	}
	for _, poll := range output.Polls {
		draining := r.draining()
		path := endpoint.PollPath(identifier.Runner(r.Name))
		r.cluster.Request(r.Process, poll.Gateway, http.MethodPost, path, poll.Body, int64(poll.Timeout), func(status int, body []byte) {
			r.cluster.Traffic.Polls++
			r.cluster.Traffic.PollBytes += int64(len(poll.Body) + len(body))
			if status == http.StatusOK {
				r.pollAnswered(draining)
			}
			r.Machine.HandlePollResponse(poll.Seq, status, body, r.cluster.Monotonic(r.Process))
			r.flush()
		})
	}
}

// pollAnswered notifies the checker that a poll was answered; draining is set if the
// runner announced its departure in that poll.
func (r *Runner) pollAnswered(draining bool) {
	if draining && r.draining() {
		r.cluster.Checker.RunnerLeaving(r.Name)
	}
	r.cluster.Checker.PollAnswered(r.Name)
}

func (r *Runner) draining() bool { return r.Machine.Mode() == runnerapi.ModeDraining }

// Drain makes the runner announce that it departs in the given number of ms.
func (r *Runner) Drain(departsIn int64) {
	if !r.Up || r.Frozen {
		return
	}
	r.Machine.SetMode(runnerapi.ModeDraining, clock.Millis(departsIn), r.cluster.Monotonic(r.Process))
	r.flush()
}

// CancelDrain makes the runner withdraw its announced departure.
func (r *Runner) CancelDrain() {
	if !r.Up || r.Frozen {
		return
	}
	r.cluster.Checker.RunnerStaying(r.Name)
	r.Machine.SetMode(runnerapi.ModeActive, 0, r.cluster.Monotonic(r.Process))
	r.flush()
}
