package membership

import (
	"fmt"
	"sort"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// sixInThreeDomains and eightInFourDomains specify larger clusters, which tolerate the
// simultaneous loss of two servers, or of a domain.
func sixInThreeDomains() simulation.ClusterSpec {
	s := simulation.FastNetwork()
	s.Servers = 6
	return s
}

func eightInFourDomains() simulation.ClusterSpec {
	s := simulation.FastNetwork()
	s.Servers, s.ServerDomains = 8, 4
	return s
}

func eachLargeCluster(t *testing.T, test func(t *testing.T, spec simulation.ClusterSpec)) {
	for name, spec := range map[string]simulation.ClusterSpec{"6 in 3": sixInThreeDomains(), "8 in 4": eightInFourDomains()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, spec)
		})
	}
}

// maxLag is how many entries a member's disk may be behind when it becomes a voter: the
// lag that the leader allows, plus the entries that commit until the member list arrives.
const maxLag = 64 + 40

// requireCaughtUpVoters fails the test if a server becomes a voter without the log on its
// disk. It returns the number of servers that became voters after the first three.
func requireCaughtUpVoters(t *testing.T, cluster *simulation.Cluster) *int {
	known := map[identifier.Node]bool{}
	promoted := new(int)
	var check func()
	check = func() {
		list, _ := cluster.Voters()
		for _, member := range list {
			if known[member.ID] {
				continue
			}
			if len(known) >= 3 {
				*promoted++
				persisted, committed := identifier.Index(0), cluster.Leader().Machine.Raft().CommitIndex()
				if server := cluster.ServerByID(member.ID); server != nil {
					persisted = server.PersistedIndex
				}
				if persisted == 0 || persisted+maxLag < committed {
					t.Errorf("at %d %s became a voter with its log at %d, commit index %d", cluster.Now, member.Addr, persisted, committed)
				}
			}
			known[member.ID] = true
		}
		cluster.After(5, check)
	}
	cluster.At(1000, check)
	return promoted
}

// requireSpreadVoters fails the test unless there are five voters, spread evenly over the
// domains.
func requireSpreadVoters(t *testing.T, cluster *simulation.Cluster, when string) {
	t.Helper()
	list, byDomain := cluster.Voters()
	counts := []int{}
	for _, n := range byDomain {
		counts = append(counts, n)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(counts)))
	want := "[2 2 1]"
	if cluster.Spec.ServerDomains == 4 {
		want = "[2 1 1 1]"
	}
	if fmt.Sprint(counts) != want {
		t.Errorf("%s, at %d: %d voters, by domain %v, want %s", when, cluster.Now, len(list), byDomain, want)
	}
}

// TestFiveVoters checks that a larger cluster gets five voters, and three when all but
// four of its servers stay down.
func TestFiveVoters(t *testing.T) {
	t.Parallel()
	eachLargeCluster(t, func(t *testing.T, spec simulation.ClusterSpec) {
		simulationtest.RunScenario(t, simulation.Scenario{Seed: 301, Spec: spec, Window: 45000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
			requireCaughtUpVoters(t, cluster)
			cluster.Spec.LoadPercent = 40
			cluster.At(7000, func() { requireSpreadVoters(t, cluster, "founded") })
			left := []*simulation.Server{}
			for i := int64(0); i < int64(spec.Servers)-4; i++ {
				cluster.At(8000+i*4000, func() {
					for _, server := range cluster.Servers {
						if server.Up && server != cluster.Leader() {
							cluster.CrashServer(server)
							left = append(left, server)
							return
						}
					}
				})
			}
			cluster.At(36000, func() {
				if list, byDomain := cluster.Voters(); len(list) != 3 {
					t.Errorf("with four servers left: %d voters, by domain %v", len(list), byDomain)
				}
				for _, server := range left {
					server.Start()
				}
			})
			cluster.At(44000, func() { requireSpreadVoters(t, cluster, "all are back") })
		}})
	})
}

// TestDomainLost crashes each domain in turn, and then wipes all servers of the domain,
// which later restart empty.
func TestDomainLost(t *testing.T) {
	t.Parallel()
	eachLargeCluster(t, func(t *testing.T, spec simulation.ClusterSpec) {
		for seed, domain := range spec.ServerDomainNames() {
			gap, promoted := int64(0), new(int)
			simulationtest.RunScenario(t, simulation.Scenario{Seed: 310 + int64(seed), Spec: spec, Window: 50000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
				promoted = requireCaughtUpVoters(t, cluster)
				cluster.Spec.LoadPercent = 40
				cluster.MeasureOutage(7000, 49000, &gap)
				var back func()
				cluster.At(9000, func() { back = cluster.CrashDomain(domain) })
				cluster.At(15000, func() {
					if cluster.Leader() == nil {
						t.Errorf("6 s after the crash of domain %s there is no leader", domain)
					}
					back()
				})
				cluster.At(24000, func() { requireSpreadVoters(t, cluster, "domain "+domain+" is back") })
				cluster.At(26000, func() {
					for _, server := range cluster.Servers {
						if server.Domain == domain {
							server.WipeDisk()
							server.DiskDelay = 300
							cluster.After(9000, server.Start)
						}
					}
				})
				cluster.At(34000, func() {
					if cluster.Leader() == nil {
						t.Errorf("8 s after the disks of domain %s were lost there is no leader", domain)
					}
				})
				cluster.At(40000, func() {
					for _, server := range cluster.Servers {
						server.DiskDelay = 0
					}
				})
				cluster.At(49000, func() { requireSpreadVoters(t, cluster, "domain "+domain+" is replaced") })
			}})
			if gap > 12000 || *promoted < 2 {
				t.Errorf("domain %s: longest outage %d ms, %d became voters", domain, gap, *promoted)
			}
			t.Logf("domain %s: longest outage %d ms; %d became voters later", domain, gap, *promoted)
		}
	})
}

// twoVoters picks two voters of different domains, with or without the leader.
func twoVoters(cluster *simulation.Cluster, leader bool) []*simulation.Server {
	var list []*simulation.Server
	voters, _ := cluster.Voters()
	for _, member := range voters {
		server := cluster.ServerByID(member.ID)
		switch {
		case server == nil, len(list) == 1 && server.Domain == list[0].Domain, !leader && server == cluster.Leader():
		case len(list) < 2:
			list = append(list, server)
		}
	}
	if leader && len(list) == 2 && list[0] != cluster.Leader() && list[1] != cluster.Leader() {
		list[1] = cluster.Leader()
	}
	return list
}

// TestTwoLostAtOnce loses two voters at the same time; one or both of them restart empty,
// on slow disks. No server may become a voter before it has caught up, and the group must
// tolerate that the leader is down for a while in the meantime.
func TestTwoLostAtOnce(t *testing.T) {
	t.Parallel()
	eachLargeCluster(t, func(t *testing.T, spec simulation.ClusterSpec) {
		for seed := int64(0); seed < 4; seed++ {
			gap, promoted := int64(0), new(int)
			simulationtest.RunScenario(t, simulation.Scenario{Seed: 330 + seed, Spec: spec, Window: 45000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
				promoted = requireCaughtUpVoters(t, cluster)
				cluster.Spec.LoadPercent = 60
				cluster.MeasureOutage(7000, 44000, &gap)
				cluster.At(9000, func() {
					requireSpreadVoters(t, cluster, "before")
					for i, server := range twoVoters(cluster, seed%2 == 0) {
						if i == 0 || seed > 1 {
							server.WipeDisk()
							server.DiskDelay = 400
						} else {
							server.Crash()
						}
						cluster.After(2500+int64(i)*500, server.Start)
					}
				})
				cluster.At(14500, func() {
					if cluster.Leader() == nil {
						t.Errorf("seed %d: after the loss of two voters there is no leader", seed)
						return
					}
					cluster.After(3000, cluster.CrashServer(cluster.Leader()))
				})
				cluster.At(19000, func() {
					if cluster.Leader() == nil {
						t.Errorf("seed %d: after the loss of the next leader there is no leader", seed)
					}
				})
				cluster.At(22000, func() {
					for _, server := range cluster.Servers {
						server.DiskDelay = 0
					}
				})
				cluster.At(40000, func() { requireSpreadVoters(t, cluster, "all are back") })
			}})
			if gap > 12000 || *promoted < 2 {
				t.Errorf("seed %d: longest outage %d ms, %d became voters", seed, gap, *promoted)
			}
			t.Logf("seed %d: longest outage %d ms; %d became voters later", seed, gap, *promoted)
		}
	})
}

// TestAllKilled crashes all servers at once, repeatedly; each restarts within a second.
// With the election timeout that users configure there must be a leader within 2 s of the
// last start, and no acknowledged entry may be lost.
func TestAllKilled(t *testing.T) {
	t.Parallel()
	eachLargeCluster(t, func(t *testing.T, spec simulation.ClusterSpec) {
		spec.ElectionTimeout = 250
		gaps := []int64{}
		for seed := int64(351); seed < 354; seed++ {
			simulationtest.RunScenario(t, simulation.Scenario{Seed: seed, Spec: spec, Window: 30000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
				for i := int64(0); i < 4; i++ {
					at := 8000 + i*5000 + seed*7%100
					cluster.At(at, func() {
						last := int64(0)
						for _, server := range cluster.Servers {
							wait := cluster.Random.Int63n(1000)
							last = max(last, wait)
							cluster.After(wait, cluster.CrashServer(server))
						}
						var awaitLeader func()
						awaitLeader = func() {
							if server := cluster.Leader(); server != nil && server.Machine.Raft().CommitIndex() >= server.Machine.Raft().TermStart() {
								gaps = append(gaps, cluster.Now-at-last)
								return
							}
							if cluster.Now-at-last > 2000 {
								t.Errorf("seed %d: 2 s after the last start there is no leader", seed)
								return
							}
							cluster.After(5, awaitLeader)
						}
						cluster.After(last, awaitLeader)
					})
				}
			}})
		}
		t.Logf("from the last server's start to a leader: %v ms", gaps)
	})
}
