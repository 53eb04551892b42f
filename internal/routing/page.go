package routing

import (
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
)

const (
	// pageBytes is the size of the items from which on a page takes no more.
	pageBytes = 24 << 10
	// routeOverheadBytes is about what a route takes besides its texts.
	routeOverheadBytes = 40
)

// Table is a routing table as the state has it.
type Table struct {
	// Epoch counts all changes, Version those of the routes.
	Epoch   identifier.Epoch
	Version uint64
	// Rows are the limits by row, Routes the routes to queues, in any order.
	Rows   map[identifier.Row]map[string]string
	Routes []catalog.Route
}

// Page is a part of what changed after an epoch, in the order of names.
type Page struct {
	// Since is the epoch after which all changes are listed; 0 is the full table.
	Since identifier.Epoch `json:"since"`
	// Epoch is that of the table from which this page was taken.
	Epoch   identifier.Epoch `json:"epoch"`
	Version uint64           `json:"version,omitempty"`
	// Rows are all rows; none where they did not change, and on later pages.
	Rows map[identifier.Row]map[string]string `json:"rows,omitempty"`
	// Routes are those that were added or changed, Dropped the names of those that
	// are gone.
	Routes  []catalog.Route `json:"places,omitempty"`
	Dropped []string        `json:"dropped,omitempty"`
	// NextAfter is the name after which the next page begins, empty on the last.
	NextAfter string `json:"next,omitempty"`
}

func (p *Page) addItem(name string, i item) {
	if i.dropped {
		p.Dropped = append(p.Dropped, name)
		return
	}
	p.Routes = append(p.Routes, i.route)
}

// routeBytes is about what a route takes in a page.
func routeBytes(name string, r catalog.Route) int {
	return routeOverheadBytes + len(name) + len(r.Host) + len(r.Prefix)
}
