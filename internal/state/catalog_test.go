package state

import (
	"net/http"
	"testing"

	"orchidward/internal/api/catalog"
)

// TestConcurrentCatalogChanges checks that only one of two changes based on the same
// version is accepted, that a resend of an accepted change is recognised after later
// changes, and that an invalid change has no effect.
func TestConcurrentCatalogChanges(t *testing.T) {
	f := newQueueFixture(t)
	change := func(base, version uint64, name string) *catalog.Change {
		queue := catalog.Queue{Name: name, Host: "h", Prefix: "/" + name, Pool: "x", Timeout: 1}
		return &catalog.Change{Base: base, Version: version, Checksum: name, Queues: []catalog.Queue{queue}}
	}
	unknownPool := change(8, 12, "e")
	unknownPool.Queues[0].Pool = "nowhere"
	samePrefix := change(8, 12, "f")
	samePrefix.Queues[0].Prefix = "/a"
	for _, step := range []struct {
		change *catalog.Change
		status int
	}{
		{change(3, 7, "a"), http.StatusOK},
		{change(3, 9, "b"), http.StatusPreconditionFailed},
		{change(7, 8, "c"), http.StatusOK},
		{change(3, 7, "a"), http.StatusOK},
		{change(3, 7, "other"), http.StatusPreconditionFailed},
		{change(8, 8, "d"), http.StatusUnprocessableEntity},
		{unknownPool, http.StatusUnprocessableEntity},
		{samePrefix, http.StatusUnprocessableEntity},
	} {
		f.apply(step.status, &Command{ChangeCatalog: step.change})
	}
	if c := f.store.Catalog; c.Version != 8 || len(c.Queues) != 3 || c.Queue("b") != nil || c.Queue("e") != nil {
		t.Errorf("in force: %+v", c)
	}
}
