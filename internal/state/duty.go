// The maintenance duty's own moves: scope, fence, and the stages of a closing
// out and back. The leader only says when; what each stage does is decided
// here, from the book alone, so that any next owner goes on the same way.

package state

import (
	"fmt"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler/feasibility"
)

func (b *Store) open(id, kind string, domain identifier.Domain, rack identifier.Rack) *Drain {
	for id == "" || b.Drains[id] != nil {
		id = fmt.Sprintf("c-%d", b.NextDrain)
		b.NextDrain++
	}
	c := &Drain{ID: id, Kind: kind, Domain: domain, Rack: rack, StartedAt: b.Now}
	b.Drains[id] = c
	c.enter(Preflight, b.Now)
	return c
}

func (b *Store) reopen(p *EndDrain) Result {
	c := b.Drains[p.Name]
	if c == nil {
		c = b.domainClosing(identifier.Domain(p.Name))
	}
	switch {
	case c == nil:
		return refuse(404, "no-closing", "no such closing")
	case c.Kind == KindRack && !c.Stage.Reopening():
		return refuse(409, "runners-leaving", "a rack reopens when its runners report active again")
	case !c.Stage.Reopening():
		c.enter(Preopen, b.Now)
	}
	return b.show(c)
}

// domainClosing is the domain's closing in force, else the last that was. Among
// those of one moment the order of names says nothing about which came last.
func (b *Store) domainClosing(domain identifier.Domain) *Drain {
	var c *Drain
	for _, id := range b.DrainIDs() {
		one := b.Drains[id]
		if one.Kind != KindDomain || one.Domain != domain {
			continue
		}
		if b.Level >= ResendLevel && c != nil && !c.Stage.Reopening() && one.Stage.Reopening() {
			continue
		}
		c = one
	}
	return c
}

// racks keeps one closing for every rack that has leaving runners. More than
// half of a rack's live runners leaving makes the whole rack the scope.
func (b *Store) racks() {
	type place struct {
		domain identifier.Domain
		rack   identifier.Rack
	}
	all, leave := map[place][]identifier.Runner{}, map[place][]identifier.Runner{}
	for _, n := range b.RunnerNames() {
		r := b.Runners[n]
		at := place{r.Domain, r.Rack}
		if r.Draining {
			leave[at] = append(leave[at], n)
		}
		if !r.Gone || r.Draining {
			all[at] = append(all[at], n)
		}
	}
	have := map[place]*Drain{}
	for _, id := range b.DrainIDs() {
		c := b.Drains[id]
		if c.Kind != KindRack || c.Stage.Reopening() {
			continue
		}
		at := place{c.Domain, c.Rack}
		have[at] = c
		if len(leave[at]) == 0 {
			c.enter(Preopen, b.Now)
		}
	}
	for _, n := range b.RunnerNames() {
		r := b.Runners[n]
		at := place{r.Domain, r.Rack}
		if !r.Draining {
			continue
		}
		c := have[at]
		if c == nil {
			c = b.open("", KindRack, r.Domain, r.Rack)
			have[at] = c
		}
		scope := leave[at]
		if len(scope)*2 > len(all[at]) {
			scope = all[at]
		}
		b.rescope(c, scope)
	}
	b.refence()
}

// rescope takes a rack closing's new scope; newcomers start its stages again.
func (b *Store) rescope(c *Drain, scope []identifier.Runner) {
	grown := false
	for _, n := range scope {
		grown = grown || !c.has(n)
	}
	c.Scope = append([]identifier.Runner(nil), scope...)
	if grown && (c.Stage == Postdrain || c.Stage == Closed) {
		c.enter(Preflight, b.Now)
	}
}

// refence derives the fence: the one thing placement and recovery read.
func (b *Store) refence() {
	for n, r := range b.Runners {
		if r.fence != "" {
			b.hot[n] = true
		}
		r.fence = ""
	}
	for _, id := range b.DrainIDs() {
		c := b.Drains[id]
		if !c.Stage.Cordons() {
			continue
		}
		if c.Kind == KindDomain {
			b.join(c)
		}
		for _, n := range c.Scope {
			if r := b.Runners[n]; r != nil && r.fence == "" {
				r.fence = id
			}
		}
	}
}

// join adds the domain's runners, late comers too, to its closing's scope.
func (b *Store) join(c *Drain) {
	for n, r := range b.Runners {
		if r.Domain == c.Domain && !c.has(n) {
			c.Scope = append(c.Scope, n)
		}
	}
	sort.Slice(c.Scope, func(i, j int) bool { return c.Scope[i] < c.Scope[j] })
}

// StopDue tells whether a runner's tasks are to be stopped now. In a domain they
// are at once; in a rack they run on until a margin before the departure.
func (b *Store) StopDue(c *Drain, n identifier.Runner, now clock.ClusterTime) bool {
	if c.Kind == KindDomain {
		return true
	}
	at := clock.ClusterTime(0)
	for _, s := range c.Scope {
		if r := b.Runners[s]; r != nil && r.Draining && (at == 0 || r.DepartsAt < at) {
			at = r.DepartsAt
		}
	}
	if r := b.Runners[n]; r != nil && r.Draining {
		at = r.DepartsAt
	}
	return now >= at.Add(-b.Limits.SiteMillis("departMarginMs"))
}

// OpenLeases lists what still runs on the scope: grants not yet called back, and
// grants called back but not confirmed.
func (b *Store) OpenLeases(c *Drain) (free, loose []*Lease) {
	for _, n := range c.Scope {
		r := b.Runners[n]
		if r == nil {
			continue
		}
		for _, id := range r.LeaseIDs() {
			if g := b.Leases[id]; g.RevokeReason == "" {
				free = append(free, g)
			} else {
				loose = append(loose, g)
			}
		}
	}
	return free, loose
}

func (b *Store) step(s *AdvanceDrain) {
	c := b.Drains[s.ID]
	if c == nil || c.Stage != s.From {
		return
	}
	defer func() {
		b.fold(text(c.ID), text(string(c.Stage)), uint64(c.UnconfirmedStops), uint64(len(c.Displaced)), text(c.Verdict))
	}()
	switch c.Stage {
	case Preflight:
		b.preflight(c)
		c.enter(Predrain, b.Now)
	case Predrain:
		b.refence()
		c.enter(Cordon, b.Now)
	case Cordon:
		b.cordon(c)
	case Postdrain:
		b.judge(c, s.JudgeNow)
	case Closed:
		b.judge(c, false)
	case Preopen:
		c.enter(Opening, b.Now)
	case Opening:
		b.refence()
		b.release(c)
		c.enter(Postopen, b.Now)
	case Postopen:
		c.enter(Open, b.Now)
	}
}

// preflight asks whether the runners outside every fence can take the set's
// tasks, gangs whole. The answer never holds the fence back.
func (b *Store) preflight(c *Drain) {
	lumps := b.displace(c)
	bins := []feasibility.Node{}
	for _, n := range b.RunnerNames() {
		if r := b.Runners[n]; r.fence == "" && !r.Gone {
			bins = append(bins, feasibility.Node{Name: n, Free: r.Free(), Labels: r.Labels})
		}
	}
	c.PreflightDone = true
	c.Fits, c.Shortage = feasibility.Pack(lumps, bins)
}

// displace records the displaced set and returns it as lumps to pack. A gang with
// a member in scope is displaced whole.
func (b *Store) displace(c *Drain) []feasibility.Unit {
	var lumps []feasibility.Unit
	free, loose := b.OpenLeases(c)
	type step struct {
		key identifier.JobKey
		num int
	}
	gangs := map[step]bool{}
	c.Displaced, c.DisplacedGangs = nil, 0
	for _, g := range append(free, loose...) {
		st := b.Jobs[g.Task.Job].Spec.Steps[g.Task.Step]
		at := step{g.Task.Job, g.Task.Step}
		if !st.Gang {
			lumps = append(lumps, feasibility.Unit{Demand: st.Demand, Labels: st.Labels, Count: 1})
			c.Displaced = append(c.Displaced, g.Task)
			continue
		}
		if gangs[at] {
			continue
		}
		gangs[at] = true
		c.DisplacedGangs++
		n := 0
		for i, t := range b.Jobs[g.Task.Job].Steps[g.Task.Step] {
			if !t.State.Ended() {
				n++
				c.Displaced = append(c.Displaced, identifier.TaskRef{Job: g.Task.Job, Step: g.Task.Step, Num: i})
			}
		}
		lumps = append(lumps, feasibility.Unit{Demand: st.Demand, Labels: st.Labels, Count: n})
	}
	return lumps
}

func (b *Store) cordon(c *Drain) {
	all := true
	for _, n := range c.Scope {
		r := b.Runners[n]
		if r == nil {
			continue
		}
		if !b.StopDue(c, n, b.Now) {
			all = false
			continue
		}
		for _, id := range r.LeaseIDs() {
			b.stop(b.Leases[id], RevokeDrainPrefix+c.ID)
		}
	}
	if all {
		c.enter(Postdrain, b.Now)
	}
}

// judge is the post-drain check: every runner of the set cordoned, and the
// unconfirmed stops no more than the tolerated share of the displaced set.
func (b *Store) judge(c *Drain, late bool) {
	free, loose := b.OpenLeases(c)
	if len(free) > 0 {
		c.enter(Cordon, b.Now)
		return
	}
	c.UnconfirmedStops = len(loose)
	switch {
	case c.UnconfirmedStops == 0:
		c.Verdict = "all cordoned"
	case !late && c.Stage == Postdrain:
		return
	case int64(c.UnconfirmedStops)*100 <= b.Limits.Int("site", "thresholdPct")*int64(len(c.Displaced)):
		c.Verdict = "cordoned, unconfirmed stops within threshold"
	default:
		c.Verdict = "unconfirmed stops over threshold, operator to look"
	}
	if c.Stage != Closed {
		c.enter(Closed, b.Now)
	}
}

// release lets go of the tasks that were waiting out the closing.
func (b *Store) release(c *Drain) {
	b.each(func(j *Job, ref identifier.TaskRef, t *Task) {
		if t.DisplacedBy != c.ID {
			return
		}
		b.untie(j, t)
		if t.State == Suspended {
			b.set(j, ref, Waiting)
			t.Reason = ""
		}
	})
}

// TotalCapacity is the room of all live runners, the measure shares are taken of.
func (b *Store) TotalCapacity() job.Demand {
	var d job.Demand
	for _, r := range b.Runners {
		if !r.Gone {
			d = d.Plus(r.Capacity)
		}
	}
	return d
}
