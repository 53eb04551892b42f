// The life of a grant: placed in one entry, perhaps called back, and closed by
// a confirmed end, by a new incarnation, or by the lapse the leader timed.

package state

import (
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/scheduler/feasibility"
)

func (b *Book) place(p *Place) {
	for i := range p.Puts {
		if b.sound(&p.Puts[i]) {
			b.put(&p.Puts[i])
		}
	}
}

// sound checks a placement against the book as it is now, which may differ
// from what the leader saw when it planned.
func (b *Book) sound(p *Put) bool {
	j := b.Jobs[p.Job]
	if j == nil || p.Step < 0 || p.Step >= len(j.Steps) || len(p.Nums) != len(p.On) || len(p.Nums) == 0 {
		return false
	}
	if !j.Ready(p.Step) || j.Start > b.Now {
		return false
	}
	st := j.Spec.Steps[p.Step]
	if st.Gang && len(p.Nums) != j.count[p.Step].wait {
		return false
	}
	room, seen := map[identifier.Runner]job.Demand{}, map[int]bool{}
	sum := b.inUse[j.Spec.Pending]
	held := map[identifier.Runner]int64{}
	for i, n := range p.Nums {
		t, r := j.Task(identifier.TaskRef{Job: p.Job, Step: p.Step, Num: n}), b.Runners[p.On[i]]
		if t == nil || seen[n] || t.State != Waiting || r == nil || r.Gone || r.fence != "" || !feasibility.Has(r.Labels, st.Labels) || !j.Serves(r) {
			return false
		}
		if st.Apart > 0 {
			if held[r.Name]++; b.Beside(j, p.Step, r)+held[r.Name] > st.Apart {
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
	return j.Terms != nil || sum.Under(job.Demand{Cores: b.Table.Num(j.Spec.Pending, "maxCores"), Mem: b.Table.Num(j.Spec.Pending, "maxMemMb")})
}

func (b *Book) put(p *Put) {
	j := b.Jobs[p.Job]
	shared := uint64(0)
	for _, n := range p.Nums {
		shared = max(shared, j.Steps[p.Step][n].No+1)
	}
	for i, n := range p.Nums {
		ref := identifier.TaskRef{Job: p.Job, Step: p.Step, Num: n}
		st, r := j.Spec.Steps[p.Step], b.Runners[p.On[i]]
		g := &Grant{ID: b.NextGrant, Ref: ref, Runner: r.Name, Inc: r.Inc, Row: j.Spec.Pending, Demand: st.Demand, Run: st.Run, At: b.Now}
		b.NextGrant++
		t := j.Task(ref)
		t.Grant, t.On, t.Why = g.ID, r.Name, ""
		if j.Terms != nil {
			if t.No++; st.Gang {
				t.No = shared
			}
			g.No = t.No
			b.fold(g.No)
		}
		b.untie(j, t)
		b.openGrant(g)
		b.set(j, ref, Placed)
	}
	b.index(j)
}

// stop calls a grant back; a gang's other members are called back with it.
func (b *Book) stop(g *Grant, why string) {
	if g.Stop != "" {
		return
	}
	g.Stop = why
	b.hot[g.Runner] = true
	if why != StopDone {
		b.partners(g)
	}
}

func (b *Book) partners(g *Grant) {
	for _, p := range b.Partners(g) {
		if p.Stop == "" {
			if p.Stop = StopPartner; g.Stop == StopPush && b.Level >= CatalogLevel {
				p.Stop = StopPush
			}
			b.hot[p.Runner] = true
		}
	}
}

// Partners lists the other grants of the same gang, whatever their standing.
func (b *Book) Partners(g *Grant) []*Grant {
	var list []*Grant
	j := b.Jobs[g.Ref.Job]
	if !j.Spec.Steps[g.Ref.Step].Gang {
		return nil
	}
	for _, t := range j.Steps[g.Ref.Step] {
		if p := b.Grants[t.Grant]; p != nil && p.ID != g.ID {
			list = append(list, p)
		}
	}
	return list
}

func (b *Book) ends(e *Ends) {
	b.hot[e.Runner] = true
	for _, one := range e.List {
		g := b.Grants[one.Grant]
		if g != nil && g.Runner == e.Runner && g.Inc == e.Inc {
			b.save(g, one.Saved)
			b.end(g, one.How)
			continue
		}
		if g == nil {
			b.late(e, one)
		}
	}
}

// late hears of a grant already counted lost.
func (b *Book) late(e *Ends, one End) {
	j := b.Find(one.Ref.Job)
	if j == nil {
		return
	}
	one.Ref.Job = j.Key
	t := j.Task(one.Ref)
	if t == nil || !t.recall(one.Grant) || t.State.Ended() {
		return
	}
	switch one.How {
	case EndWell:
		if j.Terms != nil && j.Spec.Steps[one.Ref.Step].Lasting {
			break
		}
		if t.State == Placed {
			b.stop(b.Grants[t.Grant], StopDone)
		}
		b.set(j, one.Ref, Well)
		t.Why = ""
	case EndDefect:
		b.Runners[e.Runner].mark(false)
		if j.Terms == nil {
			b.spend(j, one.Ref, e.Runner)
			break
		}
		b.spendQueued(j, one.Ref, e.Runner, 0)
	default:
		if t.State == Held && t.On == e.Runner {
			b.set(j, one.Ref, Waiting)
			t.Why = ""
		}
	}
	b.settle(j)
}

// end closes a grant and decides what becomes of its task.
func (b *Book) end(g *Grant, how How) {
	b.dropGrant(g)
	j, r := b.Jobs[g.Ref.Job], b.Runners[g.Runner]
	t := j.Task(g.Ref)
	if how == EndWell || how == EndDefect {
		r.mark(how == EndWell)
	}
	if j.Terms != nil {
		b.endQueued(j, t, g, how)
		b.settle(j)
		return
	}
	if t.Grant != g.ID || t.State != Placed {
		b.settle(j)
		return
	}
	t.Grant = 0
	switch {
	case how == EndWell:
		b.set(j, g.Ref, Well)
	case how == EndDefect:
		b.set(j, g.Ref, Waiting)
		b.spend(j, g.Ref, g.Runner)
		b.partners(g)
		if t.State == Waiting && (j.Cancel || j.Fail != "") {
			b.set(j, g.Ref, Cancelled)
		}
	case j.Cancel || j.Fail != "":
		if how == endLost {
			t.lose(g)
		}
		b.set(j, g.Ref, Cancelled)
		t.Why = g.Stop
	default:
		b.again(j, t, g, how)
	}
	b.settle(j)
}

// again sends a task that lost its attempt back to bid, to be held, or to sit
// out the outage, as its row has chosen.
func (b *Book) again(j *Job, t *Task, g *Grant, how How) {
	row := j.Spec.Pending
	b.set(j, g.Ref, Waiting)
	if how == endLost || how == EndLapsed {
		t.lose(g)
		b.partners(g)
	}
	if how == endLost && b.Table.Cell(row, "onLoss") == "hold" {
		b.set(j, g.Ref, Held)
		t.Why = "held until runner " + string(g.Runner) + " answers"
		return
	}
	if g.Stop == StopPush {
		b.chain(j, t)
	}
	id, ok := strings.CutPrefix(g.Stop, StopClosing)
	if c := b.Closings[id]; ok && c != nil && c.Stage.Down() {
		b.tie(j, t, id)
		if !c.Fits && b.Table.Cell(row, "onOutage") == "ride" {
			b.set(j, g.Ref, Riding)
			t.Why = "waits out closing " + id
		}
	}
}

// chain ties work that had to make room for displaced work to the same closing,
// so that it may push strictly cheaper work in its turn.
func (b *Book) chain(j *Job, t *Task) {
	if b.Level < CatalogLevel || b.Table.Cell(j.Spec.Pending, "onOutage") != "push" {
		return
	}
	for _, id := range b.ClosingIDs() {
		if c := b.Closings[id]; c.Stage.Down() && c.Judged && !c.Fits {
			b.tie(j, t, id)
			return
		}
	}
}

// spend counts a reported defect against the task's allowance.
func (b *Book) spend(j *Job, ref identifier.TaskRef, on identifier.Runner) {
	t := j.Task(ref)
	t.Defects++
	t.Shun = on
	if t.Defects < j.Spec.Steps[ref.Step].Defects {
		if t.State == Held {
			b.set(j, ref, Waiting)
		}
		return
	}
	if t.State == Placed {
		b.stop(b.Grants[t.Grant], StopFail)
	}
	if j.Cancel {
		b.set(j, ref, Cancelled)
		return
	}
	b.set(j, ref, Failed)
	t.Why = "allowed defects used up"
	if j.Fail == "" {
		j.Fail = "task " + ref.String() + " used up its allowed defects"
		b.halt(j, StopFail)
	}
}

func (b *Book) lost(l *Lost) {
	r := b.Runners[l.Runner]
	if r == nil || r.Inc != l.Inc {
		return
	}
	r.Gone = true
	b.saves(l.Saves, r)
	b.lose(r)
	b.racks()
}

func (b *Book) lose(r *Runner) {
	for _, id := range r.GrantIDs() {
		b.end(b.Grants[id], endLost)
	}
}

// Hears tells whether an end reported under this grant is still news: the
// grant is open, or was counted lost and its task has not ended.
func (b *Book) Hears(name identifier.Runner, inc identifier.Incarnation, id identifier.LeaseID, ref identifier.TaskRef) bool {
	if g := b.Grants[id]; g != nil {
		return g.Runner == name && g.Inc == inc
	}
	j := b.Find(ref.Job)
	if j == nil {
		return false
	}
	t := j.Task(ref)
	if t == nil || t.State.Ended() {
		return false
	}
	for _, p := range t.Past {
		if p == id {
			return true
		}
	}
	return false
}
