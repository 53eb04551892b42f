// A change is read whole and checked by hand before it is proposed; what can
// only be judged against the catalogue in force is judged when it is applied.

package catalog

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"orchidward/internal/api/jsondoc"
)

// Change replaces the catalogue, or some items of it.
type Change struct {
	Base       uint64          `json:"base"`
	Version    uint64          `json:"version"`
	Whole      bool            `json:"whole,omitempty"`
	Queues     []Queue         `json:"queues,omitempty"`
	Pools      []Pool          `json:"pools,omitempty"`
	DropQueues []string        `json:"dropQueues,omitempty"`
	DropPools  []string        `json:"dropPools,omitempty"`
	Source     json.RawMessage `json:"source,omitempty"`
	Checksum   string          `json:"sum"`
}

type whole struct {
	Base    *uint64         `json:"base"`
	Version *uint64         `json:"version"`
	Queues  []Queue         `json:"queues"`
	Pools   []Pool          `json:"pools"`
	Source  json.RawMessage `json:"source"`
}

type patch struct {
	Base    *uint64 `json:"base"`
	Version *uint64 `json:"version"`
	Put     struct {
		Queues []Queue `json:"queues"`
		Pools  []Pool  `json:"pools"`
	} `json:"put"`
	Drop struct {
		Queues []string `json:"queues"`
		Pools  []string `json:"pools"`
	} `json:"drop"`
	Source json.RawMessage `json:"source"`
	// Rest has no effect. It is what else the operator's text said, so that
	// changes which differ only in that are told apart by their digests.
	Rest json.RawMessage `json:"rest"`
}

func decode(text []byte, into any, f *jsondoc.FieldErrors) bool {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		f.Malformed("", "not a catalogue: %s", err)
		return false
	}
	if _, err := d.Token(); err != io.EOF {
		f.Malformed("", "data after the JSON value")
		return false
	}
	return true
}

// ReadWhole reads a whole catalogue.
func ReadWhole(text []byte, f *jsondoc.FieldErrors) *Change {
	var w whole
	if !decode(text, &w, f) {
		return nil
	}
	c := &Change{Whole: true, Queues: w.Queues, Pools: w.Pools, Source: w.Source}
	return c.finish(w.Base, w.Version, text, f)
}

// ReadPatch reads a change of named items.
func ReadPatch(text []byte, f *jsondoc.FieldErrors) *Change {
	var p patch
	if !decode(text, &p, f) {
		return nil
	}
	c := &Change{Queues: p.Put.Queues, Pools: p.Put.Pools, DropQueues: p.Drop.Queues, DropPools: p.Drop.Pools, Source: p.Source}
	return c.finish(p.Base, p.Version, text, f)
}

func (c *Change) finish(base, version *uint64, text []byte, f *jsondoc.FieldErrors) *Change {
	if base == nil || version == nil {
		f.Invalid("base", "base and version must be given")
		return nil
	}
	c.Base, c.Version = *base, *version
	for i := range c.Queues {
		c.Queues[i].check(f)
	}
	for _, p := range c.Pools {
		if p.Name == "" || len(p.Name) > maxName {
			f.Invalid("pools", "want a name of 1 to %d bytes", maxName)
		}
	}
	sum := sha256.Sum256(text)
	c.Checksum = hex.EncodeToString(sum[:12])
	return c
}

const (
	maxName   = 128
	maxPlace  = 1024
	maxTries  = 1000
	maxNumber = 1 << 40
)

func (q *Queue) check(f *jsondoc.FieldErrors) {
	bad := func(ok bool, key, why string) {
		if !ok {
			f.Invalid("queues."+q.Name+"."+key, "%s", why)
		}
	}
	bad(q.Name != "" && len(q.Name) <= maxName, "name", "want 1 to 128 bytes")
	bad(q.Host != "" && len(q.Host) <= maxPlace, "host", "must be given")
	bad(len(q.Prefix) > 0 && len(q.Prefix) <= maxPlace && q.Prefix[0] == '/', "prefix", "want a path")
	bad(q.Timeout > 0 && q.Timeout < maxNumber, "timeoutMs", "want a span above 0")
	bad(q.LatencyTarget >= 0 && q.LatencyTarget < maxNumber, "setPointMs", "want a span")
	bad(q.Priority >= 0 && q.Priority < maxNumber, "rank", "want a number from 0")
	bad(q.MaxAttempts >= 0 && q.MaxAttempts <= maxTries, "tries", "want 0 to 1000")
	bad(q.LatencyFactor >= 0 && q.LatencyFactor < maxNumber, "stretch", "want a number from 0")
}
