// The life of a grant: placed in one entry, perhaps called back, and closed by
// a confirmed end, by a new incarnation, or by the lapse the leader timed.

package state

import (
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/scheduler/feasibility"
)

func (b *Store) place(p *PlaceTasks) {
	for i := range p.Placements {
		if b.sound(&p.Placements[i]) {
			b.put(&p.Placements[i])
		}
	}
}

// sound checks a placement against the book as it is now, which may differ
// from what the leader saw when it planned.
func (b *Store) sound(p *Placement) bool {
	j := b.Jobs[p.Job]
	if j == nil || p.Step < 0 || p.Step >= len(j.Steps) || len(p.Tasks) != len(p.Runners) || len(p.Tasks) == 0 {
		return false
	}
	if !j.Ready(p.Step) || j.StartAt > b.Now {
		return false
	}
	st := j.Spec.Steps[p.Step]
	if st.Gang && len(p.Tasks) != j.count[p.Step].wait {
		return false
	}
	room, seen := map[identifier.Runner]job.Demand{}, map[int]bool{}
	sum := b.inUse[j.Spec.Row]
	held := map[identifier.Runner]int64{}
	for i, n := range p.Tasks {
		t, r := j.Task(identifier.TaskRef{Job: p.Job, Step: p.Step, Num: n}), b.Runners[p.Runners[i]]
		if t == nil || seen[n] || t.State != Waiting || r == nil || r.Gone || r.fence != "" || !feasibility.HasLabels(r.Labels, st.Labels) || !j.EligibleOn(r) {
			return false
		}
		if st.MaxPerRunner > 0 {
			if held[r.Name]++; b.TasksBeside(j, p.Step, r)+held[r.Name] > st.MaxPerRunner {
				return false
			}
		}
		seen[n] = true
		free, had := room[r.Name]
		if !had {
			free = r.Free()
		}
		if !st.Demand.Fits(free) {
			return false
		}
		room[r.Name] = free.Minus(st.Demand)
		sum = sum.Plus(st.Demand)
	}
	return j.Terms != nil || sum.WithinLimit(job.Demand{Cores: b.Limits.Int(j.Spec.Row, "maxCores"), Mem: b.Limits.Int(j.Spec.Row, "maxMemMb")})
}

func (b *Store) put(p *Placement) {
	j := b.Jobs[p.Job]
	shared := uint64(0)
	for _, n := range p.Tasks {
		shared = max(shared, j.Steps[p.Step][n].Attempt+1)
	}
	for i, n := range p.Tasks {
		ref := identifier.TaskRef{Job: p.Job, Step: p.Step, Num: n}
		st, r := j.Spec.Steps[p.Step], b.Runners[p.Runners[i]]
		g := &Lease{ID: b.NextLease, Task: ref, Runner: r.Name, Incarnation: r.Incarnation, Row: j.Spec.Row, Demand: st.Demand, ExpectedRun: st.ExpectedRun, OpenedAt: b.Now}
		b.NextLease++
		t := j.Task(ref)
		t.Lease, t.LastRunner, t.Reason = g.ID, r.Name, ""
		if j.Terms != nil {
			if t.Attempt++; st.Gang {
				t.Attempt = shared
			}
			g.Attempt = t.Attempt
			b.fold(g.Attempt)
		}
		b.untie(j, t)
		b.openGrant(g)
		b.set(j, ref, Placed)
	}
	b.index(j)
}

// stop calls a grant back; a gang's other members are called back with it.
func (b *Store) stop(g *Lease, why string) {
	if g.RevokeReason != "" {
		return
	}
	g.RevokeReason = why
	b.hot[g.Runner] = true
	if why != RevokeDoneElsewhere {
		b.partners(g)
	}
}

func (b *Store) partners(g *Lease) {
	for _, p := range b.Partners(g) {
		if p.RevokeReason == "" {
			if p.RevokeReason = RevokeGangMemberGone; g.RevokeReason == RevokePreempted && b.Level >= CatalogLevel {
				p.RevokeReason = RevokePreempted
			}
			b.hot[p.Runner] = true
		}
	}
}

// Partners lists the other grants of the same gang, whatever their standing.
func (b *Store) Partners(g *Lease) []*Lease {
	var list []*Lease
	j := b.Jobs[g.Task.Job]
	if !j.Spec.Steps[g.Task.Step].Gang {
		return nil
	}
	for _, t := range j.Steps[g.Task.Step] {
		if p := b.Leases[t.Lease]; p != nil && p.ID != g.ID {
			list = append(list, p)
		}
	}
	return list
}

func (b *Store) ends(e *ReportEnds) {
	b.hot[e.Runner] = true
	for _, one := range e.Ends {
		g := b.Leases[one.Lease]
		if g != nil && g.Runner == e.Runner && g.Incarnation == e.Incarnation {
			b.save(g, one.Checkpoint)
			b.end(g, one.Outcome)
			continue
		}
		if g == nil {
			b.late(e, one)
		}
	}
}

// late hears of a grant already counted lost.
func (b *Store) late(e *ReportEnds, one End) {
	j := b.FindJob(one.Task.Job)
	if j == nil {
		return
	}
	one.Task.Job = j.Key
	t := j.Task(one.Task)
	if t == nil || !t.recall(one.Lease) || t.State.Ended() {
		return
	}
	switch one.Outcome {
	case OutcomeSuccess:
		if j.Terms != nil && j.Spec.Steps[one.Task.Step].Service {
			break
		}
		if t.State == Placed {
			b.stop(b.Leases[t.Lease], RevokeDoneElsewhere)
		}
		b.set(j, one.Task, Succeeded)
		t.Reason = ""
	case OutcomeDefect:
		b.Runners[e.Runner].mark(false)
		if j.Terms == nil {
			b.spend(j, one.Task, e.Runner)
			break
		}
		b.spendQueued(j, one.Task, e.Runner, 0)
	default:
		if t.State == AwaitingRunner && t.LastRunner == e.Runner {
			b.set(j, one.Task, Waiting)
			t.Reason = ""
		}
	}
	b.settle(j)
}

// end closes a grant and decides what becomes of its task.
func (b *Store) end(g *Lease, how Outcome) {
	b.dropGrant(g)
	j, r := b.Jobs[g.Task.Job], b.Runners[g.Runner]
	t := j.Task(g.Task)
	if how == OutcomeSuccess || how == OutcomeDefect {
		r.mark(how == OutcomeSuccess)
	}
	if j.Terms != nil {
		b.endQueued(j, t, g, how)
		b.settle(j)
		return
	}
	if t.Lease != g.ID || t.State != Placed {
		b.settle(j)
		return
	}
	t.Lease = 0
	switch {
	case how == OutcomeSuccess:
		b.set(j, g.Task, Succeeded)
	case how == OutcomeDefect:
		b.set(j, g.Task, Waiting)
		b.spend(j, g.Task, g.Runner)
		b.partners(g)
		if t.State == Waiting && (j.Cancelled || j.Failure != "") {
			b.set(j, g.Task, Cancelled)
		}
	case j.Cancelled || j.Failure != "":
		if how == outcomeLost {
			t.lose(g)
		}
		b.set(j, g.Task, Cancelled)
		t.Reason = g.RevokeReason
	default:
		b.again(j, t, g, how)
	}
	b.settle(j)
}

// again sends a task that lost its attempt back to bid, to be held, or to sit
// out the outage, as its row has chosen.
func (b *Store) again(j *Job, t *Task, g *Lease, how Outcome) {
	row := j.Spec.Row
	b.set(j, g.Task, Waiting)
	if how == outcomeLost || how == OutcomeLeaseLapsed {
		t.lose(g)
		b.partners(g)
	}
	if how == outcomeLost && b.Limits.Cell(row, "onLoss") == "hold" {
		b.set(j, g.Task, AwaitingRunner)
		t.Reason = "held until runner " + string(g.Runner) + " answers"
		return
	}
	if g.RevokeReason == RevokePreempted {
		b.chain(j, t)
	}
	id, ok := strings.CutPrefix(g.RevokeReason, RevokeDrainPrefix)
	if c := b.Drains[id]; ok && c != nil && c.Stage.Cordons() {
		b.tie(j, t, id)
		if !c.Fits && b.Limits.Cell(row, "onOutage") == "ride" {
			b.set(j, g.Task, Suspended)
			t.Reason = "waits out closing " + id
		}
	}
}

// chain ties work that had to make room for displaced work to the same closing,
// so that it may push strictly cheaper work in its turn.
func (b *Store) chain(j *Job, t *Task) {
	if b.Level < CatalogLevel || b.Limits.Cell(j.Spec.Row, "onOutage") != "push" {
		return
	}
	for _, id := range b.DrainIDs() {
		if c := b.Drains[id]; c.Stage.Cordons() && c.PreflightDone && !c.Fits {
			b.tie(j, t, id)
			return
		}
	}
}

// spend counts a reported defect against the task's allowance.
func (b *Store) spend(j *Job, ref identifier.TaskRef, on identifier.Runner) {
	t := j.Task(ref)
	t.Defects++
	t.AvoidRunner = on
	if t.Defects < j.Spec.Steps[ref.Step].MaxDefects {
		if t.State == AwaitingRunner {
			b.set(j, ref, Waiting)
		}
		return
	}
	if t.State == Placed {
		b.stop(b.Leases[t.Lease], RevokeJobFailed)
	}
	if j.Cancelled {
		b.set(j, ref, Cancelled)
		return
	}
	b.set(j, ref, Failed)
	t.Reason = "allowed defects used up"
	if j.Failure == "" {
		j.Failure = "task " + ref.String() + " used up its allowed defects"
		b.halt(j, RevokeJobFailed)
	}
}

func (b *Store) lost(l *LoseRunner) {
	r := b.Runners[l.Runner]
	if r == nil || r.Incarnation != l.Incarnation {
		return
	}
	r.Gone = true
	b.saves(l.Checkpoints, r)
	b.lose(r)
	b.racks()
}

func (b *Store) lose(r *Runner) {
	for _, id := range r.LeaseIDs() {
		b.end(b.Leases[id], outcomeLost)
	}
}

// AcceptsEnd tells whether an end reported under this grant is still news: the
// grant is open, or was counted lost and its task has not ended.
func (b *Store) AcceptsEnd(name identifier.Runner, inc identifier.Incarnation, id identifier.LeaseID, ref identifier.TaskRef) bool {
	if g := b.Leases[id]; g != nil {
		return g.Runner == name && g.Incarnation == inc
	}
	j := b.FindJob(ref.Job)
	if j == nil {
		return false
	}
	t := j.Task(ref)
	if t == nil || t.State.Ended() {
		return false
	}
	for _, p := range t.LostLeases {
		if p == id {
			return true
		}
	}
	return false
}
