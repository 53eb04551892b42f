package membership

import (
	"testing"

	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

const (
	// exposureDowntime is the downtime of a restarted process, in ms, and
	// exposureReplacedAfter how long after its loss a machine is replaced, in ms.
	exposureDowntime      = 1000
	exposureReplacedAfter = 5000
	// exposureObserved is how long the group is observed after the event, in ms.
	exposureObserved = 14000
	// Events per year and machine at the design size (docs/CAPACITY.md): of 600 machines,
	// 100 are restarted or replaced per day, and 9 fail.
	restartsPerYear = 365 * 100.0 / 600
	lossesPerYear   = 365 * 9.0 / 600
)

// exposureEvents make one voter unavailable for a while.
var exposureEvents = []struct {
	name    string
	perYear float64
	inject  func(scenario *lossScenario, server *simulation.Server)
}{
	{"planned restart", restartsPerYear, func(scenario *lossScenario, server *simulation.Server) {
		stopGracefully(scenario.Cluster, server, exposureDowntime)
	}},
	{"loss, replaced", lossesPerYear, func(scenario *lossScenario, server *simulation.Server) {
		scenario.After(exposureReplacedAfter, scenario.replace(server))
	}},
}

// exposure runs the cluster after an event and returns how long the group does not
// tolerate the next loss, in ms.
func (scenario *lossScenario) exposure() (exposed int64) {
	const step = 10
	for until := scenario.Now + exposureObserved; scenario.Now < until; {
		scenario.Run(scenario.Now + step)
		if !scenario.toleratesNextLoss() {
			exposed += step
		}
	}
	return exposed
}

// TestExposure measures how long the group does not tolerate the next loss, after a
// planned restart and after the loss of a machine, and adds it up over the events of a
// year (docs/CAPACITY.md).
func TestExposure(t *testing.T) {
	t.Parallel()
	for _, s := range recoveryPromises {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			perYear := 0.0
			for _, event := range exposureEvents {
				var spans []int64
				var sum int64
				servers := 0
				for seed := int64(0); seed < 12; seed++ {
					scenario := newLossScenario(5000+seed, s)
					scenario.Run(firstLossAt)
					voters, _ := scenario.Voters()
					servers = len(voters)
					victims := scenario.victims(seed%2 == 0, int(seed))
					event.inject(scenario, victims[0])
					spans = append(spans, scenario.exposure())
					sum += spans[len(spans)-1]
				}
				mean := float64(sum) / float64(len(spans))
				seconds := mean / 1000 * event.perYear * float64(servers)
				perYear += seconds
				t.Logf("%s: mean %.0f ms, worst %d; %d voters, %.0f events per year: %.0f s", event.name, mean, simulationtest.Longest(spans), servers, event.perYear*float64(servers), seconds)
				if worst := simulationtest.Longest(spans); worst > exposureReplacedAfter+s.recoveryMs {
					t.Errorf("%s: the next loss is not tolerated for %d ms", event.name, worst)
				}
			}
			t.Logf("%.0f s per year", perYear)
		})
	}
}
