package membership

import (
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/consensus/raft"
	"orchidward/tests/simulation"
)

// stopDrainDelay is how long a server continues to serve when it stops gracefully, in ms,
// as in the daemons.
const stopDrainDelay = 900

// stopGracefully stops a server: its process ends once it has left the group and
// stopDrainDelay has passed, and starts again after downtime ms, or never if downtime is 0.
func stopGracefully(cluster *simulation.Cluster, server *simulation.Server, downtime int64) {
	incarnation, stoppedAt := server.Incarnation, cluster.Now
	server.Machine.Leave()
	server.Flush()
	var awaitLeave func()
	awaitLeave = func() {
		switch {
		case server.Incarnation != incarnation || !server.Up:
		case server.Machine.Left() && cluster.Now >= stoppedAt+stopDrainDelay:
			server.Stop()
			if downtime > 0 {
				cluster.After(downtime, server.Start)
			}
		default:
			cluster.After(10, awaitLeave)
		}
	}
	awaitLeave()
}

// submitter submits a small job every few ms, measures the longest time between two
// accepted jobs, and counts the responses of unknown outcome.
type submitter struct {
	cluster         *simulation.Cluster
	lastAcceptedAt  int64
	longestGap      int64
	longestAt       int64
	accepted        int
	unknownOutcomes int
}

// log logs the longest span without an accepted job, and the number of jobs by outcome.
func (s *submitter) log(t *testing.T) {
	t.Helper()
	t.Logf("longest span without an accepted job %d ms, until %d; %d accepted, %d of unknown outcome",
		s.longestGap, s.longestAt, s.accepted, s.unknownOutcomes)
}

const (
	submitInterval = 8
	orderInterval  = 17
)

// start submits jobs until a time, and with orders set also sends drain orders.
func (s *submitter) start(until int64, orders bool) {
	cluster := s.cluster
	body := []byte(`{"pending":"default","steps":[{"name":"s","tasks":1,"spanMs":50}]}`)
	var next func(n int)
	next = func(n int) {
		s.submit(fmt.Sprintf("/v1/jobs/gilde/gap%d", n), body)
		if cluster.Now < until {
			cluster.After(submitInterval, func() { next(n + 1) })
		}
	}
	next(0)
	var order func(n int)
	order = func(n int) {
		s.sendOrder([]string{http.MethodPut, http.MethodDelete}[n%2])
		if cluster.Now < until {
			cluster.After(orderInterval, func() { order(n + 1) })
		}
	}
	if orders {
		order(0)
	}
}

// sendOrder sends an order without a version, which must not be resent.
func (s *submitter) sendOrder(method string) {
	cluster := s.cluster
	gateway := cluster.Gateways[cluster.Random.Intn(len(cluster.Gateways))].Addr
	cluster.Request(cluster.Clients.Process, gateway, method, endpoint.DrainPath("east"), nil, 2000, func(status int, _ []byte) {
		if status == http.StatusGatewayTimeout || status == 0 {
			s.unknownOutcomes++
		}
	})
}

func (s *submitter) submit(path string, body []byte) {
	cluster := s.cluster
	gateway := cluster.Gateways[cluster.Random.Intn(len(cluster.Gateways))].Addr
	cluster.Request(cluster.Clients.Process, gateway, http.MethodPut, path, body, 2000, func(status int, _ []byte) {
		if status == http.StatusGatewayTimeout || status == 0 {
			s.unknownOutcomes++
		}
		if status != http.StatusOK && status != http.StatusCreated {
			return
		}
		if s.lastAcceptedAt > 0 && cluster.Now-s.lastAcceptedAt > s.longestGap {
			s.longestGap, s.longestAt = cluster.Now-s.lastAcceptedAt, cluster.Now
		}
		s.lastAcceptedAt, s.accepted = cluster.Now, s.accepted+1
	})
}

// TestGracefulStop repeatedly stops the leader gracefully while jobs are submitted every
// few ms: no outcome may be unknown, and the longest span without an accepted job must stay
// under 200 ms.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			spec := simulation.FastNetwork()
			spec.ElectionTimeout = 250
			cluster := simulation.NewCluster(seed, spec)
			load := &submitter{cluster: cluster}
			stops := 0
			cluster.At(7000, func() { load.start(19000, true) })
			for i := int64(0); i < 3; i++ {
				cluster.At(8000+i*3500+seed*13, func() {
					stops++
					stopGracefully(cluster, cluster.Leader(), 500)
				})
			}
			cluster.Run(20000)
			load.log(t)
			if stops != 3 || load.accepted < 1200 {
				t.Errorf("too little evidence: %d stops, %d jobs", stops, load.accepted)
			}
			if load.longestGap >= 200 || load.unknownOutcomes > 0 {
				t.Errorf("%d ms without an accepted job to %d, %d answers of unknown outcome", load.longestGap, load.longestAt, load.unknownOutcomes)
			}
		})
	}
}

// TestRollingRestart stops and restarts every server gracefully, one after another: jobs
// must be accepted throughout.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	eachLargeCluster(t, func(t *testing.T, spec simulation.ClusterSpec) {
		spec.ElectionTimeout = 250
		cluster := simulation.NewCluster(31, spec)
		load := &submitter{cluster: cluster}
		cluster.At(9000, func() { load.start(9000+int64(spec.Servers)*2500, false) })
		for i, server := range cluster.Servers {
			cluster.At(9500+int64(i)*2500, func() { stopGracefully(cluster, server, 800) })
		}
		cluster.Run(9000 + int64(spec.Servers)*2500 + 4000)
		load.log(t)
		if load.longestGap >= 200 || load.unknownOutcomes > 0 {
			t.Errorf("%d ms without an accepted job to %d, %d answers of unknown outcome", load.longestGap, load.longestAt, load.unknownOutcomes)
		}
		for _, server := range cluster.Servers {
			if server.Machine == nil || server.Machine.Raft() == nil || server.Machine.Raft().Role() == raft.Candidate {
				t.Errorf("%s has not rejoined the group", server.Name)
			}
		}
	})
}

// addEmptyServer adds a server with an empty disk and starts it.
func addEmptyServer(cluster *simulation.Cluster, name, domain string) *simulation.Server {
	server := cluster.AddServer(name, domain)
	server.Start()
	return server
}

// isVoter reports whether a server is a voter in the leader's member list.
func isVoter(cluster *simulation.Cluster, server *simulation.Server) bool {
	var yes bool
	list, _ := cluster.Voters()
	for _, member := range list {
		yes = yes || member.Addr == server.Addr
	}
	return yes
}

// TestPlannedReplacement adds an empty server and, some seconds later, stops another one
// gracefully for good: the new server must become a voter in its place before its process
// ends, so that the group tolerates a second loss right after.
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
	spec := simulation.FastNetwork()
	spec.ElectionTimeout = 250
	cluster := simulation.NewCluster(seed, spec)
	var leaving, replacement *simulation.Server
	cluster.At(7000, func() { replacement = addEmptyServer(cluster, "k9", "north") })
	cluster.At(10000, func() {
		leaving = cluster.Leader()
		for _, server := range cluster.Servers {
			if !leads && server != cluster.Leader() && server != replacement {
				leaving = server
			}
		}
		stopGracefully(cluster, leaving, 0)
	})
	cluster.At(10000+stopDrainDelay, func() {
		if !isVoter(cluster, replacement) || isVoter(cluster, leaving) {
			list, _ := cluster.Voters()
			t.Errorf("%s is about to end, but the voters are %v", leaving.Name, list)
		}
	})
	cluster.At(10000+stopDrainDelay+50, func() {
		for _, server := range cluster.Servers {
			if server.Up && server != replacement {
				cluster.CrashServer(server)
				return
			}
		}
	})
	cluster.Run(13500)
	if cluster.Leader() == nil {
		t.Error("after a second loss right after a planned replacement there is no leader")
	}
}

// leavingServerLosses are the ways in which a server is lost while it leaves.
var leavingServerLosses = map[string]func(c *simulation.Cluster, s *simulation.Server) (undo func()){
	"killed":   func(c *simulation.Cluster, s *simulation.Server) func() { return c.CrashServer(s) },
	"frozen":   func(c *simulation.Cluster, s *simulation.Server) func() { return c.Freeze(s.Process) },
	"isolated": func(c *simulation.Cluster, s *simulation.Server) func() { return c.Isolate(s.Process, true, true) },
}

// TestServerLostWhileLeaving loses a server, the leader or a follower, at offsets within
// its graceful stop: the others must continue, and the server must follow a leader again
// once it is back with its disk.
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
	spec := simulation.FastNetwork()
	spec.ElectionTimeout = 250
	cluster := simulation.NewCluster(seed, spec)
	load := &submitter{cluster: cluster}
	cluster.At(7000, func() { load.start(13000, false) })
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
	if load.longestGap > 2000 || load.accepted < 500 {
		t.Errorf("offset %d: %d ms without an accepted job to %d, %d accepted", offset, load.longestGap, load.longestAt, load.accepted)
	}
	for _, server := range cluster.Servers {
		if server.Up && server.Machine.Raft().Leader() == 0 {
			t.Errorf("offset %d: %s knows no leader at the end", offset, server.Name)
		}
	}
}
