package simulation

import "slices"

// maxShrinkRuns bounds the number of runs of Shrink.
const maxShrinkRuns = 60

// Shrink removes faults from a failing scenario as long as the run still fails, first
// half of the faults at a time, then fewer.
func Shrink(scenario Scenario, fails func(cluster *Cluster) bool) Scenario {
	smallest := scenario
	runs := 0
	for size := len(smallest.Faults) / 2; size >= 1 && runs < maxShrinkRuns; {
		shrunk := false
		for i := 0; i+size <= len(smallest.Faults) && runs < maxShrinkRuns; {
			runs++
			candidate := smallest
			candidate.Faults = slices.Concat(smallest.Faults[:i], smallest.Faults[i+size:])
			if !fails(Run(candidate)) {
				i += size
				continue
			}
			smallest = candidate
			shrunk = true
		}
		if !shrunk || size > len(smallest.Faults) {
			size /= 2
		}
	}
	return smallest
}
