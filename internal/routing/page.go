// Package routing replicates the routing table (limits by row, and the places at
// which queues are found) from the leader to gateways. A gateway asks for what
// changed since the version that it has. The answer is cut into pages, so that a
// table of any size goes over a thin link without holding up anything else, and
// however many changes came meanwhile, each item travels once, as it is now.
//
// History is the leader's side and Replica the gateway's. Both are pure values:
// no clock, no I/O.
package routing

import (
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
)

// pageBytes bounds the items of one page, about, in bytes.
const pageBytes = 24 << 10

// Page is a part of what changed after an epoch, in the order of names.
type Page struct {
	// Since is the epoch after which all changes are told; 0 is the whole table.
	Since identifier.Epoch `json:"since"`
	// Epoch is that of the table from which this page was cut.
	Epoch   identifier.Epoch `json:"epoch"`
	Version uint64           `json:"version,omitempty"`
	// Rows are all rows; none where they did not change, and on later pages.
	Rows    map[identifier.Row]map[string]string `json:"rows,omitempty"`
	Routes  []catalog.Route                      `json:"places,omitempty"`
	Dropped []string                             `json:"dropped,omitempty"`
	// NextAfter is the name after which the next page begins, empty on the last.
	NextAfter string `json:"next,omitempty"`
}

// routeBytes is about what a place takes in a page.
func routeBytes(name string, p catalog.Route) int {
	const frame = 40
	return frame + len(name) + len(p.Host) + len(p.Prefix)
}
