package membership

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"orchidward/internal/api/endpoint"
)

const (
	// minLargeStateBytes is the size of a state that no single message carries.
	minLargeStateBytes = 600 << 10
	// queuesPerPatch is how many queues one change of the catalogue adds.
	queuesPerPatch = 20
	// maxPatches bounds the changes that a test makes.
	maxPatches = 1000
)

// growCatalog adds queues to the catalogue until the leader's newest snapshot is large.
func (scenario *lossScenario) growCatalog(t *testing.T) {
	t.Helper()
	scenario.changeCatalog(t, http.MethodPut, `{"base":0,"version":1,"queues":[],"pools":[{"name":"x"}]}`)
	for patch := 1; patch <= maxPatches; patch++ {
		scenario.changeCatalog(t, http.MethodPatch, queuesPatch(patch))
		if scenario.snapshotBytes() > minLargeStateBytes {
			return
		}
	}
	t.Fatalf("after %d changes the snapshot has %d bytes", maxPatches, scenario.snapshotBytes())
}

// snapshotBytes is the size of the leader's state, 0 while its snapshot does not cover
// most of the log.
func (scenario *lossScenario) snapshotBytes() int {
	leader := scenario.Leader()
	if leader == nil || leader.Machine.Raft().SnapshotIndex() <= 1 {
		return 0
	}
	return len(leader.Machine.State().Encode())
}

// queuesPatch is a change that adds queues to the catalogue of a version.
func queuesPatch(base int) string {
	var queues []string
	for i := range queuesPerPatch {
		name := fmt.Sprintf("queue-%06d-%02d", base, i)
		queues = append(queues, fmt.Sprintf(
			`{"name":%q,"host":"h","prefix":"/%s/","pool":"x","rank":0,"tries":2,"stretch":2000,"setPointMs":1000,"timeoutMs":3000}`, name, name))
	}
	return fmt.Sprintf(`{"base":%d,"version":%d,"put":{"queues":[%s]}}`, base, base+1, strings.Join(queues, ","))
}

// changeCatalog sends a change to the leader, and again until it is accepted.
func (scenario *lossScenario) changeCatalog(t *testing.T, method, body string) {
	t.Helper()
	const timeout, attempts = 1000, 20
	for range attempts {
		status := 0
		leader := scenario.Leader()
		if leader != nil {
			done := func(s int, _ []byte) { status = s }
			scenario.Request(scenario.Clients.Process, leader.Addr, method, endpoint.CatalogPath, []byte(body), timeout, done)
		}
		for end := scenario.Now + timeout; scenario.Now < end && status == 0; {
			scenario.Run(scenario.Now + 5)
		}
		if status == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s is not accepted", method)
}

// TestReplacementWithLargeState checks that a server which starts empty, when the state is
// larger than one chunk of a snapshot and the log does not reach back to its beginning, has
// the state and a vote as soon as one that begins with a small state, and that the group
// then serves again soon after the next loss.
func TestReplacementWithLargeState(t *testing.T) {
	t.Parallel()
	for _, promise := range recoveryPromises {
		for _, kind := range []string{lossReplaced, lossWiped} {
			t.Run(promise.name+" "+kind, func(t *testing.T) {
				t.Parallel()
				testReplacementWithLargeState(t, promise, kind)
			})
		}
	}
}

func testReplacementWithLargeState(t *testing.T, promise recoveryPromise, kind string) {
	t.Helper()
	scenario := newLossScenario(2400, promise)
	scenario.Run(firstLossAt)
	scenario.growCatalog(t)
	scenario.loseServers(kind, false, 500)
	for scenario.Now < scenario.replacementAt+promise.recoveryMs && !scenario.toleratesNextLoss() {
		scenario.Run(scenario.Now + 20)
	}
	if !scenario.toleratesNextLoss() {
		t.Errorf("the next loss is not tolerated %d ms after the start of the replacement", promise.recoveryMs)
		return
	}
	t.Logf("the next loss is tolerated after %d ms", scenario.Now-scenario.replacementAt)
	for _, server := range scenario.victims(true, 0) {
		server.Crash()
	}
	for from := scenario.Now; !scenario.hasServingLeader(); scenario.Run(scenario.Now + 20) {
		if scenario.Now > from+maxOutage {
			t.Fatalf("no service within %d ms after the next loss", maxOutage)
		}
	}
}
