package simulation_test

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"

	"orchidward/internal/invariants"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

var (
	seedCount  = flag.Int("seeds", 16, "how many seeds of the mixed run")
	firstSeed  = flag.Int64("first", 1, "the first of them")
	faultCount = flag.Int("faults", 14, "faults in each")
	showTrace  = flag.Bool("show", false, "print the run of a failing seed")
)

// TestWithoutFaults runs clusters without faults: all invariants must hold, and all jobs must end.
func TestWithoutFaults(t *testing.T) {
	for _, spec := range []simulation.ClusterSpec{simulation.FastNetwork(), simulation.LossyNetwork()} {
		scenario := simulation.Scenario{Seed: 7, Spec: spec, Window: 30000, Recovery: 25000}
		cluster := simulation.Run(scenario)
		simulationtest.CheckInvariants(t, scenario.Seed, cluster)
		if cluster.Checker.Counts[invariants.EndedCount(invariants.JobSucceeded)] < 150 {
			t.Errorf("too little evidence: %v", cluster.Checker.Counts)
		}
		t.Log(cluster.Checker.Counts, cluster.Traffic.Frames)
	}
}

// TestMixed injects random faults of all kinds, for many seeds. It shrinks the list of
// faults of a failing run.
func TestMixed(t *testing.T) {
	t.Cleanup(func() { t.Log("faults injected:", injectedFaults) })
	for i := int64(0); i < int64(*seedCount); i++ {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			scenario := mixedScenario(seed)
			cluster := simulation.Run(scenario)
			simulationtest.CheckInvariants(t, scenario.Seed, cluster)
			if t.Failed() {
				smallest := simulation.Shrink(scenario, func(try *simulation.Cluster) bool { return sameViolation(cluster, try) })
				t.Logf("shrunk to: %s", formatScenario(smallest))
				if *showTrace {
					smallest.Trace = true
					t.Log(strings.Join(simulation.Run(smallest).Log, "\n"))
				}
			}
			recordInjected(cluster)
			if cluster.Checker.Counts[invariants.EndedCount(invariants.JobSucceeded)] < 50 {
				t.Errorf("too little evidence: %v", cluster.Checker.Counts)
			}
		})
	}
}

// sameViolation reports whether two runs violate the same invariant.
func sameViolation(a, b *simulation.Cluster) bool {
	for kind, n := range b.Checker.Counts {
		if strings.HasPrefix(kind, invariants.ViolationCount("")) && n > 0 && a.Checker.Counts[kind] > 0 {
			return true
		}
	}
	return false
}

// formatScenario formats a scenario as a Go literal to paste into a test.
func formatScenario(scenario simulation.Scenario) string {
	text := fmt.Sprintf("Scenario{Seed: %d, Window: %d, Recovery: %d, Faults: []Fault{", scenario.Seed, scenario.Window, scenario.Recovery)
	for _, f := range scenario.Faults {
		text += f.String() + ", "
	}
	return text + "}}"
}

var (
	injectedMutex  sync.Mutex
	injectedFaults = map[simulation.FaultKind]int{}
)

func recordInjected(cluster *simulation.Cluster) {
	injectedMutex.Lock()
	defer injectedMutex.Unlock()
	for kind, n := range cluster.Injected {
		injectedFaults[kind] += n
	}
}

func mixedScenario(seed int64) simulation.Scenario {
	spec := simulation.FastNetwork()
	if seed%2 == 0 {
		spec = simulation.LossyNetwork()
	}
	return simulation.Scenario{
		Seed:     seed,
		Spec:     spec,
		Window:   40000,
		Recovery: 60000,
		Faults:   simulation.DrawFaults(seed, 5000, 38000, *faultCount),
	}
}
