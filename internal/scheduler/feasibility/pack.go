// Package feasibility answers one question: do these units of work, gangs complete, fit
// on these nodes? The preflight check of a drain asks it for what the drain displaces.
// The input is units and nodes with their free resources; the output is whether all fit,
// and the demand of those that don't. It is first fit by falling size, which may find no
// place where a cleverer packing would, and never says yes wrongly.
package feasibility

import (
	"cmp"
	"slices"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// Node is a runner with its free resources.
type Node struct {
	Name   identifier.Runner
	Free   job.Demand
	Labels []identifier.Label
}

// Unit is one task, or a gang of Count like tasks that are placed together or not at all.
type Unit struct {
	// Demand is that of each task.
	Demand job.Demand
	Labels []identifier.Label
	Count  int
}

// HasLabels tells whether have, in any order, has all of need.
func HasLabels(have, need []identifier.Label) bool {
	for _, label := range need {
		if !slices.Contains(have, label) {
			return false
		}
	}
	return true
}

// Pack tells whether all units fit on the nodes, and the demand of those that don't.
func Pack(units []Unit, nodes []Node) (ok bool, shortage job.Demand) {
	left := slices.Clone(nodes)
	ordered := slices.Clone(units)
	slices.SortStableFunc(ordered, compareSize)
	for _, unit := range ordered {
		assigned, fits := Assign(unit, left)
		if !fits {
			for range unit.Count {
				shortage = shortage.Plus(unit.Demand)
			}
			continue
		}
		for _, i := range assigned {
			left[i].Free = left[i].Free.Minus(unit.Demand)
		}
	}
	return shortage == job.Demand{}, shortage
}

// compareSize puts the larger unit first.
func compareSize(a, b Unit) int {
	return cmp.Or(
		cmp.Compare(b.Demand.Cores, a.Demand.Cores),
		cmp.Compare(b.Demand.Mem, a.Demand.Mem),
	)
}

// Assign returns the position of a node for each task of one unit. When fits is false
// there are fewer of them than tasks.
func Assign(unit Unit, nodes []Node) (assigned []int, fits bool) {
	for i := range nodes {
		if !HasLabels(nodes[i].Labels, unit.Labels) {
			continue
		}
		free := nodes[i].Free
		for len(assigned) < unit.Count && unit.Demand.Fits(free) {
			free = free.Minus(unit.Demand)
			assigned = append(assigned, i)
		}
	}
	return assigned, len(assigned) == unit.Count
}
