// What gateways hear from the leader: where the group is, and what changed in
// the routing table since the version they have.

package controlplane

import (
	"encoding/json"
	"net/url"
	"strconv"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/routing"
	"orchidward/internal/transport/wire"
)

// Parameters of a SYNC request. Since is the epoch of the gateway's table, After
// the name after which the next page begins; a gateway of a former version sends
// neither and is sent whole tables.
const (
	SyncGate  = "gate"
	SyncSince = "since"
	SyncAfter = "after"
)

// stalePageMost bounds the page that goes with the reply to a stale request, in
// bytes. More is fetched by the gateway, once for all its requests.
const stalePageMost = 4 << 10

// Sync is what a gateway hears from the leader: a page of what changed in the
// routing table, the members, and the other gateways. Table is the whole, for
// gateways of a former version.
type Sync struct {
	Epoch   identifier.Epoch `json:"epoch"`
	Table   *Sheet           `json:"table,omitempty"`
	Page    *routing.Page    `json:"page,omitempty"`
	Lead    string           `json:"lead"`
	Members []raft.Member    `json:"members"`
	Gates   []string         `json:"gates"`
}

// Stale is the body of a reply to a request that was checked by an older table.
// Page is what changed since, where that is little; without it, and without a
// whole table, the gateway asks for it.
type Stale struct {
	Sheet
	Page *routing.Page `json:"page,omitempty"`
}

// Sheet is the table without the marks that only the core needs.
type Sheet struct {
	Epoch identifier.Epoch                     `json:"epoch"`
	Rows  map[identifier.Row]map[string]string `json:"rows"`
	// Version and Places are the catalogue's, 0 and none where there is none.
	Version uint64          `json:"version,omitempty"`
	Places  []catalog.Place `json:"places,omitempty"`
}

func (m *Machine) sheetNow() *Sheet {
	t := m.routingTable()
	return &Sheet{Epoch: t.Epoch, Rows: t.Rows, Version: t.Version, Places: t.Places}
}

// routingTable is the table in force, as gateways need it.
func (m *Machine) routingTable() routing.Table {
	t := routing.Table{Epoch: m.book.Table.Epoch, Rows: m.book.Table.Rows}
	if c := m.book.Catalog; c != nil {
		t.Version, t.Places = c.Version, c.Places()
	}
	return t
}

// routed is the state that the routing history was last told of.
type routed struct {
	history *routing.History
	catalog *catalog.Catalog
}

// trackRouting tells the history what the last entry changed.
func (m *Machine) trackRouting() {
	r := &m.routed
	switch {
	case r.history == nil || m.book.Table.Epoch < r.history.Epoch():
		r.history = routing.NewHistory(m.routingTable())
	case m.book.Table.Epoch == r.history.Epoch():
		return
	case m.book.Catalog != r.catalog:
		r.history.PlacesChanged(m.routingTable())
	default:
		r.history.RowsChanged(m.routingTable())
	}
	r.catalog = m.book.Catalog
}

// forgetRouting begins the history anew, as the state was replaced.
func (m *Machine) forgetRouting() { m.routed = routed{} }

func (m *Machine) sync(c *call) {
	q, err := url.ParseQuery(c.Query)
	if err != nil {
		m.refuse(c.peer, c.ID, 400, "bad-request", "query does not parse", 0)
		return
	}
	m.gateSeen(q.Get(SyncGate))
	s := Sync{Epoch: m.book.Table.Epoch, Lead: m.boot.ID.String(), Members: m.raft.Members(), Gates: m.liveGates()}
	since, err := strconv.ParseUint(q.Get(SyncSince), 10, 64)
	switch {
	case err != nil && c.Epoch != s.Epoch:
		s.Table = m.sheetNow()
	case err == nil && (identifier.Epoch(since) != s.Epoch || q.Get(SyncAfter) != ""):
		page := m.page(identifier.Epoch(since), q.Get(SyncAfter))
		s.Page = &page
	}
	m.replyDoc(c.peer, c.ID, 200, s)
}

func (m *Machine) page(since identifier.Epoch, after string) routing.Page {
	m.trackRouting()
	return m.routed.history.Page(since, after)
}

// staleBody is what goes with the reply to a request checked by an older table.
// Gateways that date their requests know pages.
func (m *Machine) staleBody(a *wire.Ask) []byte {
	var body any = m.sheetNow()
	if a.Dated {
		page := m.page(a.Epoch, "")
		if page.Next != "" || page.Since != a.Epoch {
			return nil
		}
		body = struct {
			Page *routing.Page `json:"page"`
		}{&page}
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	if a.Dated && len(text) > stalePageMost {
		return nil
	}
	return text
}
