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

func (b *Book) open(id, kind string, domain identifier.Domain, rack identifier.Rack) *Closing {
	for id == "" || b.Closings[id] != nil {
		id = fmt.Sprintf("c-%d", b.NextClose)
		b.NextClose++
	}
	c := &Closing{ID: id, Kind: kind, Domain: domain, Rack: rack, At: b.Now}
	b.Closings[id] = c
	c.enter(Preflight, b.Now)
	return c
}

func (b *Book) reopen(p *Reopen) Result {
	c := b.Closings[p.Name]
	if c == nil {
		c = b.domainClosing(identifier.Domain(p.Name))
	}
	switch {
	case c == nil:
		return refuse(404, "no-closing", "no such closing")
	case c.Kind == KindRack && !c.Stage.Leaving():
		return refuse(409, "runners-leaving", "a rack reopens when its runners report active again")
	case !c.Stage.Leaving():
		c.enter(Preopen, b.Now)
	}
	return b.show(c)
}

// domainClosing is the domain's closing in force, else the last that was. Among
// those of one moment the order of names says nothing about which came last.
func (b *Book) domainClosing(domain identifier.Domain) *Closing {
	var c *Closing
	for _, id := range b.ClosingIDs() {
		one := b.Closings[id]
		if one.Kind != KindDomain || one.Domain != domain {
			continue
		}
		if b.Level >= ResendLevel && c != nil && !c.Stage.Leaving() && one.Stage.Leaving() {
			continue
		}
		c = one
	}
	return c
}

// racks keeps one closing for every rack that has leaving runners. More than
// half of a rack's live runners leaving makes the whole rack the scope.
func (b *Book) racks() {
	type place struct {
		domain identifier.Domain
		rack   identifier.Rack
	}
	all, leave := map[place][]identifier.Runner{}, map[place][]identifier.Runner{}
	for _, n := range b.RunnerNames() {
		r := b.Runners[n]
		at := place{r.Domain, r.Rack}
		if r.Drain {
			leave[at] = append(leave[at], n)
		}
		if !r.Gone || r.Drain {
			all[at] = append(all[at], n)
		}
	}
	have := map[place]*Closing{}
	for _, id := range b.ClosingIDs() {
		c := b.Closings[id]
		if c.Kind != KindRack || c.Stage.Leaving() {
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
		if !r.Drain {
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
func (b *Book) rescope(c *Closing, scope []identifier.Runner) {
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
func (b *Book) refence() {
	for n, r := range b.Runners {
		if r.fence != "" {
			b.hot[n] = true
		}
		r.fence = ""
	}
	for _, id := range b.ClosingIDs() {
		c := b.Closings[id]
		if !c.Stage.Down() {
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
func (b *Book) join(c *Closing) {
	for n, r := range b.Runners {
		if r.Domain == c.Domain && !c.has(n) {
			c.Scope = append(c.Scope, n)
		}
	}
	sort.Slice(c.Scope, func(i, j int) bool { return c.Scope[i] < c.Scope[j] })
}

// Due tells whether a runner's tasks are to be stopped now. In a domain they
// are at once; in a rack they run on until a margin before the departure.
func (b *Book) Due(c *Closing, n identifier.Runner, now clock.ClusterTime) bool {
	if c.Kind == KindDomain {
		return true
	}
	at := clock.ClusterTime(0)
	for _, s := range c.Scope {
		if r := b.Runners[s]; r != nil && r.Drain && (at == 0 || r.Depart < at) {
			at = r.Depart
		}
	}
	if r := b.Runners[n]; r != nil && r.Drain {
		at = r.Depart
	}
	return now >= at.Add(-b.Table.Site("departMarginMs"))
}

// Undone lists what still runs on the scope: grants not yet called back, and
// grants called back but not confirmed.
func (b *Book) Undone(c *Closing) (free, loose []*Grant) {
	for _, n := range c.Scope {
		r := b.Runners[n]
		if r == nil {
			continue
		}
		for _, id := range r.GrantIDs() {
			if g := b.Grants[id]; g.Stop == "" {
				free = append(free, g)
			} else {
				loose = append(loose, g)
			}
		}
	}
	return free, loose
}

func (b *Book) step(s *Step) {
	c := b.Closings[s.ID]
	if c == nil || c.Stage != s.From {
		return
	}
	defer func() {
		b.fold(text(c.ID), text(string(c.Stage)), uint64(c.Loose), uint64(len(c.Displaced)), text(c.Verdict))
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
		b.judge(c, s.Judge)
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
func (b *Book) preflight(c *Closing) {
	lumps := b.displace(c)
	bins := []feasibility.Bin{}
	for _, n := range b.RunnerNames() {
		if r := b.Runners[n]; r.fence == "" && !r.Gone {
			bins = append(bins, feasibility.Bin{Name: n, Room: r.Free(), Labels: r.Labels})
		}
	}
	c.Judged = true
	c.Fits, c.Short = feasibility.Fits(lumps, bins)
}

// displace records the displaced set and returns it as lumps to pack. A gang with
// a member in scope is displaced whole.
func (b *Book) displace(c *Closing) []feasibility.Lump {
	var lumps []feasibility.Lump
	free, loose := b.Undone(c)
	type step struct {
		key identifier.JobKey
		num int
	}
	gangs := map[step]bool{}
	c.Displaced, c.Gangs = nil, 0
	for _, g := range append(free, loose...) {
		st := b.Jobs[g.Ref.Job].Spec.Steps[g.Ref.Step]
		at := step{g.Ref.Job, g.Ref.Step}
		if !st.Gang {
			lumps = append(lumps, feasibility.Lump{Demand: st.Demand, Labels: st.Labels, Count: 1})
			c.Displaced = append(c.Displaced, g.Ref)
			continue
		}
		if gangs[at] {
			continue
		}
		gangs[at] = true
		c.Gangs++
		n := 0
		for i, t := range b.Jobs[g.Ref.Job].Steps[g.Ref.Step] {
			if !t.State.Ended() {
				n++
				c.Displaced = append(c.Displaced, identifier.TaskRef{Job: g.Ref.Job, Step: g.Ref.Step, Num: i})
			}
		}
		lumps = append(lumps, feasibility.Lump{Demand: st.Demand, Labels: st.Labels, Count: n})
	}
	return lumps
}

func (b *Book) cordon(c *Closing) {
	all := true
	for _, n := range c.Scope {
		r := b.Runners[n]
		if r == nil {
			continue
		}
		if !b.Due(c, n, b.Now) {
			all = false
			continue
		}
		for _, id := range r.GrantIDs() {
			b.stop(b.Grants[id], StopClosing+c.ID)
		}
	}
	if all {
		c.enter(Postdrain, b.Now)
	}
}

// judge is the post-drain check: every runner of the set cordoned, and the
// unconfirmed stops no more than the tolerated share of the displaced set.
func (b *Book) judge(c *Closing, late bool) {
	free, loose := b.Undone(c)
	if len(free) > 0 {
		c.enter(Cordon, b.Now)
		return
	}
	c.Loose = len(loose)
	switch {
	case c.Loose == 0:
		c.Verdict = "all cordoned"
	case !late && c.Stage == Postdrain:
		return
	case int64(c.Loose)*100 <= b.Table.Num("site", "thresholdPct")*int64(len(c.Displaced)):
		c.Verdict = "cordoned, unconfirmed stops within threshold"
	default:
		c.Verdict = "unconfirmed stops over threshold, operator to look"
	}
	if c.Stage != Closed {
		c.enter(Closed, b.Now)
	}
}

// release lets go of the tasks that were waiting out the closing.
func (b *Book) release(c *Closing) {
	b.each(func(j *Job, ref identifier.TaskRef, t *Task) {
		if t.Closing != c.ID {
			return
		}
		b.untie(j, t)
		if t.State == Riding {
			b.set(j, ref, Waiting)
			t.Why = ""
		}
	})
}

// Total is the room of all live runners, the measure shares are taken of.
func (b *Book) Total() job.Demand {
	var d job.Demand
	for _, r := range b.Runners {
		if !r.Gone {
			d = d.Plus(r.Cap)
		}
	}
	return d
}
