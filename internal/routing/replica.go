// A gateway's copy of the routing table.

package routing

import (
	"slices"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
)

// Replica is the table that a gateway has, and the update under way.
type Replica struct {
	epoch   identifier.Epoch
	version uint64
	rows    map[identifier.Row]map[string]string
	routes  map[string]catalog.Route
	update  *update
	// needsFullTable says that the leader's history does not reach back to the epoch.
	needsFullTable bool
}

// update gathers the pages of one update. Pages after the first may be cut from
// a newer table: the update then counts as being of the first page's epoch, and
// what it has of newer ones will only come again.
type update struct {
	first     Page
	routes    map[string]catalog.Route
	dropped   map[string]bool
	nextAfter string
}

// Epoch is that of the table in use, 0 while there is none.
func (r *Replica) Epoch() identifier.Epoch { return r.epoch }

// Version is that of the places in use.
func (r *Replica) Version() uint64 { return r.version }

// Rows are the limits by row. They are not to be changed.
func (r *Replica) Rows() map[identifier.Row]map[string]string { return r.rows }

// Routes lists the places in use, in the order of names.
func (r *Replica) Routes() []catalog.Route {
	var list []catalog.Route
	names := make([]string, 0, len(r.routes))
	for name := range r.routes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		list = append(list, r.routes[name])
	}
	return list
}

// Updating tells whether more pages of an update are to come.
func (r *Replica) Updating() bool { return r.update != nil }

// NextRequest is what to ask the leader for next: what changed since an epoch, after a
// name.
func (r *Replica) NextRequest() (since identifier.Epoch, after string) {
	if r.update != nil {
		return r.update.first.Since, r.update.nextAfter
	}
	if r.needsFullTable {
		return 0, ""
	}
	return r.epoch, ""
}

// Replace takes a whole table at once.
func (r *Replica) Replace(t Table) bool {
	if t.Epoch <= r.epoch {
		return false
	}
	r.epoch, r.version, r.rows = t.Epoch, t.Version, t.Rows
	r.routes, r.update, r.needsFullTable = map[string]catalog.Route{}, nil, false
	for _, p := range t.Routes {
		r.routes[p.Queue] = p
	}
	return true
}

// Patch takes an update of a single page, whichever way it came. It changes
// nothing unless it reaches back to the table in use and is newer.
func (r *Replica) Patch(p Page) bool {
	if p.NextAfter != "" {
		return false
	}
	u := newUpdate(p)
	u.add(p)
	return r.apply(u)
}

// AddPage adds a page that was asked for and tells whether the table in use is
// another now. A page that does not go on from the ones before ends the update,
// which then begins anew.
func (r *Replica) AddPage(p Page, after string) bool {
	since, wanted := r.NextRequest()
	switch {
	case after != wanted:
		return false
	case after == "":
		r.update = newUpdate(p)
	case p.Since != since || p.Epoch < r.update.first.Epoch:
		r.update, r.needsFullTable = nil, p.Since == 0
		return false
	}
	r.update.add(p)
	if p.NextAfter != "" {
		r.update.nextAfter = p.NextAfter
		return false
	}
	u := r.update
	r.update, r.needsFullTable = nil, false
	return r.apply(u)
}

func newUpdate(first Page) *update {
	return &update{first: first, routes: map[string]catalog.Route{}, dropped: map[string]bool{}}
}

func (u *update) add(p Page) {
	for _, place := range p.Routes {
		u.routes[place.Queue] = place
	}
	for _, name := range p.Dropped {
		u.dropped[name] = true
	}
}

func (r *Replica) apply(u *update) bool {
	if u.first.Epoch <= r.epoch || u.first.Since > r.epoch {
		return false
	}
	places := u.routes
	if u.first.Since > 0 {
		places = r.merge(u)
	}
	if u.first.Rows != nil {
		r.rows = u.first.Rows
	}
	r.epoch, r.version, r.routes = u.first.Epoch, u.first.Version, places
	return true
}

func (r *Replica) merge(u *update) map[string]catalog.Route {
	places := make(map[string]catalog.Route, len(r.routes)+len(u.routes))
	for name, p := range r.routes {
		if !u.dropped[name] {
			places[name] = p
		}
	}
	for name, p := range u.routes {
		places[name] = p
	}
	return places
}
