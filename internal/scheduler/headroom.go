package scheduler

import (
	"math"
	"math/bits"

	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// Work of a lower priority that runs long would otherwise take every free resource in a
// burst, and more urgent short work that comes a moment later would wait for it to end, as
// nothing that runs is preempted for a job of a queue. So it leaves free what more urgent and
// much shorter work has lately had in use beyond what that has in use now. For urgent work
// that runs as long as the other nothing is kept: room is as soon free again as it would be
// used.

const (
	// usageDecayTime is the time in which a peak of usage fades to a third.
	usageDecayTime clock.Millis = 10000
	// headroomThreshold is the share of a pool, in millionths, that must be in use before room is
	// left free. Runners that get no work for the moment belong to the pool as well.
	headroomThreshold = 600_000
	// maxPriorities bounds the priorities that usage is kept for; lower ones count as the
	// last.
	maxPriorities = 8
	// Runs are in classes of length, each twice as long as the one before, the first up to
	// shortestRun; room is kept for those that are muchShorter classes shorter.
	lengthClasses              = 12
	shortestRun   clock.Millis = 100
	minClassGap                = 2
)

// usage is the demand in use by priority and length of run: of each priority and all above
// it, that of each length and all below it.
type usage [maxPriorities][lengthClasses]job.Demand

func priorityClass(priority int64) int { return int(min(max(priority, 0), maxPriorities-1)) }

func lengthClass(run clock.Millis) int {
	class := bits.Len64(uint64(max(run, 0) / shortestRun))
	return min(class, lengthClasses-1)
}

// accumulate turns the demand of single classes into that of all classes up to each.
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

// add adds demand of one class to all that include it.
func (u *usage) add(priority, length int, demand job.Demand) {
	for p := priority; p < maxPriorities; p++ {
		for l := length; l < lengthClasses; l++ {
			u[p][l] = u[p][l].Plus(demand)
		}
	}
}

// UsageHistory is what each pool lately had in use, by priority: a peak that fades. Its owner
// keeps it from cycle to cycle. It holds the pools of the catalogue, which are bounded.
type UsageHistory struct {
	current   map[string]*usage
	peaks     map[string]*usage
	updatedAt clock.Monotonic
}

// NewUsageHistory returns one that knows nothing.
func NewUsageHistory() *UsageHistory { return &UsageHistory{peaks: map[string]*usage{}} }

// Update takes what is in use now, by runs as they are predicted.
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

// each visits the demand of all classes.
func (u *usage) each(visit func(demand *job.Demand, priority, length int)) {
	for priority := range u {
		for length := range u[priority] {
			visit(&u[priority][length], priority, length)
		}
	}
}

// usageByPool adds up the open leases of queues' jobs.
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

// poolResources is what a cycle knows of a pool's resources in all: the capacity of its runners
// that are not lost, what is free on those that may be given work, and what is in use.
type poolResources struct {
	capacity job.Demand
	free     job.Demand
	use      usage
	peak     usage
}

// inUse is all that is in use.
func (r *poolResources) inUse() job.Demand { return r.use[maxPriorities-1][lengthClasses-1] }

// newPoolResources adds up the nodes of each pool.
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

// leavesHeadroom reports whether a unit, whose tasks are predicted to run so long, leaves free
// what more urgent and much shorter work has lately had in use beyond what it has now. In a
// pool with much free room everything does. Services are held back for nobody: they are to
// run whenever there is room for them.
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

// take notes the placement of a unit.
func (r *poolResources) take(u unit, run clock.Millis) {
	for range u.taskNumbers {
		demand := u.spec().Demand
		r.free = r.free.Minus(demand)
		r.use.add(priorityClass(u.job.Terms.Priority), lengthClass(run), demand)
	}
}
