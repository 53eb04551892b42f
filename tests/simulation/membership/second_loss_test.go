package membership

import (
	"sort"
	"testing"

	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// recoveryPromise is what a cluster of one size promises: from recoveryMs after the start
// of a replacement on, it tolerates the simultaneous loss of the given number of voters.
type recoveryPromise struct {
	name       string
	spec       func() simulation.ClusterSpec
	tolerates  int
	recoveryMs int64
}

var recoveryPromises = []recoveryPromise{
	{"3 of 3", simulation.FastNetwork, 1, 4000},
	{"6 in 3", sixInThreeDomains, 2, 6000},
	{"8 in 4", eightInFourDomains, 2, 6000},
}

// smallRecoveryPromises are the promises of clusters without a spare learner, in which a
// lost voter is replaced by the server that starts in its place.
var smallRecoveryPromises = recoveryPromises[:2]

// The ways in which the first servers are lost and come back.
const (
	lossReplaced = "replaced at a new address"
	lossWiped    = "wiped, restarted at its address"
	lossStopped  = "stopped, restarted with its disk"
)

const (
	// firstLossAt is when the first servers are lost, in ms.
	firstLossAt = 6000
	// maxOutage is how long after the second loss the group must serve again, in ms.
	maxOutage = 5000
)

// lossScenario is a run in which servers are lost and replaced.
type lossScenario struct {
	*simulation.Cluster
	recoveryPromise
	replacementAt int64
}

func newLossScenario(seed int64, s recoveryPromise) *lossScenario {
	spec := s.spec()
	spec.ElectionTimeout, spec.Runners, spec.Gateways = 250, 1, 1
	if seed%2 == 1 {
		spec.DelayMs, spec.LossPerMille = simulation.LossyNetwork().DelayMs, simulation.LossyNetwork().LossPerMille
	}
	return &lossScenario{Cluster: simulation.NewCluster(seed, spec), recoveryPromise: s}
}

// loseServers loses as many servers as the group tolerates, the leader first or not at
// all, and starts them again after awayMs. A replacement has a new identity and a new
// address.
func (scenario *lossScenario) loseServers(kind string, leads bool, awayMs int64) {
	for _, server := range scenario.victims(leads, 0) {
		start := server.Start
		switch kind {
		case lossReplaced:
			start = scenario.replace(server)
		case lossWiped:
			server.WipeDisk()
		case lossStopped:
			server.Crash()
		}
		scenario.After(awayMs, start)
	}
	scenario.replacementAt = scenario.Now + awayMs
	scenario.Run(scenario.replacementAt)
}

// replace removes a server for good and adds an empty one at a new address; it returns the
// function that starts the replacement.
func (scenario *lossScenario) replace(server *simulation.Server) func() {
	server.Crash()
	server.Removed = true
	replacement := scenario.AddServer(server.Name+"b", server.Domain)
	replacement.Seeds = append([]string{scenario.Gateways[0].Addr}, scenario.Seeds...)
	return replacement.Start
}

// victims picks as many voters as the group tolerates to lose, the leader first or not at
// all; turn varies the choice of the others.
func (scenario *lossScenario) victims(leads bool, turn int) []*simulation.Server {
	var out []*simulation.Server
	list, _ := scenario.Voters()
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	for i := range list {
		server := scenario.ServerByID(list[(i+turn)%len(list)].ID)
		switch {
		case server == nil || server == scenario.Leader() && !leads:
		case server == scenario.Leader():
			out = append([]*simulation.Server{server}, out...)
		default:
			out = append(out, server)
		}
	}
	return out[:min(scenario.tolerates, len(out))]
}

// hasServingLeader reports whether a leader holds a lease and has committed an entry of
// its term.
func (scenario *lossScenario) hasServingLeader() bool {
	server := scenario.Leader()
	return server != nil && server.Machine.Raft().HasLease(scenario.Monotonic(server.Process)) && server.Machine.Raft().CommitIndex() >= server.Machine.Raft().TermStart()
}

// toleratesNextLoss reports whether the group tolerates the promised loss of any voters,
// by the leader's member list and the logs on the voters' disks.
func (scenario *lossScenario) toleratesNextLoss() bool {
	server := scenario.Leader()
	if server == nil || server.Machine.Raft().CommitIndex() < server.Machine.Raft().TermStart() {
		return false
	}
	list, _ := scenario.Voters()
	live := 0
	for _, member := range list {
		if one := scenario.ServerByID(member.ID); one != nil && one.PersistedIndex+maxLag >= server.Machine.Raft().CommitIndex() {
			live++
		}
	}
	return live-(len(list)/2+1) >= scenario.tolerates
}

// TestSecondLoss sweeps the time of the second loss over the eight seconds after a
// replacement's start. From the promised time on, the group must serve again soon after
// it, whichever servers are lost.
func TestSecondLoss(t *testing.T) {
	t.Parallel()
	for _, s := range recoveryPromises {
		for _, kind := range []string{lossReplaced, lossWiped, lossStopped} {
			t.Run(s.name+" "+kind, func(t *testing.T) {
				t.Parallel()
				early, served := 0, 0
				worst := int64(0)
				for offset := int64(0); offset <= 8000; offset += step(offset, s.recoveryMs) {
					gap, ok := secondLoss(s, kind, offset)
					switch {
					case offset < s.recoveryMs && ok:
						early++
					case offset >= s.recoveryMs && !ok:
						t.Errorf("second loss %d ms after the start: not served within %d ms", offset, maxOutage)
					case offset >= s.recoveryMs:
						served++
						worst = max(worst, gap)
					}
				}
				t.Logf("losses after %d ms: %d served, after %d ms at worst; before: %d of %d", s.recoveryMs, served, worst, early, s.recoveryMs/400)
			})
		}
	}
}

// step is the step of the sweep in ms, finer where service is promised.
func step(offset, settleMs int64) int64 {
	if offset < settleMs {
		return 400
	}
	return 100
}

// secondLoss returns how long the group does not serve after a second loss, in ms; ok
// reports whether it serves again within maxOutage.
func secondLoss(s recoveryPromise, kind string, offset int64) (gap int64, ok bool) {
	scenario := newLossScenario(900+offset/100, s)
	scenario.Run(firstLossAt)
	scenario.loseServers(kind, offset%200 == 0, 50+offset*7%1700)
	scenario.Run(scenario.replacementAt + offset)
	for _, server := range scenario.victims(offset%300 != 0, int(offset/100)) {
		server.Crash()
	}
	from := scenario.Now
	for scenario.Now < from+maxOutage {
		scenario.Run(scenario.Now + 20)
		if scenario.hasServingLeader() {
			return scenario.Now - from, true
		}
	}
	return 0, false
}

// TestTimeToTolerance measures the time from a replacement's start until the group
// tolerates the next loss.
func TestTimeToTolerance(t *testing.T) {
	t.Parallel()
	for _, s := range recoveryPromises {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			spans := []int64{}
			for seed := int64(0); seed < 60; seed++ {
				scenario := newLossScenario(2000+seed, s)
				scenario.Run(firstLossAt)
				kind := []string{lossReplaced, lossWiped, lossStopped}[seed%3]
				scenario.loseServers(kind, seed%2 == 0, 50+seed*31)
				for scenario.Now < scenario.replacementAt+10000 && !scenario.toleratesNextLoss() {
					scenario.Run(scenario.Now + 20)
				}
				spans = append(spans, scenario.Now-scenario.replacementAt)
			}
			worst := simulationtest.Longest(spans)
			if worst > s.recoveryMs {
				t.Errorf("%d ms from a replacement's start until the group tolerates the next loss, promised %d", worst, s.recoveryMs)
			}
			t.Logf("time to tolerance: p50 %d ms, p99 %d ms, worst %d ms of %d", simulationtest.Median(spans), simulationtest.Percentile(spans, 99), worst, len(spans))
		})
	}
}
