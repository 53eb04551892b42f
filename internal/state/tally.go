// The derived tallies: every change of a task's state and every opening or
// closing of a grant passes through here, so that counts never drift.

package state

import "orchidward/internal/api/identifier"

func (b *Book) tally(j *Job, step int, s State, n int) {
	c := &j.count[step]
	switch {
	case s == Waiting:
		c.wait += n
	case s == Placed:
		c.placed += n
	case s.Ended():
		c.ended += n
		if s == Well {
			c.well += n
		}
	}
	if s.Unplaced() {
		b.waiting[j.Spec.Pending] += int64(n)
	}
}

func (b *Book) set(j *Job, r identifier.TaskRef, s State) {
	t := j.Task(r)
	b.tally(j, r.Step, t.State, -1)
	t.State = s
	b.fold(j.Seq, uint64(r.Step), uint64(r.Num), text(string(s)), uint64(t.Defects))
	b.tally(j, r.Step, s, 1)
	if s.Ended() {
		b.untie(j, t)
	}
}

// index puts the job on the lane it belongs on, or on none, and ends it once
// nothing of it is left to do.
func (b *Book) index(j *Job) {
	want := false
	for i := range j.Steps {
		want = want || j.Ready(i)
	}
	early := want && j.Start > b.Now
	if early {
		b.later.Add(j)
	} else {
		b.later.Remove(j)
	}
	l := b.lanes[j.Spec.Pending]
	if l == nil {
		l = newLane()
		b.lanes[j.Spec.Pending] = l
	}
	switch {
	case want && !early && j.lane == nil:
		l.add(j)
		j.lane = l
	case (!want || early) && j.lane != nil:
		j.lane.drop(j)
		j.lane = nil
	}
}

func (b *Book) openGrant(g *Grant) {
	r := b.Runners[g.Runner]
	b.hot[g.Runner] = true
	b.fold(uint64(g.ID), text(string(g.Runner)), text(string(g.Inc)))
	b.Grants[g.ID] = g
	r.grants[g.ID] = g
	r.used = r.used.Plus(g.Demand)
	b.inUse[g.Row] = b.inUse[g.Row].Plus(g.Demand)
	b.Jobs[g.Ref.Job].open++
}

func (b *Book) dropGrant(g *Grant) {
	r := b.Runners[g.Runner]
	b.hot[g.Runner] = true
	b.fold(uint64(g.ID), text(g.Stop))
	delete(b.Grants, g.ID)
	delete(r.grants, g.ID)
	r.used = r.used.Minus(g.Demand)
	b.inUse[g.Row] = b.inUse[g.Row].Minus(g.Demand)
	b.Jobs[g.Ref.Job].open--
}

// tie marks a task as displaced by a closing; displaced work bids first.
func (b *Book) tie(j *Job, t *Task, closing string) {
	if t.Closing == "" {
		j.moved++
		b.moved.Add(j)
	}
	t.Closing = closing
}

func (b *Book) untie(j *Job, t *Task) {
	if t.Closing == "" {
		return
	}
	t.Closing = ""
	if j.moved--; j.moved == 0 {
		b.moved.Remove(j)
	}
}

// Moved lists the jobs with displaced tasks, oldest first.
func (b *Book) Moved() []*Job {
	var out []*Job
	for _, v := range b.moved.Values() {
		out = append(out, v.(*Job))
	}
	return out
}
