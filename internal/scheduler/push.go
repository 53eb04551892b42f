// Pushing: displaced work of a class that may push, when preflight said there
// was not room enough, takes the least of strictly cheaper work out of the
// way, and none at all if it would still not fit.

package scheduler

import (
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/limits"
	"orchidward/internal/scheduler/feasibility"
	"orchidward/internal/state"
)

// unit is what leaves together: one grant, or all of a gang's.
type unit struct {
	ids   []identifier.LeaseID
	price int64
	gain  job.Demand
	cost  int64
}

func (r *round) price(j *state.Job) int64 {
	return r.b.Limits.Int(j.Spec.Row, limits.ColumnWeight)*1001 + j.Spec.Urgency
}

// mayPush tells whether the lump was displaced by a closing whose preflight
// came out false, and its row pushes.
func (r *round) mayPush(l *lump) bool {
	if r.b.Limits.Cell(l.j.Spec.Row, limits.ColumnOnOutage) != limits.OnOutagePreempt {
		return false
	}
	for _, n := range l.nums {
		if c := r.b.Drains[l.j.Steps[l.step][n].DisplacedBy]; c != nil && c.PreflightDone && !c.Fits {
			return true
		}
	}
	return false
}

func (r *round) push(l *lump) {
	if len(r.out.Preemptions) > 0 || !r.mayPush(l) {
		return
	}
	for _, g := range r.b.Leases {
		if g.RevokeReason == state.RevokePreempted {
			return
		}
	}
	st := l.j.Spec.Steps[l.step]
	room, gone := map[identifier.Runner]job.Demand{}, map[identifier.LeaseID]bool{}
	for _, n := range r.bins {
		room[n.r.Name] = n.room
	}
	var out []identifier.LeaseID
	for range l.nums {
		var pick *bin
		var leave []unit
		low := int64(-1)
		for _, n := range r.bins {
			if !feasibility.HasLabels(n.r.Labels, st.Labels) {
				continue
			}
			units, cost, ok := r.least(n, st.Demand, room[n.r.Name], r.price(l.j), gone)
			if ok && (low < 0 || cost < low) {
				pick, leave, low = n, units, cost
			}
		}
		if pick == nil {
			return
		}
		for _, u := range leave {
			for _, id := range u.ids {
				g := r.b.Leases[id]
				gone[id] = true
				out = append(out, id)
				room[g.Runner] = room[g.Runner].Plus(g.Demand)
			}
		}
		room[pick.r.Name] = room[pick.r.Name].Minus(st.Demand)
	}
	r.out.Preemptions = out
}

// least finds the cheapest units whose leaving makes room on one runner, and
// then spares each one that turns out not to be needed.
func (r *round) least(n *bin, want, room job.Demand, price int64, gone map[identifier.LeaseID]bool) (out []unit, cost int64, ok bool) {
	if want.Fits(room) {
		return nil, 0, true
	}
	list := r.units(n, price, gone)
	for _, u := range list {
		if want.Fits(room) {
			break
		}
		room = room.Plus(u.gain)
		out = append(out, u)
	}
	if !want.Fits(room) {
		return nil, 0, false
	}
	for i := 0; i < len(out); {
		if less := room.Minus(out[i].gain); want.Fits(less) {
			room = less
			out = append(out[:i], out[i+1:]...)
			continue
		}
		i++
	}
	for _, u := range out {
		cost += u.cost
	}
	return out, cost, true
}

func (r *round) units(n *bin, price int64, gone map[identifier.LeaseID]bool) []unit {
	var list []unit
	seen := map[identifier.LeaseID]bool{}
	for _, id := range n.r.LeaseIDs() {
		g := r.b.Leases[id]
		j := r.b.Jobs[g.Task.Job]
		if g.RevokeReason != "" || gone[id] || seen[id] || r.price(j) >= price {
			continue
		}
		u := unit{price: r.price(j)}
		for _, t := range j.Steps[g.Task.Step] {
			p := r.b.Leases[t.Lease]
			if p == nil || p.ID != id && !j.Spec.Steps[g.Task.Step].Gang {
				continue
			}
			seen[p.ID] = true
			u.ids = append(u.ids, p.ID)
			u.cost += p.Demand.Share(r.total) + 1
			if p.Runner == g.Runner {
				u.gain = u.gain.Plus(p.Demand)
			}
		}
		list = append(list, u)
	}
	sort.SliceStable(list, func(i, k int) bool {
		if list[i].price != list[k].price {
			return list[i].price < list[k].price
		}
		return list[i].cost < list[k].cost
	})
	return list
}
