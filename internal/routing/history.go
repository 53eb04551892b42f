package routing

import (
	"maps"
	"slices"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
)

const (
	// maxDroppedItems bounds the number of dropped items that a history retains.
	maxDroppedItems = 4096
	// maxInsertions is how many new names are inserted one by one; with more, all names
	// are sorted again.
	maxInsertions = 16
)

// tenantPrefix is the prefix of the item names of tenants. It sorts before the names of all
// routes.
const tenantPrefix = "\x00"

// item is a route or a tenant's keys, with the epoch of its last change. A dropped item has
// neither a route nor keys.
type item struct {
	route     catalog.Route
	keys      catalog.TenantKeys
	changedAt identifier.Epoch
	dropped   bool
}

// same reports whether two items that are not dropped have the same content.
func (i item) same(other item) bool {
	return i.route == other.route && slices.Equal(i.keys.Digests, other.keys.Digests)
}

// items returns the items of a table by name.
func (t *Table) items() map[string]item {
	items := make(map[string]item, len(t.Routes)+len(t.Tenants))
	for _, route := range t.Routes {
		items[route.Queue] = item{route: route, changedAt: t.Epoch}
	}
	for _, keys := range t.Tenants {
		items[tenantPrefix+keys.Tenant] = item{keys: keys, changedAt: t.Epoch}
	}
	return items
}

// History lists the changes of the routing table since any epoch from its horizon on. Every
// replica of the state maintains one as it applies entries, so that a new leader can list
// changes that precede its term.
type History struct {
	table Table
	// horizon is the earliest epoch since which the history can list changes.
	horizon       identifier.Epoch
	rowsChangedAt identifier.Epoch
	// items holds each route and each tenant by name, including dropped ones; names holds
	// the keys of items in sorted order.
	items   map[string]item
	names   []string
	dropped int
}

// NewHistory returns a history that begins with the given table and has no earlier changes.
func NewHistory(t Table) *History {
	h := &History{horizon: t.Epoch, rowsChangedAt: t.Epoch, items: map[string]item{}}
	h.CatalogChanged(t)
	return h
}

// Epoch returns the epoch of the newest table.
func (h *History) Epoch() identifier.Epoch { return h.table.Epoch }

// RowsChanged records a newer table in which only the rows changed.
func (h *History) RowsChanged(t Table) {
	t.Routes = h.table.Routes
	t.Tenants = h.table.Tenants
	t.KeySalt = h.table.KeySalt
	t.Version = h.table.Version
	h.table = t
	h.rowsChangedAt = t.Epoch
}

// CatalogChanged records a newer table in which only the routes and tenants changed.
func (h *History) CatalogChanged(t Table) {
	h.table = t
	present := t.items()
	added := h.recordPresent(present)
	h.recordDropped(present)
	switch {
	case h.dropped > maxDroppedItems:
		h.compact()
		h.sortNames()
	case len(added) > maxInsertions:
		h.sortNames()
	default:
		h.insertNames(added)
	}
}

// recordPresent records the new and changed items of a table, and returns the names that
// are new to the history, sorted.
func (h *History) recordPresent(present map[string]item) []string {
	var added []string
	for name, current := range present {
		last, known := h.items[name]
		if known && !last.dropped && last.same(current) {
			continue
		}
		if last.dropped {
			h.dropped--
		}
		if !known {
			added = append(added, name)
		}
		h.items[name] = current
	}
	slices.Sort(added)
	return added
}

// recordDropped marks the items that a table no longer has as dropped.
func (h *History) recordDropped(present map[string]item) {
	for _, name := range h.names {
		_, stays := present[name]
		if !stays && !h.items[name].dropped {
			h.items[name] = item{changedAt: h.table.Epoch, dropped: true}
			h.dropped++
		}
	}
}

// insertNames inserts a few new names at their sorted positions.
func (h *History) insertNames(added []string) {
	for _, name := range added {
		position, _ := slices.BinarySearch(h.names, name)
		h.names = slices.Insert(h.names, position, name)
	}
}

func (h *History) sortNames() { h.names = slices.Sorted(maps.Keys(h.items)) }

// compact discards the older half of the dropped items, and advances the horizon past them.
func (h *History) compact() {
	var epochs []identifier.Epoch
	for _, i := range h.items {
		if i.dropped {
			epochs = append(epochs, i.changedAt)
		}
	}
	slices.Sort(epochs)
	h.horizon = max(h.horizon, epochs[len(epochs)/2])
	for name, i := range h.items {
		if i.dropped && i.changedAt <= h.horizon {
			delete(h.items, name)
			h.dropped--
		}
	}
}

// Page returns the page of the changes since an epoch that begins after a name. If the
// history does not reach back to that epoch, it returns a page of the full table.
func (h *History) Page(since identifier.Epoch, after string) Page {
	if since < h.horizon || since > h.table.Epoch {
		since = 0
	}
	p := Page{Since: since, Epoch: h.table.Epoch, Version: h.table.Version, KeySalt: h.table.KeySalt}
	if after == "" && (since == 0 || h.rowsChangedAt > since) {
		p.Rows = h.table.Rows
	}
	bytes := 0
	for _, name := range h.namesAfter(after) {
		i := h.items[name]
		if i.changedAt <= since || since == 0 && i.dropped {
			continue
		}
		if bytes > pageBytes {
			return p
		}
		p.addItem(name, i)
		p.NextAfter = name
		bytes += i.bytes(name)
	}
	p.NextAfter = ""
	return p
}

func (h *History) namesAfter(after string) []string {
	position, found := slices.BinarySearch(h.names, after)
	if found {
		position++
	}
	return h.names[position:]
}
