package scenarios

import (
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/tests/simulation"
)

const (
	// readGap is the time between two reads that press on a slow process, in ms.
	readGap = 2
	// leastBacklog is how far a slow process must be behind when the order is sent, in
	// ms: more than the order's caller waits.
	leastBacklog = 1000
	// slowOrderAt is when the order is sent, after the backlog has grown.
	slowOrderAt = 3500
)

// slowDoors are the processes that turn slow, and whom the order is sent to.
var slowDoors = []struct {
	name string
	at   func(w *simulation.Cluster) (addrs []string)
	slow func(w *simulation.Cluster) *simulation.Process
}{
	{"gateway", gatewayAddrs, func(w *simulation.Cluster) *simulation.Process { return w.Gateways[0].Process }},
	{"follower", followerFirst, func(w *simulation.Cluster) *simulation.Process { return w.Process(followerFirst(w)[0]) }},
	{"leader", leaderFirst, func(w *simulation.Cluster) *simulation.Process { return w.Leader().Process }},
}

// press keeps a process busy with reads until undone.
func press(cluster *simulation.Cluster, process *simulation.Process) (undo func()) {
	over := false
	cluster.Poll(readGap, func() (again bool) {
		cluster.Request(cluster.Clients.Process, process.Addr, http.MethodGet, endpoint.DrainsPath, nil, 1000, func(int, []byte) {})
		return !over
	})
	return func() { over = true }
}

// eachSlowProcess plays an order to each slow door, five and ten times as slow as usual
// and pressed beyond what it can do. play returns whether the order was withdrawn while
// its first copy waited.
func eachSlowProcess(t *testing.T, play func(t *testing.T, s delayedOrder) (late bool)) {
	for _, door := range slowDoors {
		for _, slowness := range []int64{5, 10} {
			t.Run(fmt.Sprintf("%s x%d", door.name, slowness), func(t *testing.T) {
				t.Parallel()
				late, longest := 0, int64(0)
				for seed := int64(1); seed <= 3; seed++ {
					slow := func(w *simulation.Cluster) (undo func()) {
						process := door.slow(w)
						process.Slowness = slowness
						w.After(slowOrderAt, func() { longest = max(longest, w.Backlog(process)) })
						release := press(w, process)
						return func() {
							process.Slowness = 1
							release()
						}
					}
					if play(t, delayedOrder{delay: slow, offset: slowOrderAt, seed: seed, addresses: door.at}) {
						late++
					}
				}
				t.Logf("behind by %d ms at most; %d orders were withdrawn before their first copy was read", longest, late)
				if slowness == 10 && (longest < leastBacklog || late == 0) {
					t.Error("the process was not behind for long enough: the test shows nothing")
				}
			})
		}
	}
}

// readAll lets time pass until every process has read all that waits for it, and a while
// more.
func readAll(cluster *simulation.Cluster) {
	for _, addr := range append(gatewayAddrs(cluster), "k1", "k2", "k3") {
		cluster.Run(cluster.Now + cluster.Backlog(cluster.Process(addr)))
	}
	cluster.Run(cluster.Now + observationTime)
}

// TestSlowProcessDrainOrder: an order to drain a domain waits at a process with a tenth of
// its processor. Its caller gives it up after a second, sends it elsewhere, and withdraws
// it. When the slow process gets to the first copy, the domain stays open.
func TestSlowProcessDrainOrder(t *testing.T) {
	t.Parallel()
	eachSlowProcess(t, func(t *testing.T, s delayedOrder) bool {
		cluster, late := s.sendAndWithdraw(http.MethodPut, endpoint.DrainPath("east"), nil, http.MethodDelete)
		readAll(cluster)
		s.checkOpen(t, cluster, late)
		return late
	})
}

// TestSlowProcessJob is the same for a job that is cancelled while nobody knows of it: it
// does not run.
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
