package membership

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/tests/simulation"
	"orchidward/tests/simulation/simulationtest"
)

var (
	thinLinkSeconds = flag.Int64("thin-link-seconds", 24, "for how long changes go on over thin links, in s of virtual time")
	thinLinkRoutes  = flag.Int("thin-link-routes", 2000, "how many routes the catalog has that changes over thin links")
)

const (
	// thinLink is the bandwidth of a link: 2 Mbit/s, in bytes per ms.
	thinLink = 250
	// thinLinkChange is the time between two changes of a route, in ms.
	thinLinkChange = 100
	thinLinkStart  = 6000
	// maxCatchUp is how long a member that was down, or is new, may take to persist all
	// entries that were committed when it started, in ms.
	maxCatchUp = 12000
)

// thinLinkRun is a cluster on thin links with a large catalog that changes continuously.
type thinLinkRun struct {
	*simulation.Cluster
	t       *testing.T
	version int
	acked   int
	spans   []int64
	// lastAckedAt is when a change was last acknowledged, and longestGap the longest time
	// between two acknowledgements.
	lastAckedAt int64
	longestGap  int64
}

func thinLinkRoute(number, version int) string {
	return fmt.Sprintf(`{"name":"q%05d","host":"h","prefix":"/%d/%d/","pool":"x","rank":0,"tries":2,"stretch":2000,"setPointMs":1000,"timeoutMs":3000}`, number, number, version)
}

func thinLinkCatalog() []byte {
	var routes []string
	for i := range *thinLinkRoutes {
		routes = append(routes, thinLinkRoute(i, 0))
	}
	return []byte(fmt.Sprintf(`{"base":0,"version":2,"queues":[%s],"pools":[{"name":"x"}]}`, strings.Join(routes, ",")))
}

// send sends an order to random servers until it is acknowledged.
func (r *thinLinkRun) send(method string, body []byte, acked func()) {
	server := r.Servers[r.Random.Intn(len(r.Servers))]
	if !server.Up {
		r.After(10, func() { r.send(method, body, acked) })
		return
	}
	sentAt := r.Now
	r.Request(r.Clients.Process, server.Addr, method, endpoint.CatalogPath, body, 1000, func(status int, answer []byte) {
		switch {
		case status == http.StatusOK || status == http.StatusCreated:
			r.spans = append(r.spans, r.Now-sentAt)
			r.longestGap = max(r.longestGap, r.Now-r.lastAckedAt)
			r.lastAckedAt = r.Now
			r.acked++
			acked()
		case status >= 400 && status < 500 && status != http.StatusTooManyRequests:
			r.t.Errorf("at %d: %d %s", r.Now, status, answer)
		default:
			r.After(100, func() { r.send(method, body, acked) })
		}
	})
}

// change changes one route after another, at intervals, until a time.
func (r *thinLinkRun) change(until int64) {
	if r.Now >= until {
		return
	}
	next := r.Now + thinLinkChange
	base := r.version
	r.version++
	patch := fmt.Sprintf(`{"base":%d,"version":%d,"put":{"queues":[%s]}}`, base, r.version, thinLinkRoute(r.version%*thinLinkRoutes, r.version))
	r.send(http.MethodPatch, []byte(patch), func() { r.At(max(r.Now, next), func() { r.change(until) }) })
}

// catchUp runs the cluster until a server has persisted all entries that are committed
// now, and returns how long that takes.
func (r *thinLinkRun) catchUp(server *simulation.Server) (ms int64) {
	since := r.Now
	committed := r.committed()
	for r.Now < since+2*maxCatchUp && server.PersistedIndex < committed {
		r.Run(r.Now + 20)
	}
	return r.Now - since
}

// committed is the highest commit index of any server.
func (r *thinLinkRun) committed() (index identifier.Index) {
	for _, server := range r.Servers {
		if server.Machine != nil && server.Machine.Raft() != nil {
			index = max(index, server.Machine.Raft().CommitIndex())
		}
	}
	return index
}

// TestThinLinks changes one of many routes every 0.1 s on links of 2 Mbit/s. Meanwhile a
// server is down for a third of the time, one is replaced by an empty one, and the leader
// is restarted: each must catch up in time, and changes must go on.
func TestThinLinks(t *testing.T) {
	t.Parallel()
	spec := simulation.FastNetwork()
	spec.Runners, spec.Gateways, spec.ElectionTimeout = 0, 1, 250
	spec.LogFileBytes = 4 << 20
	r := &thinLinkRun{Cluster: simulation.NewCluster(71, spec), t: t, version: 2}
	r.Run(thinLinkStart)
	until := thinLinkStart + *thinLinkSeconds*1000
	r.send(http.MethodPut, thinLinkCatalog(), func() {
		r.Spec.LinkBytesPerMs = thinLink
		r.spans, r.longestGap = nil, 0
		r.change(until)
	})
	r.Run(thinLinkStart + 2000)
	third := *thinLinkSeconds * 1000 / 3

	away := r.follower()
	away.Crash()
	r.Run(r.Now + third)
	away.Start()
	caughtUp := map[string]int64{"restarted after a long time": r.catchUp(away)}

	replaced := r.follower()
	replaced.Crash()
	replaced.Removed = true
	newcomer := r.AddServer(replaced.Name+"b", replaced.Domain)
	newcomer.Seeds = append([]string{r.Gateways[0].Addr}, r.Seeds...)
	newcomer.Start()
	caughtUp["replaced"] = r.catchUp(newcomer)

	restarted := r.Leader()
	restarted.Crash()
	r.Run(r.Now + 1000)
	restarted.Start()
	caughtUp["restarted leader"] = r.catchUp(restarted)
	r.Run(until)

	for name, ms := range caughtUp {
		t.Logf("%s: caught up after %d ms", name, ms)
		if ms > maxCatchUp {
			t.Errorf("%s: caught up after %d ms, want %d at most", name, ms, maxCatchUp)
		}
	}
	t.Logf("%d changes; acknowledged after p50 %d ms, p99 %d ms; longest gap between two %d ms",
		r.acked, simulationtest.Median(r.spans), simulationtest.Percentile(r.spans, 99), r.longestGap)
	if r.acked < int(*thinLinkSeconds)*2 {
		t.Errorf("too little evidence: %d changes in %d s", r.acked, *thinLinkSeconds)
	}
}

// follower returns a running server that is not the leader.
func (r *thinLinkRun) follower() *simulation.Server {
	for _, server := range r.Servers {
		if server.Up && server != r.Leader() {
			return server
		}
	}
	r.t.Fatal("no follower is running")
	return nil
}
