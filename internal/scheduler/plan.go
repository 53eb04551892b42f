// One round of planning. Displaced work bids first; then the row with the
// least share in use for its weight bids again and again until nothing more
// fits or the round is full.

package scheduler

import (
	"fmt"
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/limits"
	"orchidward/internal/scheduler/feasibility"
	"orchidward/internal/scheduler/policy"
	"orchidward/internal/state"
)

const (
	mostPuts  = 128
	mostMiss  = 64
	mostWalks = 600
	mostWhys  = 500
)

// Plan is what a round found: placements, grants to push out, and the reason
// why each step it looked at still waits.
type Plan struct {
	Placements  []state.Placement
	Preemptions []identifier.LeaseID
	Reasons     map[identifier.JobKey]map[int]string
	// PolicyResults tells how the rows' policies fared.
	Policies PolicyResults
}

type round struct {
	b     *state.Store
	bins  []*bin
	total job.Demand
	use   map[identifier.Row]job.Demand
	kept  bool
	done  map[identifier.TaskRef]bool
	dull  map[shape]string
	tasks int
	shelf *policy.Cache
	// scores counts the scorings by policies.
	scores int
	out    Plan
	// pools are the bins of each pool of the catalogue; bins those of none.
	pools map[string][]*bin
}

// lump is what is placed at once: a gang, or one task.
type lump struct {
	j    *state.Job
	step int
	nums []int
}

// shape is what makes lumps alike: where one found no room, none will.
type shape struct {
	demand job.Demand
	labels string
	count  int
}

type bid struct {
	row  identifier.Row
	walk *state.PendingIterator
	miss int
	seen int
}

// RunnerView is what a leader knows of runners beyond the book: whether one may be
// given work now, and how fast work goes there, in thousandths of the usual.
type RunnerView struct {
	Fresh func(r identifier.Runner) bool
	Pace  func(r identifier.Runner) int64
}

// Round is Schedule for runners that all work at the usual pace.
func Round(b *state.Store, fresh func(r identifier.Runner) bool, shelf *policy.Cache) Plan {
	return Schedule(b, RunnerView{Fresh: fresh, Pace: func(identifier.Runner) int64 { return 1000 }}, shelf)
}

// Schedule plans placements and preemptions from the state as it is and does
// not change it. The plan is a proposal: the state machine checks every
// placement again.
func Schedule(b *state.Store, v RunnerView, shelf *policy.Cache) Plan {
	if !b.HasPending() {
		return Plan{Reasons: map[identifier.JobKey]map[int]string{}, Policies: PolicyResults{}}
	}
	bins, pools := sortOut(take(b, v.Fresh))
	for _, list := range pools {
		for _, n := range list {
			n.pace = v.Pace(n.r.Name)
		}
	}
	r := &round{b: b, shelf: shelf, bins: bins, pools: pools, total: b.TotalCapacity(), use: map[identifier.Row]job.Demand{}, dull: map[shape]string{}, done: map[identifier.TaskRef]bool{}}
	r.out.Reasons, r.out.Policies = map[identifier.JobKey]map[int]string{}, PolicyResults{}
	for _, row := range b.Limits.RowNames() {
		r.use[row] = b.InUse(row)
	}
	r.queues()
	for _, j := range r.displaced() {
		if j.StartAt <= b.Now && j.Terms == nil {
			r.job(j)
		}
	}
	r.rows()
	return r.out
}

// displaced lists the jobs with displaced work, the dearest first: room kept for
// cheap work must not keep dear work out.
func (r *round) displaced() []*state.Job {
	list := r.b.DisplacedJobs()
	sort.SliceStable(list, func(i, j int) bool { return r.price(list[i]) > r.price(list[j]) })
	return list
}

func (r *round) rows() {
	bids := []*bid{}
	for _, row := range r.b.Limits.RowNames() {
		if r.b.Backlog(row) > 0 {
			bids = append(bids, &bid{row: row, walk: r.b.PendingJobs(row)})
		}
	}
	for len(bids) > 0 && r.tasks < mostPuts {
		at := r.lowest(bids)
		one := bids[at]
		j := one.walk.Next()
		if one.seen++; j == nil || one.miss > mostMiss || one.seen > mostWalks {
			bids = append(bids[:at], bids[at+1:]...)
			continue
		}
		if put, fresh := r.job(j); !put && fresh {
			one.miss++
		}
	}
}

// lowest finds the row whose share in use is least for its weight.
func (r *round) lowest(bids []*bid) int {
	var at int
	low := int64(0)
	for i, one := range bids {
		share := r.use[one.row].Share(r.total) * 1000 / r.b.Limits.Int(one.row, limits.ColumnWeight)
		if i == 0 || share < low {
			at, low = i, share
		}
	}
	return at
}

// job tries every ready step of one job. fresh is false when all that kept it
// waiting was a shape already known not to fit.
func (r *round) job(j *state.Job) (put, fresh bool) {
	for i, st := range j.Spec.Steps {
		if !j.Ready(i) {
			continue
		}
		if st.Gang {
			p, f := r.try(&lump{j, i, j.WaitingTasks(i)})
			put, fresh = put || p, fresh || f
			continue
		}
		for _, n := range j.WaitingTasks(i) {
			p, f := r.try(&lump{j, i, []int{n}})
			put, fresh = put || p, fresh || f
			if !p || r.tasks >= mostPuts {
				break
			}
		}
	}
	return put, fresh
}

func (r *round) try(l *lump) (put, fresh bool) {
	first := identifier.TaskRef{Job: l.j.Key, Step: l.step, Num: l.nums[0]}
	if r.done[first] {
		return true, true
	}
	row, st := l.j.Spec.Row, l.j.Spec.Steps[l.step]
	want := r.use[row]
	for range l.nums {
		want = want.Plus(st.Demand)
	}
	limit := job.Demand{Cores: r.b.Limits.Int(row, limits.ColumnMaxCores), Mem: r.b.Limits.Int(row, limits.ColumnMaxMem)}
	if !want.WithinLimit(limit) {
		r.why(l, "row "+string(row)+" is at its limit of room in use")
		return false, true
	}
	like := shape{st.Demand, "", len(l.nums)}
	for _, one := range st.Labels {
		like.labels += string(one) + " "
	}
	if why, known := r.dull[like]; known {
		r.why(l, why)
		r.push(l)
		return false, false
	}
	on := r.find(l)
	if on == nil {
		why := r.blocked(l)
		r.dull[like] = why
		r.why(l, why)
		r.push(l)
		return false, true
	}
	p := state.Placement{Job: l.j.Key, Step: l.step, Tasks: l.nums}
	for _, n := range on {
		p.Runners = append(p.Runners, n.r.Name)
	}
	r.use[row] = want
	r.tasks += len(l.nums)
	r.done[first] = true
	r.out.Placements = append(r.out.Placements, p)
	return true, true
}

// find takes a bin for every member, or for none.
func (r *round) find(l *lump) []*bin {
	var on []*bin
	st := l.j.Spec.Steps[l.step]
	for _, n := range l.nums {
		t := l.j.Steps[l.step][n]
		pick := r.pick(l, st, t)
		if pick == nil {
			for _, b := range on {
				b.room = b.room.Plus(st.Demand)
			}
			return nil
		}
		pick.room = pick.room.Minus(st.Demand)
		on = append(on, pick)
	}
	return on
}

func (r *round) why(l *lump, text string) {
	if len(r.out.Reasons) >= mostWhys {
		return
	}
	m := r.out.Reasons[l.j.Key]
	if m == nil {
		m = map[int]string{}
		r.out.Reasons[l.j.Key] = m
	}
	m[l.step] = text
}

// blocked says why the lump waits and, if it is the first that only lacks
// free room, keeps room for it: on the kept runners others may use only what
// the lump will not need.
func (r *round) blocked(l *lump) string {
	st := l.j.Spec.Steps[l.step]
	label := false
	whole := []*bin{}
	for _, n := range r.bins {
		if feasibility.HasLabels(n.r.Labels, st.Labels) {
			label = true
			whole = append(whole, n)
		}
	}
	if !label {
		return fmt.Sprintf("no runner in reach has labels %v", st.Labels)
	}
	sort.SliceStable(whole, func(i, j int) bool { return whole[i].room.Cores > whole[j].room.Cores })
	kept := []*bin{}
	for _, n := range whole {
		room := n.r.Capacity
		for len(kept) < len(l.nums) && st.Demand.Fits(room) {
			room = room.Minus(st.Demand)
			kept = append(kept, n)
		}
	}
	if len(kept) < len(l.nums) {
		return "larger than the runners in reach could hold"
	}
	if !r.kept {
		r.kept = true
		for _, n := range kept {
			n.keep = n.keep.Plus(st.Demand)
		}
		return "waits for room, which is being kept for it"
	}
	return "waits for room"
}
