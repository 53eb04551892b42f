// Package simulationtest has the helpers that the tests of the simulation share: they run
// a scenario, check its invariants, and summarize measured times.
package simulationtest

import (
	"slices"
	"strings"
	"testing"

	"orchidward/internal/invariants"
	"orchidward/tests/simulation"
)

// minSucceeded is how many jobs must succeed for a scenario to be meaningful.
const minSucceeded = 30

// CheckInvariants fails the test for each invariant that a run violated.
func CheckInvariants(t *testing.T, seed int64, cluster *simulation.Cluster) {
	t.Helper()
	if len(cluster.Checker.Violations) > 0 {
		t.Errorf("seed %d:\n%s", seed, strings.Join(cluster.Checker.Violations, "\n"))
	}
}

// RunScenario runs a scenario and checks its invariants. A scenario without a spec uses
// FastNetwork.
func RunScenario(t *testing.T, scenario simulation.Scenario) *simulation.Cluster {
	t.Helper()
	if scenario.Spec.Servers == 0 {
		scenario.Spec = simulation.FastNetwork()
	}
	cluster := simulation.Run(scenario)
	CheckInvariants(t, scenario.Seed, cluster)
	if cluster.Checker.Counts[invariants.EndedCount(invariants.JobSucceeded)] < minSucceeded {
		t.Errorf("too little evidence: %v", cluster.Checker.Counts)
	}
	return cluster
}

// Longest returns the longest of some times, 0 for none.
func Longest(times []int64) int64 {
	var longest int64
	for _, one := range times {
		longest = max(longest, one)
	}
	return longest
}

// Percentile returns the given percentile of some times, 0 for none.
func Percentile(times []int64, percent int) int64 {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}

// Median returns the median of some times, 0 for none.
func Median(times []int64) int64 { return Percentile(times, 50) }
