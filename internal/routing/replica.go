package routing

import (
	"maps"
	"slices"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
)

// Replica is a gateway's copy of the routing table, and the update under way.
type Replica struct {
	epoch   identifier.Epoch
	version uint64
	rows    map[identifier.Row]map[string]string
	routes  map[string]catalog.Route
	update  *update
	// needsFullTable says that the leader's history does not reach back to epoch.
	needsFullTable bool
}

// update gathers the pages of one update. Pages after the first may be of a newer
// table: the update then counts as being of the first page's epoch, and what it has of
// newer ones will only come again.
type update struct {
	first     Page
	routes    map[string]catalog.Route
	dropped   map[string]bool
	nextAfter string
}

func newUpdate(first Page) *update {
	return &update{first: first, routes: map[string]catalog.Route{}, dropped: map[string]bool{}}
}

func (u *update) add(p Page) {
	for _, route := range p.Routes {
		u.routes[route.Queue] = route
	}
	for _, name := range p.Dropped {
		u.dropped[name] = true
	}
}

// applyTo is what the update makes of some routes, which stay as they are.
func (u *update) applyTo(routes map[string]catalog.Route) map[string]catalog.Route {
	if u.first.Since == 0 {
		return u.routes
	}
	updated := make(map[string]catalog.Route, len(routes)+len(u.routes))
	for name, route := range routes {
		if !u.dropped[name] {
			updated[name] = route
		}
	}
	maps.Copy(updated, u.routes)
	return updated
}

// Epoch is that of the table in use, 0 while there is none.
func (r *Replica) Epoch() identifier.Epoch { return r.epoch }

// Version is that of the routes in use.
func (r *Replica) Version() uint64 { return r.version }

// Rows are the limits by row. They must not be changed.
func (r *Replica) Rows() map[identifier.Row]map[string]string { return r.rows }

// Routes lists the routes in use, in the order of names.
func (r *Replica) Routes() []catalog.Route {
	var routes []catalog.Route
	for _, name := range slices.Sorted(maps.Keys(r.routes)) {
		routes = append(routes, r.routes[name])
	}
	return routes
}

// Updating reports whether more pages of an update are to come.
func (r *Replica) Updating() bool { return r.update != nil }

// NextRequest is what to ask the leader for next: the page that begins after a name of
// what changed since an epoch.
func (r *Replica) NextRequest() (since identifier.Epoch, after string) {
	if r.update != nil {
		return r.update.first.Since, r.update.nextAfter
	}
	if r.needsFullTable {
		return 0, ""
	}
	return r.epoch, ""
}

// Replace takes a full table at once, unless the one in use is as new, and tells
// whether it did.
func (r *Replica) Replace(t Table) bool {
	if t.Epoch <= r.epoch {
		return false
	}
	r.epoch = t.Epoch
	r.version = t.Version
	r.rows = t.Rows
	r.routes = make(map[string]catalog.Route, len(t.Routes))
	for _, route := range t.Routes {
		r.routes[route.Queue] = route
	}
	r.update = nil
	r.needsFullTable = false
	return true
}

// Patch takes an update of a single page, whichever way it came, and reports whether it
// did. It changes nothing unless the page reaches back to the table in use and is
// newer.
func (r *Replica) Patch(p Page) bool {
	if p.NextAfter != "" {
		return false
	}
	u := newUpdate(p)
	u.add(p)
	return r.apply(u)
}

// AddPage adds a page that was asked for and reports whether the table in use has
// changed. A page that does not go on from the ones before ends the update, which then
// begins anew.
func (r *Replica) AddPage(p Page, after string) bool {
	since, wanted := r.NextRequest()
	switch {
	case after != wanted:
		return false
	case after == "":
		r.update = newUpdate(p)
	case p.Since != since || p.Epoch < r.update.first.Epoch:
		r.update = nil
		r.needsFullTable = p.Since == 0
		return false
	}
	r.update.add(p)
	if p.NextAfter != "" {
		r.update.nextAfter = p.NextAfter
		return false
	}
	complete := r.update
	r.update = nil
	r.needsFullTable = false
	return r.apply(complete)
}

// apply takes a complete update, and reports whether it reaches back to the table in use
// and is newer.
func (r *Replica) apply(u *update) bool {
	if u.first.Epoch <= r.epoch || u.first.Since > r.epoch {
		return false
	}
	r.epoch = u.first.Epoch
	r.version = u.first.Version
	r.routes = u.applyTo(r.routes)
	if u.first.Rows != nil {
		r.rows = u.first.Rows
	}
	return true
}
