package gateway

import (
	"orchidward/internal/api/admission"
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
	"orchidward/internal/routing"
)

// routingCopy is a gateway's copy of the leader's routing table.
type routingCopy struct {
	replica routing.Replica
	// rules are the limits by row, compiled, nil while there is no table.
	rules *admission.Rules
	// routeMap finds the queues of the catalogue, nil while there is none.
	routeMap *catalog.RouteMap
	// keys finds tenants by their API keys.
	keys *catalog.KeyTable
	// behindSince is since when the leader is known to have a newer table, 0 when this
	// one is the newest that is known.
	behindSince clock.Monotonic
}

func (c *routingCopy) epoch() identifier.Epoch {
	if c.rules == nil {
		return 0
	}
	return c.rules.Epoch
}

func (c *routingCopy) catalogVersion() uint64 {
	if c.routeMap == nil {
		return 0
	}
	return c.routeMap.Version
}

// recordLeaderEpoch notes whether the leader has a newer table than this one.
func (c *routingCopy) recordLeaderEpoch(leader identifier.Epoch, now clock.Monotonic) {
	switch {
	case leader <= c.epoch():
		c.behindSince = 0
	case c.behindSince == 0:
		c.behindSince = now
	}
}

func (c *routingCopy) behind(now clock.Monotonic) bool {
	return c.behindSince > 0 && now.Since(c.behindSince) > maxBehind
}

// compile makes the rules and routes of the table that the replica has come to.
func (c *routingCopy) compile() {
	c.rules = admission.Compile(&limits.Table{Epoch: c.replica.Epoch(), Rows: c.replica.Rows()})
	c.keys = catalog.NewKeyTable(c.replica.KeySalt(), c.replica.Tenants())
	c.routeMap = nil
	if c.replica.Version() > 0 {
		c.routeMap = catalog.NewRouteMap(c.replica.Version(), c.replica.Routes())
	}
}

// replaceTable takes a newer table in place of this one; an older one never replaces it.
func (g *Gateway) replaceTable(table *routing.FullTable) {
	g.useTable(g.routing.replica.Replace(table.Table()))
}

// useTable puts the table into use that the replica has come to, if it changed.
func (g *Gateway) useTable(changed bool) {
	if !changed {
		return
	}
	g.routing.compile()
	replica := &g.routing.replica
	g.logEvent("routing-table", "epoch", g.routing.epoch(), "version", replica.Version(),
		"routes", len(replica.Routes()), "tenants", len(replica.Tenants()))
}
