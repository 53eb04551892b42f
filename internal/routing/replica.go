package routing

import (
	"maps"
	"slices"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
)

// Replica is a gateway's copy of the routing table, together with the update in progress.
type Replica struct {
	epoch   identifier.Epoch
	version uint64
	rows    map[identifier.Row]map[string]string
	routes  map[string]catalog.Route
	tenants map[string]catalog.TenantKeys
	keySalt []byte
	update  *update
	// needsFullTable is set if the leader's history does not reach back to epoch.
	needsFullTable bool
}

// update collects the pages of one update. Pages after the first may come from a newer
// table. The update is then still recorded with the epoch of the first page, so that the
// next update repeats the newer changes.
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

// itemUpdate holds the changes to items of one kind, by name.
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

// applyTo returns the items with the update applied; it does not modify its argument. If
// full is set, the update lists all items and replaces the previous ones.
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

// sortedByName returns the items sorted by name.
func sortedByName[T any](items map[string]T) []T {
	var list []T
	for _, name := range slices.Sorted(maps.Keys(items)) {
		list = append(list, items[name])
	}
	return list
}

// Epoch returns the epoch of the table in use, 0 while there is none.
func (r *Replica) Epoch() identifier.Epoch { return r.epoch }

// Version returns the version of the routes in use.
func (r *Replica) Version() uint64 { return r.version }

// Rows returns the limits by row. Callers must not modify them.
func (r *Replica) Rows() map[identifier.Row]map[string]string { return r.rows }

// Routes returns the routes in use, sorted by queue name.
func (r *Replica) Routes() []catalog.Route { return sortedByName(r.routes) }

// Tenants returns the digests of the tenants' keys in use, sorted by tenant name.
func (r *Replica) Tenants() []catalog.TenantKeys { return sortedByName(r.tenants) }

// KeySalt returns the salt of the digests, nil while there are no tenants.
func (r *Replica) KeySalt() []byte { return r.keySalt }

// Updating reports whether an update is in progress and more of its pages are expected.
func (r *Replica) Updating() bool { return r.update != nil }

// NextRequest returns the parameters of the next request to the leader: the epoch since
// which to list changes, and the name after which the page begins.
func (r *Replica) NextRequest() (since identifier.Epoch, after string) {
	if r.update != nil {
		return r.update.first.Since, r.update.nextAfter
	}
	if r.needsFullTable {
		return 0, ""
	}
	return r.epoch, ""
}

// Replace replaces the table in use by a full table if that is newer, and reports whether it
// did.
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

// Patch applies an update that consists of a single page, requested or not, and reports
// whether it did. It changes nothing unless the page lists the changes since the table in
// use, or since an earlier one, and is newer.
func (r *Replica) Patch(p Page) bool {
	if p.NextAfter != "" {
		return false
	}
	u := newUpdate(p)
	u.add(p)
	return r.apply(u)
}

// AddPage adds a requested page and reports whether the table in use has changed. A page
// that does not continue the previous ones aborts the update, which then starts over.
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

// apply applies a complete update if it covers all changes since the table in use and is
// newer, and reports whether it did.
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
