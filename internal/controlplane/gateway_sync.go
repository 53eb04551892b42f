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

// maxStalePageBytes bounds the page that goes with the reply to a stale request, in
// bytes. More is fetched by the gateway, once for all its requests.
const maxStalePageBytes = 4 << 10

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

func (s *Server) fullRoutingTable() *RoutingTable {
	t := s.routingTable()
	return &RoutingTable{Epoch: t.Epoch, Rows: t.Rows, Version: t.Version, Routes: t.Routes}
}

// routingTable is the table in force, as gateways need it.
func (s *Server) routingTable() routing.Table {
	t := routing.Table{Epoch: s.state.Limits.Epoch, Rows: s.state.Limits.Rows}
	if c := s.state.Catalog; c != nil {
		t.Version, t.Routes = c.Version, c.Routes()
	}
	return t
}

// routingState is the state that the routing history was last told of.
type routingState struct {
	history *routing.History
	catalog *catalog.Catalog
}

// trackRouting tells the history what the last entry changed.
func (s *Server) trackRouting() {
	r := &s.routingState
	switch {
	case r.history == nil || s.state.Limits.Epoch < r.history.Epoch():
		r.history = routing.NewHistory(s.routingTable())
	case s.state.Limits.Epoch == r.history.Epoch():
		return
	case s.state.Catalog != r.catalog:
		r.history.RoutesChanged(s.routingTable())
	default:
		r.history.RowsChanged(s.routingTable())
	}
	r.catalog = s.state.Catalog
}

// forgetRouting begins the history anew, as the state was replaced.
func (s *Server) forgetRouting() { s.routingState = routingState{} }

func (s *Server) handleSync(c *apiRequest) {
	q, err := url.ParseQuery(c.Query)
	if err != nil {
		s.replyError(c.peer, c.ID, 400, "bad-request", "query does not parse", 0)
		return
	}
	s.gatewaySeen(q.Get(SyncGatewayParam))
	response := SyncResponse{Epoch: s.state.Limits.Epoch, Lead: s.config.ID.String(), Members: s.raft.Members(), Gateways: s.liveGateways()}
	since, err := strconv.ParseUint(q.Get(SyncSinceParam), 10, 64)
	switch {
	case err != nil && c.Epoch != response.Epoch:
		response.Table = s.fullRoutingTable()
	case err == nil && (identifier.Epoch(since) != response.Epoch || q.Get(SyncAfterParam) != ""):
		page := s.routingPage(identifier.Epoch(since), q.Get(SyncAfterParam))
		response.Page = &page
	}
	s.replyJSON(c.peer, c.ID, 200, response)
}

func (s *Server) routingPage(since identifier.Epoch, after string) routing.Page {
	s.trackRouting()
	return s.routingState.history.Page(since, after)
}

// staleBody is what goes with the reply to a request checked by an older table.
// Gateways that date their requests know pages.
func (s *Server) staleBody(a *wire.Request) []byte {
	var body any = s.fullRoutingTable()
	if a.HasLeaderTime {
		page := s.routingPage(a.Epoch, "")
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
	if a.HasLeaderTime && len(text) > maxStalePageBytes {
		return nil
	}
	return text
}
