package catalog

import (
	"encoding/json"
	"slices"

	"orchidward/internal/clock"
)

// Queue is a queue to which clients submit jobs, selected by host and path.
type Queue struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Pool names the pool of runners that the jobs run on.
	Pool string `json:"pool"`
	// Priority 0 is the highest.
	Priority int64 `json:"rank"`
	// MaxAttempts is the number of failed attempts after which a task fails.
	MaxAttempts int64 `json:"tries"`
	// A job should finish within its critical path times LatencyFactor, which is in
	// thousandths, plus LatencyTarget.
	LatencyFactor int64        `json:"stretch"`
	LatencyTarget clock.Millis `json:"setPointMs"`
	Timeout       clock.Millis `json:"timeoutMs"`
	// Keyless means that requests for the queue need no tenant's API key.
	Keyless bool            `json:"keyless,omitempty"`
	Source  json.RawMessage `json:"source,omitempty"`
}

// Pool is a group of runners that serves one or more queues.
type Pool struct {
	Name string `json:"name"`
	// RejectsOverload means that the runners themselves reject tasks that don't fit.
	RejectsOverload bool `json:"guards,omitempty"`
	// HealthPath is the path at which the runners report their health.
	HealthPath string          `json:"look,omitempty"`
	Source     json.RawMessage `json:"source,omitempty"`
}

// Catalog is one version of the configuration. It is never modified in place: With returns
// the next version.
type Catalog struct {
	Version uint64  `json:"version"`
	Queues  []Queue `json:"queues"`
	Pools   []Pool  `json:"pools"`
	// Tenants holds the known tenants, nil in a catalogue without tenants.
	Tenants []Tenant `json:"tenants,omitempty"`
	// Authenticated means that requests for queues that are not keyless must carry a
	// tenant's API key.
	Authenticated bool `json:"authenticated,omitempty"`
	// KeySalt is the secret salt for the digests of API keys, set together with the first
	// tenants.
	KeySalt []byte          `json:"keySalt,omitempty"`
	Source  json.RawMessage `json:"source,omitempty"`
	// LegacyRecords holds the latest accepted changes while Dedup is nil.
	LegacyRecords []LegacyRecord `json:"taken,omitempty"`
	// Dedup records accepted changes. It is nil below the group level that introduced it.
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

// Deduplicated returns the same catalogue with a Dedup in place of legacy records.
func (c *Catalog) Deduplicated() *Catalog {
	if c.Dedup != nil {
		return c
	}
	next := *c
	next.Dedup = newDedup(c.LegacyRecords)
	next.LegacyRecords = nil
	return &next
}

// Published returns the form of the catalogue that operators read: without its records of
// changes, and without API keys except any that an operator put into source.
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

// Has reports whether the change is recorded as accepted.
func (c *Catalog) Has(change *Change) bool {
	if c.Dedup != nil {
		return c.Dedup.has(change)
	}
	return slices.Contains(c.LegacyRecords, LegacyRecord{Version: change.Version, Checksum: change.Checksum})
}

// MayHaveForgotten reports whether the change may have been accepted so long ago that its
// record has been discarded.
func (c *Catalog) MayHaveForgotten(change *Change) bool {
	return c.Dedup != nil && c.Dedup.mayHaveForgotten(change)
}

// Queue returns the queue with the given name, nil if there is none.
func (c *Catalog) Queue(name string) *Queue {
	i := slices.IndexFunc(c.Queues, func(q Queue) bool { return q.Name == name })
	if i < 0 {
		return nil
	}
	return &c.Queues[i]
}

// Tenant returns the tenant with the given name, nil if there is none.
func (c *Catalog) Tenant(name string) *Tenant {
	for i := range c.Tenants {
		if c.Tenants[i].Name == name {
			return &c.Tenants[i]
		}
	}
	return nil
}

// Protected reports whether requests for the queue must carry a tenant's API key.
func (c *Catalog) Protected(q *Queue) bool { return c.Authenticated && !q.Keyless }
