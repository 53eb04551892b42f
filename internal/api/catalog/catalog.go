package catalog

import (
	"encoding/json"
	"slices"

	"orchidward/internal/clock"
)

// Queue is where clients hand jobs in, by host and path.
type Queue struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Pool is the pool of runners that the jobs run on.
	Pool string `json:"pool"`
	// Priority 0 is the highest.
	Priority int64 `json:"rank"`
	// MaxAttempts is the number of failed attempts that fail a task.
	MaxAttempts int64 `json:"tries"`
	// A job is to be done within its critical path times LatencyFactor, which is in
	// thousandths, and LatencyTarget.
	LatencyFactor int64        `json:"stretch"`
	LatencyTarget clock.Millis `json:"setPointMs"`
	Timeout       clock.Millis `json:"timeoutMs"`
	// Keyless says that requests for the queue need no API key of a tenant.
	Keyless bool            `json:"keyless,omitempty"`
	Source  json.RawMessage `json:"source,omitempty"`
}

// Pool is the runners that serve some queues.
type Pool struct {
	Name string `json:"name"`
	// RejectsOverload says that the runners themselves refuse tasks that don't fit.
	RejectsOverload bool `json:"guards,omitempty"`
	// HealthPath is the path at which the runners tell their health.
	HealthPath string          `json:"look,omitempty"`
	Source     json.RawMessage `json:"source,omitempty"`
}

// Catalog is one version of the configuration. It is not changed in place: With returns
// the next version.
type Catalog struct {
	Version uint64  `json:"version"`
	Queues  []Queue `json:"queues"`
	Pools   []Pool  `json:"pools"`
	// Tenants are those whose API keys are known, nil in a catalogue without tenants.
	Tenants []Tenant `json:"tenants,omitempty"`
	// Authenticated says that requests for queues that are not keyless must bear a
	// tenant's API key.
	Authenticated bool `json:"authenticated,omitempty"`
	// KeySalt is the secret by which digests of API keys are made, set with the first
	// tenants.
	KeySalt []byte          `json:"keySalt,omitempty"`
	Source  json.RawMessage `json:"source,omitempty"`
	// LegacyRecords are the last accepted changes while Dedup is nil.
	LegacyRecords []LegacyRecord `json:"taken,omitempty"`
	// Dedup remembers accepted changes, from the level on that has it.
	Dedup *Dedup `json:"dedup,omitempty"`
}

const (
	// MaxQueues bounds the queues of a catalogue.
	MaxQueues = 16384
	// MaxPools bounds the pools of a catalogue.
	MaxPools = 1024
	// MaxTenants bounds the tenants of a catalogue.
	MaxTenants = 1024
)

// Deduplicated is the same catalogue with a Dedup in place of legacy records.
func (c *Catalog) Deduplicated() *Catalog {
	if c.Dedup != nil {
		return c
	}
	next := *c
	next.Dedup = newDedup(c.LegacyRecords)
	next.LegacyRecords = nil
	return &next
}

// Published is what operators read: the catalogue without its memory of changes and without
// API keys, except where they stand in what an operator sent along as source.
func (c *Catalog) Published() Catalog {
	published := *c
	published.LegacyRecords = nil
	published.Dedup = nil
	published.KeySalt = nil
	published.Tenants = nil
	for _, tenant := range c.Tenants {
		tenant.Keys = nil
		published.Tenants = append(published.Tenants, tenant)
	}
	return published
}

// Has tells whether this very change is remembered as accepted.
func (c *Catalog) Has(change *Change) bool {
	if c.Dedup != nil {
		return c.Dedup.has(change)
	}
	return slices.Contains(c.LegacyRecords, LegacyRecord{Version: change.Version, Checksum: change.Checksum})
}

// MayHaveForgotten tells whether the change can have been accepted so long ago that it is
// no longer remembered.
func (c *Catalog) MayHaveForgotten(change *Change) bool {
	return c.Dedup != nil && c.Dedup.mayHaveForgotten(change)
}

// Queue finds a queue by name, nil when there is none.
func (c *Catalog) Queue(name string) *Queue {
	i := slices.IndexFunc(c.Queues, func(q Queue) bool { return q.Name == name })
	if i < 0 {
		return nil
	}
	return &c.Queues[i]
}

// Tenant finds a tenant by name, nil when there is none.
func (c *Catalog) Tenant(name string) *Tenant {
	for i := range c.Tenants {
		if c.Tenants[i].Name == name {
			return &c.Tenants[i]
		}
	}
	return nil
}

// Protected tells whether requests for the queue must bear a tenant's API key.
func (c *Catalog) Protected(q *Queue) bool { return c.Authenticated && !q.Keyless }
