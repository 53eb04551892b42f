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
	SyncGatewayParam = "gate"
	SyncSinceParam   = "since"
	SyncAfterParam   = "after"
)

// stalePageMost bounds the page that goes with the reply to a stale request, in
// bytes. More is fetched by the gateway, once for all its requests.
const stalePageMost = 4 << 10

// SyncResponse is what a gateway hears from the leader: a page of what changed in the
// routing table, the members, and the other gateways. Table is the whole, for
// gateways of a former version.
type SyncResponse struct {
	Epoch    identifier.Epoch `json:"epoch"`
	Table    *RoutingTable    `json:"table,omitempty"`
	Page     *routing.Page    `json:"page,omitempty"`
	Lead     string           `json:"lead"`
	Members  []raft.Member    `json:"members"`
	Gateways []string         `json:"gates"`
}

// StaleResponse is the body of a reply to a request that was checked by an older table.
// Page is what changed since, where that is little; without it, and without a
// whole table, the gateway asks for it.
type StaleResponse struct {
	RoutingTable
	Page *routing.Page `json:"page,omitempty"`
}

// RoutingTable is the table without the marks that only the core needs.
type RoutingTable struct {
	Epoch identifier.Epoch                     `json:"epoch"`
	Rows  map[identifier.Row]map[string]string `json:"rows"`
	// Version and Places are the catalogue's, 0 and none where there is none.
	Version uint64          `json:"version,omitempty"`
	Routes  []catalog.Route `json:"places,omitempty"`
}

func (m *Server) sheetNow() *RoutingTable {
	t := m.routingTable()
	return &RoutingTable{Epoch: t.Epoch, Rows: t.Rows, Version: t.Version, Routes: t.Routes}
}

// routingTable is the table in force, as gateways need it.
func (m *Server) routingTable() routing.Table {
	t := routing.Table{Epoch: m.state.Limits.Epoch, Rows: m.state.Limits.Rows}
	if c := m.state.Catalog; c != nil {
		t.Version, t.Routes = c.Version, c.Routes()
	}
	return t
}

// routed is the state that the routing history was last told of.
type routed struct {
	history *routing.History
	catalog *catalog.Catalog
}

// trackRouting tells the history what the last entry changed.
func (m *Server) trackRouting() {
	r := &m.routed
	switch {
	case r.history == nil || m.state.Limits.Epoch < r.history.Epoch():
		r.history = routing.NewHistory(m.routingTable())
	case m.state.Limits.Epoch == r.history.Epoch():
		return
	case m.state.Catalog != r.catalog:
		r.history.RoutesChanged(m.routingTable())
	default:
		r.history.RowsChanged(m.routingTable())
	}
	r.catalog = m.state.Catalog
}

// forgetRouting begins the history anew, as the state was replaced.
func (m *Server) forgetRouting() { m.routed = routed{} }

func (m *Server) sync(c *call) {
	q, err := url.ParseQuery(c.Query)
	if err != nil {
		m.refuse(c.peer, c.ID, 400, "bad-request", "query does not parse", 0)
		return
	}
	m.gateSeen(q.Get(SyncGatewayParam))
	s := SyncResponse{Epoch: m.state.Limits.Epoch, Lead: m.config.ID.String(), Members: m.raft.Members(), Gateways: m.liveGates()}
	since, err := strconv.ParseUint(q.Get(SyncSinceParam), 10, 64)
	switch {
	case err != nil && c.Epoch != s.Epoch:
		s.Table = m.sheetNow()
	case err == nil && (identifier.Epoch(since) != s.Epoch || q.Get(SyncAfterParam) != ""):
		page := m.page(identifier.Epoch(since), q.Get(SyncAfterParam))
		s.Page = &page
	}
	m.replyDoc(c.peer, c.ID, 200, s)
}

func (m *Server) page(since identifier.Epoch, after string) routing.Page {
	m.trackRouting()
	return m.routed.history.Page(since, after)
}

// staleBody is what goes with the reply to a request checked by an older table.
// Gateways that date their requests know pages.
func (m *Server) staleBody(a *wire.Request) []byte {
	var body any = m.sheetNow()
	if a.HasLeaderTime {
		page := m.page(a.Epoch, "")
		if page.NextAfter != "" || page.Since != a.Epoch {
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
	if a.HasLeaderTime && len(text) > stalePageMost {
		return nil
	}
	return text
}
