package scheduler

import (
	"cmp"
	"slices"
)

// reservableNodes lists the nodes that the unit would be placed on if they were empty:
// one for each of its tasks, with at most perNode tasks on one (0 for any number). The
// first of the nodes are taken first; nil is returned when they are not enough.
func reservableNodes(u unit, nodes []*node, perNode int64) []*node {
	var chosen []*node
	demand := u.spec().Demand
	for _, n := range nodes {
		left := n.runner.Capacity
		var count int64
		for len(chosen) < len(u.taskNumbers) && demand.Fits(left) && (perNode == 0 || count < perNode) {
			left = left.Minus(demand)
			chosen = append(chosen, n)
			count++
		}
	}
	if len(chosen) < len(u.taskNumbers) {
		return nil
	}
	return chosen
}

// reserve reserves the unit's demand on the nodes: other units may use only what is left.
func reserve(u unit, nodes []*node) {
	for _, n := range nodes {
		n.reserved = n.reserved.Plus(u.spec().Demand)
	}
}

// sortBySize puts the nodes with the largest size first.
func sortBySize(nodes []*node, size func(n *node) int64) {
	slices.SortStableFunc(nodes, func(a, b *node) int { return cmp.Compare(size(b), size(a)) })
}
