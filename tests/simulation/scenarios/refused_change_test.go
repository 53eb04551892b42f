package scenarios

import (
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/tests/simulation"
)

const (
	// changeBudget is the request timeout of a change, in ms.
	changeBudget = 2000
	// changesAt is when the changes begin, in ms.
	changesAt = 7000
)

// catalogChange is the body of a change from one version to another.
func catalogChange(base, version int) []byte {
	return []byte(fmt.Sprintf(`{"base":%d,"version":%d,"queues":[],"pools":[{"name":"x%d"}]}`, base, version, version))
}

// runRefusedChange sends a change whose base is not in force yet through two gateways: the
// links of the first are stalled, the second gets it rejected. Then the base takes effect
// and the links recover. It returns how long after the rejection the first copy was applied,
// 0 if it never was.
func runRefusedChange(t *testing.T, seed, stalledFor int64) (appliedAfter int64) {
	t.Helper()
	cluster := simulation.NewCluster(seed, simulation.FastNetwork())
	from := cluster.Clients.Process
	put := func(gateway int, body []byte, done func(status int)) {
		cluster.Request(from, cluster.Gateways[gateway].Addr, http.MethodPut, endpoint.CatalogPath, body, changeBudget, func(status int, _ []byte) { done(status) })
	}
	cluster.At(changesAt-1000, func() { put(1, catalogChange(0, 2), func(int) {}) })
	cluster.At(changesAt, func() {
		var undos []func()
		for _, server := range cluster.Servers {
			undos = append(undos, cluster.StallLink(cluster.Gateways[0].Process, server.Process))
		}
		cluster.After(stalledFor, simulation.UndoAll(undos))
		put(0, catalogChange(3, 4), func(int) {})
	})
	rejectedAt := int64(0)
	cluster.At(changesAt+10, func() {
		put(1, catalogChange(3, 4), func(status int) {
			rejectedAt = cluster.Now
			if status != http.StatusPreconditionFailed {
				t.Errorf("stalled for %d ms: the change ahead of its base got status %d", stalledFor, status)
			}
			put(1, catalogChange(2, 3), func(status int) {
				if status != http.StatusOK && status != http.StatusCreated {
					t.Errorf("stalled for %d ms: its base got status %d", stalledFor, status)
				}
			})
		})
	})
	cluster.Poll(1, func() (again bool) {
		leader := cluster.Leader()
		if leader == nil || leader.Machine.State().Catalog == nil || leader.Machine.State().Catalog.Version < 4 {
			return true
		}
		appliedAfter = cluster.Now - rejectedAt
		return false
	})
	cluster.Run(changesAt + stalledFor + 4000)
	return appliedAfter
}

// TestRefusedChangeTakenLater measures how long after its rejection a change ahead of its
// base may still be applied through a copy that was in flight: no longer than the timeout of
// the copy's caller.
func TestRefusedChangeTakenLater(t *testing.T) {
	t.Parallel()
	longest, applied, dropped := int64(0), 0, 0
	for i, stalledFor := range []int64{100, 500, 1000, 1500, 1900, 1990, 2010, 2100, 3000, 6000} {
		after := runRefusedChange(t, int64(i+1), stalledFor)
		longest = max(longest, after)
		if after > 0 {
			applied++
		} else {
			dropped++
		}
		if after > 0 && stalledFor > changeBudget {
			t.Errorf("a copy delayed for %d ms was applied, but its caller waits for only %d ms", stalledFor, changeBudget)
		}
	}
	t.Logf("%d copies were applied, at most %d ms after the rejection, %d were not", applied, longest, dropped)
	if longest > changeBudget || applied == 0 || dropped == 0 {
		t.Errorf("applied at most %d ms after the rejection, want at most %d ms, and both applied and dropped copies", longest, changeBudget)
	}
}
