package scenarios

import (
	"testing"

	"orchidward/internal/api/job"
	"orchidward/internal/invariants"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// gangRunner finds a runner with a member of a wide gang that is expected to run for at
// least 10 s, nil if there is none.
func gangRunner(cluster *simulation.Cluster) *simulation.Runner {
	var r *simulation.Runner
	server := cluster.Leader()
	if server == nil {
		return nil
	}
	store := server.Machine.State()
	best := int64(0)
	for _, one := range cluster.Runners {
		known := store.Runners[one.Config.Name]
		if known == nil || !one.Up || one.Frozen {
			continue
		}
		for _, id := range known.LeaseIDs() {
			lease := store.Leases[id]
			if lease.Demand.Cores < wideDemand {
				continue
			}
			if step := store.Jobs[lease.Task.Job].Spec.Steps[lease.Task.Step]; step.Gang && lease.RevokeReason == "" && int64(lease.ExpectedRun) > best {
				best, r = int64(lease.ExpectedRun), one
			}
		}
	}
	if best < 10000 {
		return nil
	}
	return r
}

// wideDemand is more than half the cores of a runner, so that no two members fit on one.
const wideDemand = 9

// gangFaults leave a gang incomplete: single faults, and pairs in which one fault delays
// the detection of the other.
var gangFaults = []struct {
	name string
	// maxIncomplete is how long the other members may run on, in ms.
	maxIncomplete int64
	inject        func(c *simulation.Cluster, r *simulation.Runner)
}{
	{"partner crashes", 4500, func(c *simulation.Cluster, r *simulation.Runner) { c.LoseRunner(r) }},
	{"partner freezes", 4500, func(c *simulation.Cluster, r *simulation.Runner) { c.After(20000, c.Freeze(r.Process)) }},
	{"partner is isolated", invariants.MaxIncompleteGang, func(c *simulation.Cluster, r *simulation.Runner) { c.After(20000, c.Isolate(r.Process, true, true)) }},
	{"links from partner are blocked", invariants.MaxIncompleteGang, func(c *simulation.Cluster, r *simulation.Runner) { c.After(20000, c.Isolate(r.Process, true, false)) }},
	{"links to partner are blocked", invariants.MaxIncompleteGang, func(c *simulation.Cluster, r *simulation.Runner) { c.After(20000, c.Isolate(r.Process, false, true)) }},
	{"partner and leader crash", invariants.MaxIncompleteGang, func(c *simulation.Cluster, r *simulation.Runner) {
		c.LoseRunner(r)
		c.Inject(simulation.Fault{Duration: 15000, Kind: simulation.LeaderCrash})
	}},
	{"partner crashes, then leader freezes", invariants.MaxIncompleteGang, func(c *simulation.Cluster, r *simulation.Runner) {
		c.LoseRunner(r)
		c.After(2200, func() { c.Inject(simulation.Fault{Duration: 15000, Kind: simulation.LeaderFreeze}) })
	}},
	{"partner and all servers crash", invariants.MaxIncompleteGang, func(c *simulation.Cluster, r *simulation.Runner) {
		c.LoseRunner(r)
		c.Inject(simulation.Fault{Duration: 15000, Kind: simulation.AllServersCrash})
	}},
}

// TestIncompleteGang loses a member of a gang in different ways, with and without the
// leader or the control plane, and bounds the time for which the other members run on.
func TestIncompleteGang(t *testing.T) {
	for _, one := range gangFaults {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			longestRuns, injected := []int64{}, 0
			for seed := int64(1); seed <= 2; seed++ {
				scenario := simulation.Scenario{Seed: seed, Window: 45000, Recovery: 60000, Spec: simulation.FastNetwork(), Setup: func(cluster *simulation.Cluster) {
					cluster.Spec.LoadPercent = 50
					cluster.At(9000, func() {
						cluster.Clients.Submit("stock", job.Step{Name: "wide", Tasks: 3, Gang: true, Demand: job.Demand{Cores: wideDemand, Mem: 512}, ExpectedRun: 25000})
					})
					var poll func()
					poll = func() {
						if r := gangRunner(cluster); r != nil {
							injected++
							one.inject(cluster, r)
							return
						}
						if cluster.Now < 30000 {
							cluster.After(100, poll)
						}
					}
					cluster.At(10000, poll)
				}}
				cluster := simulation.Run(scenario)
				simulationtest.CheckInvariants(t, scenario.Seed, cluster)
				longestRuns = append(longestRuns, simulationtest.Longest(cluster.Checker.Spans[invariants.SpanIncompleteGang]))
			}
			if injected == 0 {
				t.Fatal("too little evidence: no gang lost a member")
			}
			t.Logf("longest time of an incomplete gang, by seed: %v ms", longestRuns)
			if simulationtest.Longest(longestRuns) > one.maxIncomplete {
				t.Errorf("a gang ran on in part for %d ms, want at most %d", simulationtest.Longest(longestRuns), one.maxIncomplete)
			}
		})
	}
}
