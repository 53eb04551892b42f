// Work for the queues of the catalogue. What can still be done in time bids
// first, then what is late, then what is too late to earn anything; in each of
// them by rank, and within a rank by when it is due. Gangs
// go whole, in one rack where they want that and one has room. The first that
// only lacks room has it kept.

package scheduler

import (
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/scheduler/feasibility"
	"orchidward/internal/state"
)

// lateFactor is how many times its aim a job may take and still be worth
// something.
const lateFactor = 3

// slowPace is the pace, in thousandths, under which a runner comes last.
const slowPace = 400

func sortOut(all []*bin) (bins []*bin, pools map[string][]*bin) {
	pools = map[string][]*bin{}
	for _, n := range all {
		if n.r.Pool == "" {
			bins = append(bins, n)
			continue
		}
		pools[n.r.Pool] = append(pools[n.r.Pool], n)
	}
	return bins, pools
}

// queues places the work of all queues, the hopeless last.
func (r *round) queues() {
	kept := map[string]bool{}
	for want := inTime; want <= hopeless; want++ {
		miss, seen := 0, 0
		r.b.EachQueueJob(func(j *state.Job) bool {
			if hope(j, r.b.Now) != want {
				return true
			}
			if put, fresh := r.queued(j, kept); !put && fresh {
				miss++
			}
			seen++
			return r.tasks < mostPuts && miss <= mostMiss && seen <= mostWalks
		})
	}
}

// What is left of a job's worth: all of it, some, none.
const (
	inTime = iota
	late
	hopeless
)

// hope tells what a job may yet earn if its work goes on now.
func hope(j *state.Job, now clock.ClusterTime) int {
	end := now.Add(j.RemainingCriticalPath())
	switch {
	case end <= j.Terms.DueAt:
		return inTime
	case end <= j.Terms.DueAt.Add((lateFactor-1)*j.Terms.Target):
		return late
	}
	return hopeless
}

// queued tries every ready step of one job.
func (r *round) queued(j *state.Job, kept map[string]bool) (put, fresh bool) {
	bins := r.pools[j.Terms.Pool]
	for i, st := range j.Spec.Steps {
		if !j.Ready(i) {
			continue
		}
		if st.Gang {
			p, f := r.tryQueued(&lump{j, i, j.WaitingTasks(i)}, bins, kept)
			put, fresh = put || p, fresh || f
			continue
		}
		for _, n := range j.WaitingTasks(i) {
			p, f := r.tryQueued(&lump{j, i, []int{n}}, bins, kept)
			put, fresh = put || p, fresh || f
			if !p || r.tasks >= mostPuts {
				break
			}
		}
	}
	return put, fresh
}

func (r *round) tryQueued(l *lump, bins []*bin, kept map[string]bool) (put, fresh bool) {
	st := l.j.Spec.Steps[l.step]
	like := shape{st.Demand, l.j.Terms.Pool + "/" + string(st.PreferredRack), len(l.nums)}
	for _, one := range st.Labels {
		like.labels += " " + string(one)
	}
	if st.MaxPerRunner > 0 {
		like.labels += " apart " + string(l.j.Key)
	}
	if why, known := r.dull[like]; known {
		r.why(l, why)
		return false, false
	}
	on := r.spread(l, st, bins)
	if on == nil {
		why := r.starved(l, st, bins, kept)
		r.dull[like] = why
		r.why(l, why)
		return false, true
	}
	p := state.Placement{Job: l.j.Key, Step: l.step, Tasks: l.nums}
	for _, n := range on {
		n.room = n.room.Minus(st.Demand)
		p.Runners = append(p.Runners, n.r.Name)
	}
	r.tasks += len(l.nums)
	r.out.Placements = append(r.out.Placements, p)
	return true, true
}

// spread finds a bin for every member, or none at all. It takes no room yet.
func (r *round) spread(l *lump, st job.Step, bins []*bin) []*bin {
	if st.Gang && st.OneRack {
		for _, rack := range racks(bins, st.PreferredRack) {
			if on := r.seat(l, st, rack); on != nil {
				return on
			}
		}
	}
	return r.seat(l, st, bins)
}

// racks parts the bins by rack, the one near the data first, then those with
// the least room.
func racks(bins []*bin, near identifier.Rack) [][]*bin {
	var out [][]*bin
	at, room := map[identifier.Rack]int{}, []int64{}
	for _, n := range bins {
		i, ok := at[n.r.Rack]
		if !ok {
			i = len(out)
			at[n.r.Rack] = i
			out, room = append(out, nil), append(room, 0)
		}
		out[i] = append(out[i], n)
		room[i] += n.room.CPU()
		if n.r.Rack == near {
			room[i] = -1 << 40
		}
	}
	order := make([]int, len(out))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, k int) bool { return room[order[i]] < room[order[k]] })
	sorted := [][]*bin{}
	for _, i := range order {
		sorted = append(sorted, out[i])
	}
	return sorted
}

// seat gives each member the bin that scores best at that moment.
func (r *round) seat(l *lump, st job.Step, bins []*bin) []*bin {
	var on []*bin
	used, held := map[*bin]job.Demand{}, map[*bin]int64{}
	for _, n := range l.nums {
		shun := l.j.Steps[l.step][n].AvoidRunner
		var pick *bin
		low := int64(0)
		for _, b := range bins {
			open := b.open().Minus(used[b])
			if !st.Demand.Fits(open) || !feasibility.HasLabels(b.r.Labels, st.Labels) || b.trial && b.room != b.r.Free() {
				continue
			}
			if st.MaxPerRunner > 0 && r.b.TasksBeside(l.j, l.step, b.r)+held[b]+r.put(l, b) >= st.MaxPerRunner {
				continue
			}
			s := b.score(st.Demand, shun) + slowness(b.pace)
			if st.PreferredRack != "" && st.PreferredRack != b.r.Rack {
				s += 5000
			}
			if pick == nil || s < low {
				pick, low = b, s
			}
		}
		if pick == nil {
			return nil
		}
		used[pick] = used[pick].Plus(st.Demand)
		held[pick]++
		on = append(on, pick)
	}
	return on
}

// slowness is what a runner's pace adds to its score.
func slowness(pace int64) int64 {
	if pace < slowPace {
		return 20000
	}
	return max(0, 1000-pace)
}

// put counts the tasks of the step that this round has already put on a runner.
func (r *round) put(l *lump, b *bin) int64 {
	var n int64
	for _, p := range r.out.Placements {
		if p.Job != l.j.Key || p.Step != l.step {
			continue
		}
		for _, on := range p.Runners {
			if on == b.r.Name {
				n++
			}
		}
	}
	return n
}

// starved says why the lump waits and, if it is the first of its pool that only
// lacks free room, keeps room for it.
func (r *round) starved(l *lump, st job.Step, bins []*bin, kept map[string]bool) string {
	whole := []*bin{}
	for _, n := range bins {
		if feasibility.HasLabels(n.r.Labels, st.Labels) && !n.trial {
			whole = append(whole, n)
		}
	}
	if len(whole) == 0 {
		return "no runner in reach has what it needs"
	}
	sort.SliceStable(whole, func(i, j int) bool { return whole[i].open().CPU() > whole[j].open().CPU() })
	keep := []*bin{}
	for _, n := range whole {
		room, most := n.r.Capacity, st.MaxPerRunner
		for len(keep) < len(l.nums) && st.Demand.Fits(room) && (st.MaxPerRunner == 0 || most > 0) {
			room = room.Minus(st.Demand)
			keep = append(keep, n)
			most--
		}
	}
	if len(keep) < len(l.nums) {
		return "larger than the runners in reach could hold"
	}
	if kept[l.j.Terms.Pool] {
		return "waits for room"
	}
	kept[l.j.Terms.Pool] = true
	for _, n := range keep {
		n.keep = n.keep.Plus(st.Demand)
	}
	return "waits for room, which is being kept for it"
}
