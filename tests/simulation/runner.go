// A runner in the world.

package simulation

import (
	"fmt"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/runner"
)

type Runner struct {
	*Process
	cluster      *Cluster
	Machine   *runner.Runner
	Config   runner.Config
	Rack string
	extraDefects   int64
	removed   bool
	// seen hears of every start, for a scene that wants to know.
	OnStart func(e runner.Event)
}

func (cluster *Cluster) addRunner(i int) *Runner {
	rack := i / 3
	r := &Runner{Process: cluster.addProcess(fmt.Sprintf("r%d", i+1), Domains[rack%3]), cluster: cluster, Rack: fmt.Sprintf("rack-%d", rack)}
	r.Config = runner.Config{Name: identifier.Runner(r.Name), Capacity: job.Demand{Cores: cluster.Spec.Cores, Mem: cluster.Spec.Mem}, Labels: []identifier.Label{"std"},
		Domain: identifier.Domain(r.Domain), Rack: identifier.Rack(r.Rack)}
	if i%2 == 1 {
		r.Config.Labels = []identifier.Label{"ssd", "std"}
	}
	cluster.Runners = append(cluster.Runners, r)
	return r
}

func (r *Runner) start() {
	cluster := r.cluster
	r.incarnation++
	r.Up, r.startedAt = true, cluster.Now
	set := r.Config
	set.Incarnation, set.Seed, set.DefectPercent = identifier.Incarnation(fmt.Sprintf("%016x", cluster.Random.Uint64())), cluster.Random.Int63(), cluster.Spec.DefectPercent+r.extraDefects
	for _, g := range cluster.Gateways {
		set.Gateways = append(set.Gateways, g.Addr)
	}
	r.Machine = runner.New(set, 0)
	cluster.Checker.RunnerStaying(r.Name)
	r.tick(r.incarnation)
}

func (r *Runner) tick(life int) {
	if r.incarnation != life || !r.Up {
		return
	}
	if !r.Frozen {
		r.Machine.Tick(r.cluster.Monotonic(r.Process))
		r.flush()
	}
	r.cluster.After(int64(runner.TickInterval), func() { r.tick(life) })
}

func (r *Runner) flush() {
	o := r.Machine.TakeOutput()
	for _, e := range o.Events {
		r.cluster.Checker.RunnerEvent(r.Name, e)
		if e.Kind == runner.EventStart && r.OnStart != nil {
			r.OnStart(e)
		}
	}
	for _, p := range o.Polls {
		leaving := r.Machine.Mode() == "draining"
		r.cluster.Request(r.Process, p.Gateway, "POST", endpoint.PollPath(identifier.Runner(r.Name)), p.Body, int64(p.Timeout), func(status int, body []byte) {
			r.cluster.PollBytes += int64(len(p.Body) + len(body))
			r.cluster.Polls++
			if status == 200 && leaving && r.Machine.Mode() == "draining" {
				r.cluster.Checker.RunnerLeaving(r.Name)
			}
			if status == 200 {
				r.cluster.Checker.PollAnswered(r.Name)
			}
			r.Machine.HandlePollResponse(p.Seq, status, body, r.cluster.Monotonic(r.Process))
			r.flush()
		})
	}
}

func (r *Runner) crash() {
	if !r.Up {
		return
	}
	r.cluster.Kill(r.Process)
	r.cluster.Checker.RunnerDead(r.Name)
}

func (r *Runner) Drain(departs int64) {
	if !r.Up || r.Frozen {
		return
	}
	r.Machine.SetMode("draining", clock.Millis(departs), r.cluster.Monotonic(r.Process))
	r.flush()
}

func (r *Runner) CancelDrain() {
	if !r.Up || r.Frozen {
		return
	}
	r.cluster.Checker.RunnerStaying(r.Name)
	r.Machine.SetMode("active", 0, r.cluster.Monotonic(r.Process))
	r.flush()
}
