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
	// rules are the compiled limits of the rows, nil while there is no table.
	rules *admission.Rules
	// routeMap maps hosts and paths to queues of the catalogue, nil while there is none.
	routeMap *catalog.RouteMap
	// keys maps digests of API keys to tenants.
	keys *catalog.KeyTable
	// behindSince is when the gateway learned that the leader has a newer table, 0 while
	// this copy is the newest known.
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

// recordLeaderEpoch records whether the leader has a newer table than this copy.
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

// compile rebuilds the rules, keys and routes from the replica's current table.
func (c *routingCopy) compile() {
	c.rules = admission.Compile(&limits.Table{Epoch: c.replica.Epoch(), Rows: c.replica.Rows()})
	c.keys = catalog.NewKeyTable(c.replica.KeySalt(), c.replica.Tenants())
	c.routeMap = nil
	if c.replica.Version() > 0 {
		c.routeMap = catalog.NewRouteMap(c.replica.Version(), c.replica.Routes())
	}
}

// replaceTable replaces the routing table by a newer one. Older tables are ignored.
func (g *Gateway) replaceTable(table *routing.FullTable) {
	g.useTable(g.routing.replica.Replace(table.Table()))
}

// useTable puts the replica's current table into use if it has changed.
func (g *Gateway) useTable(changed bool) {
	if !changed {
		return
	}
	g.routing.compile()
	replica := &g.routing.replica
	g.logEvent("routing-table", "epoch", g.routing.epoch(), "version", replica.Version(),
		"routes", len(replica.Routes()), "tenants", len(replica.Tenants()))
}
