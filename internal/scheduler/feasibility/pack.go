// Package feasibility answers one question for preflight and for placement: do these
// lumps of work, gangs whole, go into these bins. It is first fit by falling
// size, which never says yes wrongly; what it leaves over is the shortage.
package feasibility

import (
	"sort"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// Bin is a runner's headroom.
type Bin struct {
	Name   identifier.Runner
	Room   job.Demand
	Labels []identifier.Label
}

// Lump is one task, or a gang of Count like tasks that go in whole or not.
type Lump struct {
	Demand job.Demand
	Labels []identifier.Label
	Count  int
}

// Has tells whether have, which is sorted or not, covers need.
func Has(have, need []identifier.Label) bool {
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

// Fits packs the lumps and returns the demand that found no room.
func Fits(lumps []Lump, bins []Bin) (ok bool, short job.Demand) {
	room := append([]Bin(nil), bins...)
	order := append([]Lump(nil), lumps...)
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if a.Demand.Cores != b.Demand.Cores {
			return a.Demand.Cores > b.Demand.Cores
		}
		return a.Demand.Mem > b.Demand.Mem
	})
	for _, l := range order {
		at, whole := Spread(l, room)
		if !whole {
			for i := 0; i < l.Count; i++ {
				short = short.Plus(l.Demand)
			}
			continue
		}
		for _, i := range at {
			room[i].Room = room[i].Room.Minus(l.Demand)
		}
	}
	return short == job.Demand{}, short
}

// Spread finds a bin for each member of one lump.
func Spread(l Lump, bins []Bin) (at []int, whole bool) {
	for i := range bins {
		if !Has(bins[i].Labels, l.Labels) {
			continue
		}
		room := bins[i].Room
		for len(at) < l.Count && l.Demand.Fits(room) {
			room = room.Minus(l.Demand)
			at = append(at, i)
		}
	}
	return at, len(at) == l.Count
}
