package simulation

import (
	"fmt"
	"testing"
)

// faultSequence causes on purpose what one line of the brief speaks of, and says when
// it has been caused often enough to count.
type faultSequence struct {
	name   string
	adjust   func(s *ClusterSpec)
	faults func(seed int64) []Fault
	evidence func(w *Cluster) (ok bool)
	// totalEvidence judges the evidence of all seeds together, where how much of it one
	// seed brings hangs on where its leaders stood.
	totalEvidence func(counts map[string]int) (ok bool)
	// span is a measured time to report and, when most is given, to bound.
	span string
	maxSpan int64
}

func highLoad(s *ClusterSpec) { s.LoadPercent = 400 }
func manyDefects(s *ClusterSpec) { s.DefectPercent = 45 }
func littleCapacity(s *ClusterSpec)   { s.Cores, s.LoadPercent = 6, 200 }

var faultSequences = []faultSequence{
	{name: "leaving under load, leader and gate dying of it", adjust: highLoad, span: "start after leaving", maxSpan: 2000, faults: func(n int64) []Fault {
		return []Fault{{9000, 12000, "rack-leave", 0, 1200}, {9000 + n*23, 4000, "leader-crash", 0, 0}, {15000, 9000, "rack-leave", 3, 800},
			{15000 + n*31, 2500, "gate-freeze", int(n), 0}, {16000, 3000, "leader-alone", 0, 0}, {20000, 6000, "runner-drain", 8, 300}, {20010, 1500, "runner-freeze", 8, 0}}
	}, evidence: func(w *Cluster) bool { return w.Checker.Counts["leaving"] >= 5 }},
	{name: "closing under load, whoever acknowledged it gone", adjust: highLoad, span: "start after closing", maxSpan: 5000, faults: func(n int64) []Fault {
		return []Fault{{9000, 7000, "zone", 0, 0}, {9000 + n*17, 5000, "leader-freeze", 0, 0}, {17000, 7000, "zone", 0, 1}, {17020 + n*13, 3000, "leader-alone", 0, 0},
			{17100, 2000, "gate-freeze", int(n), 0}, {18000, 5000, "scramble", 0, 2}}
	}, evidence: func(w *Cluster) bool { return w.Checker.Counts["closed"] >= 2 }},
	{name: "cancelled while leaders, gates and runners sleep", adjust: highLoad, span: "start after cancel", maxSpan: 3000, faults: func(n int64) []Fault {
		return []Fault{{9000 + n*31, 2500, "leader-freeze", 0, 0}, {11000, 700, "runner-freeze", int(n), 0}, {12000, 2500, "gate-freeze", int(n), 0}, {13000, 3000, "leader-crash", 0, 0},
			{14000, 6000, "runner-cut", int(n) + 3, 0}, {18000, 3000, "leader-alone", 0, 0}}
	}, evidence: func(w *Cluster) bool {
		return w.Checker.Counts["ended cancelled"] >= 10
	}},
	{name: "little room, and runners that come and go", adjust: littleCapacity, faults: func(n int64) []Fault {
		var list []Fault
		for i := int64(0); i < 8; i++ {
			list = append(list, Fault{8000 + i*1700 + n*19, 600 + i*400, "runner-crash", int(i), 0}, Fault{8800 + i*1700, 900, "runner-freeze", int(i) + 3, 0})
		}
		return append(list, Fault{14000, 3000, "leader-crash", 0, 0}, Fault{16000, 3000, "returns", 0, 0})
	}, evidence: func(w *Cluster) bool { return w.Checker.Counts["event start"] > 300 }},
	{name: "half of all work failing", adjust: manyDefects, faults: func(n int64) []Fault {
		return []Fault{{8000 + n*29, 3000, "leader-crash", 0, 0}, {12000, 2000, "power", 0, 0}, {15000, 14000, "runner-cut", int(n), 0}, {17000, 3000, "leader-freeze", 0, 0}, {21000, 1500, "returns", 0, 0}}
	}, evidence: func(w *Cluster) bool { return w.Checker.Counts["ended failed"] > 30 }},
	{name: "steps and appointed times across leaders and lost runners", adjust: highLoad, faults: func(n int64) []Fault {
		return []Fault{{8000 + n*37, 3000, "leader-crash", 0, 0}, {9000, 4000, "clock", 0, 160}, {9500, 6000, "clock", 1, 30}, {12000, 1200, "power", 0, 0}, {14000, 2000, "runner-crash", int(n), 0},
			{15000, 2000, "runner-crash", int(n) + 4, 0}, {16000, 12000, "runner-cut", int(n) + 2, 0}, {19000, 4000, "leader-freeze", 0, 0}}
	}, evidence: func(w *Cluster) bool { return w.Checker.Counts["event start"] > 600 }},
	{name: "tables racing and storming while leaders change", faults: func(n int64) []Fault {
		var list []Fault
		for i := int64(0); i < 6; i++ {
			list = append(list, Fault{8000 + i*2500, 10, "race", 0, 0}, Fault{8010 + i*2500 + n*7, 1500, []string{"leader-crash", "leader-freeze", "leader-alone"}[i%3], 0, 0})
		}
		return append(list, Fault{9000, 10, "storm", 0, 0}, Fault{13000, 10, "flood", 0, int(n)}, Fault{14000, 10, "storm", 0, 0}, Fault{13500, 3000, "gate-freeze", int(n), 0})
	}, totalEvidence: func(n map[string]int) bool { return n["table acked"] >= 3*8 && n["table refused"] >= 3*4 }},
	{name: "a zone without power", faults: func(n int64) []Fault { return []Fault{{9000, 15000, "zone-power", int(n), 0}} }},
	{name: "a zone cut off", faults: func(n int64) []Fault { return []Fault{{9000, 15000, "zone-cut", int(n), 0}} }},
	{name: "a zone gone for good, then a keeper", faults: func(n int64) []Fault {
		return []Fault{{8000, 17000, "zone-gone", int(n), 0}, {22500, 4000, "leader-crash", 0, 0}}
	}},
	{name: "one machine without links, one way and both", faults: func(n int64) []Fault {
		return []Fault{{8000, 5000, "keeper-deaf", int(n), int(n)}, {14000, 5000, "keeper-alone", int(n) + 1, 0}, {20000, 5000, "gate-alone", int(n), 0}}
	}},
	{name: "disks that stall and come back", faults: func(n int64) []Fault {
		return []Fault{{8000, 4000, "keeper-stall", int(n), 0}, {13000, 6000, "keeper-slow", int(n) + 1, 800}, {14000, 3000, "keeper-stall", int(n) + 2, 0}, {20000, 2000, "power", 0, 0}}
	}},
}

// TestFaultSequences runs each trial under a few seeds. Whatever the trial, every
// promise is judged; its own is the one it was made to break.
func TestFaultSequences(t *testing.T) {
	for _, one := range faultSequences {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			gaps, spans, counts := []int64{}, []int64{}, map[string]int{}
			for seed := int64(1); seed <= 3; seed++ {
				scenario := Scenario{Seed: seed, Spec: FastNetwork(), Window: 26000, Recovery: 60000, Faults: one.faults(seed)}
				if seed%2 == 0 {
					scenario.Spec = LossyNetwork()
				}
				if one.adjust != nil {
					one.adjust(&scenario.Spec)
				}
				gap := int64(0)
				scenario.Setup = func(cluster *Cluster) { cluster.MeasureOutage(7000, scenario.Window, &gap) }
				cluster := Run(scenario)
				checkInvariants(t, scenario, cluster)
				if one.evidence != nil && !one.evidence(cluster) {
					t.Errorf("seed %d: too little evidence: %v", seed, cluster.Checker.Counts)
				}
				for server, v := range cluster.Checker.Counts {
					counts[server] += v
				}
				gaps, spans = append(gaps, gap), append(spans, longest(cluster.Checker.Spans[one.span]))
			}
			if one.totalEvidence != nil && !one.totalEvidence(counts) {
				t.Errorf("too little evidence under all seeds: %v", counts)
			}
			say := fmt.Sprintf("longest without an answer %v ms", gaps)
			if one.span != "" {
				say += fmt.Sprintf("; latest %s %v ms of %d allowed", one.span, spans, one.maxSpan)
			}
			t.Log(say)
			if longest(gaps) > 12000 {
				t.Errorf("no answer for %v ms", gaps)
			}
		})
	}
}
