package membership

import (
	"fmt"
	"math/rand"
	"testing"

	"orchidward/tests/simulation"
)

// setSeeds sets the seeds of all servers for their first start.
func setSeeds(cluster *simulation.Cluster, seeds ...string) {
	cluster.Seeds = seeds
	for _, server := range cluster.Servers {
		server.Seeds = seeds
	}
}

// leadersWithLease counts the leaders that hold a lease: a group never has more than one,
// so two of them imply two groups.
func leadersWithLease(cluster *simulation.Cluster) int {
	var n int
	for _, server := range cluster.Servers {
		if server.IsLeader() && server.Machine.Raft().HasLease(cluster.Monotonic(server.Process)) {
			n++
		}
	}
	return n
}

// requireSingleGroup fails the test if two leaders hold a lease at the same time.
func requireSingleGroup(t *testing.T, cluster *simulation.Cluster, seed int64) {
	reported := false
	var check func()
	check = func() {
		if leadersWithLease(cluster) > 1 && !reported {
			reported = true
			t.Errorf("seed %d, at %d: two groups", seed, cluster.Now)
		}
		cluster.After(10, check)
	}
	cluster.At(10, check)
}

// TestSingleGroupFounded injects crashes, isolation and a lost disk at random times of a
// first start with diskless servers among the seeds. There must never be two groups, and
// if no disk was lost there must be one in the end.
func TestSingleGroupFounded(t *testing.T) {
	t.Parallel()
	ends := map[bool]int{}
	for seed := int64(1); seed <= 150; seed++ {
		spec := simulation.FastNetwork()
		spec.Servers, spec.DisklessServers, spec.Runners = 4+int(seed%3), 2, 0
		cluster := simulation.NewCluster(seed, spec)
		cluster.Clients.StopAt = 0
		setSeeds(cluster, "k1", "k2", "p1")
		if seed%5 == 0 {
			setSeeds(cluster, "k1", "p1", "p2")
		}
		requireSingleGroup(t, cluster, seed)
		rnd := rand.New(rand.NewSource(seed))
		undos := []func(){}
		for at := int64(500); at < 9000; at += 200 + rnd.Int63n(900) {
			cluster.At(at, func() { undos = append(undos, injectFoundingFault(cluster, rnd)) })
		}
		wiped := seed%2 == 0
		if wiped {
			server := cluster.Servers[rnd.Intn(2)]
			at := 2800 + rnd.Int63n(3500)
			cluster.At(at, server.WipeDisk)
			cluster.At(at+rnd.Int63n(2000), func() {
				if !server.Up {
					server.Start()
				}
			})
		}
		cluster.At(10000, func() {
			simulation.UndoAll(undos)()
			cluster.Heal()
		})
		cluster.Run(30000)
		ends[cluster.Leader() != nil]++
		if cluster.Leader() == nil && !wiped {
			t.Errorf("seed %d: no group although no disk was lost", seed)
		}
	}
	t.Logf("of 150 first starts %d founded a group, %d did not", ends[true], ends[false])
	if ends[true] < 100 {
		t.Error("too little evidence")
	}
}

func injectFoundingFault(cluster *simulation.Cluster, rnd *rand.Rand) func() {
	var undo func()
	server := cluster.Servers[rnd.Intn(len(cluster.Servers))]
	other := cluster.Servers[rnd.Intn(len(cluster.Servers))]
	wait := rnd.Int63n(2500)
	switch rnd.Intn(3) {
	case 0:
		undo = cluster.CrashServer(server)
	case 1:
		undo = cluster.Isolate(server.Process, rnd.Intn(2) == 0, rnd.Intn(2) == 0)
	default:
		undo = cluster.BlockLink(server.Process, other.Process, rnd.Intn(2) == 0)
	}
	if undo == nil {
		return func() {}
	}
	cluster.After(wait, undo)
	return func() {}
}

// TestSeedWiped crashes all servers and wipes one or both of the seeds that have a disk,
// while the diskless servers among the seeds lose their knowledge of the group. A server
// that restarts empty must wait until it learns of the existing group.
func TestSeedWiped(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			spec := sixInThreeDomains()
			spec.DisklessServers, spec.Runners = 2, 0
			if seed%2 == 0 {
				spec.ElectionTimeout = 250
			}
			cluster := simulation.NewCluster(390+seed, spec)
			cluster.Clients.StopAt = 0
			wiped := cluster.Servers[:1+seed/2%2]
			setSeeds(cluster, "k1", "p1", "p2")
			if len(wiped) == 2 {
				setSeeds(cluster, "k1", "k2", "p1")
			}
			requireSingleGroup(t, cluster, seed)
			cluster.At(18000, func() {
				if list, _ := cluster.Voters(); len(list) != 5 {
					t.Errorf("before: %d voters", len(list))
				}
				for _, server := range cluster.Servers {
					server.Crash()
					cluster.After(cluster.Random.Int63n(1000), server.Start)
				}
				for _, server := range wiped {
					server.WipeDisk()
				}
			})
			cluster.Run(45000)
			if list, _ := cluster.Voters(); len(list) != 5 {
				t.Errorf("at the end: %d voters", len(list))
			}
			for _, server := range cluster.Servers[:6] {
				if server.Machine.Raft() == nil || len(server.Machine.Raft().Members()) != 6 {
					t.Errorf("%s is not in the group of six", server.Name)
				}
			}
		})
	}
}
