package membership

import (
	"testing"

	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

const (
	// exposureDowntime is how long a process is down at a restart, in ms, and
	// exposureReplacedAfter how long after its loss a machine is replaced.
	exposureDowntime      = 1000
	exposureReplacedAfter = 5000
	// exposureObserved is how long after the event a run goes on, in ms.
	exposureObserved = 14000
	// Events a year of each machine of the size to design for (docs/CAPACITY.md): of 600
	// machines 100 are restarted or replaced on a day, and 9 fail.
	restartsPerYear = 365 * 100.0 / 600
	lossesPerYear   = 365 * 9.0 / 600
)

// exposureEvents are what takes a seat away for a while. Each strikes one voter.
var exposureEvents = []struct {
	name    string
	perYear float64
	strike  func(scenario *lossScenario, server *simulation.Server)
}{
	{"planned restart", restartsPerYear, func(scenario *lossScenario, server *simulation.Server) {
		stopGracefully(scenario.Cluster, server, exposureDowntime)
	}},
	{"loss, replaced", lossesPerYear, func(scenario *lossScenario, server *simulation.Server) {
		scenario.After(exposureReplacedAfter, scenario.replace(server))
	}},
}

// exposure is for how long after an event the group does not tolerate its next loss, in
// ms.
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

// TestExposure measures for how long one more loss than is tolerated of the next would stop
// the group, after a planned restart and after the loss of a machine, and sums it up over a
// year of docs/CAPACITY.md.
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
					event.strike(scenario, victims[0])
					spans = append(spans, scenario.exposure())
					sum += spans[len(spans)-1]
				}
				mean := float64(sum) / float64(len(spans))
				seconds := mean / 1000 * event.perYear * float64(servers)
				perYear += seconds
				t.Logf("%s: %.0f ms in the mean, worst %d; %d voters, %.0f a year: %.0f s", event.name, mean, simulationtest.Longest(spans), servers, event.perYear*float64(servers), seconds)
				if worst := simulationtest.Longest(spans); worst > exposureReplacedAfter+s.recoveryMs {
					t.Errorf("%s: the next loss is not tolerated for %d ms", event.name, worst)
				}
			}
			t.Logf("in a year %.0f s", perYear)
		})
	}
}
