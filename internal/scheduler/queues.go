package scheduler

import (
	"cmp"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/scheduler/feasibility"
	"orchidward/internal/state"
)

// tryQueueUnit tries to place a unit of a queue's job.
func (c *cycle) tryQueueUnit(u unit) placementResult {
	budget := c.tenantBudget(u.job)
	if !budget.withinQuota(u) {
		c.plan.Reasons.add(u, reasonQuota)
		c.plan.AtQuota[u.job.Spec.Tenant] = true
		return placementResult{overQuota: true}
	}
	shape := queueShape(u)
	if reason, known := c.unplaceable[shape]; known {
		c.plan.Reasons.add(u, reason)
		return placementResult{}
	}
	resources := c.resourcesByPool[u.job.Terms.Pool]
	run := c.view.Predict(u.job.Terms.Queue, u.spec().ExpectedRun).Run
	if resources != nil && !resources.leavesHeadroom(u, run) {
		c.unplaceable[shape] = reasonHeadroom
		c.plan.Reasons.add(u, reasonHeadroom)
		return placementResult{newShape: true}
	}
	nodes := c.findQueueNodes(u)
	if nodes == nil {
		reason := c.reserveForQueue(u)
		c.unplaceable[shape] = reason
		c.plan.Reasons.add(u, reason)
		return placementResult{newShape: true}
	}
	if len(nodes) == 1 && c.shouldDefer(u, nodes[0]) {
		c.plan.Reasons.add(u, reasonDeferred)
		return placementResult{deferred: true}
	}
	for _, n := range nodes {
		n.free = n.free.Minus(u.spec().Demand)
	}
	resources.take(u, run)
	budget.take(u)
	c.place(u, nodes)
	return placementResult{placed: true, newShape: true}
}

func queueShape(u unit) unitShape {
	step := u.spec()
	shape := unitShape{demand: step.Demand, count: len(u.taskNumbers)}
	shape.constraints = u.job.Terms.Queue + "/" + u.job.Terms.Pool + "/" + string(step.PreferredRack)
	for _, label := range step.Labels {
		shape.constraints += " " + string(label)
	}
	if step.MaxPerRunner > 0 {
		shape.constraints += " apart " + string(u.job.Key)
	}
	if step.Service {
		shape.constraints += " service"
	}
	return shape
}

// findQueueNodes returns a node for every task of the unit, or nil if the unit does not
// fit. It does not allocate the resources.
func (c *cycle) findQueueNodes(u unit) []*node {
	pool := c.pools[u.job.Terms.Pool]
	step := u.spec()
	if step.Gang && step.OneRack {
		for _, rack := range nodesByRack(pool, step.PreferredRack) {
			if nodes := c.assignNodes(u, rack); nodes != nil {
				return nodes
			}
		}
	}
	return c.assignNodes(u, pool)
}

// rackNodes holds the nodes of one rack.
type rackNodes struct {
	nodes   []*node
	freeCPU int64
	// preferred is set if the rack is near the task's data.
	preferred bool
}

// nodesByRack groups the nodes by rack: the preferred rack first, then the others in
// ascending order of free CPU.
func nodesByRack(nodes []*node, preferred identifier.Rack) [][]*node {
	var racks []*rackNodes
	byName := map[identifier.Rack]*rackNodes{}
	for _, n := range nodes {
		name := n.runner.Rack
		rack := byName[name]
		if rack == nil {
			rack = &rackNodes{preferred: name == preferred}
			byName[name] = rack
			racks = append(racks, rack)
		}
		rack.nodes = append(rack.nodes, n)
		rack.freeCPU += n.free.CPU()
	}
	slices.SortStableFunc(racks, compareRacks)
	var sorted [][]*node
	for _, rack := range racks {
		sorted = append(sorted, rack.nodes)
	}
	return sorted
}

func compareRacks(a, b *rackNodes) int {
	switch {
	case a.preferred && !b.preferred:
		return -1
	case b.preferred && !a.preferred:
		return 1
	}
	return cmp.Compare(a.freeCPU, b.freeCPU)
}

// assignment tracks the tasks of one unit that are tentatively assigned to nodes, before
// the unit is placed.
type assignment struct {
	used  map[*node]job.Demand
	tasks map[*node]int64
}

// assignNodes greedily assigns each task of the unit to the candidate with the best score.
// It returns nil if some task fits on no candidate.
func (c *cycle) assignNodes(u unit, candidates []*node) []*node {
	var assigned []*node
	pending := assignment{used: map[*node]job.Demand{}, tasks: map[*node]int64{}}
	for _, num := range u.taskNumbers {
		n := c.bestQueueNode(u, u.task(num), candidates, pending)
		if n == nil {
			return nil
		}
		pending.used[n] = pending.used[n].Plus(u.spec().Demand)
		pending.tasks[n]++
		assigned = append(assigned, n)
	}
	return assigned
}

func (c *cycle) bestQueueNode(u unit, task *state.Task, candidates []*node, pending assignment) *node {
	step := u.spec()
	var best *node
	var bestScore int64
	for _, n := range candidates {
		if !step.Demand.Fits(n.unreserved().Minus(pending.used[n])) || !n.eligible(step) {
			continue
		}
		if step.MaxPerRunner > 0 && c.tasksOn(u, n)+pending.tasks[n] >= step.MaxPerRunner {
			continue
		}
		score := n.score(step.Demand, task.AvoidRunner, queueTightFitDivisor) + c.expectedRun(step, n)
		if best == nil || score < bestScore {
			best = n
			bestScore = score
		}
	}
	return best
}

// tasksOn returns the number of tasks of the unit's step on a node, counting open leases
// and the placements of this cycle.
func (c *cycle) tasksOn(u unit, n *node) int64 {
	count := c.store.StepTasksOn(u.job, u.step, n.runner)
	for _, placement := range c.plan.Placements {
		if placement.Job != u.job.Key || placement.Step != u.step {
			continue
		}
		for _, name := range placement.Runners {
			if name == n.runner.Name {
				count++
			}
		}
	}
	return count
}

// reserveForQueue returns the reason why a unit that does not fit is pending. If the unit
// would fit once resources become free, and no other unit of its pool has a reservation, it
// reserves resources for the unit.
func (c *cycle) reserveForQueue(u unit) string {
	step := u.spec()
	pool := u.job.Terms.Pool
	var eligible []*node
	for _, n := range c.pools[pool] {
		if feasibility.HasLabels(n.runner.Labels, step.Labels) && !n.onTrial {
			eligible = append(eligible, n)
		}
	}
	if len(eligible) == 0 {
		return reasonNoEligibleRunner
	}
	sortBySize(eligible, func(n *node) int64 { return n.unreserved().CPU() })
	nodes := reservableNodes(u, eligible, step.MaxPerRunner)
	if nodes == nil {
		return reasonTooLarge
	}
	if c.poolReserved[pool] {
		return reasonWaits
	}
	c.poolReserved[pool] = true
	reserve(u, nodes)
	return reasonWaitsReserved
}
