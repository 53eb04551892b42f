package scheduler

import (
	"math"
	"math/bits"

	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// Without headroom, a burst of long-running, low-priority work would take every free
// resource, and shorter, more urgent work arriving a moment later would wait for it to end,
// because running tasks are never preempted for a job of a queue. Low-priority work therefore
// leaves free the difference between the recent peak usage and the current usage of more
// urgent and much shorter work. No headroom is kept for urgent work that runs about as long:
// resources then become free as fast as that work would use them.

const (
	// usageDecayTime is the time constant of the exponential decay of a usage peak, which
	// falls to about a third within it.
	usageDecayTime clock.Millis = 10000
	// headroomThreshold is the share of a pool, in millionths, that must be in use before
	// headroom is kept. Runners that currently get no work still count towards the pool.
	headroomThreshold = 600_000
	// maxPriorities bounds the number of priorities that usage is tracked for; lower
	// priorities count as the last of them.
	maxPriorities = 8
	// Runs are grouped into length classes: the first holds runs shorter than shortestRun,
	// and each further class covers runs twice as long as the one before. Headroom is kept
	// for work that is at least minClassGap classes shorter.
	lengthClasses              = 12
	shortestRun   clock.Millis = 100
	minClassGap                = 2
)

// usage is the demand in use, cumulated by priority and length class: each entry includes
// all higher priorities and all shorter classes.
type usage [maxPriorities][lengthClasses]job.Demand

func priorityClass(priority int64) int { return int(min(max(priority, 0), maxPriorities-1)) }

func lengthClass(run clock.Millis) int {
	class := bits.Len64(uint64(max(run, 0) / shortestRun))
	return min(class, lengthClasses-1)
}

// accumulate turns the demand of individual classes into cumulative sums.
func (u *usage) accumulate() {
	for priority := range u {
		for length := range u[priority] {
			if length > 0 {
				u[priority][length] = u[priority][length].Plus(u[priority][length-1])
			}
		}
	}
	for priority := 1; priority < maxPriorities; priority++ {
		for length := range u[priority] {
			u[priority][length] = u[priority][length].Plus(u[priority-1][length])
		}
	}
}

// add adds the demand of one class to every entry that includes the class.
func (u *usage) add(priority, length int, demand job.Demand) {
	for p := priority; p < maxPriorities; p++ {
		for l := length; l < lengthClasses; l++ {
			u[p][l] = u[p][l].Plus(demand)
		}
	}
}

// UsageHistory tracks the current usage and a decaying usage peak of each pool. The caller
// keeps it from cycle to cycle. Its size is bounded by the number of pools in the
// catalogue.
type UsageHistory struct {
	current   map[string]*usage
	peaks     map[string]*usage
	updatedAt clock.Monotonic
}

// NewUsageHistory returns an empty history.
func NewUsageHistory() *UsageHistory { return &UsageHistory{peaks: map[string]*usage{}} }

// Update records the current usage, classified by predicted run time, and decays the peaks.
func (h *UsageHistory) Update(store *state.Store, predict RunPredictor, now clock.Monotonic) {
	fade := math.Exp(-float64(now.Since(h.updatedAt)) / float64(usageDecayTime))
	h.updatedAt = now
	h.current = usageByPool(store, predict)
	for pool, peak := range h.peaks {
		peak.each(func(demand *job.Demand, _, _ int) { *demand = scaleDemand(*demand, fade) })
		if h.current[pool] == nil && peak[maxPriorities-1][lengthClasses-1].CPU() == 0 {
			delete(h.peaks, pool)
		}
	}
	for pool, use := range h.current {
		peak := h.peaks[pool]
		if peak == nil {
			peak = &usage{}
			h.peaks[pool] = peak
		}
		peak.each(func(demand *job.Demand, p, l int) { *demand = maxDemand(*demand, use[p][l]) })
	}
}

// each calls visit for every entry.
func (u *usage) each(visit func(demand *job.Demand, priority, length int)) {
	for priority := range u {
		for length := range u[priority] {
			visit(&u[priority][length], priority, length)
		}
	}
}

// usageByPool returns the usage of each pool by the open leases of queue jobs.
func usageByPool(store *state.Store, predict RunPredictor) map[string]*usage {
	pools := map[string]*usage{}
	for _, lease := range store.Leases {
		terms := store.Jobs[lease.Task.Job].Terms
		if terms == nil {
			continue
		}
		use := pools[terms.Pool]
		if use == nil {
			use = &usage{}
			pools[terms.Pool] = use
		}
		length := lengthClass(predict(terms.Queue, lease.ExpectedRun).Run)
		class := &use[priorityClass(terms.Priority)][length]
		*class = class.Plus(lease.Demand)
	}
	for _, use := range pools {
		use.accumulate()
	}
	return pools
}

func scaleDemand(demand job.Demand, factor float64) job.Demand {
	return job.Demand{
		MilliCores: int64(float64(demand.CPU()) * factor),
		Mem:        int64(float64(demand.Mem) * factor),
		GPUs:       int64(float64(demand.GPUs) * factor),
	}
}

func maxDemand(a, b job.Demand) job.Demand {
	return job.Demand{
		MilliCores: max(a.CPU(), b.CPU()),
		Mem:        max(a.Mem, b.Mem),
		GPUs:       max(a.GPUs, b.GPUs),
	}
}

// poolResources holds the aggregate resources of a pool: the capacity of its runners that
// are not lost, the free resources of its schedulable runners, and the current and recent
// peak usage.
type poolResources struct {
	capacity job.Demand
	free     job.Demand
	use      usage
	peak     usage
}

// inUse returns the total demand in use.
func (r *poolResources) inUse() job.Demand { return r.use[maxPriorities-1][lengthClasses-1] }

// newPoolResources aggregates the nodes of each pool.
func newPoolResources(store *state.Store, pools map[string][]*node, history *UsageHistory) map[string]*poolResources {
	byPool := map[string]*poolResources{}
	capacity := capacityByPool(store)
	for pool, nodes := range pools {
		resources := &poolResources{capacity: capacity[pool]}
		for _, n := range nodes {
			resources.free = resources.free.Plus(n.free)
		}
		if use := history.current[pool]; use != nil {
			resources.use = *use
		}
		if peak := history.peaks[pool]; peak != nil {
			resources.peak = *peak
		}
		byPool[pool] = resources
	}
	return byPool
}

func capacityByPool(store *state.Store) map[string]job.Demand {
	capacity := map[string]job.Demand{}
	for _, runner := range store.Runners {
		if !runner.Gone {
			capacity[runner.Pool] = capacity[runner.Pool].Plus(runner.Capacity)
		}
	}
	return capacity
}

// leavesHeadroom reports whether placing a unit with the given predicted run time leaves
// enough headroom for more urgent and much shorter work. In a pool below headroomThreshold
// every unit does. Services are exempt: they run whenever there are resources for them.
func (r *poolResources) leavesHeadroom(u unit, run clock.Millis) bool {
	priority := priorityClass(u.job.Terms.Priority) - 1
	length := lengthClass(run) - minClassGap
	if priority < 0 || length < 0 || u.spec().Service || r.inUse().Share(r.capacity) < headroomThreshold {
		return true
	}
	headroom := maxDemand(r.peak[priority][length].Minus(r.use[priority][length]), job.Demand{})
	free := r.free
	for range u.taskNumbers {
		free = free.Minus(u.spec().Demand)
	}
	return headroom.Fits(free)
}

// take accounts for the placement of a unit.
func (r *poolResources) take(u unit, run clock.Millis) {
	for range u.taskNumbers {
		demand := u.spec().Demand
		r.free = r.free.Minus(demand)
		r.use.add(priorityClass(u.job.Terms.Priority), lengthClass(run), demand)
	}
}
