package scenarios

import (
	"testing"

	"orchidward/internal/api/job"
	"orchidward/internal/invariants"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// gangRunner finds a runner of a wide gang that still runs for long, nil if there is none.
func gangRunner(cluster *simulation.Cluster) *simulation.Runner {
	var r *simulation.Runner
	server := cluster.Leader()
	if server == nil {
		return nil
	}
	b := server.Machine.State()
	best := int64(0)
	for _, one := range cluster.Runners {
		n := b.Runners[one.Config.Name]
		if n == nil || !one.Up || one.Frozen {
			continue
		}
		for _, id := range n.LeaseIDs() {
			g := b.Leases[id]
			if g.Demand.Cores < wideDemand {
				continue
			}
			if st := b.Jobs[g.Task.Job].Spec.Steps[g.Task.Step]; st.Gang && g.RevokeReason == "" && int64(g.ExpectedRun) > best {
				best, r = int64(g.ExpectedRun), one
			}
		}
	}
	if best < 10000 {
		return nil
	}
	return r
}

// wideDemand is more than half the cores of a runner: no two members share one.
const wideDemand = 9

// gangFaults leave a gang incomplete: single faults, and pairs of which one delays the
// detection of the other.
var gangFaults = []struct {
	name string
	most int64
	hit  func(w *simulation.Cluster, r *simulation.Runner)
}{
	{"partner crashes", 4500, func(w *simulation.Cluster, r *simulation.Runner) { w.LoseRunner(r) }},
	{"partner freezes", 4500, func(w *simulation.Cluster, r *simulation.Runner) { w.After(20000, w.Freeze(r.Process)) }},
	{"partner is cut off", invariants.MaxIncompleteGang, func(w *simulation.Cluster, r *simulation.Runner) { w.After(20000, w.Isolate(r.Process, true, true)) }},
	{"partner is not heard", invariants.MaxIncompleteGang, func(w *simulation.Cluster, r *simulation.Runner) { w.After(20000, w.Isolate(r.Process, true, false)) }},
	{"partner hears nothing", invariants.MaxIncompleteGang, func(w *simulation.Cluster, r *simulation.Runner) { w.After(20000, w.Isolate(r.Process, false, true)) }},
	{"partner and leader crash", invariants.MaxIncompleteGang, func(w *simulation.Cluster, r *simulation.Runner) {
		w.LoseRunner(r)
		w.Inject(simulation.Fault{Duration: 15000, Kind: simulation.LeaderCrash})
	}},
	{"partner goes, then leader", invariants.MaxIncompleteGang, func(w *simulation.Cluster, r *simulation.Runner) {
		w.LoseRunner(r)
		w.After(2200, func() { w.Inject(simulation.Fault{Duration: 15000, Kind: simulation.LeaderFreeze}) })
	}},
	{"partner goes with the control plane", invariants.MaxIncompleteGang, func(w *simulation.Cluster, r *simulation.Runner) {
		w.LoseRunner(r)
		w.Inject(simulation.Fault{Duration: 15000, Kind: simulation.AllServersCrash})
	}},
}

// TestIncompleteGang loses a member of a gang in every way, with and without the control
// plane, and bounds the longest time for which the others run on.
func TestIncompleteGang(t *testing.T) {
	for _, one := range gangFaults {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			longestRuns, hits := []int64{}, 0
			for seed := int64(1); seed <= 2; seed++ {
				scenario := simulation.Scenario{Seed: seed, Window: 45000, Recovery: 60000, Spec: simulation.FastNetwork(), Setup: func(cluster *simulation.Cluster) {
					cluster.Spec.LoadPercent = 50
					cluster.At(9000, func() {
						cluster.Clients.Submit("stock", job.Step{Name: "wide", Tasks: 3, Gang: true, Demand: job.Demand{Cores: wideDemand, Mem: 512}, ExpectedRun: 25000})
					})
					var look func()
					look = func() {
						if r := gangRunner(cluster); r != nil {
							hits++
							one.hit(cluster, r)
							return
						}
						if cluster.Now < 30000 {
							cluster.After(100, look)
						}
					}
					cluster.At(10000, look)
				}}
				cluster := simulation.Run(scenario)
				simulationtest.CheckInvariants(t, scenario.Seed, cluster)
				longestRuns = append(longestRuns, simulationtest.Longest(cluster.Checker.Spans[invariants.SpanIncompleteGang]))
			}
			if hits == 0 {
				t.Fatal("no gang ever lost a member")
			}
			t.Logf("longest incomplete, by seed: %v ms", longestRuns)
			if simulationtest.Longest(longestRuns) > one.most {
				t.Errorf("a gang went on in part for %d ms, want at most %d", simulationtest.Longest(longestRuns), one.most)
			}
		})
	}
}
