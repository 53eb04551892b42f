package scenarios

import (
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/tests/simulation"
)

const (
	// readInterval is the time between two reads that overload a slow process, in ms.
	readInterval = 2
	// minBacklog is the least backlog of a slow process when the order is sent, in ms: more
	// than the timeout of the order.
	minBacklog = 1000
	// slowOrderAt is when the order is sent, after the backlog has grown, in ms after the
	// process became slow.
	slowOrderAt = 3500
)

// slowProcesses are the processes that become slow, and the addresses that the order is
// sent to.
var slowProcesses = []struct {
	name string
	at   func(c *simulation.Cluster) (addrs []string)
	slow func(c *simulation.Cluster) *simulation.Process
}{
	{"gateway", gatewayAddrs, func(c *simulation.Cluster) *simulation.Process { return c.Gateways[0].Process }},
	{"follower", followerFirst, func(c *simulation.Cluster) *simulation.Process { return c.Process(followerFirst(c)[0]) }},
	{"leader", leaderFirst, func(c *simulation.Cluster) *simulation.Process { return c.Leader().Process }},
}

// overload keeps a process busy with reads until undone.
func overload(cluster *simulation.Cluster, process *simulation.Process) (undo func()) {
	over := false
	cluster.Poll(readInterval, func() (again bool) {
		cluster.Request(cluster.Clients.Process, process.Addr, http.MethodGet, endpoint.DrainsPath, nil, 1000, func(int, []byte) {})
		return !over
	})
	return func() { over = true }
}

// eachSlowProcess runs an order against each slow process, which is five or ten times as
// slow as usual and overloaded. run returns whether the order was withdrawn while its first
// copy waited.
func eachSlowProcess(t *testing.T, run func(t *testing.T, s delayedOrder) (late bool)) {
	for _, slowProcess := range slowProcesses {
		for _, slowness := range []int64{5, 10} {
			t.Run(fmt.Sprintf("%s x%d", slowProcess.name, slowness), func(t *testing.T) {
				t.Parallel()
				late, longest := 0, int64(0)
				for seed := int64(1); seed <= 3; seed++ {
					slow := func(c *simulation.Cluster) (undo func()) {
						process := slowProcess.slow(c)
						process.Slowness = slowness
						c.After(slowOrderAt, func() { longest = max(longest, c.Backlog(process)) })
						release := overload(c, process)
						return func() {
							process.Slowness = 1
							release()
						}
					}
					if run(t, delayedOrder{delay: slow, offset: slowOrderAt, seed: seed, addresses: slowProcess.at}) {
						late++
					}
				}
				t.Logf("backlog of at most %d ms; %d orders were withdrawn before their first copy was read", longest, late)
				if slowness == 10 && (longest < minBacklog || late == 0) {
					t.Error("the backlog of the process was too short: the test proves nothing")
				}
			})
		}
	}
}

// readAll runs the cluster until every process has worked off its backlog, and for
// observationTime after that.
func readAll(cluster *simulation.Cluster) {
	for _, addr := range append(gatewayAddrs(cluster), "k1", "k2", "k3") {
		cluster.Run(cluster.Now + cluster.Backlog(cluster.Process(addr)))
	}
	cluster.Run(cluster.Now + observationTime)
}

// TestSlowProcessDrainOrder has an order to drain a domain wait at a process that is up to
// ten times as slow as usual. The caller abandons it after a second, sends it elsewhere, and
// withdraws it. When the slow process reads the first copy, the domain must stay open.
func TestSlowProcessDrainOrder(t *testing.T) {
	t.Parallel()
	eachSlowProcess(t, func(t *testing.T, s delayedOrder) bool {
		cluster, late := s.sendAndWithdraw(http.MethodPut, endpoint.DrainPath("east"), nil, http.MethodDelete)
		readAll(cluster)
		s.checkOpen(t, cluster, late)
		return late
	})
}

// TestSlowProcessJob is the same for a job that is cancelled before the control plane knows
// it: the job must not run.
func TestSlowProcessJob(t *testing.T) {
	t.Parallel()
	body := lateJobText(t)
	eachSlowProcess(t, func(t *testing.T, s delayedOrder) bool {
		cluster, late := s.sendAndCancel(http.MethodPut, endpoint.JobPath(lateJob), body)
		readAll(cluster)
		s.checkCancelled(t, cluster, lateJob, late)
		return late
	})
}
