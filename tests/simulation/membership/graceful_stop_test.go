package membership

import (
	"fmt"
	"testing"

	"orchidward/internal/consensus/raft"
	"orchidward/tests/simulation"
)

// stopDrainDelay is how long a server goes on serving after it was told to stop, as
// the daemons do.
const stopDrainDelay = 900

// stopGracefully tells a keeper to stop; its process ends once it has left and the
// parting is over, and begins again after so many ms; 0 is never.
func stopGracefully(cluster *simulation.Cluster, server *simulation.Server, away int64) {
	life, told := server.Incarnation, cluster.Now
	server.Machine.Leave()
	server.Flush()
	var look func()
	look = func() {
		switch {
		case server.Incarnation != life || !server.Up:
		case server.Machine.Left() && cluster.Now >= told+stopDrainDelay:
			server.Stop()
			if away > 0 {
				cluster.After(away, server.Start)
			}
		default:
			cluster.After(10, look)
		}
	}
	look()
}

// submitter hands in a small job every few ms at the gates and measures the
// longest time between two acceptances, and the answers that say neither.
type submitter struct {
	cluster         *simulation.Cluster
	lastAcceptedAt  int64
	longestGap      int64
	longestAt       int64
	accepted        int
	unknownOutcomes int
}

const (
	submitInterval = 8
	orderInterval  = 17
)

// begin hands jobs in until a moment, and orders beside them where asked to.
func (g *submitter) start(until int64, orders bool) {
	cluster := g.cluster
	body := []byte(`{"pending":"default","steps":[{"name":"s","tasks":1,"spanMs":50}]}`)
	var next func(n int)
	next = func(n int) {
		g.submit(fmt.Sprintf("/v1/jobs/gilde/gap%d", n), body)
		if cluster.Now < until {
			cluster.After(submitInterval, func() { next(n + 1) })
		}
	}
	next(0)
	var order func(n int)
	order = func(n int) {
		g.sendOrder([]string{"PUT", "DELETE"}[n%2])
		if cluster.Now < until {
			cluster.After(orderInterval, func() { order(n + 1) })
		}
	}
	if orders {
		order(0)
	}
}

// order sends one that has no number, so that nobody may send it again.
func (g *submitter) sendOrder(verb string) {
	cluster := g.cluster
	gate := cluster.Gateways[cluster.Random.Intn(len(cluster.Gateways))].Addr
	cluster.Request(cluster.Clients.Process, gate, verb, "/v1/closings/east", nil, 2000, func(status int, _ []byte) {
		if status == 504 || status == 0 {
			g.unknownOutcomes++
		}
	})
}

func (g *submitter) submit(path string, body []byte) {
	cluster := g.cluster
	gate := cluster.Gateways[cluster.Random.Intn(len(cluster.Gateways))].Addr
	cluster.Request(cluster.Clients.Process, gate, "PUT", path, body, 2000, func(status int, _ []byte) {
		if status == 504 || status == 0 {
			g.unknownOutcomes++
		}
		if status != 200 && status != 201 {
			return
		}
		if g.lastAcceptedAt > 0 && cluster.Now-g.lastAcceptedAt > g.longestGap {
			g.longestGap, g.longestAt = cluster.Now-g.lastAcceptedAt, cluster.Now
		}
		g.lastAcceptedAt, g.accepted = cluster.Now, g.accepted+1
	})
}

// TestGracefulStop stops the leader in order, again and again, while jobs are
// handed in every few ms: none of the answers says that an outcome is unknown,
// and the longest span without an accepted job stays under 200 ms.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			site := simulation.FastNetwork()
			site.ElectionTimeout = 250
			cluster := simulation.NewCluster(seed, site)
			g := &submitter{cluster: cluster}
			stops := 0
			cluster.At(7000, func() { g.start(19000, true) })
			for i := int64(0); i < 3; i++ {
				cluster.At(8000+i*3500+seed*13, func() {
					stops++
					stopGracefully(cluster, cluster.Leader(), 500)
				})
			}
			cluster.Run(20000)
			t.Logf("longest span without an accepted job %d ms, to %d; %d accepted, %d of unknown outcome", g.longestGap, g.longestAt, g.accepted, g.unknownOutcomes)
			if stops != 3 || g.accepted < 1200 {
				t.Errorf("too little evidence: %d stops, %d jobs", stops, g.accepted)
			}
			if g.longestGap >= 200 || g.unknownOutcomes > 0 {
				t.Errorf("%d ms without an accepted job to %d, %d answers of unknown outcome", g.longestGap, g.longestAt, g.unknownOutcomes)
			}
		})
	}
}

// TestRollingRestart stops every keeper in order, one after another, leader and
// followers, and starts each again: somebody leads throughout.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	eachLargeCluster(t, func(t *testing.T, site simulation.ClusterSpec) {
		site.ElectionTimeout = 250
		cluster := simulation.NewCluster(31, site)
		g := &submitter{cluster: cluster}
		cluster.At(9000, func() { g.start(9000+int64(site.Servers)*2500, false) })
		for i, server := range cluster.Servers {
			cluster.At(9500+int64(i)*2500, func() { stopGracefully(cluster, server, 800) })
		}
		cluster.Run(9000 + int64(site.Servers)*2500 + 4000)
		t.Logf("longest span without an accepted job %d ms, to %d; %d accepted, %d of unknown outcome", g.longestGap, g.longestAt, g.accepted, g.unknownOutcomes)
		if g.longestGap >= 200 || g.unknownOutcomes > 0 {
			t.Errorf("%d ms without an accepted job to %d, %d answers of unknown outcome", g.longestGap, g.longestAt, g.unknownOutcomes)
		}
		for _, server := range cluster.Servers {
			if server.Machine == nil || server.Machine.Raft() == nil || server.Machine.Raft().Role() == raft.Candidate {
				t.Errorf("%s has not come back", server.Name)
			}
		}
	})
}

// addEmptyServer adds a keeper with an empty disk in a zone, started at once.
func addEmptyServer(cluster *simulation.Cluster, name, zone string) *simulation.Server {
	server := cluster.AddServer(name, zone)
	server.Start()
	return server
}

// isVoter tells whether a keeper has a vote, as the leader has it.
func isVoter(cluster *simulation.Cluster, server *simulation.Server) bool {
	var yes bool
	list, _ := cluster.Voters()
	for _, mem := range list {
		yes = yes || mem.Addr == server.Addr
	}
	return yes
}

// TestPlannedReplacement brings an empty keeper and, some seconds later, stops
// another for good, in order: its seat is the new one's before its process ends,
// so that a second loss may follow at once.
func TestPlannedReplacement(t *testing.T) {
	t.Parallel()
	for _, leads := range []bool{true, false} {
		for seed := int64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprintf("leader %v/%d", leads, seed), func(t *testing.T) {
				t.Parallel()
				plannedReplacement(t, seed, leads)
			})
		}
	}
}

func plannedReplacement(t *testing.T, seed int64, leads bool) {
	site := simulation.FastNetwork()
	site.ElectionTimeout = 250
	cluster := simulation.NewCluster(seed, site)
	var old, fresh *simulation.Server
	cluster.At(7000, func() { fresh = addEmptyServer(cluster, "k9", "north") })
	cluster.At(10000, func() {
		old = cluster.Leader()
		for _, server := range cluster.Servers {
			if !leads && server != cluster.Leader() && server != fresh {
				old = server
			}
		}
		stopGracefully(cluster, old, 0)
	})
	cluster.At(10000+stopDrainDelay, func() {
		if !isVoter(cluster, fresh) || isVoter(cluster, old) {
			list, _ := cluster.Voters()
			t.Errorf("%s is about to end, and those that vote are %v", old.Name, list)
		}
	})
	cluster.At(10000+stopDrainDelay+50, func() {
		for _, server := range cluster.Servers {
			if server.Up && server != fresh {
				cluster.CrashServer(server)
				return
			}
		}
	})
	cluster.Run(13500)
	if cluster.Leader() == nil {
		t.Error("a second loss right after a planned replacement, and nobody leads")
	}
}

// leavingServerLosses are the ways in which a server is lost while it leaves.
var leavingServerLosses = map[string]func(w *simulation.Cluster, k *simulation.Server) (undo func()){
	"killed": func(w *simulation.Cluster, k *simulation.Server) func() { return w.CrashServer(k) },
	"frozen": func(w *simulation.Cluster, k *simulation.Server) func() { return w.Freeze(k.Process) },
	"alone":  func(w *simulation.Cluster, k *simulation.Server) func() { return w.Isolate(k.Process, true, true) },
}

// TestServerLostWhileLeaving loses a server midway through its orderly stop, leader or
// follower, at offsets from the order on: the others go on, and when it is back,
// with the disk that it had, it is one of them again.
func TestServerLostWhileLeaving(t *testing.T) {
	t.Parallel()
	for how, lose := range leavingServerLosses {
		for _, leads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leader %v", how, leads), func(t *testing.T) {
				t.Parallel()
				for i, offset := range []int64{0, 9, 30, 400} {
					loseLeavingServer(t, int64(i)+1, leads, offset, lose)
				}
			})
		}
	}
}

func loseLeavingServer(t *testing.T, seed int64, leads bool, offset int64, lose func(cluster *simulation.Cluster, server *simulation.Server) (undo func())) {
	site := simulation.FastNetwork()
	site.ElectionTimeout = 250
	cluster := simulation.NewCluster(seed, site)
	g := &submitter{cluster: cluster}
	cluster.At(7000, func() { g.start(13000, false) })
	cluster.At(8000, func() {
		server := cluster.Leader()
		for _, one := range cluster.Servers {
			if !leads && one != cluster.Leader() {
				server = one
			}
		}
		server.Machine.Leave()
		server.Flush()
		cluster.After(offset, func() {
			undo := lose(cluster, server)
			cluster.After(4000, undo)
		})
	})
	cluster.Run(16000)
	if g.longestGap > 2000 || g.accepted < 500 {
		t.Errorf("offset %d: %d ms without an accepted job to %d, %d accepted", offset, g.longestGap, g.longestAt, g.accepted)
	}
	for _, server := range cluster.Servers {
		if server.Up && server.Machine.Raft().Leader() == 0 {
			t.Errorf("offset %d: %s follows nobody at the end", offset, server.Name)
		}
	}
}
