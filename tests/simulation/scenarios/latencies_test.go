package scenarios

import (
	"testing"

	"orchidward/internal/invariants"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestLatencies measures the promised latencies in a cluster without faults.
func TestLatencies(t *testing.T) {
	t.Parallel()
	scenario := simulation.Scenario{Seed: 11, Window: 60000, Recovery: 30000}
	drainTime := int64(0)
	scenario.Setup = func(cluster *simulation.Cluster) {
		cluster.At(30000, func() { cluster.Clients.SetDrained("east", true, func() bool { return true }) })
		var poll func()
		poll = func() {
			if ackedAt, ok := cluster.Checker.DrainedSince("east"); ok && drainTime == 0 {
				if server := cluster.Leader(); server != nil {
					for _, c := range server.Machine.State().Drains {
						if free, loose := server.Machine.State().OpenLeases(c); c.PreflightDone && len(free)+len(loose) == 0 {
							drainTime = cluster.Now - ackedAt + 1
						}
					}
				}
			}
			if cluster.Now < 40000 {
				cluster.After(5, poll)
			}
		}
		cluster.At(30000, poll)
	}
	cluster := simulationtest.RunScenario(t, scenario)
	if drainTime == 0 || drainTime > 1000 {
		t.Errorf("drain acknowledged to last stop confirmed: %d ms", drainTime)
	}
	t.Logf("drain acknowledged to last stop confirmed: %d ms", drainTime)
	spans := cluster.Checker.Spans
	if n := simulationtest.Longest(spans[invariants.SpanCancelToStop]); len(spans[invariants.SpanCancelToStop]) < 3 || n > 300 {
		t.Errorf("cancellation to stop: %v", spans[invariants.SpanCancelToStop])
	}
	if n := simulationtest.Median(spans[invariants.SpanAdmissionToStart]); len(spans[invariants.SpanAdmissionToStart]) < 300 || n > 100 {
		t.Errorf("admission to start: median %d of %d", n, len(spans[invariants.SpanAdmissionToStart]))
	}
	secs := cluster.Now / 1000
	pollBytes := cluster.Traffic.PollBytes / secs / int64(len(cluster.Runners))
	t.Logf("frames between processes: about %d bytes per second in total; polls and responses: %d bytes per second and runner",
		cluster.Traffic.Bytes/secs, pollBytes)
	starts := spans[invariants.SpanAdmissionToStart]
	stops := spans[invariants.SpanCancelToStop]
	t.Logf("admission to start: median %d ms, worst %d ms of %d; cancellation to stop: worst %d ms of %d",
		simulationtest.Median(starts), simulationtest.Longest(starts), len(starts),
		simulationtest.Longest(stops), len(stops))
}

// TestTakeover measures how long the cluster is unavailable when its leader fails, for each
// kind of failure.
func TestTakeover(t *testing.T) {
	for _, loss := range []simulation.FaultKind{
		simulation.LeaderCrash,
		simulation.LeaderFreeze,
		simulation.LeaderIsolated,
		simulation.AllServersCrash,
	} {
		t.Run(string(loss), func(t *testing.T) {
			t.Parallel()
			gaps := []int64{}
			for seed := int64(1); seed <= 5; seed++ {
				gap := int64(0)
				scenario := simulation.Scenario{Seed: seed, Window: 20000, Recovery: 20000, Setup: func(cluster *simulation.Cluster) {
					cluster.At(8000+seed*31, func() { cluster.Inject(simulation.Fault{Duration: 10000, Kind: loss}) })
					if loss == simulation.AllServersCrash {
						cluster.At(8300, cluster.Repair)
					}
					cluster.MeasureOutage(7000, 19000, &gap)
				}}
				simulationtest.RunScenario(t, scenario)
				gaps = append(gaps, gap)
			}
			t.Logf("%s: outage: median %d ms, worst %d ms of %v",
				loss, simulationtest.Median(gaps), simulationtest.Longest(gaps), gaps)
			if simulationtest.Longest(gaps) > 12000 || simulationtest.Longest(gaps) < 300 {
				t.Errorf("%s: outages of %v ms", loss, gaps)
			}
		})
	}
}
