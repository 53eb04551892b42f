// Package feasibility checks whether a set of units of work, with gangs kept whole, fits on
// a set of nodes. The preflight check of a drain uses it for the work that the drain
// displaces. The input is units, and nodes with their free resources; the output is whether
// all units fit, and the demand of those that don't. The algorithm is first-fit decreasing:
// it may fail to find a packing that exists, but never reports one that doesn't.
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

// Unit is a single task, or a gang of Count identical tasks that are placed together or not
// at all.
type Unit struct {
	// Demand is the demand of each task.
	Demand job.Demand
	Labels []identifier.Label
	Count  int
}

// HasLabels reports whether have contains every label of need, in any order.
func HasLabels(have, need []identifier.Label) bool {
	for _, label := range need {
		if !slices.Contains(have, label) {
			return false
		}
	}
	return true
}

// Pack reports whether all units fit on the nodes, and the total demand of those that
// don't.
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

// compareSize orders larger units first.
func compareSize(a, b Unit) int {
	return cmp.Or(
		cmp.Compare(b.Demand.Cores, a.Demand.Cores),
		cmp.Compare(b.Demand.Mem, a.Demand.Mem),
	)
}

// Assign returns the index of a node for each task of one unit. If fits is false, only
// some of the tasks have a node.
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
