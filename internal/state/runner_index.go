package state

import (
	"slices"

	"orchidward/internal/api/identifier"
)

// runnerIndex holds the indexes derived from the runners.
type runnerIndex struct {
	// names is in ascending order.
	names []identifier.Runner
	// changed holds the runners whose leases or cordon have changed since the last call
	// of TakeChangedRunners.
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

// RunnerNames returns the names of the runners in ascending order. The caller must not
// modify the slice.
func (s *Store) RunnerNames() []identifier.Runner { return s.runnerIndex.names }

// TakeChangedRunners visits, in no particular order, the runners whose leases or cordon
// have changed since the last call, and clears the set.
func (s *Store) TakeChangedRunners(visit func(name identifier.Runner)) {
	for name := range s.runnerIndex.changed {
		visit(name)
	}
	clear(s.runnerIndex.changed)
}
