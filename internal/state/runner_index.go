package state

import (
	"slices"

	"orchidward/internal/api/identifier"
)

// runnerIndex holds what is derived from the runners.
type runnerIndex struct {
	// names is in ascending order.
	names []identifier.Runner
	// changed has the runners whose leases or cordon changed since the leader last
	// took them.
	changed map[identifier.Runner]bool
}

func newRunnerIndex() *runnerIndex {
	return &runnerIndex{changed: map[identifier.Runner]bool{}}
}

func (x *runnerIndex) add(name identifier.Runner) {
	i, _ := slices.BinarySearch(x.names, name)
	x.names = slices.Insert(x.names, i, name)
	x.markChanged(name)
}

func (x *runnerIndex) markChanged(name identifier.Runner) { x.changed[name] = true }

// RunnerNames lists the runners in ascending order. The caller must not change the
// list.
func (s *Store) RunnerNames() []identifier.Runner { return s.runnerIndex.names }

// TakeChangedRunners visits, in no order, the runners whose leases or cordon
// changed since the last call, and forgets them.
func (s *Store) TakeChangedRunners(visit func(name identifier.Runner)) {
	for name := range s.runnerIndex.changed {
		visit(name)
	}
	clear(s.runnerIndex.changed)
}
