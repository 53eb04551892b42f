package catalog

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"

	"orchidward/internal/api/jsondoc"
)

// Change replaces the catalogue, or some items of it. Every check that does not need the
// current catalogue has been made.
type Change struct {
	// Base is the version that the change is based on, Version the resulting version.
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
	// Whole means that the change replaces the whole catalogue.
	Whole      bool     `json:"whole,omitempty"`
	Queues     []Queue  `json:"queues,omitempty"`
	Pools      []Pool   `json:"pools,omitempty"`
	DropQueues []string `json:"dropQueues,omitempty"`
	DropPools  []string `json:"dropPools,omitempty"`
	// Tenants, DropTenants, TenantUpdates and Authenticated are used from the group level
	// that introduced tenants on.
	Tenants       []Tenant        `json:"tenants,omitempty"`
	DropTenants   []string        `json:"dropTenants,omitempty"`
	Authenticated bool            `json:"authenticated,omitempty"`
	TenantUpdates []TenantUpdate  `json:"tenantUpdates,omitempty"`
	Source        json.RawMessage `json:"source,omitempty"`
	// Sections changes single sections of the source instead of replacing it. It is nil
	// when the source is replaced or not changed.
	Sections *SectionChange `json:"sections,omitempty"`
	// Checksum is the checksum of the text that the operator sent.
	Checksum string `json:"sum"`
}

// wholeDocument is the JSON of a complete catalogue.
type wholeDocument struct {
	Base    *uint64  `json:"base"`
	Version *uint64  `json:"version"`
	Queues  []Queue  `json:"queues"`
	Pools   []Pool   `json:"pools"`
	Tenants []Tenant `json:"tenants"`
	// Authenticated is implied by the presence of tenants.
	Authenticated bool            `json:"authenticated"`
	Source        json.RawMessage `json:"source"`
}

// patchDocument is the JSON of a change of named items.
type patchDocument struct {
	Base    *uint64 `json:"base"`
	Version *uint64 `json:"version"`
	Put     struct {
		Queues  []Queue  `json:"queues"`
		Pools   []Pool   `json:"pools"`
		Tenants []Tenant `json:"tenants"`
	} `json:"put"`
	Drop struct {
		Queues  []string `json:"queues"`
		Pools   []string `json:"pools"`
		Tenants []string `json:"tenants"`
	} `json:"drop"`
	Update struct {
		Tenants []TenantUpdate `json:"tenants"`
	} `json:"update"`
	Source json.RawMessage `json:"source"`
	// Rest holds the items to put into, and to drop from, sections of the source.
	Rest []map[string]json.RawMessage `json:"rest"`
}

// ReadWhole parses a complete catalogue. It adds errors to faults. The result is nil if the
// text can't be parsed, and must not be used if there are any faults.
func ReadWhole(text []byte, faults *jsondoc.FieldErrors) *Change {
	var doc wholeDocument
	if !decode(text, &doc, faults) {
		return nil
	}
	change := &Change{
		Whole:         true,
		Queues:        doc.Queues,
		Pools:         doc.Pools,
		Tenants:       doc.Tenants,
		Authenticated: doc.Authenticated || len(doc.Tenants) > 0,
		Source:        doc.Source,
	}
	return change.complete(doc.Base, doc.Version, text, faults)
}

// ReadPatch parses a change of named items. It adds errors to faults. The result is nil if
// the text can't be parsed, and must not be used if there are any faults.
func ReadPatch(text []byte, faults *jsondoc.FieldErrors) *Change {
	var doc patchDocument
	if !decode(text, &doc, faults) {
		return nil
	}
	change := &Change{
		Queues:     doc.Put.Queues,
		Pools:      doc.Put.Pools,
		DropQueues: doc.Drop.Queues,
		DropPools:  doc.Drop.Pools,

		Tenants:       doc.Put.Tenants,
		DropTenants:   doc.Drop.Tenants,
		Authenticated: len(doc.Put.Tenants) > 0,
		TenantUpdates: doc.Update.Tenants,

		Source: doc.Source,
	}
	change.Sections = readSections(doc.Source, doc.Rest, faults)
	return change.complete(doc.Base, doc.Version, text, faults)
}

// ForServersWithoutTenants returns the change in the form for servers that do not support
// tenants: such servers replace the source as a whole.
func (c *Change) ForServersWithoutTenants() *Change {
	plain := *c
	plain.Sections = nil
	return &plain
}

// decode decodes exactly one JSON value, and rejects unknown fields and trailing data.
func decode(text []byte, into any, faults *jsondoc.FieldErrors) bool {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		faults.Malformed("", "not a catalogue: %s", err)
		return false
	}
	if _, err := d.Token(); err != io.EOF {
		faults.Malformed("", "data after the JSON value")
		return false
	}
	return true
}

// checksumBytes is the number of bytes kept from a SHA-256 hash.
const checksumBytes = 12

// complete sets the versions and the checksum and checks the items.
func (c *Change) complete(base, version *uint64, text []byte, faults *jsondoc.FieldErrors) *Change {
	if base == nil || version == nil {
		faults.Invalid("base", "base and version must be given")
		return nil
	}
	c.Base = *base
	c.Version = *version
	for i := range c.Queues {
		c.Queues[i].check(faults)
	}
	for _, pool := range c.Pools {
		if pool.Name == "" || len(pool.Name) > maxNameBytes {
			faults.Invalid("pools", "want a name of 1 to %d bytes", maxNameBytes)
		}
	}
	for i := range c.Tenants {
		c.Tenants[i].check(faults)
	}
	for i := range c.TenantUpdates {
		c.TenantUpdates[i].check(faults)
	}
	hash := sha256.Sum256(text)
	c.Checksum = hex.EncodeToString(hash[:checksumBytes])
	return c
}

// Limits on the fields of queues and pools.
const (
	maxNameBytes = 128
	// maxRouteBytes bounds hosts and prefixes.
	maxRouteBytes = 1024
	maxAttempts   = 1000
	maxNumber     = 1 << 40
)

// TouchesTenants reports whether the change requires servers that support tenants.
func (c *Change) TouchesTenants() bool {
	keyless := slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.Keyless })
	return c.Authenticated || keyless || len(c.Tenants)+len(c.DropTenants)+len(c.TenantUpdates) > 0
}

func (q *Queue) check(faults *jsondoc.FieldErrors) {
	require := func(valid bool, key, message string) {
		if !valid {
			faults.Invalid("queues."+q.Name+"."+key, "%s", message)
		}
	}
	require(q.Name != "" && len(q.Name) <= maxNameBytes, "name", "want 1 to 128 bytes")
	require(q.Host != "" && len(q.Host) <= maxRouteBytes, "host", "must be given")
	require(q.Prefix != "" && len(q.Prefix) <= maxRouteBytes && q.Prefix[0] == '/', "prefix", "want a path")
	require(q.Timeout > 0 && q.Timeout < maxNumber, "timeoutMs", "want a span above 0")
	require(q.LatencyTarget >= 0 && q.LatencyTarget < maxNumber, "setPointMs", "want a span")
	require(q.Priority >= 0 && q.Priority < maxNumber, "rank", "want a number from 0")
	require(q.MaxAttempts >= 0 && q.MaxAttempts <= maxAttempts, "tries", "want 0 to 1000")
	require(q.LatencyFactor >= 0 && q.LatencyFactor < maxNumber, "stretch", "want a number from 0")
}
