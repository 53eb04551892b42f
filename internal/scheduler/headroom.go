package scheduler

import (
	"math"

	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// Work of a lower priority that runs long would otherwise take every free resource in a
// burst, and more urgent work that comes a moment later would wait for it to end, as nothing
// that runs is preempted for a job of a queue. So less urgent work leaves free what more
// urgent work has lately had in use beyond what it has in use now.

const (
	// usageMemory is the time in which a peak of usage fades to a third.
	usageMemory clock.Millis = 10000
	// headroomFrom is the share of a pool, in millionths, that must be in use before room is
	// left free.
	headroomFrom = 600_000
	// maxPriorities bounds the priorities that usage is kept for; lower ones count as the
	// last.
	maxPriorities = 8
)

// priorityUse is the demand in use of each priority and all above it.
type priorityUse [maxPriorities]job.Demand

func priorityClass(priority int64) int { return int(min(max(priority, 0), maxPriorities-1)) }

// add adds the demand of a job to its priority and all below it.
func (u *priorityUse) add(priority int64, demand job.Demand) {
	for class := priorityClass(priority); class < maxPriorities; class++ {
		u[class] = u[class].Plus(demand)
	}
}

// UsageHistory is what each pool lately had in use, by priority: a peak that fades. Its owner
// keeps it from cycle to cycle. It holds the pools of the catalogue, which are bounded.
type UsageHistory struct {
	current map[string]*priorityUse
	peaks   map[string]*priorityUse
	at      clock.Monotonic
}

// NewUsageHistory returns one that knows nothing.
func NewUsageHistory() *UsageHistory { return &UsageHistory{peaks: map[string]*priorityUse{}} }

// Update takes what is in use now.
func (h *UsageHistory) Update(store *state.Store, now clock.Monotonic) {
	fade := math.Exp(-float64(now.Since(h.at)) / float64(usageMemory))
	h.at = now
	h.current = usageByPool(store)
	for pool, peak := range h.peaks {
		for class := range peak {
			peak[class] = scaled(peak[class], fade)
		}
		if h.current[pool] == nil && peak[maxPriorities-1].CPU() == 0 {
			delete(h.peaks, pool)
		}
	}
	for pool, use := range h.current {
		peak := h.peaks[pool]
		if peak == nil {
			peak = &priorityUse{}
			h.peaks[pool] = peak
		}
		for class := range peak {
			peak[class] = larger(peak[class], use[class])
		}
	}
}

// usageByPool adds up the open leases of queues' jobs.
func usageByPool(store *state.Store) map[string]*priorityUse {
	pools := map[string]*priorityUse{}
	for _, lease := range store.Leases {
		terms := store.Jobs[lease.Task.Job].Terms
		if terms == nil {
			continue
		}
		use := pools[terms.Pool]
		if use == nil {
			use = &priorityUse{}
			pools[terms.Pool] = use
		}
		use.add(terms.Priority, lease.Demand)
	}
	return pools
}

func scaled(demand job.Demand, factor float64) job.Demand {
	return job.Demand{
		MilliCores: int64(float64(demand.CPU()) * factor),
		Mem:        int64(float64(demand.Mem) * factor),
		GPUs:       int64(float64(demand.GPUs) * factor),
	}
}

func larger(a, b job.Demand) job.Demand {
	return job.Demand{
		MilliCores: max(a.CPU(), b.CPU()),
		Mem:        max(a.Mem, b.Mem),
		GPUs:       max(a.GPUs, b.GPUs),
	}
}

// poolRoom is what a cycle knows of a pool's resources in all.
type poolRoom struct {
	capacity job.Demand
	free     job.Demand
	use      priorityUse
	peak     priorityUse
}

// newPoolRooms adds up the nodes of each pool.
func newPoolRooms(pools map[string][]*node, history *UsageHistory) map[string]*poolRoom {
	rooms := map[string]*poolRoom{}
	for pool, nodes := range pools {
		room := &poolRoom{}
		for _, n := range nodes {
			room.capacity = room.capacity.Plus(n.runner.Capacity)
			room.free = room.free.Plus(n.free)
		}
		if use := history.current[pool]; use != nil {
			room.use = *use
		}
		if peak := history.peaks[pool]; peak != nil {
			room.peak = *peak
		}
		rooms[pool] = room
	}
	return rooms
}

// leavesHeadroom reports whether a unit leaves free what more urgent work has lately had in
// use beyond what it has now. In a pool with much free room everything does.
func (r *poolRoom) leavesHeadroom(u unit) bool {
	class := priorityClass(u.job.Terms.Priority)
	if class == 0 || r.capacity.Minus(r.free).Share(r.capacity) < headroomFrom {
		return true
	}
	kept := larger(r.peak[class-1].Minus(r.use[class-1]), job.Demand{})
	free := r.free
	for range u.taskNumbers {
		free = free.Minus(u.spec().Demand)
	}
	return kept.Fits(free)
}

// take notes the placement of a unit.
func (r *poolRoom) take(u unit) {
	for range u.taskNumbers {
		demand := u.spec().Demand
		r.free = r.free.Minus(demand)
		r.use.add(u.job.Terms.Priority, demand)
	}
}
