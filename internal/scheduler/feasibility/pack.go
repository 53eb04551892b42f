// Package feasibility answers one question for preflight and for placement: do these
// lumps of work, gangs whole, go into these bins. It is first fit by falling
// size, which never says yes wrongly; what it leaves over is the shortage.
package feasibility

import (
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// Node is a runner's headroom.
type Node struct {
	Name   identifier.Runner
	Free   job.Demand
	Labels []identifier.Label
}

// Unit is one task, or a gang of Count like tasks that go in whole or not.
type Unit struct {
	Demand job.Demand
	Labels []identifier.Label
	Count  int
}

// HasLabels tells whether have, which is sorted or not, covers need.
func HasLabels(have, need []identifier.Label) bool {
	for _, n := range need {
		found := false
		for _, h := range have {
			found = found || h == n
		}
		if !found {
			return false
		}
	}
	return true
}

// Pack packs the lumps and returns the demand that found no room.
func Pack(lumps []Unit, bins []Node) (ok bool, short job.Demand) {
	room := append([]Node(nil), bins...)
	order := append([]Unit(nil), lumps...)
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if a.Demand.Cores != b.Demand.Cores {
			return a.Demand.Cores > b.Demand.Cores
		}
		return a.Demand.Mem > b.Demand.Mem
	})
	for _, l := range order {
		at, whole := Assign(l, room)
		if !whole {
			for i := 0; i < l.Count; i++ {
				short = short.Plus(l.Demand)
			}
			continue
		}
		for _, i := range at {
			room[i].Free = room[i].Free.Minus(l.Demand)
		}
	}
	return short == job.Demand{}, short
}

// Assign finds a bin for each member of one lump.
func Assign(l Unit, bins []Node) (at []int, whole bool) {
	for i := range bins {
		if !HasLabels(bins[i].Labels, l.Labels) {
			continue
		}
		room := bins[i].Free
		for len(at) < l.Count && l.Demand.Fits(room) {
			room = room.Minus(l.Demand)
			at = append(at, i)
		}
	}
	return at, len(at) == l.Count
}
