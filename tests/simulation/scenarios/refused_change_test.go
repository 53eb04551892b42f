package scenarios

import (
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/endpoint"
	"orchidward/tests/simulation"
)

const (
	// changeBudget is how long the caller of a change waits, in ms.
	changeBudget = 2000
	// changesAt is when the changes begin, in ms.
	changesAt = 7000
)

// catalogChange is the text of a change from one version to another.
func catalogChange(base, version int) []byte {
	return []byte(fmt.Sprintf(`{"base":%d,"version":%d,"queues":[],"pools":[{"name":"x%d"}]}`, base, version, version))
}

// playRefusedChange sends a change whose base is not in force yet, by two gateways: the
// links of the first stall, the second has it refused. Then the base comes into force and
// the links go on. It returns how long after the refusal the first copy was taken, 0 if it
// never was.
func playRefusedChange(t *testing.T, seed, stalledFor int64) (takenAfter int64) {
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
	refusedAt := int64(0)
	cluster.At(changesAt+10, func() {
		put(1, catalogChange(3, 4), func(status int) {
			refusedAt = cluster.Now
			if status != http.StatusPreconditionFailed {
				t.Errorf("stalled for %d ms: the change ahead of its base is answered %d", stalledFor, status)
			}
			put(1, catalogChange(2, 3), func(status int) {
				if status != http.StatusOK && status != http.StatusCreated {
					t.Errorf("stalled for %d ms: its base is answered %d", stalledFor, status)
				}
			})
		})
	})
	cluster.Poll(1, func() (again bool) {
		leader := cluster.Leader()
		if leader == nil || leader.Machine.State().Catalog == nil || leader.Machine.State().Catalog.Version < 4 {
			return true
		}
		takenAfter = cluster.Now - refusedAt
		return false
	})
	cluster.Run(changesAt + stalledFor + 4000)
	return takenAfter
}

// TestRefusedChangeTakenLater measures for how long after its refusal a change ahead of
// its base may yet be taken, by a copy that was under way: no longer than the copy's
// caller waits.
func TestRefusedChangeTakenLater(t *testing.T) {
	t.Parallel()
	longest, taken, dropped := int64(0), 0, 0
	for i, stalledFor := range []int64{100, 500, 1000, 1500, 1900, 1990, 2010, 2100, 3000, 6000} {
		after := playRefusedChange(t, int64(i+1), stalledFor)
		longest = max(longest, after)
		if after > 0 {
			taken++
		} else {
			dropped++
		}
		if after > 0 && stalledFor > changeBudget {
			t.Errorf("a copy that waited for %d ms was taken, its caller waits for %d", stalledFor, changeBudget)
		}
	}
	t.Logf("%d copies were taken, %d ms after the refusal at most, %d were not", taken, longest, dropped)
	if longest > changeBudget || taken == 0 || dropped == 0 {
		t.Errorf("taken %d ms after the refusal at most, want %d at most and both kinds", longest, changeBudget)
	}
}
