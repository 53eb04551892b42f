package scenarios

import (
	"testing"

	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestAllDomainsDrained drains all domains at the same time while runners depart, and
// reopens them.
func TestAllDomainsDrained(t *testing.T) {
	t.Parallel()
	scenario := simulation.Scenario{Seed: 17, Window: 35000, Recovery: 60000, Faults: []simulation.Fault{
		{At: 7000, Duration: 20000, Kind: simulation.RunnerDrain, Target: 0, Parameter: 500},
		{At: 7100, Duration: 20000, Kind: simulation.RunnerDrain, Target: 1, Parameter: 501},
		{At: 9000, Duration: 12000, Kind: simulation.DomainDrain, Parameter: 0},
		{At: 9500, Duration: 12000, Kind: simulation.DomainDrain, Parameter: 1},
		{At: 10000, Duration: 12000, Kind: simulation.DomainDrain, Parameter: 2},
		{At: 12000, Duration: 900, Kind: simulation.RunnerCrash, Target: 4},
		{At: 13000, Duration: 200, Kind: simulation.DomainDrain, Parameter: 1},
	}}
	simulationtest.RunScenario(t, scenario)
}
