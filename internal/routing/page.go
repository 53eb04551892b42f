package routing

import (
	"strings"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
)

const (
	// pageBytes is the total size of items above which no more items are added to a page.
	pageBytes = 24 << 10
	// itemOverheadBytes is the approximate encoded size of an item without its strings.
	itemOverheadBytes = 40
	// digestBytes is the encoded size of a key's digest.
	digestBytes = 67
)

// Table is a routing table as derived from the replicated state.
type Table struct {
	// Epoch counts all changes of the table, Version those of the routes.
	Epoch   identifier.Epoch
	Version uint64
	// Rows holds the limits by row, Routes the routes to queues in any order.
	Rows   map[identifier.Row]map[string]string
	Routes []catalog.Route
	// Tenants holds the digests of all tenants' API keys, computed with KeySalt.
	Tenants []catalog.TenantKeys
	KeySalt []byte
}

// Page is a part of the changes after an epoch: tenants and then routes, each sorted by
// name.
type Page struct {
	// Since is the epoch after which changes are listed; 0 stands for the full table.
	Since identifier.Epoch `json:"since"`
	// Epoch is the epoch of the table from which this page was taken.
	Epoch   identifier.Epoch `json:"epoch"`
	Version uint64           `json:"version,omitempty"`
	// Rows holds all rows. It is empty if no row changed, and on all pages but the first.
	Rows map[identifier.Row]map[string]string `json:"rows,omitempty"`
	// Routes are the added and changed routes, Dropped the queue names of removed routes.
	Routes  []catalog.Route `json:"places,omitempty"`
	Dropped []string        `json:"dropped,omitempty"`
	// Tenants and DroppedTenants are the same for tenants' keys, whose digests are computed
	// with KeySalt.
	Tenants        []catalog.TenantKeys `json:"tenants,omitempty"`
	DroppedTenants []string             `json:"droppedTenants,omitempty"`
	KeySalt        []byte               `json:"keySalt,omitempty"`
	// NextAfter is the name after which the next page begins, empty on the last page.
	NextAfter string `json:"next,omitempty"`
}

func (p *Page) addItem(name string, i item) {
	tenant, isTenant := strings.CutPrefix(name, tenantPrefix)
	switch {
	case isTenant && i.dropped:
		p.DroppedTenants = append(p.DroppedTenants, tenant)
	case isTenant:
		p.Tenants = append(p.Tenants, i.keys)
	case i.dropped:
		p.Dropped = append(p.Dropped, name)
	default:
		p.Routes = append(p.Routes, i.route)
	}
}

// bytes returns the approximate encoded size of the item.
func (i item) bytes(name string) int {
	return itemOverheadBytes + len(name) + len(i.route.Host) + len(i.route.Prefix) + digestBytes*len(i.keys.Digests)
}
