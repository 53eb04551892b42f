// The derived tallies: every change of a task's state and every opening or
// closing of a grant passes through here, so that counts never drift.

package state

import "orchidward/internal/api/identifier"

func (b *Store) tally(j *Job, step int, s TaskState, n int) {
	c := &j.count[step]
	switch {
	case s == Waiting:
		c.wait += n
	case s == Placed:
		c.placed += n
	case s.Ended():
		c.ended += n
		if s == Succeeded {
			c.well += n
		}
	}
	if s.Unplaced() {
		b.waiting[j.Spec.Row] += int64(n)
	}
}

func (b *Store) set(j *Job, r identifier.TaskRef, s TaskState) {
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
func (b *Store) index(j *Job) {
	want := false
	for i := range j.Steps {
		want = want || j.Ready(i)
	}
	early := want && j.StartAt > b.Now
	if early {
		b.later.Add(j)
	} else {
		b.later.Remove(j)
	}
	l := b.lanes[j.Spec.Row]
	if l == nil {
		l = newLane()
		b.lanes[j.Spec.Row] = l
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

func (b *Store) openGrant(g *Lease) {
	r := b.Runners[g.Runner]
	b.hot[g.Runner] = true
	b.fold(uint64(g.ID), text(string(g.Runner)), text(string(g.Incarnation)))
	b.Leases[g.ID] = g
	r.grants[g.ID] = g
	r.used = r.used.Plus(g.Demand)
	b.inUse[g.Row] = b.inUse[g.Row].Plus(g.Demand)
	b.Jobs[g.Task.Job].open++
}

func (b *Store) dropGrant(g *Lease) {
	r := b.Runners[g.Runner]
	b.hot[g.Runner] = true
	b.fold(uint64(g.ID), text(g.RevokeReason))
	delete(b.Leases, g.ID)
	delete(r.grants, g.ID)
	r.used = r.used.Minus(g.Demand)
	b.inUse[g.Row] = b.inUse[g.Row].Minus(g.Demand)
	b.Jobs[g.Task.Job].open--
}

// tie marks a task as displaced by a closing; displaced work bids first.
func (b *Store) tie(j *Job, t *Task, closing string) {
	if t.DisplacedBy == "" {
		j.moved++
		b.moved.Add(j)
	}
	t.DisplacedBy = closing
}

func (b *Store) untie(j *Job, t *Task) {
	if t.DisplacedBy == "" {
		return
	}
	t.DisplacedBy = ""
	if j.moved--; j.moved == 0 {
		b.moved.Remove(j)
	}
}

// DisplacedJobs lists the jobs with displaced tasks, oldest first.
func (b *Store) DisplacedJobs() []*Job {
	var out []*Job
	for _, v := range b.moved.Values() {
		out = append(out, v.(*Job))
	}
	return out
}
