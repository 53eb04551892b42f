// Rows may choose among the runners that are fit for a task by a policy of
// their own. What is fit is decided before, and checked again by the book: a
// policy orders, and can let nothing in.

package scheduler

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/limits"
	"orchidward/internal/scheduler/feasibility"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
)

// mostScores bounds the scorings of one round; past it the built-in choice is
// used, so that no policy holds the leader up.
const mostScores = 5000

// PolicyResult is how a row's policy fared in one round.
type PolicyResult struct {
	Used, Failed int
	LastFailure  string
}

func (n *bin) fits(st job.Step) bool {
	return st.Demand.Fits(n.open()) && feasibility.HasLabels(n.r.Labels, st.Labels) && !(n.trial && n.room != n.r.Free())
}

// pick finds the bin for one task, by the row's policy if it has one.
func (r *round) pick(l *lump, st job.Step, t *state.Task) *bin {
	row := l.j.Spec.Row
	text := r.b.Limits.Cell(row, limits.ColumnPolicy)
	if text == "" {
		return best(r.bins, st, t.AvoidRunner)
	}
	say := r.out.Policies[row]
	defer func() { r.out.Policies[row] = say }()
	at, why := r.scored(r.shelf.Get(text), l, st, t)
	if why != "" {
		say.Failed++
		say.LastFailure = why
		return best(r.bins, st, t.AvoidRunner)
	}
	say.Used++
	return at
}

// scored finds the bin the policy scores highest; a tie goes by the built-in
// score, and a runner that failed this very task still comes last.
func (r *round) scored(p *policy.Policy, l *lump, st job.Step, t *state.Task) (at *bin, why string) {
	if p == nil {
		return nil, "the policy does not compile"
	}
	high, low := 0.0, int64(0)
	for _, n := range r.bins {
		if !n.fits(st) {
			continue
		}
		if r.scores++; r.scores > mostScores {
			return nil, "too many scorings in one round"
		}
		score, err := p.Score(facts(n, l, st, t))
		if err != nil {
			return nil, err.Error()
		}
		own := n.score(st.Demand, t.AvoidRunner)
		shunned, was := n.r.Name == t.AvoidRunner, at != nil && at.r.Name == t.AvoidRunner
		if at == nil || was && !shunned || was == shunned && (score > high || score == high && own < low) {
			at, high, low = n, score, own
		}
	}
	return at, ""
}

func facts(n *bin, l *lump, st job.Step, t *state.Task) policy.Inputs {
	f := policy.Inputs{FreeCores: n.room.Cores, FreeMem: n.room.Mem, Cores: n.r.Capacity.Cores, Mem: n.r.Capacity.Mem, Running: int64(n.r.OpenLeases()), RunnerSuccesses: n.r.Successes, RunnerDefects: n.r.Defects,
		Labels: map[string]bool{}, Zone: string(n.r.Domain), Rack: string(n.r.Rack),
		NeedCores: st.Demand.Cores, NeedMem: st.Demand.Mem, Urgency: l.j.Spec.Urgency, Defects: t.Defects, Members: int64(len(l.nums))}
	for _, one := range n.r.Labels {
		f.Labels[string(one)] = true
	}
	return f
}

// PolicyResults maps rows to how their policies fared.
type PolicyResults map[identifier.Row]PolicyResult
