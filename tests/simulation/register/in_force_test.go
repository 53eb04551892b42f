package register

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/tests/simulation"
)

const (
	// inForceWithin is how long after the acknowledgement of a catalog version an older
	// one may still be applied, in ms.
	inForceWithin = 2000
	// versionLasts is how long after its acknowledgement a version is replaced, in ms.
	versionLasts = 2600
	// submitInterval is the time between two submissions at each gateway, in ms.
	submitInterval = 60
	inForceWindow  = 24000
	// closingDown is how long all servers are down at the end, in ms.
	closingDown = 1500
	// readBackTime is how long the catalog is read back at the end, in ms.
	readBackTime = 12000
	firstVersion = 2
)

// versionRecord is when a version was first sent, and first acknowledged, 0 for never.
type versionRecord struct {
	sentAt  int64
	ackedAt int64
}

// submission is a job submitted to a gateway for a queue that only one version has.
type submission struct {
	gateway  string
	version  uint64
	sentAt   int64
	endedAt  int64
	accepted bool
}

// inForceRun is a cluster whose catalog is replaced repeatedly: each version has a queue
// that no other has, so that an accepted job shows which version the gateway applied.
type inForceRun struct {
	cluster     *simulation.Cluster
	random      *rand.Rand
	versions    map[uint64]*versionRecord
	newest      uint64
	submissions []submission
	jobs        int
}

func versionedQueue(version uint64) string  { return fmt.Sprintf("q%d", version) }
func versionedPrefix(version uint64) string { return fmt.Sprintf("/q%d/", version) }

// versionedCatalog is the body of a change to a version with its own queue.
func versionedCatalog(version uint64) []byte {
	base := version - 1
	if version == firstVersion {
		base = 0
	}
	return []byte(fmt.Sprintf(`{"base":%d,"version":%d,`+
		`"queues":[{"name":%q,"host":"h","prefix":%q,"pool":"x","rank":0,"tries":2,"stretch":2000,"setPointMs":1000,"timeoutMs":3000}],`+
		`"pools":[{"name":"x"}]}`, base, version, versionedQueue(version), versionedPrefix(version)))
}

// newInForceRun makes a cluster with faults of servers, gateways and links, whose catalog
// is replaced while jobs are submitted.
func newInForceRun(seed int64) *inForceRun {
	spec := simulation.FastNetwork()
	spec.Runners = 1
	if seed%2 == 0 {
		spec.DelayMs, spec.LossPerMille = 25, 10
	}
	r := &inForceRun{cluster: simulation.NewCluster(seed, spec), random: rand.New(rand.NewSource(seed)), versions: map[uint64]*versionRecord{}}
	for n := 0; n < 8; n++ {
		f := simulation.Fault{
			At:        operatorsStart + r.random.Int63n(inForceWindow-4000),
			Duration:  200 + r.random.Int63n(5000),
			Kind:      pick(r.random, registerFaults...),
			Target:    r.random.Intn(1000),
			Parameter: r.random.Intn(1000),
		}
		r.cluster.At(f.At, func() { r.cluster.Inject(f) })
	}
	r.cluster.At(operatorsStart, func() { r.replaceCatalog(firstVersion) })
	for _, gateway := range r.cluster.Gateways {
		r.cluster.At(operatorsStart, func() { r.submitAgain(gateway) })
	}
	return r
}

// replaceCatalog sends a version until it is acknowledged, and then the next one.
func (r *inForceRun) replaceCatalog(version uint64) {
	record := r.versions[version]
	if record == nil {
		record = &versionRecord{sentAt: r.cluster.Now}
		r.versions[version] = record
		r.newest = version
	}
	r.cluster.Request(r.cluster.Clients.Process, r.cluster.Clients.RandomGateway(), http.MethodPut, endpoint.CatalogPath, versionedCatalog(version), callTimeout, func(status int, answer []byte) {
		switch {
		case record.ackedAt > 0:
		case status == http.StatusOK || status == http.StatusCreated:
			record.ackedAt = r.cluster.Now
			if r.cluster.Now < operatorsStart+inForceWindow-versionLasts {
				r.cluster.After(versionLasts, func() { r.replaceCatalog(version + 1) })
			}
		case status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusTooManyRequests:
			r.cluster.Checker.Violate("register", "version %d is rejected: %d %s", version, status, answer)
		default:
			r.cluster.After(100, func() { r.replaceCatalog(version) })
		}
	})
}

// submitAgain submits jobs to a gateway until the window is over.
func (r *inForceRun) submitAgain(gateway *simulation.Gateway) {
	if r.cluster.Now >= operatorsStart+inForceWindow {
		return
	}
	r.submit(gateway, r.newest-uint64(r.random.Intn(2)))
	r.cluster.After(submitInterval, func() { r.submitAgain(gateway) })
}

// submit submits a job for the queue of one version. The gateway looks up the queue by
// host and path, as it does for external requests.
func (r *inForceRun) submit(gateway *simulation.Gateway, version uint64) {
	r.jobs++
	one := submission{gateway: gateway.Name, version: version, sentAt: r.cluster.Now}
	ended := func(status int) {
		if status != http.StatusCreated && status != http.StatusOK && status != http.StatusNotFound {
			return
		}
		one.endedAt = r.cluster.Now
		one.accepted = status != http.StatusNotFound
		r.submissions = append(r.submissions, one)
	}
	path := fmt.Sprintf("/v1/jobs/q/j%d", r.jobs)
	r.cluster.RequestQueue(r.cluster.Clients.Process, gateway, "h", versionedPrefix(version)+"x", callTimeout, func(queue string) (method, target string, body []byte) {
		return http.MethodPut, path, []byte(fmt.Sprintf(`{"queue":%q,"text":"t","steps":[{"name":"s","tasks":1,"milliCores":1,"memMb":1,"spanMs":50}]}`, queue))
	}, ended)
}

// check detects submissions to which a gateway applied a version that was too old.
func (r *inForceRun) check(t *testing.T, seed int64) {
	t.Helper()
	accepted := 0
	for _, one := range r.submissions {
		if one.accepted {
			accepted++
			r.checkAccepted(t, seed, one)
			continue
		}
		record, next := r.versions[one.version], r.versions[one.version+1]
		inForce := record != nil && record.ackedAt > 0 && record.ackedAt+inForceWithin < one.sentAt
		replaced := next != nil && next.sentAt <= one.endedAt
		if inForce && !replaced {
			t.Errorf("seed %d: %s says that there is no queue of version %d, %d ms after its acknowledgement", seed, one.gateway, one.version, one.sentAt-record.ackedAt)
		}
	}
	if accepted < 100 || len(r.submissions)-accepted < 50 || r.newest < firstVersion+3 {
		t.Errorf("seed %d: too little evidence: %d accepted of %d, up to version %d", seed, accepted, len(r.submissions), r.newest)
	}
}

// checkAccepted detects a job that was accepted under a version after a newer one was
// acknowledged, or had been applied to another job.
func (r *inForceRun) checkAccepted(t *testing.T, seed int64, one submission) {
	t.Helper()
	for version := one.version + 1; version <= r.newest; version++ {
		if acked := r.versions[version].ackedAt; acked > 0 && acked+inForceWithin < one.sentAt {
			t.Errorf("seed %d: %s accepts a job by version %d, %d ms after version %d was acknowledged", seed, one.gateway, one.version, one.sentAt-acked, version)
		}
	}
	for _, other := range r.submissions {
		if other.accepted && other.version > one.version && other.endedAt < one.sentAt {
			t.Errorf("seed %d: %s goes back to version %d, %d ms after a job was accepted by version %d", seed, one.gateway, one.version, one.sentAt-other.endedAt, other.version)
			return
		}
	}
}

// loseAllPower crashes all servers at once, depending on the seed one of them with the
// loss of its disk, and restarts them.
func (r *inForceRun) loseAllPower(seed int64) {
	for i, server := range r.cluster.Servers {
		if seed%3 == 0 && i == int(seed)%len(r.cluster.Servers) {
			server.WipeDisk()
		}
		server.Crash()
		r.cluster.After(closingDown, server.Start)
	}
}

// readBack reads the catalog at every gateway and server until each has answered: none may
// return a version older than the newest acknowledged one.
func (r *inForceRun) readBack(t *testing.T, seed int64) {
	t.Helper()
	newest := uint64(0)
	for version, record := range r.versions {
		if record.ackedAt > 0 {
			newest = max(newest, version)
		}
	}
	var addrs []string
	for _, gateway := range r.cluster.Gateways {
		addrs = append(addrs, gateway.Addr)
	}
	for _, server := range r.cluster.Servers {
		addrs = append(addrs, server.Addr)
	}
	answered := map[string]bool{}
	for _, addr := range addrs {
		r.cluster.Poll(200, func() (again bool) {
			r.cluster.Request(r.cluster.Clients.Process, addr, http.MethodGet, endpoint.CatalogPath, nil, callTimeout, func(status int, body []byte) {
				if status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout || status == simulation.NoResponse {
					return
				}
				answered[addr] = true
				if version, complete := readVersion(body); status != http.StatusOK || !complete || version < newest {
					t.Errorf("seed %d: %s reads back %d %s, version %d was acknowledged", seed, addr, status, body, newest)
				}
			})
			return !answered[addr]
		})
	}
	r.cluster.Run(r.cluster.Now + readBackTime)
	if len(answered) < len(addrs) {
		t.Errorf("seed %d: only %d of %d processes answered after the restart", seed, len(answered), len(addrs))
	}
}

// readVersion decodes the version of a catalog; complete reports whether the catalog has
// the queue of that version and no other.
func readVersion(body []byte) (version uint64, complete bool) {
	var read struct {
		Version uint64 `json:"version"`
		Queues  []struct {
			Name string `json:"name"`
		} `json:"queues"`
	}
	if json.Unmarshal(body, &read) != nil || len(read.Queues) != 1 {
		return read.Version, false
	}
	return read.Version, read.Queues[0].Name == versionedQueue(read.Version)
}

// TestCatalogInForce replaces the catalog repeatedly while servers, gateways and links
// fail, and submits jobs to every gateway. A queue that only one version has shows which
// version a gateway applied to a job: it must not be an older one 2 s after a newer one was
// acknowledged, nor older than one applied before. At the end all servers lose power at
// once, one also its disk, and the version read back must not be older than the newest
// acknowledged one.
func TestCatalogInForce(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := newInForceRun(seed)
			r.cluster.Run(operatorsStart + inForceWindow)
			r.cluster.Heal()
			r.cluster.Run(r.cluster.Now + 3000)
			r.loseAllPower(seed)
			r.cluster.Run(r.cluster.Now + closingDown + 1)
			r.check(t, seed)
			r.readBack(t, seed)
			if len(r.cluster.Checker.Violations) > 0 {
				t.Errorf("seed %d: %v", seed, r.cluster.Checker.Violations)
			}
		})
	}
}
