package routing

import (
	"strings"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
)

const (
	// pageBytes is the size of the items from which on a page takes no more.
	pageBytes = 24 << 10
	// itemOverheadBytes is about what an item takes besides its texts.
	itemOverheadBytes = 40
	// digestBytes is what the digest of a key takes.
	digestBytes = 67
)

// Table is a routing table as the state has it.
type Table struct {
	// Epoch counts all changes, Version those of the routes.
	Epoch   identifier.Epoch
	Version uint64
	// Rows are the limits by row, Routes the routes to queues, in any order.
	Rows   map[identifier.Row]map[string]string
	Routes []catalog.Route
	// Tenants are the digests of all tenants' API keys, made by KeySalt.
	Tenants []catalog.TenantKeys
	KeySalt []byte
}

// Page is a part of what changed after an epoch: tenants and then routes, each in the order
// of names.
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
	// Tenants and DroppedTenants are the same for tenants' keys, whose digests are made by
	// KeySalt.
	Tenants        []catalog.TenantKeys `json:"tenants,omitempty"`
	DroppedTenants []string             `json:"droppedTenants,omitempty"`
	KeySalt        []byte               `json:"keySalt,omitempty"`
	// NextAfter is the name after which the next page begins, empty on the last.
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

// bytes is about what the item takes in a page.
func (i item) bytes(name string) int {
	return itemOverheadBytes + len(name) + len(i.route.Host) + len(i.route.Prefix) + digestBytes*len(i.keys.Digests)
}
