// Package scheduler decides where work goes: it filters, scores, keeps rows to
// their weights, reserves room for the head that doesn't fit, and for work a
// closing displaced finds what cheaper work would have to leave. It reads the
// book and changes nothing; the book checks every placement again.
package scheduler

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/state"
)

// bin is a runner as one round sees it.
type bin struct {
	r     *state.Runner
	room  job.Demand
	keep  job.Demand
	trial bool
	soft  bool
	pace  int64
}

// open is the room left for work that holds no reservation.
func (n *bin) open() job.Demand { return n.room.Minus(n.keep) }

// take lists the fresh runners outside the fence, in order of name.
func take(b *state.Store, fresh func(r identifier.Runner) bool) []*bin {
	leaving := map[identifier.Rack]bool{}
	mean := standing(b)
	all := make([]*state.Runner, 0, len(b.RunnerNames()))
	for _, name := range b.RunnerNames() {
		r := b.Runners[name]
		all = append(all, r)
		if r.Draining {
			leaving[r.Rack] = true
		}
	}
	// The bins of a round lie side by side: they are gone through again and again.
	room := make([]bin, 0, len(all))
	bins := make([]*bin, 0, len(all))
	for _, r := range all {
		if r.Gone || r.CordonedBy() != "" || !fresh(r.Name) {
			continue
		}
		n := bin{r: r, room: r.Free(), soft: leaving[r.Rack]}
		n.trial = r.Defects >= 3 && rate(r) > 3*mean+50
		if n.trial && r.OpenLeases() > 0 {
			continue
		}
		room = append(room, n)
		bins = append(bins, &room[len(room)-1])
	}
	return bins
}

// rate is a runner's recent share of defects, in thousandths, with a little
// doubt mixed in for runners little is known of.
func rate(r *state.Runner) int64 { return (r.Defects*1000 + 20) / (r.Successes + r.Defects + 2) }

func standing(b *state.Store) int64 {
	good, bad := int64(0), int64(0)
	for _, r := range b.Runners {
		good, bad = good+r.Successes, bad+r.Defects
	}
	return (bad * 1000) / (good + bad + 1)
}

// score is lower for the better bin: the tightest fit, standing, and racks
// nobody is leaving; a runner that failed this very task comes last.
func (n *bin) score(d job.Demand, shun identifier.Runner) int64 {
	left := n.room.Minus(d)
	s := left.Share(n.r.Capacity)/1000 + 2*rate(n.r)
	if n.soft {
		s += 2000
	}
	if n.trial {
		s += 10000
	}
	if n.r.Name == shun {
		s += 100000
	}
	return s
}

// best finds the bin for one task.
func best(bins []*bin, st job.Step, shun identifier.Runner) *bin {
	var pick *bin
	low := int64(0)
	for _, n := range bins {
		if !n.fits(st) {
			continue
		}
		if s := n.score(st.Demand, shun); pick == nil || s < low {
			pick, low = n, s
		}
	}
	return pick
}
