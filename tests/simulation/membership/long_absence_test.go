package membership

import (
	"fmt"
	"slices"
	"testing"

	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

const (
	// absenceAt is when servers become absent, in ms, and minAbsence how long at least:
	// longer than the group retains a silent member.
	absenceAt  = 9000
	minAbsence = 11_000
	// rejoinWithin is how long after their return the group may take to be complete again,
	// in ms.
	rejoinWithin = 6000
)

// absences are the ways in which servers are absent without losing their disks.
var absences = map[string]func(cluster *simulation.Cluster, away []*simulation.Server) (back func()){
	"isolated": isolateGroup,
	"stopped":  stopServers,
}

// isolateGroup blocks the links between some servers and all others until undone.
func isolateGroup(cluster *simulation.Cluster, group []*simulation.Server) (undo func()) {
	var undos []func()
	for _, server := range group {
		for _, other := range cluster.Servers {
			if !slices.Contains(group, other) {
				undos = append(undos, cluster.BlockLink(server.Process, other.Process, true))
			}
		}
	}
	return simulation.UndoAll(undos)
}

// stopServers crashes servers until undone.
func stopServers(_ *simulation.Cluster, group []*simulation.Server) (undo func()) {
	for _, server := range group {
		server.Crash()
	}
	return func() {
		for _, server := range group {
			if !server.Up {
				server.Start()
			}
		}
	}
}

// votersExcept picks up to count voters other than the given servers; turn varies the
// choice.
func votersExcept(cluster *simulation.Cluster, except []*simulation.Server, count, turn int) []*simulation.Server {
	var picked []*simulation.Server
	voters, _ := cluster.Voters()
	for i := range voters {
		server := cluster.ServerByID(voters[(i+turn)%len(voters)].ID)
		if server != nil && !slices.Contains(except, server) && len(picked) < count {
			picked = append(picked, server)
		}
	}
	return picked
}

// TestDisksLostAfterLongAbsence has two voters absent for 11 to 13 s, and then loses as many
// disks of present servers as are tolerated, while all others lose power.
func TestDisksLostAfterLongAbsence(t *testing.T) {
	t.Parallel()
	for name, leave := range absences {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			eachLargeCluster(t, func(t *testing.T, spec simulation.ClusterSpec) {
				spec.LossesTolerated = toleratedDisks
				for seed := int64(1); seed <= 5; seed++ {
					disksLostAfterAbsence(t, spec, seed, leave)
				}
			})
		})
	}
}

func disksLostAfterAbsence(t *testing.T, spec simulation.ClusterSpec, seed int64, leave func(*simulation.Cluster, []*simulation.Server) func()) {
	const (
		downTime  = 1000
		serviceIn = 12_000
		// The disks that are kept are slower by diskDelay for slowSpan before the loss.
		slowSpan  = 1500
		diskDelay = 2000
	)
	spec.ElectionTimeout = 250
	lossAt := absenceAt + minAbsence + 400*seed
	served, voters := false, 0
	simulationtest.RunScenario(t, simulation.Scenario{
		Seed: 2500 + seed, Spec: spec, Window: 38_000, Recovery: 70_000,
		Setup: func(cluster *simulation.Cluster) {
			var away, lost []*simulation.Server
			back := func() {}
			cluster.At(absenceAt, func() {
				away = votersExcept(cluster, nil, 2, int(seed))
				back = leave(cluster, away)
			})
			cluster.At(lossAt-slowSpan, func() {
				lost = votersExcept(cluster, away, toleratedDisks, int(seed/2))
				slowDisks(cluster, lost, diskDelay)
			})
			cluster.At(lossAt, func() {
				list, _ := cluster.Voters()
				voters = len(list)
				for _, server := range lost {
					server.WipeDisk()
				}
				losePower(cluster, downTime)
				slowDisks(cluster, nil, 0)
				back()
			})
			scenario := &lossScenario{Cluster: cluster}
			cluster.At(lossAt+downTime+serviceIn, func() { served = scenario.hasServingLeader() })
		},
	})
	if !served {
		t.Errorf("seed %d: two of %d voters lost, there is no leader %d ms after the machines have restarted", seed, voters, serviceIn)
	}
}

// TestMembersRejoinAfterLongAbsence checks that servers which were removed because of a
// long absence soon become members again, and that the group then has five voters,
// whichever half of the servers was absent.
func TestMembersRejoinAfterLongAbsence(t *testing.T) {
	t.Parallel()
	for name, leave := range absences {
		for _, tolerated := range []int{0, toleratedDisks} {
			t.Run(fmt.Sprintf("%s, %d tolerated", name, tolerated), func(t *testing.T) {
				t.Parallel()
				eachLargeCluster(t, func(t *testing.T, spec simulation.ClusterSpec) {
					spec.ElectionTimeout, spec.LossesTolerated = 250, tolerated
					for seed := int64(1); seed <= 4; seed++ {
						simulationtest.RunScenario(t, simulation.Scenario{
							Seed: 2600 + seed, Spec: spec, Window: 62_000, Recovery: 70_000,
							Setup: func(cluster *simulation.Cluster) {
								absentInTurn(t, cluster, seed, leave)
							},
						})
					}
				})
			})
		}
	}
}

// absentInTurn has two voters absent, then two others, then half of the servers.
func absentInTurn(t *testing.T, cluster *simulation.Cluster, seed int64, leave func(*simulation.Cluster, []*simulation.Server) func()) {
	for turn, count := range []int{2, 2, len(cluster.Servers) / 2} {
		at := absenceAt + int64(turn)*(minAbsence+rejoinWithin)
		span := minAbsence + 40*seed
		cluster.At(at, func() {
			back := leave(cluster, votersExcept(cluster, nil, count, int(seed)+turn))
			cluster.After(span, back)
		})
		cluster.At(at+span+rejoinWithin-200, func() {
			requireSpreadVoters(t, cluster, fmt.Sprintf("seed %d, absence %d is over", seed, turn+1))
		})
	}
}
