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

type side struct {
	*node
	w      *World
	mach   *runner.Runner
	boot   runner.Config
	racked string
	sick   int64
	gone   bool
	// seen hears of every start, for a scene that wants to know.
	seen func(e runner.Event)
}

func (w *World) addRunner(i int) *side {
	rack := i / 3
	r := &side{node: w.add(fmt.Sprintf("r%d", i+1), zones[rack%3]), w: w, racked: fmt.Sprintf("rack-%d", rack)}
	r.boot = runner.Config{Name: identifier.Runner(r.name), Capacity: job.Demand{Cores: w.Site.Cores, Mem: w.Site.Mem}, Labels: []identifier.Label{"std"},
		Domain: identifier.Domain(r.zone), Rack: identifier.Rack(r.racked)}
	if i%2 == 1 {
		r.boot.Labels = []identifier.Label{"ssd", "std"}
	}
	w.runners = append(w.runners, r)
	return r
}

func (r *side) begin() {
	w := r.w
	r.life++
	r.up, r.begun = true, w.Now
	set := r.boot
	set.Incarnation, set.Seed, set.DefectPercent = identifier.Incarnation(fmt.Sprintf("%016x", w.rnd.Uint64())), w.rnd.Int63(), w.Site.Faulty+r.sick
	for _, g := range w.gates {
		set.Gateways = append(set.Gateways, g.addr)
	}
	r.mach = runner.New(set, 0)
	w.Watch.RunnerStaying(r.name)
	r.tick(r.life)
}

func (r *side) tick(life int) {
	if r.life != life || !r.up {
		return
	}
	if !r.frozen {
		r.mach.Tick(r.w.mono(r.node))
		r.out()
	}
	r.w.after(int64(runner.TickInterval), func() { r.tick(life) })
}

func (r *side) out() {
	o := r.mach.TakeOutput()
	for _, e := range o.Events {
		r.w.Watch.RunnerEvent(r.name, e)
		if e.Kind == runner.EventStart && r.seen != nil {
			r.seen(e)
		}
	}
	for _, p := range o.Polls {
		leaving := r.mach.Mode() == "draining"
		r.w.http(r.node, p.Gateway, "POST", endpoint.PollPath(identifier.Runner(r.name)), p.Body, int64(p.Timeout), func(status int, body []byte) {
			r.w.Polled += int64(len(p.Body) + len(body))
			r.w.Polls++
			if status == 200 && leaving && r.mach.Mode() == "draining" {
				r.w.Watch.RunnerLeaving(r.name)
			}
			if status == 200 {
				r.w.Watch.PollAnswered(r.name)
			}
			r.mach.HandlePollResponse(p.Seq, status, body, r.w.mono(r.node))
			r.out()
		})
	}
}

func (r *side) crash() {
	if !r.up {
		return
	}
	r.w.die(r.node)
	r.w.Watch.RunnerDead(r.name)
}

func (r *side) drain(departs int64) {
	if !r.up || r.frozen {
		return
	}
	r.mach.SetMode("draining", clock.Millis(departs), r.w.mono(r.node))
	r.out()
}

func (r *side) stay() {
	if !r.up || r.frozen {
		return
	}
	r.w.Watch.RunnerStaying(r.name)
	r.mach.SetMode("active", 0, r.w.mono(r.node))
	r.out()
}
