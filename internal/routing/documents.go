package routing

import (
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// Parameters of a gateway's sync request: the address at which the gateway serves
// clients, the epoch of its routing table, and the name after which the next page begins.
// A gateway of an earlier version sends neither epoch nor name and is sent full tables.
const (
	SyncGatewayParam = "gate"
	SyncSinceParam   = "since"
	SyncAfterParam   = "after"
)

// SyncResponse is what a gateway hears from the leader: a page of what changed in the
// routing table, the members, and the other gateways. Table is the full table, for
// gateways of an earlier version. Leader is the leader's id.
type SyncResponse struct {
	Epoch    identifier.Epoch `json:"epoch"`
	Table    *FullTable       `json:"table,omitempty"`
	Page     *Page            `json:"page,omitempty"`
	Leader   string           `json:"lead"`
	Members  []raft.Member    `json:"members"`
	Gateways []string         `json:"gates"`
}

// StaleResponse is the body of the response to a request that was checked by an older
// routing table. Page is what changed since, where that is little; without it, and
// without a full table, the gateway asks for it.
type StaleResponse struct {
	FullTable
	Page *Page `json:"page,omitempty"`
}

// FullTable is a Table as a document: the limits by row, the routes of the catalogue's
// queues, and the digests of its tenants' keys. Version is the catalogue's, 0 while there is none.
type FullTable struct {
	Epoch   identifier.Epoch                     `json:"epoch"`
	Rows    map[identifier.Row]map[string]string `json:"rows"`
	Version uint64                               `json:"version,omitempty"`
	Routes  []catalog.Route                      `json:"places,omitempty"`
	Tenants []catalog.TenantKeys                 `json:"tenants,omitempty"`
	KeySalt []byte                               `json:"keySalt,omitempty"`
}

// Table is the table that the document stands for.
func (t *FullTable) Table() Table {
	return Table{
		Epoch: t.Epoch, Version: t.Version, Rows: t.Rows,
		Routes: t.Routes, Tenants: t.Tenants, KeySalt: t.KeySalt,
	}
}
