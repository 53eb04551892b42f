package controlplane

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/routing"
	"orchidward/internal/transport/wire"
)

// maxStalePageBytes bounds the routing page included in the response to a stale request.
// A gateway fetches larger pages itself, once for all its requests.
const maxStalePageBytes = 4 << 10

// routingState is the history of the routing table, the catalogue that the history last
// included, and the API keys of that catalogue's tenants.
type routingState struct {
	history *routing.History
	catalog *catalog.Catalog
	keys    *catalog.KeyTable
}

// routingTable returns the routing table in force.
func (s *Server) routingTable() routing.Table {
	table := routing.Table{Epoch: s.state.Limits.Epoch, Rows: s.state.Limits.Rows}
	if c := s.state.Catalog; c != nil {
		table.Version = c.Version
		table.Routes = c.Routes()
		table.Tenants = c.TenantKeys()
		table.KeySalt = c.KeySalt
	}
	return table
}

func (s *Server) fullRoutingTable() *routing.FullTable {
	table := s.routingTable()
	return &routing.FullTable{
		Epoch: table.Epoch, Rows: table.Rows, Version: table.Version,
		Routes: table.Routes, Tenants: table.Tenants, KeySalt: table.KeySalt,
	}
}

// trackRouting updates the history with the changes of the last entry.
func (s *Server) trackRouting() {
	r := &s.routing
	if r.history != nil && s.state.Limits.Epoch == r.history.Epoch() {
		return
	}
	table := s.routingTable()
	switch {
	case r.history == nil || table.Epoch < r.history.Epoch():
		r.history = routing.NewHistory(table)
	case s.state.Catalog != r.catalog:
		r.history.CatalogChanged(table)
	default:
		r.history.RowsChanged(table)
	}
	r.catalog = s.state.Catalog
	r.keys = catalog.NewKeyTable(table.KeySalt, table.Tenants)
}

// forgetRouting resets the history after the state was replaced.
func (s *Server) forgetRouting() { s.routing = routingState{} }

func (s *Server) routingPage(since identifier.Epoch, after string) routing.Page {
	s.trackRouting()
	return s.routing.history.Page(since, after)
}

// handleSync sends a gateway the changes since the routing table that it has.
func (s *Server) handleSync(r *apiRequest) {
	query, err := url.ParseQuery(r.Query)
	if err != nil {
		s.replyError(r.peer, r.ID, errQueryMalformed)
		return
	}
	s.gateways.clientAddrSeen(query.Get(routing.SyncGatewayParam), s.now)
	response := routing.SyncResponse{
		Epoch:    s.state.Limits.Epoch,
		Leader:   s.config.ID.String(),
		Members:  s.raft.Members(),
		Gateways: s.gateways.liveClientAddrs(s.now),
	}
	after := query.Get(routing.SyncAfterParam)
	since, err := strconv.ParseUint(query.Get(routing.SyncSinceParam), 10, 64)
	wantsPages := err == nil
	switch {
	case !wantsPages && r.Epoch != response.Epoch:
		response.Table = s.fullRoutingTable()
	case wantsPages && (identifier.Epoch(since) != response.Epoch || after != ""):
		page := s.routingPage(identifier.Epoch(since), after)
		response.Page = &page
	}
	s.replyJSON(r.peer, r.ID, http.StatusOK, response)
}

// replyStale returns a request that a gateway checked against an older routing table.
func (s *Server) replyStale(to wire.Peer, r *wire.Request) {
	s.send(to, wire.Message{Response: &wire.Response{ID: r.ID, Status: http.StatusConflict, Stale: true, Body: s.staleBody(r)}})
}

// staleBody returns the body of the response to a stale request. Gateways that stamp
// their requests with the leader's time support pages; others receive the full table.
func (s *Server) staleBody(r *wire.Request) []byte {
	if !r.HasLeaderTime {
		return encodeStale(s.fullRoutingTable())
	}
	page := s.routingPage(r.Epoch, "")
	if page.NextAfter != "" || page.Since != r.Epoch {
		return nil
	}
	text := encodeStale(stalePage{&page})
	if len(text) > maxStalePageBytes {
		return nil
	}
	return text
}

// stalePage is a routing.StaleResponse that contains only a page.
type stalePage struct {
	Page *routing.Page `json:"page"`
}

func encodeStale(body any) []byte {
	text, err := json.Marshal(body)
	if err != nil {
		panic("controlplane: encode a routing table: " + err.Error())
	}
	return text
}
