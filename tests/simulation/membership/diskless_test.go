package membership

import (
	"fmt"
	"net/http"
	"sort"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/controlplane"
	"orchidward/internal/transport/wire"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

// TestDisklessServers checks that servers without a disk find the group, know its leader,
// and never become members. An empty server and a gateway whose only live seeds are
// diskless join through them, even after the diskless servers were restarted and the leader
// was replaced.
func TestDisklessServers(t *testing.T) {
	t.Parallel()
	spec := simulation.FastNetwork()
	spec.DisklessServers = 2
	simulationtest.RunScenario(t, simulation.Scenario{Seed: 361, Spec: spec, Window: 45000, Recovery: 30000, Setup: func(cluster *simulation.Cluster) {
		cluster.Spec.LoadPercent = 40
		diskless := append([]*simulation.Server(nil), cluster.Servers[3:]...)
		seeds := []string{"p1", "nobody", "p2"}
		requireKnownLeader := func(when string) {
			for _, p := range diskless {
				if !p.Machine.KnowsLeader() || p.Machine.Raft() != nil {
					t.Errorf("%s %s does not know the leader", when, p.Name)
				}
			}
		}
		cluster.At(7000, func() { requireKnownLeader("after founding,") })
		cluster.At(9000, func() {
			server := cluster.Leader()
			server.WipeDisk()
			server.Seeds = seeds
			cluster.After(2500, server.Start)
			cluster.Kill(cluster.Gateways[0].Process)
			cluster.Seeds = seeds
			cluster.Gateways[0].Start()
		})
		cluster.At(14500, func() {
			requireKnownLeader("after the leader was wiped,")
			if !cluster.Gateways[0].Machine.Ready(cluster.Monotonic(cluster.Gateways[0].Process)) {
				t.Error("a gateway whose seeds are diskless servers is not ready")
			}
		})
		cluster.At(20000, func() {
			cluster.After(1000, cluster.CrashServer(diskless[0]))
			cluster.After(1500, cluster.CrashServer(diskless[1]))
		})
		cluster.At(25000, func() {
			requireKnownLeader("after the restart of the diskless servers,")
			for _, server := range cluster.Servers {
				if server == cluster.Leader() {
					cluster.ReplaceServer(server)
					for j := range cluster.Servers {
						if cluster.Servers[j].Name == server.Name+"b" {
							cluster.Servers[j].Seeds = seeds
						}
					}
					break
				}
			}
		})
		cluster.At(38000, func() {
			requireKnownLeader("after the leader was replaced,")
			if cluster.Leader() == nil {
				t.Error("after the leader was replaced, there is no leader")
				return
			}
			list := []string{}
			for _, member := range cluster.Leader().Machine.Raft().Members() {
				list = append(list, fmt.Sprint(member.Addr[:2], member.Voter))
			}
			sort.Strings(list)
			if fmt.Sprint(list) != "[k1true k2true k3true]" {
				t.Errorf("members: %v", list)
			}
		})
	}})
}

// TestDisklessSeeds checks that with one or two diskless servers among the seeds the other
// servers found one group, whatever the order of their starts, and that a server that is
// not a seed joins it.
func TestDisklessSeeds(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 6; seed++ {
		spec := simulation.FastNetwork()
		spec.DisklessServers = 2
		cluster := simulation.NewCluster(370+seed, spec)
		cluster.Clients.StopAt = 0
		cluster.Seeds = []string{"k1", "k2", "p1"}
		if seed%2 == 0 {
			cluster.Seeds = []string{"k2", "p2", "p1"}
		}
		for _, server := range cluster.Servers {
			server.Seeds = cluster.Seeds
		}
		cluster.Run(20000)
		founders := map[string]bool{}
		for _, server := range cluster.Servers[:3] {
			if server.Machine.Raft() == nil {
				t.Errorf("seed %d: %s has no group", seed, server.Name)
				continue
			}
			list := []string{}
			for _, m := range server.Machine.Raft().Members() {
				list = append(list, fmt.Sprint(m.Addr, m.Voter))
			}
			sort.Strings(list)
			founders[fmt.Sprint(list)] = true
		}
		if len(founders) != 1 || !founders["[k1true k2true k3true]"] {
			t.Errorf("seed %d: %v", seed, founders)
		}
	}
}

// TestDisklessServerForwards checks that a diskless server forwards requests to the leader,
// and responds at once that it is not the leader if it knows none.
func TestDisklessServerForwards(t *testing.T) {
	t.Parallel()
	spec := simulation.FastNetwork()
	spec.DisklessServers = 1
	cluster := simulation.NewCluster(362, spec)
	cluster.Clients.StopAt = 0
	diskless := cluster.Servers[3]
	receive := func(from wire.Peer, message wire.Message) {
		monotonic := cluster.Monotonic(diskless.Process)
		diskless.Machine.HandleMessage(from, message, monotonic, cluster.WallTime(diskless.Process))
	}
	ask := func() []wire.Envelope {
		receive("@1", wire.Message{Request: &wire.Request{
			ID:     9,
			Method: http.MethodGet,
			Path:   endpoint.LimitsPath,
			Budget: 1000,
		}})
		return diskless.Machine.TakeOutput().Messages
	}
	cluster.Run(400)
	// response returns the response to the request if it is the only message of a list,
	// nil otherwise.
	response := func(list []wire.Envelope) *wire.Response {
		if len(list) != 1 || list[0].To != "@1" {
			return nil
		}
		if response := list[0].Message.Response; response != nil && response.ID == 9 {
			return response
		}
		return nil
	}
	list := ask()
	if got := response(list); got == nil || !got.NotLeader {
		t.Errorf("with no leader known: %+v", list)
	}
	cluster.Run(6000)
	leader := cluster.Leader()
	list = ask()
	if leader == nil || len(list) != 1 || string(list[0].To) != leader.Addr {
		t.Fatalf("request with a known leader: %+v", list)
	}
	forwarded := list[0].Message.Request
	if forwarded == nil || forwarded.Hops != 1 {
		t.Fatalf("forwarded to the leader: %+v", list)
	}
	receive(list[0].To, wire.Message{Response: &wire.Response{ID: forwarded.ID, Status: http.StatusOK}})
	list = diskless.Machine.TakeOutput().Messages
	if got := response(list); got == nil || got.Status != http.StatusOK {
		t.Errorf("the leader's response was passed on as %+v", list)
	}
	for _, server := range cluster.Servers[:3] {
		cluster.CrashServer(server)
	}
	cluster.Run(6000 + 3000 + int64(controlplane.TickInterval))
	if list = ask(); len(list) != 1 || list[0].Message.Response == nil || !list[0].Message.Response.NotLeader {
		t.Errorf("3 s after the leader's end: %+v", list)
	}
}
