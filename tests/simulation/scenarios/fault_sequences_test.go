package scenarios

import (
	"testing"

	"orchidward/internal/invariants"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// faultSequence injects the faults that one row of docs/promises.md covers, and defines how
// often the covered situation must occur for a run to be meaningful.
type faultSequence struct {
	name string
	// adjust changes the normal operating conditions.
	adjust func(spec *simulation.ClusterSpec)
	faults func(seed int64) []simulation.Fault
	// evidence checks the counts of each run, totalEvidence the counts of all runs
	// together, for sequences whose counts in a single run depend on which servers lead.
	evidence      func(counts map[string]int) (enough bool)
	totalEvidence func(counts map[string]int) (enough bool)
	// span is the name of a measured time to report, maxSpan its promised limit in ms.
	span    string
	maxSpan int64
}

func highLoad(spec *simulation.ClusterSpec) { spec.LoadPercent = 400 }

func manyDefects(spec *simulation.ClusterSpec) { spec.DefectPercent = 45 }

func littleCapacity(spec *simulation.ClusterSpec) {
	spec.Cores = 6
	spec.LoadPercent = 200
}

const (
	// sequenceRuns is the number of seeds for each sequence.
	sequenceRuns = 3
	// maxOutage is how long the cluster may be unavailable, in ms.
	maxOutage = 12000
)

// countStarts is the key of the number of attempts that started.
var countStarts = invariants.EventCount("start")

var faultSequences = []faultSequence{
	{name: "racks drained under load, leader and gateway lost", adjust: highLoad, span: invariants.SpanStartAfterLeaving, maxSpan: 2000, faults: func(seed int64) []simulation.Fault {
		return []simulation.Fault{
			{At: 9000, Duration: 12000, Kind: simulation.RackDrain, Parameter: 1200},
			{At: 9000 + seed*23, Duration: 4000, Kind: simulation.LeaderCrash},
			{At: 15000, Duration: 9000, Kind: simulation.RackDrain, Target: 3, Parameter: 800},
			{At: 15000 + seed*31, Duration: 2500, Kind: simulation.GatewayFreeze, Target: int(seed)},
			{At: 16000, Duration: 3000, Kind: simulation.LeaderIsolated},
			{At: 20000, Duration: 6000, Kind: simulation.RunnerDrain, Target: 8, Parameter: 300},
			{At: 20010, Duration: 1500, Kind: simulation.RunnerFreeze, Target: 8},
		}
	}, evidence: func(counts map[string]int) bool { return counts[invariants.CountLeaving] >= 5 }},

	{name: "domain drained under load, whoever acknowledged it lost", adjust: highLoad, span: invariants.SpanStartAfterDrain, maxSpan: 5000, faults: func(seed int64) []simulation.Fault {
		return []simulation.Fault{
			{At: 9000, Duration: 7000, Kind: simulation.DomainDrain},
			{At: 9000 + seed*17, Duration: 5000, Kind: simulation.LeaderFreeze},
			{At: 17000, Duration: 7000, Kind: simulation.DomainDrain, Parameter: 1},
			{At: 17020 + seed*13, Duration: 3000, Kind: simulation.LeaderIsolated},
			{At: 17100, Duration: 2000, Kind: simulation.GatewayFreeze, Target: int(seed)},
			{At: 18000, Duration: 5000, Kind: simulation.DrainRace, Parameter: 2},
		}
	}, evidence: func(counts map[string]int) bool { return counts[invariants.CountDrained] >= 2 }},

	{name: "jobs cancelled while leaders, gateways and runners are frozen", adjust: highLoad, span: invariants.SpanStartAfterCancel, maxSpan: 3000, faults: func(seed int64) []simulation.Fault {
		return []simulation.Fault{
			{At: 9000 + seed*31, Duration: 2500, Kind: simulation.LeaderFreeze},
			{At: 11000, Duration: 700, Kind: simulation.RunnerFreeze, Target: int(seed)},
			{At: 12000, Duration: 2500, Kind: simulation.GatewayFreeze, Target: int(seed)},
			{At: 13000, Duration: 3000, Kind: simulation.LeaderCrash},
			{At: 14000, Duration: 6000, Kind: simulation.RunnerIsolated, Target: int(seed) + 3},
			{At: 18000, Duration: 3000, Kind: simulation.LeaderIsolated},
		}
	}, evidence: func(counts map[string]int) bool {
		return counts[invariants.EndedCount(invariants.JobCancelled)] >= 10
	}},

	{name: "little capacity, and runners that come and go", adjust: littleCapacity, faults: func(seed int64) []simulation.Fault {
		var faults []simulation.Fault
		for i := range int64(8) {
			faults = append(faults,
				simulation.Fault{At: 8000 + i*1700 + seed*19, Duration: 600 + i*400, Kind: simulation.RunnerCrash, Target: int(i)},
				simulation.Fault{At: 8800 + i*1700, Duration: 900, Kind: simulation.RunnerFreeze, Target: int(i) + 3})
		}
		return append(faults,
			simulation.Fault{At: 14000, Duration: 3000, Kind: simulation.LeaderCrash},
			simulation.Fault{At: 16000, Duration: 3000, Kind: simulation.MassRestart})
	}, evidence: func(counts map[string]int) bool { return counts[countStarts] > 300 }},

	{name: "half of all attempts defective", adjust: manyDefects, faults: func(seed int64) []simulation.Fault {
		return []simulation.Fault{
			{At: 8000 + seed*29, Duration: 3000, Kind: simulation.LeaderCrash},
			{At: 12000, Duration: 2000, Kind: simulation.AllServersCrash},
			{At: 15000, Duration: 14000, Kind: simulation.RunnerIsolated, Target: int(seed)},
			{At: 17000, Duration: 3000, Kind: simulation.LeaderFreeze},
			{At: 21000, Duration: 1500, Kind: simulation.MassRestart},
		}
	}, evidence: func(counts map[string]int) bool {
		return counts[invariants.EndedCount(invariants.JobFailed)] > 30
	}},

	{name: "steps and start times across leaders and lost runners", adjust: highLoad, faults: func(seed int64) []simulation.Fault {
		return []simulation.Fault{
			{At: 8000 + seed*37, Duration: 3000, Kind: simulation.LeaderCrash},
			{At: 9000, Duration: 4000, Kind: simulation.ServerClockJump, Parameter: 160},
			{At: 9500, Duration: 6000, Kind: simulation.ServerClockJump, Target: 1, Parameter: 30},
			{At: 12000, Duration: 1200, Kind: simulation.AllServersCrash},
			{At: 14000, Duration: 2000, Kind: simulation.RunnerCrash, Target: int(seed)},
			{At: 15000, Duration: 2000, Kind: simulation.RunnerCrash, Target: int(seed) + 4},
			{At: 16000, Duration: 12000, Kind: simulation.RunnerIsolated, Target: int(seed) + 2},
			{At: 19000, Duration: 4000, Kind: simulation.LeaderFreeze},
		}
	}, evidence: func(counts map[string]int) bool { return counts[countStarts] > 600 }},

	{name: "limits tables racing and storming while leaders change", faults: func(seed int64) []simulation.Fault {
		var faults []simulation.Fault
		leaderLosses := []simulation.FaultKind{simulation.LeaderCrash, simulation.LeaderFreeze, simulation.LeaderIsolated}
		for i := range int64(6) {
			faults = append(faults,
				simulation.Fault{At: 8000 + i*2500, Duration: 10, Kind: simulation.LimitsRace},
				simulation.Fault{At: 8010 + i*2500 + seed*7, Duration: 1500, Kind: leaderLosses[i%3]})
		}
		return append(faults,
			simulation.Fault{At: 9000, Duration: 10, Kind: simulation.LimitsStorm},
			simulation.Fault{At: 13000, Duration: 10, Kind: simulation.LimitsFlood, Parameter: int(seed)},
			simulation.Fault{At: 14000, Duration: 10, Kind: simulation.LimitsStorm},
			simulation.Fault{At: 13500, Duration: 3000, Kind: simulation.GatewayFreeze, Target: int(seed)})
	}, totalEvidence: func(counts map[string]int) bool {
		return counts[simulation.CountLimitsAcked] >= sequenceRuns*8 && counts[simulation.CountLimitsRejected] >= sequenceRuns*4
	}},

	{name: "a domain crashed", faults: func(seed int64) []simulation.Fault {
		return []simulation.Fault{{At: 9000, Duration: 15000, Kind: simulation.DomainCrash, Target: int(seed)}}
	}},

	{name: "a domain partitioned", faults: func(seed int64) []simulation.Fault {
		return []simulation.Fault{{At: 9000, Duration: 15000, Kind: simulation.DomainPartition, Target: int(seed)}}
	}},

	{name: "a domain lost for good, then a server", faults: func(seed int64) []simulation.Fault {
		return []simulation.Fault{
			{At: 8000, Duration: 17000, Kind: simulation.DomainLost, Target: int(seed)},
			{At: 22500, Duration: 4000, Kind: simulation.LeaderCrash},
		}
	}},

	{name: "one machine isolated, one way and both", faults: func(seed int64) []simulation.Fault {
		return []simulation.Fault{
			{At: 8000, Duration: 5000, Kind: simulation.ServerHalfIsolated, Target: int(seed), Parameter: int(seed)},
			{At: 14000, Duration: 5000, Kind: simulation.ServerIsolated, Target: int(seed) + 1},
			{At: 20000, Duration: 5000, Kind: simulation.GatewayIsolated, Target: int(seed)},
		}
	}},

	{name: "disks that stall and come back", faults: func(seed int64) []simulation.Fault {
		return []simulation.Fault{
			{At: 8000, Duration: 4000, Kind: simulation.ServerDiskStalled, Target: int(seed)},
			{At: 13000, Duration: 6000, Kind: simulation.ServerDiskSlow, Target: int(seed) + 1, Parameter: 800},
			{At: 14000, Duration: 3000, Kind: simulation.ServerDiskStalled, Target: int(seed) + 2},
			{At: 20000, Duration: 2000, Kind: simulation.AllServersCrash},
		}
	}},
}

// TestFaultSequences runs each sequence with a few seeds. All invariants are checked in
// each run; each sequence is designed to break a particular one.
func TestFaultSequences(t *testing.T) {
	for _, sequence := range faultSequences {
		t.Run(sequence.name, func(t *testing.T) {
			t.Parallel()
			sequence.run(t)
		})
	}
}

func (s faultSequence) run(t *testing.T) {
	var outages, spans []int64
	total := map[string]int{}
	for seed := int64(1); seed <= sequenceRuns; seed++ {
		scenario := s.scenario(seed)
		outage := int64(0)
		scenario.Setup = func(cluster *simulation.Cluster) {
			cluster.MeasureOutage(7000, scenario.Window, &outage)
		}
		cluster := simulation.Run(scenario)
		simulationtest.CheckInvariants(t, seed, cluster)
		counts := cluster.Checker.Counts
		if s.evidence != nil && !s.evidence(counts) {
			t.Errorf("seed %d: too little evidence: %v", seed, counts)
		}
		for name, count := range counts {
			total[name] += count
		}
		outages = append(outages, outage)
		spans = append(spans, simulationtest.Longest(cluster.Checker.Spans[s.span]))
	}
	if s.totalEvidence != nil && !s.totalEvidence(total) {
		t.Errorf("too little evidence in the runs of all seeds: %v", total)
	}
	t.Logf("longest outages %v ms", outages)
	if s.span != "" {
		t.Logf("longest %s %v ms of %d allowed", s.span, spans, s.maxSpan)
	}
	if simulationtest.Longest(outages) > maxOutage {
		t.Errorf("outages of %v ms", outages)
	}
}

// scenario returns the run of the sequence for a seed; every second one uses a lossy
// network.
func (s faultSequence) scenario(seed int64) simulation.Scenario {
	spec := simulation.FastNetwork()
	if seed%2 == 0 {
		spec = simulation.LossyNetwork()
	}
	if s.adjust != nil {
		s.adjust(&spec)
	}
	return simulation.Scenario{Seed: seed, Spec: spec, Window: 26000, Recovery: 60000, Faults: s.faults(seed)}
}
