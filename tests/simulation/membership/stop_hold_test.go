package membership

import (
	"fmt"
	"testing"

	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

const (
	// awayFor is how long the first server is down, in ms, and stopDowntime how long the
	// stopped one is down after its process ended.
	awayFor      = 2400
	stopDowntime = 800
	// maxUnserved is how long there may be no leader in a run, in ms: one election, as the
	// first lost server may be the leader.
	maxUnserved = 500
	// maxStopTime is how long a delayed stop may take, in ms, and longestHold the part of
	// it that is the delay.
	maxStopTime = 3600
	longestHold = 2000
)

// smallSite is a cluster of three servers with a disk, and none that could replace a voter.
func smallSite(seed int64) *lossScenario { return newLossScenario(seed, recoveryPromises[0]) }

// longestUnserved runs the cluster until a time and returns the longest time without a
// leader that holds the lease, in ms.
func (scenario *lossScenario) longestUnserved(until int64) int64 {
	const step = 10
	longest, since := int64(0), scenario.Now
	for scenario.Now < until {
		scenario.Run(scenario.Now + step)
		if scenario.hasServingLeader() {
			since = scenario.Now
		}
		longest = max(longest, scenario.Now-since)
	}
	return longest
}

// another returns a running server: the leader, or one that is not the leader.
func (scenario *lossScenario) another(leads bool) *simulation.Server {
	for _, server := range scenario.Servers {
		if server.Up && (server == scenario.Leader()) == leads {
			return server
		}
	}
	return nil
}

// TestStopIsHeldBack crashes one of three servers, and stops another one gracefully while
// the first is down. The stop must wait until the first has restarted, so that there is
// always a majority.
func TestStopIsHeldBack(t *testing.T) {
	t.Parallel()
	for _, lost := range []string{"leader", "follower"} {
		for _, stopped := range []string{"leader", "follower"} {
			t.Run(fmt.Sprintf("%s lost, %s stopped", lost, stopped), func(t *testing.T) {
				t.Parallel()
				var unserved []int64
				for seed := int64(1); seed <= 6; seed++ {
					scenario := smallSite(4000 + seed)
					scenario.Run(firstLossAt)
					scenario.After(awayFor, scenario.CrashServer(scenario.another(lost == "leader")))
					scenario.Run(firstLossAt + 600 + seed*60)
					stopping := scenario.another(stopped == "leader")
					if stopping == nil {
						t.Fatalf("seed %d: there is no leader %d ms after the loss", seed, scenario.Now-firstLossAt)
					}
					stopGracefully(scenario.Cluster, stopping, stopDowntime)
					gap := scenario.longestUnserved(scenario.Now + 8000)
					unserved = append(unserved, gap)
					if gap > maxUnserved {
						t.Errorf("seed %d: there was no leader for %d ms, want %d at most", seed, gap, maxUnserved)
					}
				}
				t.Logf("there was no leader for %d ms at most", simulationtest.Longest(unserved))
			})
		}
	}
}

// TestStopIsNotHeldForLong stops a server gracefully while another one is down for good:
// it must leave nevertheless, within the limit. With all others running it leaves at once.
func TestStopIsNotHeldForLong(t *testing.T) {
	t.Parallel()
	for _, gone := range []bool{true, false} {
		for _, leads := range []bool{true, false} {
			scenario := smallSite(4100)
			scenario.Run(firstLossAt)
			if gone {
				scenario.another(!leads).Crash()
				scenario.Run(scenario.Now + 3000)
			}
			server := scenario.another(leads)
			if server == nil {
				t.Fatalf("gone %t, leads %t: no such server", gone, leads)
			}
			stoppedAt := scenario.Now
			server.Machine.Leave()
			server.Flush()
			for server.Machine != nil && !server.Machine.Left() && scenario.Now < stoppedAt+10000 {
				scenario.Run(scenario.Now + 10)
			}
			took := scenario.Now - stoppedAt
			t.Logf("gone %t, leads %t: left after %d ms", gone, leads, took)
			if took > maxStopTime || gone && took < longestHold || !gone && took > maxStopTime-longestHold {
				t.Errorf("gone %t, leads %t: left after %d ms", gone, leads, took)
			}
		}
	}
}
