package scheduler

import (
	"cmp"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/limits"
	"orchidward/internal/scheduler/feasibility"
	"orchidward/internal/state"
)

// priceUnit exceeds the maximum urgency of 1000, so that the row's weight always outranks
// the urgency.
const priceUnit = 1001

// price orders the jobs of rows for preemption, by their row's weight and then by urgency.
// A job may preempt only strictly cheaper jobs.
func (c *cycle) price(j *state.Job) int64 {
	return c.store.Limits.Int(j.Spec.Row, limits.ColumnWeight)*priceUnit + j.Spec.Urgency
}

// preemptFor plans the cheapest preemptions that make a unit fit, or none if the unit would
// still not fit. A cycle plans preemptions for at most one unit, and for none while leases
// preempted earlier are still open.
func (c *cycle) preemptFor(u unit) {
	if len(c.plan.Preemptions) > 0 || !c.mayPreempt(u) || c.preemptionPending() {
		return
	}
	p := newPreemption(c, u)
	for range u.taskNumbers {
		if !p.addTask() {
			return
		}
	}
	c.plan.Preemptions = p.leases
}

// mayPreempt reports whether the unit's row is configured to preempt and the unit was
// displaced by a drain whose preflight check found too few resources elsewhere.
func (c *cycle) mayPreempt(u unit) bool {
	if c.store.Limits.Cell(u.job.Spec.Row, limits.ColumnOnOutage) != limits.OnOutagePreempt {
		return false
	}
	for _, num := range u.taskNumbers {
		drain := c.store.Drains[u.task(num).DisplacedBy]
		if drain != nil && drain.PreflightDone && !drain.Fits {
			return true
		}
	}
	return false
}

// preemptionPending reports whether a preempted lease is still open.
func (c *cycle) preemptionPending() bool {
	for _, lease := range c.store.Leases {
		if lease.RevokeReason == state.RevokePreempted {
			return true
		}
	}
	return false
}

// preemption collects the leases to preempt for one unit.
type preemption struct {
	cycle *cycle
	step  *job.Step
	price int64
	// free is what each runner would have free after the chosen preemptions and with the
	// unit's tasks considered so far placed.
	free   map[identifier.Runner]job.Demand
	chosen map[identifier.LeaseID]bool
	leases []identifier.LeaseID
}

func newPreemption(c *cycle, u unit) *preemption {
	p := &preemption{
		cycle:  c,
		step:   u.spec(),
		price:  c.price(u.job),
		free:   map[identifier.Runner]job.Demand{},
		chosen: map[identifier.LeaseID]bool{},
	}
	for _, n := range c.nodes {
		p.free[n.runner.Name] = n.free
	}
	return p
}

// addTask adds the preemptions for one more task of the unit, on the node where they cost
// least. It reports whether there is such a node.
func (p *preemption) addTask() bool {
	var best *node
	var bestVictims []victim
	var bestCost int64
	for _, n := range p.cycle.nodes {
		if !feasibility.HasLabels(n.runner.Labels, p.step.Labels) {
			continue
		}
		victims, ok := p.cheapestVictims(n)
		if !ok {
			continue
		}
		if cost := totalCost(victims); best == nil || cost < bestCost {
			best = n
			bestVictims = victims
			bestCost = cost
		}
	}
	if best == nil {
		return false
	}
	for _, v := range bestVictims {
		p.choose(v)
	}
	p.free[best.runner.Name] = p.free[best.runner.Name].Minus(p.step.Demand)
	return true
}

func (p *preemption) choose(v victim) {
	for _, id := range v.leases {
		lease := p.cycle.store.Leases[id]
		p.chosen[id] = true
		p.leases = append(p.leases, id)
		p.free[lease.Runner] = p.free[lease.Runner].Plus(lease.Demand)
	}
}

// victim is a set of leases that are preempted together: a single lease, or all leases of
// a gang.
type victim struct {
	leases []identifier.LeaseID
	price  int64
	// gain is what the preemption frees on the node under consideration.
	gain job.Demand
	// cost is the share of the cluster's capacity that the leases hold.
	cost int64
}

func totalCost(victims []victim) int64 {
	var cost int64
	for _, v := range victims {
		cost += v.cost
	}
	return cost
}

// cheapestVictims adds victims on a node in ascending order of price until a task fits,
// and then drops each one that turns out not to be needed.
func (p *preemption) cheapestVictims(n *node) (victims []victim, ok bool) {
	free := p.free[n.runner.Name]
	demand := p.step.Demand
	if demand.Fits(free) {
		return nil, true
	}
	for _, v := range p.possibleVictims(n) {
		if demand.Fits(free) {
			break
		}
		free = free.Plus(v.gain)
		victims = append(victims, v)
	}
	if !demand.Fits(free) {
		return nil, false
	}
	needed := victims[:0]
	for _, v := range victims {
		if without := free.Minus(v.gain); demand.Fits(without) {
			free = without
			continue
		}
		needed = append(needed, v)
	}
	return needed, true
}

// possibleVictims lists the victims on a node in ascending order of price and cost.
func (p *preemption) possibleVictims(n *node) []victim {
	var victims []victim
	seen := map[identifier.LeaseID]bool{}
	for _, id := range n.runner.LeaseIDs() {
		lease := p.cycle.store.Leases[id]
		if lease.RevokeReason != "" || p.chosen[id] || seen[id] {
			continue
		}
		if p.cycle.price(p.cycle.store.Jobs[lease.Task.Job]) >= p.price {
			continue
		}
		v := p.newVictim(lease)
		for _, id := range v.leases {
			seen[id] = true
		}
		victims = append(victims, v)
	}
	slices.SortStableFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.cost, b.cost))
	})
	return victims
}

// newVictim returns a victim made of the lease and, for a gang, of all leases of the gang.
func (p *preemption) newVictim(lease *state.Lease) victim {
	j := p.cycle.store.Jobs[lease.Task.Job]
	gang := j.Spec.Steps[lease.Task.Step].Gang
	v := victim{price: p.cycle.price(j)}
	for _, task := range j.Steps[lease.Task.Step] {
		member := p.cycle.store.Leases[task.Lease]
		if member == nil || member.ID != lease.ID && !gang {
			continue
		}
		v.leases = append(v.leases, member.ID)
		v.cost += member.Demand.Share(p.cycle.capacity) + 1
		if member.Runner == lease.Runner {
			v.gain = v.gain.Plus(member.Demand)
		}
	}
	return v
}
