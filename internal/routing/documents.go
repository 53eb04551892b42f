package routing

import (
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// Parameters of a gateway's sync request: the address at which the gateway serves
// clients, the epoch of its routing table, and the name after which the next page begins.
// A gateway of an earlier version sends neither epoch nor name and receives full tables.
const (
	SyncGatewayParam = "gate"
	SyncSinceParam   = "since"
	SyncAfterParam   = "after"
)

// SyncResponse is the leader's response to a gateway's sync: a page of changes to the
// routing table, the members of the control plane, and the gateways. Table is the full
// table, for gateways of an earlier version. Leader is the leader's id.
type SyncResponse struct {
	Epoch    identifier.Epoch `json:"epoch"`
	Table    *FullTable       `json:"table,omitempty"`
	Page     *Page            `json:"page,omitempty"`
	Leader   string           `json:"lead"`
	Members  []raft.Member    `json:"members"`
	Gateways []string         `json:"gates"`
}

// StaleResponse is the body of the response to a request that was checked against an older
// routing table. Page holds the changes since that table if they are small. If it holds
// neither a page nor a full table, the gateway requests the changes with a sync.
type StaleResponse struct {
	FullTable
	Page *Page `json:"page,omitempty"`
}

// FullTable is the JSON form of a Table: the limits by row, the routes of the catalogue's
// queues, and the digests of its tenants' keys. Version is that of the catalogue, 0 while
// there is none.
type FullTable struct {
	Epoch   identifier.Epoch                     `json:"epoch"`
	Rows    map[identifier.Row]map[string]string `json:"rows"`
	Version uint64                               `json:"version,omitempty"`
	Routes  []catalog.Route                      `json:"places,omitempty"`
	Tenants []catalog.TenantKeys                 `json:"tenants,omitempty"`
	KeySalt []byte                               `json:"keySalt,omitempty"`
}

// Table converts the document to a Table.
func (t *FullTable) Table() Table {
	return Table{
		Epoch: t.Epoch, Version: t.Version, Rows: t.Rows,
		Routes: t.Routes, Tenants: t.Tenants, KeySalt: t.KeySalt,
	}
}
