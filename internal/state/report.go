// What runners say of themselves, committed whenever it changes.

package state

import (
	"orchidward/internal/api/identifier"
)

func (b *Store) report(p *ReportRunner) Result {
	one := b.Runners[p.Runner]
	switch {
	case one == nil && len(b.Runners) >= MaxRunners:
		return Result{Status: 503, Code: "runners-full", Message: "no room for another runner", RetryAfter: 60000}
	case one == nil:
		one = &Runner{Name: p.Runner, Incarnation: p.Incarnation, grants: map[identifier.LeaseID]*Lease{}}
		b.Runners[p.Runner] = one
		b.enlist(p.Runner)
	case one.WasIncarnation(p.Incarnation):
		return refuse(409, "old-incarnation", "a newer incarnation of this runner has reported")
	case one.Incarnation != p.Incarnation:
		b.saves(p.Checkpoints, one)
		b.lose(one)
		one.renew(p.Incarnation)
		b.free(one.Name)
	}
	one.Capacity, one.Labels, one.Domain, one.Rack = p.Capacity, p.Labels, p.Domain, p.Rack
	one.Draining, one.DepartsAt, one.Gone, one.Pool = p.Draining, p.DepartsAt, false, p.Pool
	one.AgentAddr = p.AgentAddr
	b.hot[p.Runner] = true
	b.racks()
	return Result{Status: 200}
}

// free lets tasks held for a runner go: its new incarnation has answered, and
// remembers nothing.
func (b *Store) free(name identifier.Runner) {
	b.each(func(j *Job, ref identifier.TaskRef, t *Task) {
		if t.State == AwaitingRunner && t.LastRunner == name {
			b.set(j, ref, Waiting)
			t.Reason = ""
		}
	})
}

// each visits the tasks of every unfinished job in order of age of key.
func (b *Store) each(do func(j *Job, ref identifier.TaskRef, t *Task)) {
	for _, key := range b.names.Keys() {
		j := b.Jobs[key.(identifier.JobKey)]
		if j.EndState != "" {
			continue
		}
		for i, tasks := range j.Steps {
			for n, t := range tasks {
				do(j, identifier.TaskRef{Job: j.Key, Step: i, Num: n}, t)
			}
		}
		b.settle(j)
	}
}
