package scheduler

import (
	"cmp"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/scheduler/feasibility"
	"orchidward/internal/state"
)

// scheduleDisplaced places displaced jobs of rows in descending order of price, so that
// resources reserved for cheap work don't block more expensive work.
func (c *cycle) scheduleDisplaced() {
	jobs := c.store.DisplacedJobs()
	slices.SortStableFunc(jobs, func(a, b *state.Job) int { return cmp.Compare(c.price(b), c.price(a)) })
	for _, j := range jobs {
		if j.StartAt <= c.store.Now && j.Terms == nil {
			c.tryJob(j, c.tryRowUnit)
		}
	}
}

// rowCursor iterates over the pending jobs of one row.
type rowCursor struct {
	row    identifier.Row
	jobs   *state.PendingIterator
	seen   int
	misses int
}

// scheduleRows places the jobs of rows by weighted fair sharing: it repeatedly takes the
// next job of the row with the lowest usage relative to its weight, until nothing more
// fits.
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

// leastServed returns the index of the row with the lowest usage relative to its weight.
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

// tryRowUnit tries to place a unit of a row's job. If the unit is displaced work and does
// not fit, tryRowUnit may plan preemptions for it.
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

// takeNodes allocates resources on a node for every task of the unit. If the unit does not
// fit, it allocates nothing and returns nil.
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

// reserveForRow returns the reason why a unit that does not fit is pending. If the unit
// would fit once resources become free, and no other unit of a row has a reservation, it
// reserves resources for the unit.
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
