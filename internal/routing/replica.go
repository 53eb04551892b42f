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
	tenants map[string]catalog.TenantKeys
	keySalt []byte
	update  *update
	// needsFullTable says that the leader's history does not reach back to epoch.
	needsFullTable bool
}

// update gathers the pages of one update. Pages after the first may be of a newer
// table: the update then counts as being of the first page's epoch, and what it has of
// newer ones will only come again.
type update struct {
	first     Page
	routes    itemUpdate[catalog.Route]
	tenants   itemUpdate[catalog.TenantKeys]
	nextAfter string
}

func newUpdate(first Page) *update {
	return &update{first: first, routes: newItemUpdate[catalog.Route](), tenants: newItemUpdate[catalog.TenantKeys]()}
}

func (u *update) add(p Page) {
	u.routes.add(p.Routes, queueOf, p.Dropped)
	u.tenants.add(p.Tenants, tenantOf, p.DroppedTenants)
}

func queueOf(route catalog.Route) string { return route.Queue }

func tenantOf(keys catalog.TenantKeys) string { return keys.Tenant }

// itemUpdate is what an update says of the items of one kind, by their names.
type itemUpdate[T any] struct {
	put     map[string]T
	dropped map[string]bool
}

func newItemUpdate[T any]() itemUpdate[T] {
	return itemUpdate[T]{put: map[string]T{}, dropped: map[string]bool{}}
}

func (u itemUpdate[T]) add(put []T, name func(T) string, dropped []string) {
	maps.Copy(u.put, byName(put, name))
	for _, n := range dropped {
		u.dropped[n] = true
	}
}

// applyTo is what the update makes of some items, which stay as they are. One that lists
// everything replaces them.
func (u itemUpdate[T]) applyTo(items map[string]T, full bool) map[string]T {
	if full {
		return u.put
	}
	updated := make(map[string]T, len(items)+len(u.put))
	for name, i := range items {
		if !u.dropped[name] {
			updated[name] = i
		}
	}
	maps.Copy(updated, u.put)
	return updated
}

func byName[T any](list []T, name func(T) string) map[string]T {
	items := make(map[string]T, len(list))
	for _, i := range list {
		items[name(i)] = i
	}
	return items
}

// sortedByName lists items in the order of their names.
func sortedByName[T any](items map[string]T) []T {
	var list []T
	for _, name := range slices.Sorted(maps.Keys(items)) {
		list = append(list, items[name])
	}
	return list
}

// Epoch is that of the table in use, 0 while there is none.
func (r *Replica) Epoch() identifier.Epoch { return r.epoch }

// Version is that of the routes in use.
func (r *Replica) Version() uint64 { return r.version }

// Rows are the limits by row. They must not be changed.
func (r *Replica) Rows() map[identifier.Row]map[string]string { return r.rows }

// Routes lists the routes in use, in the order of names.
func (r *Replica) Routes() []catalog.Route { return sortedByName(r.routes) }

// Tenants lists the digests of tenants' keys in use, in the order of the tenants' names.
func (r *Replica) Tenants() []catalog.TenantKeys { return sortedByName(r.tenants) }

// KeySalt is what the digests are made by, nil while there are no tenants.
func (r *Replica) KeySalt() []byte { return r.keySalt }

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
	r.routes = byName(t.Routes, queueOf)
	r.tenants = byName(t.Tenants, tenantOf)
	r.keySalt = t.KeySalt
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
	full := u.first.Since == 0
	r.routes = u.routes.applyTo(r.routes, full)
	r.tenants = u.tenants.applyTo(r.tenants, full)
	r.keySalt = u.first.KeySalt
	if u.first.Rows != nil {
		r.rows = u.first.Rows
	}
	return true
}
