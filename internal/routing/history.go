package routing

import (
	"maps"
	"slices"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
)

const (
	// maxDroppedItems bounds the dropped items that are remembered.
	maxDroppedItems = 4096
	// maxInsertions is how many new names are inserted one by one; with more of them
	// all names are sorted anew.
	maxInsertions = 16
)

// item is a route and the epoch of its last change. A dropped one has no route.
type item struct {
	route     catalog.Route
	changedAt identifier.Epoch
	dropped   bool
}

// History lists what changed since any epoch from its horizon on. Every replica of the
// state keeps one as it applies entries, so that a new leader can list changes since
// before its own start.
type History struct {
	table Table
	// horizon is the epoch before which the history does not reach back.
	horizon       identifier.Epoch
	rowsChangedAt identifier.Epoch
	// items holds each route by its name, dropped ones included, and names the keys
	// of items in order.
	items   map[string]item
	names   []string
	dropped int
}

// NewHistory begins with a table and knows of no change before it.
func NewHistory(t Table) *History {
	h := &History{horizon: t.Epoch, rowsChangedAt: t.Epoch, items: map[string]item{}}
	h.RoutesChanged(t)
	return h
}

// Epoch is that of the newest table.
func (h *History) Epoch() identifier.Epoch { return h.table.Epoch }

// RowsChanged takes a newer table of which only the rows changed.
func (h *History) RowsChanged(t Table) {
	t.Routes = h.table.Routes
	t.Version = h.table.Version
	h.table = t
	h.rowsChangedAt = t.Epoch
}

// RoutesChanged takes a newer table of which only the routes changed.
func (h *History) RoutesChanged(t Table) {
	h.table = t
	added := h.recordPresent(t)
	h.recordDropped(t)
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

// recordPresent records the routes of a table that are new or changed, and returns
// the names that were not known.
func (h *History) recordPresent(t Table) []string {
	var added []string
	for _, route := range t.Routes {
		last, known := h.items[route.Queue]
		if known && !last.dropped && last.route == route {
			continue
		}
		if last.dropped {
			h.dropped--
		}
		if !known {
			added = append(added, route.Queue)
		}
		h.items[route.Queue] = item{route: route, changedAt: t.Epoch}
	}
	return added
}

// recordDropped records the routes that a table no longer has.
func (h *History) recordDropped(t Table) {
	present := make(map[string]bool, len(t.Routes))
	for _, route := range t.Routes {
		present[route.Queue] = true
	}
	for _, name := range h.names {
		if !h.items[name].dropped && !present[name] {
			h.items[name] = item{changedAt: t.Epoch, dropped: true}
			h.dropped++
		}
	}
}

// insertNames inserts a few new names where they belong in the order.
func (h *History) insertNames(added []string) {
	for _, name := range added {
		position, _ := slices.BinarySearch(h.names, name)
		h.names = slices.Insert(h.names, position, name)
	}
}

func (h *History) sortNames() { h.names = slices.Sorted(maps.Keys(h.items)) }

// compact forgets the older half of the dropped items, and moves the horizon past
// them.
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

// Page is the part that begins after a name of what changed since an epoch. Since an
// epoch that the history does not reach back to, that is the full table.
func (h *History) Page(since identifier.Epoch, after string) Page {
	if since < h.horizon || since > h.table.Epoch {
		since = 0
	}
	p := Page{Since: since, Epoch: h.table.Epoch, Version: h.table.Version}
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
		bytes += routeBytes(name, i.route)
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
