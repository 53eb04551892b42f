package membership

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// The larger sites: of their core machines two may be lost at once, or a zone.
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

func eachLargeCluster(t *testing.T, scene func(t *testing.T, site simulation.ClusterSpec)) {
	for name, site := range map[string]simulation.ClusterSpec{"6 in 3": sixInThreeDomains(), "8 in 4": eightInFourDomains()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scene(t, site)
		})
	}
}

// maxLag is how far behind a member may be, on its disk, when it becomes a voter:
// what the leader allows, and what is decided while word of it travels.
const maxLag = 64 + 40

// requireCaughtUpVoters fails the test when a voter is found that did not have the log on its
// disk when it became one.
func requireCaughtUpVoters(t *testing.T, cluster *simulation.Cluster) *int {
	known := map[identifier.Node]bool{}
	risen := new(int)
	var look func()
	look = func() {
		list, _ := cluster.Voters()
		for _, mem := range list {
			if known[mem.ID] {
				continue
			}
			if len(known) >= 3 {
				*risen++
				saved, most := identifier.Index(0), cluster.Leader().Machine.Raft().CommitIndex()
				if server := cluster.ServerByID(mem.ID); server != nil {
					saved = server.PersistedIndex
				}
				if saved == 0 || saved+maxLag < most {
					t.Errorf("at %d %s became a voter with its log at %d, committed is %d", cluster.Now, mem.Addr, saved, most)
				}
			}
			known[mem.ID] = true
		}
		cluster.After(5, look)
	}
	cluster.At(1000, look)
	return risen
}

// requireSpreadVoters fails the test unless five vote, as evenly over the zones as can be.
func requireSpreadVoters(t *testing.T, cluster *simulation.Cluster, when string) {
	t.Helper()
	list, held := cluster.Voters()
	counts := []int{}
	for _, n := range held {
		counts = append(counts, n)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(counts)))
	want := "[2 2 1]"
	if cluster.Spec.ServerDomains == 4 {
		want = "[2 1 1 1]"
	}
	if fmt.Sprint(counts) != want {
		t.Errorf("%s, at %d: %d voters, by zone %v, want %s", when, cluster.Now, len(list), held, want)
	}
}

// TestFiveVoters: a larger site comes to have five voters, and keeps three when
// three of its machines stay away.
func TestFiveVoters(t *testing.T) {
	eachLargeCluster(t, func(t *testing.T, site simulation.ClusterSpec) {
		simulationtest.RunScenario(t, simulation.Scenario{Seed: 301, Spec: site, Window: 45000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
			requireCaughtUpVoters(t, cluster)
			cluster.Spec.LoadPercent = 40
			cluster.At(7000, func() { requireSpreadVoters(t, cluster, "founded") })
			left := []*simulation.Server{}
			for i := int64(0); i < int64(site.Servers)-4; i++ {
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
				if list, held := cluster.Voters(); len(list) != 3 {
					t.Errorf("with four alive for long: %d voters, by zone %v", len(list), held)
				}
				for _, server := range left {
					server.Start()
				}
			})
			cluster.At(44000, func() { requireSpreadVoters(t, cluster, "all are back") })
		}})
	})
}

// TestDomainLost takes the power from each zone in turn, and then all of a zone's
// machines for good, to be replaced by empty ones.
func TestDomainLost(t *testing.T) {
	eachLargeCluster(t, func(t *testing.T, site simulation.ClusterSpec) {
		for seed, zone := range site.ServerDomainNames() {
			gap, risen := int64(0), new(int)
			simulationtest.RunScenario(t, simulation.Scenario{Seed: 310 + int64(seed), Spec: site, Window: 50000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
				risen = requireCaughtUpVoters(t, cluster)
				cluster.Spec.LoadPercent = 40
				cluster.MeasureOutage(7000, 49000, &gap)
				var back func()
				cluster.At(9000, func() { back = cluster.CrashDomain(zone) })
				cluster.At(15000, func() {
					if cluster.Leader() == nil {
						t.Errorf("zone %s is lost, and 6 s later nobody leads", zone)
					}
					back()
				})
				cluster.At(24000, func() { requireSpreadVoters(t, cluster, "zone "+zone+" is back") })
				cluster.At(26000, func() {
					for _, server := range cluster.Servers {
						if server.Domain == zone {
							server.WipeDisk()
							server.DiskDelay = 300
							cluster.After(9000, server.Start)
						}
					}
				})
				cluster.At(34000, func() {
					if cluster.Leader() == nil {
						t.Errorf("zone %s is gone for good, and 8 s later nobody leads", zone)
					}
				})
				cluster.At(40000, func() {
					for _, server := range cluster.Servers {
						server.DiskDelay = 0
					}
				})
				cluster.At(49000, func() { requireSpreadVoters(t, cluster, "zone "+zone+" is replaced") })
			}})
			if gap > 12000 || *risen < 2 {
				t.Errorf("zone %s: longest without an answer %d ms, %d became voters", zone, gap, *risen)
			}
			t.Logf("zone %s: longest without an answer %d ms; %d became voters later", zone, gap, *risen)
		}
	})
}

// twoVoters picks two voters, the leader one of them or not, of different zones.
func twoVoters(cluster *simulation.Cluster, lead bool) []*simulation.Server {
	var list []*simulation.Server
	voters, _ := cluster.Voters()
	for _, mem := range voters {
		server := cluster.ServerByID(mem.ID)
		switch {
		case server == nil, len(list) == 1 && server.Domain == list[0].Domain, !lead && server == cluster.Leader():
		case len(list) < 2:
			list = append(list, server)
		}
	}
	if lead && len(list) == 2 && list[0] != cluster.Leader() && list[1] != cluster.Leader() {
		list[1] = cluster.Leader()
	}
	return list
}

// TestTwoLostAtOnce takes two voters at the same moment; one or both of them
// come back empty, on slow disks. Nobody votes before it has caught up, and in
// the midst of it a third machine may go for a while.
func TestTwoLostAtOnce(t *testing.T) {
	eachLargeCluster(t, func(t *testing.T, site simulation.ClusterSpec) {
		for seed := int64(0); seed < 4; seed++ {
			gap, risen := int64(0), new(int)
			simulationtest.RunScenario(t, simulation.Scenario{Seed: 330 + seed, Spec: site, Window: 45000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
				risen = requireCaughtUpVoters(t, cluster)
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
						t.Errorf("seed %d: two are lost, and nobody leads", seed)
						return
					}
					cluster.After(3000, cluster.CrashServer(cluster.Leader()))
				})
				cluster.At(19000, func() {
					if cluster.Leader() == nil {
						t.Errorf("seed %d: the next leader is lost, and nobody leads", seed)
					}
				})
				cluster.At(22000, func() {
					for _, server := range cluster.Servers {
						server.DiskDelay = 0
					}
				})
				cluster.At(40000, func() { requireSpreadVoters(t, cluster, "all are back") })
			}})
			if gap > 12000 || *risen < 2 {
				t.Errorf("seed %d: longest without an answer %d ms, %d became voters", seed, gap, *risen)
			}
			t.Logf("seed %d: longest without an answer %d ms; %d became voters later", seed, gap, *risen)
		}
	})
}

// TestLeaderReplacedOldSeeds replaces two leaders, the second of them none of
// the first start's seeds, by empty machines at other addresses that know only
// the addresses of the first start.
func TestLeaderReplacedOldSeeds(t *testing.T) {
	eachLargeCluster(t, func(t *testing.T, site simulation.ClusterSpec) {
		simulationtest.RunScenario(t, simulation.Scenario{Seed: 341, Spec: site, Window: 45000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
			requireCaughtUpVoters(t, cluster)
			cluster.Spec.LoadPercent = 40
			seed := func(server *simulation.Server) bool {
				return server != nil && strings.Contains(strings.Join(cluster.Seeds, " "), server.Name)
			}
			replace := func() {
				for i, server := range cluster.Servers {
					if server == cluster.Leader() {
						cluster.ReplaceServer(server)
						cluster.Servers[i].Seeds = cluster.Seeds
						return
					}
				}
				t.Errorf("at %d nobody leads", cluster.Now)
			}
			cluster.At(9000, replace)
			for at := int64(13000); at < 28000; at += 3000 {
				cluster.At(at, func() {
					if server := cluster.Leader(); seed(server) {
						cluster.After(1500, cluster.CrashServer(server))
					}
				})
			}
			cluster.At(30000, func() {
				if seed(cluster.Leader()) {
					t.Error("too little evidence: a seed leads still")
				}
				replace()
			})
			cluster.At(42000, func() {
				requireSpreadVoters(t, cluster, "two leaders were replaced")
				fresh := 0
				for _, mem := range cluster.Leader().Machine.Raft().Members() {
					if strings.HasSuffix(mem.Addr, "b") {
						fresh++
					}
				}
				if fresh != 2 {
					t.Errorf("two leaders were replaced, members are: %v", cluster.Leader().Machine.Raft().Members())
				}
			})
		}})
	})
}

// TestAllKilled kills every keeper at once, again and again, each back within a
// second. With the timing of the platform there is a leader again within 2 s of
// the last one's return, and nothing acknowledged is lost.
func TestAllKilled(t *testing.T) {
	eachLargeCluster(t, func(t *testing.T, site simulation.ClusterSpec) {
		site.ElectionTimeout = 250
		gaps := []int64{}
		for seed := int64(351); seed < 354; seed++ {
			simulationtest.RunScenario(t, simulation.Scenario{Seed: seed, Spec: site, Window: 30000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
				for i := int64(0); i < 4; i++ {
					at := 8000 + i*5000 + seed*7%100
					cluster.At(at, func() {
						last := int64(0)
						for _, server := range cluster.Servers {
							wait := cluster.Random.Int63n(1000)
							last = max(last, wait)
							cluster.After(wait, cluster.CrashServer(server))
						}
						var look func()
						look = func() {
							if server := cluster.Leader(); server != nil && server.Machine.Raft().CommitIndex() >= server.Machine.Raft().TermStart() {
								gaps = append(gaps, cluster.Now-at-last)
								return
							}
							if cluster.Now-at-last > 2000 {
								t.Errorf("seed %d: all are back for 2 s, and nobody leads", seed)
								return
							}
							cluster.After(5, look)
						}
						cluster.After(last, look)
					})
				}
			}})
		}
		t.Logf("from the last one's return to a leader: %v ms", gaps)
	})
}
