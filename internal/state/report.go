// What runners say of themselves, committed whenever it changes.

package state

import (
	"orchidward/internal/api/identifier"
)

func (b *Book) report(p *Report) Result {
	one := b.Runners[p.Runner]
	switch {
	case one == nil && len(b.Runners) >= MaxRunners:
		return Result{Status: 503, Code: "runners-full", Why: "no room for another runner", Retry: 60000}
	case one == nil:
		one = &Runner{Name: p.Runner, Inc: p.Inc, grants: map[identifier.LeaseID]*Grant{}}
		b.Runners[p.Runner] = one
		b.enlist(p.Runner)
	case one.Was(p.Inc):
		return refuse(409, "old-incarnation", "a newer incarnation of this runner has reported")
	case one.Inc != p.Inc:
		b.saves(p.Saves, one)
		b.lose(one)
		one.renew(p.Inc)
		b.free(one.Name)
	}
	one.Cap, one.Labels, one.Domain, one.Rack = p.Cap, p.Labels, p.Domain, p.Rack
	one.Drain, one.Depart, one.Gone, one.Pool = p.Drain, p.Depart, false, p.Pool
	one.Addr = p.Addr
	b.hot[p.Runner] = true
	b.racks()
	return Result{Status: 200}
}

// free lets tasks held for a runner go: its new incarnation has answered, and
// remembers nothing.
func (b *Book) free(name identifier.Runner) {
	b.each(func(j *Job, ref identifier.TaskRef, t *Task) {
		if t.State == Held && t.On == name {
			b.set(j, ref, Waiting)
			t.Why = ""
		}
	})
}

// each visits the tasks of every unfinished job in order of age of key.
func (b *Book) each(do func(j *Job, ref identifier.TaskRef, t *Task)) {
	for _, key := range b.names.Keys() {
		j := b.Jobs[key.(identifier.JobKey)]
		if j.End != "" {
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
