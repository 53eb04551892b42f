package membership

import (
	"testing"

	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// recoveryStages are the times at which the stages from the loss of voters to full
// tolerance are reached, in ms after the loss, 0 for not yet.
type recoveryStages struct {
	leader    int64
	joined    int64
	caughtUp  int64
	voting    int64
	tolerates int64
}

// observe records which stages have been reached. newcomers are the servers that replace
// the lost ones.
func (r *recoveryStages) observe(scenario *lossScenario, newcomers []*simulation.Server, now int64) {
	record := func(stage *int64, reached bool) {
		if *stage == 0 && reached {
			*stage = now
		}
	}
	leader := scenario.Leader()
	record(&r.leader, scenario.hasServingLeader())
	if leader == nil {
		return
	}
	joined, caughtUp, voting := 0, 0, 0
	for _, newcomer := range newcomers {
		if newcomer.Machine == nil {
			continue
		}
		member, known := leader.Machine.Raft().Member(newcomer.Machine.Config().ID)
		if !known {
			continue
		}
		joined++
		if newcomer.PersistedIndex+maxLag >= leader.Machine.Raft().CommitIndex() {
			caughtUp++
		}
		if member.Voter {
			voting++
		}
	}
	record(&r.joined, joined == len(newcomers))
	record(&r.caughtUp, caughtUp == len(newcomers))
	record(&r.voting, voting == len(newcomers))
	record(&r.tolerates, scenario.toleratesNextLoss())
}

// TestRecoveryStages measures the stages between the loss of voters, whose machines are
// replaced at once, and the time from which the group tolerates the next loss.
func TestRecoveryStages(t *testing.T) {
	t.Parallel()
	const (
		awayMs = 300
		// maxAfterLoss is how long after the loss the group may lack full tolerance, in ms.
		maxAfterLoss = 2000
	)
	for _, s := range recoveryPromises {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			var stages []recoveryStages
			for seed := int64(0); seed < 24; seed++ {
				scenario := newLossScenario(3000+seed, s)
				scenario.Run(firstLossAt)
				before := len(scenario.Servers)
				scenario.loseServers(lossReplaced, seed%2 == 0, awayMs)
				lostAt := scenario.Now - awayMs
				var r recoveryStages
				for r.tolerates == 0 && scenario.Now < lostAt+10000 {
					scenario.Run(scenario.Now + 10)
					r.observe(scenario, scenario.Servers[before:], scenario.Now-lostAt)
				}
				if r.tolerates == 0 || r.tolerates > maxAfterLoss {
					t.Errorf("seed %d: %+v, want full tolerance within %d ms", seed, r, maxAfterLoss)
				}
				stages = append(stages, r)
			}
			for _, stage := range []struct {
				name string
				at   func(r recoveryStages) int64
			}{
				{"leader", func(r recoveryStages) int64 { return r.leader }},
				{"joined as learners", func(r recoveryStages) int64 { return r.joined }},
				{"caught up", func(r recoveryStages) int64 { return r.caughtUp }},
				{"voting", func(r recoveryStages) int64 { return r.voting }},
				{"tolerates the next loss", func(r recoveryStages) int64 { return r.tolerates }},
			} {
				var at []int64
				for _, r := range stages {
					at = append(at, stage.at(r))
				}
				t.Logf("%-24s p50 %4d ms, worst %4d ms after the loss", stage.name, simulationtest.Median(at), simulationtest.Longest(at))
			}
		})
	}
}
