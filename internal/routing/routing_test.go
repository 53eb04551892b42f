package routing

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
)

// tableHistory is a changing table with its history and the routes of all its past versions.
type tableHistory struct {
	random     *rand.Rand
	routes     map[string]catalog.Route
	table      Table
	history    *History
	pastRoutes map[identifier.Epoch]map[string]catalog.Route
}

func newTableHistory(seed int64, routes int) *tableHistory {
	h := &tableHistory{
		random:     rand.New(rand.NewSource(seed)),
		routes:     map[string]catalog.Route{},
		table:      Table{Epoch: 1, Version: 1, Rows: weightRow("1")},
		pastRoutes: map[identifier.Epoch]map[string]catalog.Route{},
	}
	for i := 0; i < routes; i++ {
		h.setRoute(queueName(i))
	}
	h.listRoutes()
	h.history = NewHistory(h.table)
	return h
}

func weightRow(weight string) map[identifier.Row]map[string]string {
	return map[identifier.Row]map[string]string{"a": {"weight": weight}}
}

func queueName(i int) string { return fmt.Sprintf("queue-%04d", i) }

// setRoute adds or changes the route of a queue.
func (h *tableHistory) setRoute(name string) {
	prefix := fmt.Sprintf("/%s/%d/", name, h.random.Intn(1000))
	h.routes[name] = catalog.Route{Queue: name, Host: "host.example", Prefix: prefix}
}

// listRoutes updates the table's routes and records them for the table's epoch.
func (h *tableHistory) listRoutes() {
	h.table.Routes = slices.Collect(maps.Values(h.routes))
	h.pastRoutes[h.table.Epoch] = maps.Clone(h.routes)
}

// changeOne changes one route.
func (h *tableHistory) changeOne(name string) {
	h.table.Epoch++
	h.setRoute(name)
	h.listRoutes()
	h.history.CatalogChanged(h.table)
}

// changeRandomly makes a single change that affects either some routes or the rows.
func (h *tableHistory) changeRandomly() {
	h.table.Epoch++
	if h.random.Intn(6) == 0 {
		h.table.Rows = weightRow(fmt.Sprint(h.table.Epoch))
		h.pastRoutes[h.table.Epoch] = maps.Clone(h.routes)
		h.history.RowsChanged(h.table)
		return
	}
	h.table.Version = uint64(h.table.Epoch)
	for n := h.random.Intn(4); n >= 0; n-- {
		h.setRoute(queueName(h.random.Intn(400)))
	}
	for n := h.random.Intn(3); n > 0; n-- {
		delete(h.routes, queueName(h.random.Intn(400)))
	}
	h.listRoutes()
	h.history.CatalogChanged(h.table)
}

// hadRouteSince reports whether some table at the given epoch or later had the route.
func (h *tableHistory) hadRouteSince(route catalog.Route, from identifier.Epoch) bool {
	for epoch := from; epoch <= h.table.Epoch; epoch++ {
		if h.pastRoutes[epoch][route.Queue] == route {
			return true
		}
	}
	return false
}

// fetchPage answers a replica's next request with a page that is encoded and decoded as on
// the wire.
func fetchPage(t *testing.T, h *History, r *Replica) (page Page, changed bool) {
	t.Helper()
	since, after := r.NextRequest()
	data := encodePage(t, h.Page(since, after))
	if len(data) > pageBytes*3 {
		t.Errorf("a page of %d bytes", len(data))
	}
	if err := json.Unmarshal(data, &page); err != nil {
		t.Fatal(err)
	}
	return page, r.AddPage(page, after)
}

func encodePage(t *testing.T, p Page) []byte {
	t.Helper()
	data, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func hasRoutes(r *Replica, want map[string]catalog.Route) bool {
	routes := r.Routes()
	for _, route := range routes {
		if want[route.Queue] != route {
			return false
		}
	}
	return len(routes) == len(want)
}

// TestReplicaConverges checks a replica that requests one page after another while the table
// keeps changing, at times from a new leader with a short history: its epoch never
// decreases, it holds only routes of tables between its own epoch and the newest one, and it
// holds the exact table once the changes end.
func TestReplicaConverges(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		h := newTableHistory(seed, 400)
		r := &Replica{}
		epoch := identifier.Epoch(0)
		changes := 0
		for step := 0; step < 400; step++ {
			if h.random.Intn(3) == 0 {
				h.changeRandomly()
			}
			if h.random.Intn(120) == 0 {
				h.history = NewHistory(h.table)
			}
			if _, changed := fetchPage(t, h.history, r); changed {
				changes++
			}
			if r.Epoch() < epoch {
				t.Fatalf("seed %d: the epoch went back from %d to %d", seed, epoch, r.Epoch())
			}
			epoch = r.Epoch()
			for _, route := range r.Routes() {
				if !h.hadRouteSince(route, epoch) {
					t.Fatalf("seed %d: at epoch %d the replica has %+v, which no table has had since", seed, epoch, route)
				}
			}
		}
		for i := 0; i < 200 && r.Epoch() < h.table.Epoch; i++ {
			fetchPage(t, h.history, r)
		}
		if r.Epoch() != h.table.Epoch || r.Version() != h.table.Version {
			t.Fatalf("seed %d: at epoch %d, want %d; at version %d, want %d",
				seed, r.Epoch(), h.table.Epoch, r.Version(), h.table.Version)
		}
		if !hasRoutes(r, h.routes) {
			t.Fatalf("seed %d: the %d routes differ from the %d of the table", seed, len(r.Routes()), len(h.routes))
		}
		if got, want := r.Rows()["a"]["weight"], h.table.Rows["a"]["weight"]; got != want {
			t.Fatalf("seed %d: weight %q in row a, want %q", seed, got, want)
		}
		if changes < 20 {
			t.Errorf("seed %d: too few updates to be conclusive: %d", seed, changes)
		}
	}
}

// TestPatchSizeIndependentOfTable checks that the size of an update for one change does not
// grow with the table, that many changes of one route are sent as one, and that a full table
// is sent in pages.
func TestPatchSizeIndependentOfTable(t *testing.T) {
	for _, routes := range []int{3, 400, 1400, 10000} {
		h := newTableHistory(7, routes)
		r := &Replica{}
		pages := 0
		tableBytes := 0
		for r.Epoch() != h.table.Epoch {
			page, _ := fetchPage(t, h.history, r)
			pages++
			tableBytes += len(encodePage(t, page))
		}

		h.changeOne(queueName(1))
		page, _ := fetchPage(t, h.history, r)
		oneBytes := len(encodePage(t, page))

		for i := 0; i < 50; i++ {
			h.changeOne(queueName(2))
		}
		page, _ = fetchPage(t, h.history, r)
		fiftyBytes := len(encodePage(t, page))

		t.Logf("%5d routes: %d bytes in %d pages, a change %d bytes, 50 of one route %d bytes", routes, tableBytes, pages, oneBytes, fiftyBytes)
		if oneBytes > 300 || fiftyBytes > 300 || !hasRoutes(r, h.routes) {
			t.Errorf("%d routes: a change takes %d bytes, 50 of one route %d", routes, oneBytes, fiftyBytes)
		}
		if pages < tableBytes/(3*pageBytes) {
			t.Errorf("%d bytes in %d pages", tableBytes, pages)
		}
	}
}

// TestDroppedItemsBounded checks that the number of retained dropped items is bounded however
// many routes are added and removed, and that a replica from before the horizon gets the full
// table.
func TestDroppedItemsBounded(t *testing.T) {
	h := newTableHistory(3, 10)
	r := &Replica{}
	fetchPage(t, h.history, r)
	for i := 0; i < 2*maxDroppedItems; i++ {
		h.table.Epoch++
		h.setRoute(fmt.Sprintf("passing-%d", i))
		delete(h.routes, fmt.Sprintf("passing-%d", i-1))
		h.table.Routes = slices.Collect(maps.Values(h.routes))
		h.history.CatalogChanged(h.table)
	}
	if kept := len(h.history.items); kept > maxDroppedItems+20 {
		t.Errorf("%d items are retained", kept)
	}
	if page, _ := fetchPage(t, h.history, r); page.Since != 0 || !hasRoutes(r, h.routes) {
		t.Errorf("from before the horizon: since %d, %d routes", page.Since, len(r.Routes()))
	}
}

// TestStalePagesIgnored checks that pages that arrive late or twice, or that belong to another
// update, change nothing.
func TestStalePagesIgnored(t *testing.T) {
	h := newTableHistory(5, 1400)
	r := &Replica{}
	first := h.history.Page(0, "")
	if r.AddPage(first, "") || !r.Updating() {
		t.Fatal("the first of several pages was applied as the full table")
	}
	if r.AddPage(first, "") || r.AddPage(h.history.Page(0, queueName(1300)), queueName(1300)) {
		t.Error("a page that was not requested was accepted")
	}
	for r.Updating() {
		fetchPage(t, h.history, r)
	}
	if !hasRoutes(r, h.routes) {
		t.Error("the replica does not have the full table")
	}
	old := h.history.Page(1, "")
	h.changeRandomly()
	fetchPage(t, h.history, r)
	epoch := r.Epoch()
	if r.Patch(old) || r.Patch(Page{Since: epoch + 1, Epoch: epoch + 2}) || r.Epoch() != epoch {
		t.Error("applied an older page, or one since a later epoch")
	}
}

// TestTenantKeysConverge checks that a replica that catches up occasionally has the keys and
// routes of the newest table, whichever tenants and routes are added, changed and removed.
func TestTenantKeysConverge(t *testing.T) {
	h := newTableHistory(11, 30)
	r := &Replica{}
	for round := range 400 {
		tenants := map[string]catalog.TenantKeys{}
		for _, keys := range h.table.Tenants {
			tenants[keys.Tenant] = keys
		}
		name := fmt.Sprint("tenant-", h.random.Intn(8))
		if h.random.Intn(3) == 0 {
			delete(tenants, name)
		} else {
			tenants[name] = catalog.TenantKeys{Tenant: name, Digests: []catalog.KeyDigest{catalog.KeyDigest(fmt.Sprint(round))}}
		}
		h.table.Tenants = slices.Collect(maps.Values(tenants))
		h.table.KeySalt = []byte("salt")
		h.changeOne(queueName(h.random.Intn(40)))
		if h.random.Intn(4) != 0 {
			continue
		}
		fetchPage(t, h.history, r)
		for r.Updating() {
			fetchPage(t, h.history, r)
		}
		have := r.Tenants()
		for _, keys := range have {
			if !slices.Equal(keys.Digests, tenants[keys.Tenant].Digests) {
				t.Fatalf("round %d: %v", round, keys)
			}
		}
		if len(have) != len(tenants) || string(r.KeySalt()) != "salt" || !hasRoutes(r, h.routes) {
			t.Fatalf("round %d: %d tenants of %d", round, len(have), len(tenants))
		}
	}
}
