package scheduler

import (
	"cmp"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/scheduler/feasibility"
	"orchidward/internal/state"
)

// scheduleDisplaced places displaced jobs of rows, the highest price first: resources
// reserved for cheap work must not keep work of a higher price out.
func (c *cycle) scheduleDisplaced() {
	jobs := c.store.DisplacedJobs()
	slices.SortStableFunc(jobs, func(a, b *state.Job) int { return cmp.Compare(c.price(b), c.price(a)) })
	for _, j := range jobs {
		if j.StartAt <= c.store.Now && j.Terms == nil {
			c.tryJob(j, c.tryRowUnit)
		}
	}
}

// rowCursor goes through the pending jobs of one row.
type rowCursor struct {
	row    identifier.Row
	jobs   *state.PendingIterator
	seen   int
	misses int
}

// scheduleRows places the jobs of rows: again and again the next job of the row whose
// share in use is the least for its weight, until nothing more fits.
func (c *cycle) scheduleRows() {
	var cursors []*rowCursor
	for _, row := range c.store.Limits.RowNames() {
		if c.store.Backlog(row) > 0 {
			cursors = append(cursors, &rowCursor{row: row, jobs: c.store.PendingJobs(row)})
		}
	}
	for len(cursors) > 0 && !c.full() {
		i := c.leastServed(cursors)
		cursor := cursors[i]
		j := cursor.jobs.Next()
		cursor.seen++
		if j == nil || cursor.misses > maxMisses || cursor.seen > maxJobsSeen {
			cursors = slices.Delete(cursors, i, i+1)
			continue
		}
		if result := c.tryJob(j, c.tryRowUnit); !result.placed && result.newShape {
			cursor.misses++
		}
	}
}

// leastServed returns the position of the row whose share in use is the least for its
// weight.
func (c *cycle) leastServed(cursors []*rowCursor) int {
	least := 0
	var leastShare int64
	for i, cursor := range cursors {
		weight := c.store.Limits.Int(cursor.row, limits.ColumnWeight)
		share := c.rowUse[cursor.row].Share(c.capacity) * 1000 / weight
		if i == 0 || share < leastShare {
			least = i
			leastShare = share
		}
	}
	return least
}

// tryRowUnit tries to place a unit of a row's job. For displaced work that does not fit
// it may plan preemptions.
func (c *cycle) tryRowUnit(u unit) placementResult {
	if c.placed[u.firstTask()] {
		return placementResult{placed: true, newShape: true}
	}
	row := u.job.Spec.Row
	use := c.rowUse[row].Plus(u.demand())
	if !use.WithinLimit(c.store.RowLimit(row)) {
		c.plan.Reasons.add(u, reasonRowLimit(row))
		return placementResult{newShape: true}
	}
	shape := rowShape(u)
	if reason, known := c.unplaceable[shape]; known {
		c.plan.Reasons.add(u, reason)
		c.preemptFor(u)
		return placementResult{}
	}
	nodes := c.takeNodes(u)
	if nodes == nil {
		reason := c.reserveForRow(u)
		c.unplaceable[shape] = reason
		c.plan.Reasons.add(u, reason)
		c.preemptFor(u)
		return placementResult{newShape: true}
	}
	c.place(u, nodes)
	c.rowUse[row] = use
	c.placed[u.firstTask()] = true
	return placementResult{placed: true, newShape: true}
}

func rowShape(u unit) unitShape {
	shape := unitShape{demand: u.spec().Demand, count: len(u.taskNumbers)}
	for _, label := range u.spec().Labels {
		shape.constraints += string(label) + " "
	}
	return shape
}

// takeNodes takes resources of a node for every task of the unit, or of none; nil is
// returned when the unit does not fit.
func (c *cycle) takeNodes(u unit) []*node {
	var taken []*node
	step := u.spec()
	for _, num := range u.taskNumbers {
		n := c.pickNode(u, u.task(num))
		if n == nil {
			for _, t := range taken {
				t.free = t.free.Plus(step.Demand)
			}
			return nil
		}
		n.free = n.free.Minus(step.Demand)
		taken = append(taken, n)
	}
	return taken
}

// reserveForRow returns the reason why a unit that does not fit waits. For the first one
// that only lacks free resources it reserves them.
func (c *cycle) reserveForRow(u unit) string {
	var eligible []*node
	for _, n := range c.nodes {
		if feasibility.HasLabels(n.runner.Labels, u.spec().Labels) {
			eligible = append(eligible, n)
		}
	}
	if len(eligible) == 0 {
		return reasonNoLabels(u.spec().Labels)
	}
	sortBySize(eligible, func(n *node) int64 { return n.free.Cores })
	nodes := reservableNodes(u, eligible, 0)
	if nodes == nil {
		return reasonTooLarge
	}
	if c.rowReserved {
		return reasonWaits
	}
	c.rowReserved = true
	reserve(u, nodes)
	return reasonWaitsReserved
}
