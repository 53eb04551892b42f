// What the leader knows of when each item last changed. Every replica of the
// state keeps this as it applies entries, so that a new leader can go on telling
// changes since its own start.

package routing

import (
	"slices"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
)

const (
	// maxDroppedItems bounds the dropped items that are remembered.
	maxDroppedItems = 4096
	// maxInsertions is how many new names are put in one by one; more are sorted in.
	maxInsertions = 16
)

// item is a place and the epoch of its last change; a dropped one is gone.
type item struct {
	route     catalog.Route
	changedAt identifier.Epoch
	dropped   bool
}

// Table is a routing table as the state has it.
type Table struct {
	Epoch   identifier.Epoch
	Version uint64
	Rows    map[identifier.Row]map[string]string
	Routes  []catalog.Route
}

// History tells what changed since any epoch from its horizon on.
type History struct {
	table       Table
	horizon     identifier.Epoch
	rowsChanged identifier.Epoch
	items       map[string]item
	names       []string
	dropped     int
}

// NewHistory begins with a table and knows of no change before it.
func NewHistory(t Table) *History {
	h := &History{horizon: t.Epoch, rowsChanged: t.Epoch, items: map[string]item{}}
	h.update(t)
	return h
}

// Epoch is that of the table the history has come to.
func (h *History) Epoch() identifier.Epoch { return h.table.Epoch }

// RowsChanged takes a table of which only the rows changed.
func (h *History) RowsChanged(t Table) {
	t.Routes, t.Version = h.table.Routes, h.table.Version
	h.table, h.rowsChanged = t, t.Epoch
}

// RoutesChanged takes a table of which only the places changed.
func (h *History) RoutesChanged(t Table) { h.update(t) }

func (h *History) update(t Table) {
	h.table = t
	present := make(map[string]bool, len(t.Routes))
	added := []string{}
	for _, p := range t.Routes {
		present[p.Queue] = true
		was, known := h.items[p.Queue]
		if known && !was.dropped && was.route == p {
			continue
		}
		if was.dropped {
			h.dropped--
		}
		if !known {
			added = append(added, p.Queue)
		}
		h.items[p.Queue] = item{route: p, changedAt: t.Epoch}
	}
	for _, name := range h.names {
		if one := h.items[name]; !one.dropped && !present[name] {
			h.items[name] = item{changedAt: t.Epoch, dropped: true}
			h.dropped++
		}
	}
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

// insertNames puts a few new names where they belong in the order.
func (h *History) insertNames(added []string) {
	for _, name := range added {
		at, _ := slices.BinarySearch(h.names, name)
		h.names = slices.Insert(h.names, at, name)
	}
}

// compact drops the oldest half of the dropped items when they are too many, and
// moves the horizon past them.
func (h *History) compact() {
	if h.dropped <= maxDroppedItems {
		return
	}
	epochs := []identifier.Epoch{}
	for _, one := range h.items {
		if one.dropped {
			epochs = append(epochs, one.changedAt)
		}
	}
	slices.Sort(epochs)
	h.horizon = max(h.horizon, epochs[len(epochs)/2])
	for name, one := range h.items {
		if one.dropped && one.changedAt <= h.horizon {
			delete(h.items, name)
			h.dropped--
		}
	}
}

func (h *History) sortNames() {
	h.names = h.names[:0]
	for name := range h.items {
		h.names = append(h.names, name)
	}
	slices.Sort(h.names)
}

// Page is the part that begins after a name of what changed since an epoch. One
// that the history does not reach back to is answered with the whole.
func (h *History) Page(since identifier.Epoch, after string) Page {
	if since < h.horizon || since > h.table.Epoch {
		since = 0
	}
	p := Page{Since: since, Epoch: h.table.Epoch, Version: h.table.Version}
	if after == "" && (since == 0 || h.rowsChanged > since) {
		p.Rows = h.table.Rows
	}
	from, found := slices.BinarySearch(h.names, after)
	if found {
		from++
	}
	bytes := 0
	for _, name := range h.names[from:] {
		one := h.items[name]
		if one.changedAt <= since || since == 0 && one.dropped {
			continue
		}
		if bytes > pageBytes {
			return p
		}
		p.addItem(name, one)
		p.NextAfter = name
		bytes += routeBytes(name, one.route)
	}
	p.NextAfter = ""
	return p
}

func (p *Page) addItem(name string, one item) {
	if one.dropped {
		p.Dropped = append(p.Dropped, name)
		return
	}
	p.Routes = append(p.Routes, one.route)
}
