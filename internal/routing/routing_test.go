package routing

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
)

// tableHistory is a table that changes, its history, and every table it ever had.
type tableHistory struct {
	random     *rand.Rand
	routes     map[string]catalog.Route
	table      Table
	history    *History
	pastTables map[identifier.Epoch]map[string]catalog.Route
}

func newTableHistory(seed int64, places int) *tableHistory {
	l := &tableHistory{random: rand.New(rand.NewSource(seed)), routes: map[string]catalog.Route{}, pastTables: map[identifier.Epoch]map[string]catalog.Route{}}
	for i := 0; i < places; i++ {
		l.changeRoute(fmt.Sprintf("queue-%04d", i))
	}
	l.table = Table{Epoch: 1, Version: 1, Rows: map[identifier.Row]map[string]string{"a": {"weight": "1"}}}
	l.publish()
	l.history = NewHistory(l.table)
	return l
}

func (l *tableHistory) changeRoute(name string) {
	l.routes[name] = catalog.Route{Queue: name, Host: "host.example", Prefix: fmt.Sprintf("/%s/%d/", name, l.random.Intn(1000))}
}

func (l *tableHistory) publish() {
	l.table.Routes = nil
	for _, p := range l.routes {
		l.table.Routes = append(l.table.Routes, p)
	}
	l.pastTables[l.table.Epoch] = maps.Clone(l.routes)
}

// changeRandomly is one change of some places, or of the rows.
func (l *tableHistory) changeRandomly() {
	l.table.Epoch++
	if l.random.Intn(6) == 0 {
		l.table.Rows = map[identifier.Row]map[string]string{"a": {"weight": fmt.Sprint(l.table.Epoch)}}
		l.pastTables[l.table.Epoch] = maps.Clone(l.routes)
		l.history.RowsChanged(l.table)
		return
	}
	l.table.Version = uint64(l.table.Epoch)
	for n := l.random.Intn(4); n >= 0; n-- {
		l.changeRoute(fmt.Sprintf("queue-%04d", l.random.Intn(400)))
	}
	for n := l.random.Intn(3); n > 0; n-- {
		delete(l.routes, fmt.Sprintf("queue-%04d", l.random.Intn(400)))
	}
	l.publish()
	l.history.RoutesChanged(l.table)
}

// fetchPage sends a replica's question and its answer over the wire.
func fetchPage(t *testing.T, h *History, r *Replica) (p Page, changed bool) {
	t.Helper()
	since, after := r.NextRequest()
	text, err := json.Marshal(h.Page(since, after))
	if err != nil {
		t.Fatal(err)
	}
	if len(text) > pageBytes*3 {
		t.Errorf("a page of %d bytes", len(text))
	}
	if err = json.Unmarshal(text, &p); err != nil {
		t.Fatal(err)
	}
	return p, r.AddPage(p, after)
}

func hasRoutes(r *Replica, want map[string]catalog.Route) bool {
	list := r.Routes()
	for _, p := range list {
		if want[p.Queue] != p {
			return false
		}
	}
	return len(list) == len(want)
}

// TestReplicaConverges: while the table goes on changing, a replica that asks for
// one page after another, now and then of a new leader whose history is short,
// never goes back, holds only places of tables between its own epoch and the
// newest, and has the very table once the changes end.
func TestReplicaConverges(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		l, r := newTableHistory(seed, 400), &Replica{}
		epoch, changes := identifier.Epoch(0), 0
		for step := 0; step < 400; step++ {
			if l.random.Intn(3) == 0 {
				l.changeRandomly()
			}
			if l.random.Intn(120) == 0 {
				l.history = NewHistory(l.table)
			}
			if _, changed := fetchPage(t, l.history, r); changed {
				changes++
			}
			if r.Epoch() < epoch {
				t.Fatalf("seed %d: went back from %d to %d", seed, epoch, r.Epoch())
			}
			epoch = r.Epoch()
			for _, p := range r.Routes() {
				if !everHad(l, p, epoch) {
					t.Fatalf("seed %d: at epoch %d it holds %+v, which no table had since", seed, epoch, p)
				}
			}
		}
		for i := 0; i < 200 && r.Epoch() < l.table.Epoch; i++ {
			fetchPage(t, l.history, r)
		}
		if r.Epoch() != l.table.Epoch || !hasRoutes(r, l.routes) || r.Rows()["a"]["weight"] != l.table.Rows["a"]["weight"] || r.Version() != l.table.Version {
			t.Fatalf("seed %d: came to epoch %d of %d, version %d of %d, %d places of %d", seed, r.Epoch(), l.table.Epoch, r.Version(), l.table.Version, len(r.Routes()), len(l.routes))
		}
		if changes < 20 {
			t.Errorf("seed %d: too little evidence: %d changes taken", seed, changes)
		}
	}
}

// everHad tells whether some table from an epoch on had this place.
func everHad(l *tableHistory, p catalog.Route, from identifier.Epoch) bool {
	for e := from; e <= l.table.Epoch; e++ {
		if l.pastTables[e][p.Queue] == p {
			return true
		}
	}
	return false
}

// TestPatchSizeIndependentOfTable: what a gateway is sent for a change does not grow with the
// table, many changes at once are sent as one, and a whole table comes in pages.
func TestPatchSizeIndependentOfTable(t *testing.T) {
	for _, places := range []int{3, 400, 1400, 10000} {
		l, r := newTableHistory(7, places), &Replica{}
		pages, whole := 0, 0
		for r.Epoch() != l.table.Epoch {
			p, _ := fetchPage(t, l.history, r)
			text, _ := json.Marshal(p)
			pages, whole = pages+1, whole+len(text)
		}
		l.table.Epoch++
		l.changeRoute("queue-0001")
		l.publish()
		l.history.RoutesChanged(l.table)
		p, _ := fetchPage(t, l.history, r)
		one, _ := json.Marshal(p)
		for i := 0; i < 50; i++ {
			l.table.Epoch++
			l.changeRoute("queue-0002")
			l.publish()
			l.history.RoutesChanged(l.table)
		}
		p, _ = fetchPage(t, l.history, r)
		fifty, _ := json.Marshal(p)
		t.Logf("%5d places: whole %d bytes in %d pages, a change %d bytes, 50 of one place %d bytes", places, whole, pages, len(one), len(fifty))
		if len(one) > 300 || len(fifty) > 300 || !hasRoutes(r, l.routes) {
			t.Errorf("%d places: a change takes %d bytes, 50 of one place %d", places, len(one), len(fifty))
		}
		if pages < whole/(3*pageBytes) {
			t.Errorf("%d bytes in %d pages", whole, pages)
		}
	}
}

// TestDroppedItemsBounded: however many places come and go, what is remembered of
// them is bounded; a replica from before the horizon gets the whole.
func TestDroppedItemsBounded(t *testing.T) {
	l, r := newTableHistory(3, 10), &Replica{}
	fetchPage(t, l.history, r)
	for i := 0; i < 2*maxDroppedItems; i++ {
		l.table.Epoch++
		l.changeRoute(fmt.Sprintf("passing-%d", i))
		delete(l.routes, fmt.Sprintf("passing-%d", i-1))
		l.table.Routes = nil
		for _, p := range l.routes {
			l.table.Routes = append(l.table.Routes, p)
		}
		l.history.RoutesChanged(l.table)
	}
	if n := len(l.history.items); n > maxDroppedItems+20 {
		t.Errorf("%d items are kept", n)
	}
	if p, _ := fetchPage(t, l.history, r); p.Since != 0 || !hasRoutes(r, l.routes) {
		t.Errorf("from before the horizon: since %d, %d places", p.Since, len(r.Routes()))
	}
}

// TestStalePagesIgnored: pages that come late, twice, or of another update change nothing.
func TestStalePagesIgnored(t *testing.T) {
	l, r := newTableHistory(5, 1400), &Replica{}
	first := l.history.Page(0, "")
	if r.AddPage(first, "") || !r.Updating() {
		t.Fatal("a first page of several was the whole")
	}
	if r.AddPage(first, "") || r.AddPage(l.history.Page(0, "queue-1300"), "queue-1300") {
		t.Error("a page that was not asked for was taken")
	}
	for r.Updating() {
		fetchPage(t, l.history, r)
	}
	if !hasRoutes(r, l.routes) {
		t.Error("not the whole table")
	}
	old := l.history.Page(1, "")
	l.changeRandomly()
	fetchPage(t, l.history, r)
	epoch := r.Epoch()
	if r.Patch(old) || r.Patch(Page{Since: epoch + 1, Epoch: epoch + 2}) || r.Epoch() != epoch {
		t.Error("took an older page, or one from a later epoch")
	}
}
