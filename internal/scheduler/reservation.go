package scheduler

import (
	"cmp"
	"slices"
)

// reservableNodes returns the nodes on which the unit would be placed if they were empty,
// one entry per task, with at most perNode tasks on a node (0 for no limit). It fills the
// nodes in the given order, and returns nil if the unit does not fit even then.
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

// reserve reserves the unit's demand on the nodes; other units may use only the rest.
func reserve(u unit, nodes []*node) {
	for _, n := range nodes {
		n.reserved = n.reserved.Plus(u.spec().Demand)
	}
}

// sortBySize sorts the nodes by descending size.
func sortBySize(nodes []*node, size func(n *node) int64) {
	slices.SortStableFunc(nodes, func(a, b *node) int { return cmp.Compare(size(b), size(a)) })
}
