// Package catalog is the operators' configuration of queues and of the pools of
// runners behind them. It is changed as one whole, or by named items, and each
// change names the version it builds on: of two made on the same one, only one
// is taken. What the operator sent along is kept as it came.
package catalog

import (
	"encoding/json"
	"slices"
	"sort"
	"strings"

	"orchidward/internal/clock"
)

// Queue is where callers hand jobs in. Rank 0 goes first. Tries is how many failed runs use up a task. The aim of a job is its
// longest chain of work times Stretch, in thousandths, plus LatencyTarget.
type Queue struct {
	Name          string          `json:"name"`
	Host          string          `json:"host"`
	Prefix        string          `json:"prefix"`
	Pool          string          `json:"pool"`
	Priority      int64           `json:"rank"`
	MaxAttempts   int64           `json:"tries"`
	LatencyFactor int64           `json:"stretch"`
	LatencyTarget clock.Millis    `json:"setPointMs"`
	Timeout       clock.Millis    `json:"timeoutMs"`
	Source        json.RawMessage `json:"source,omitempty"`
}

// Pool is the runners that serve some queues. Guards says that they turn away
// what does not fit; Look is the path at which they say whether they are well.
type Pool struct {
	Name            string          `json:"name"`
	RejectsOverload bool            `json:"guards,omitempty"`
	HealthPath      string          `json:"look,omitempty"`
	Source          json.RawMessage `json:"source,omitempty"`
}

// Catalog is one version of the configuration of queues and pools. It is not
// changed in place: With returns the next version.
type Catalog struct {
	Version uint64          `json:"version"`
	Queues  []Queue         `json:"queues"`
	Pools   []Pool          `json:"pools"`
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
)

// Deduplicated is the same catalogue with a Dedup in place of former records.
func (c *Catalog) Deduplicated() *Catalog {
	if c.Dedup != nil {
		return c
	}
	next := *c
	next.LegacyRecords, next.Dedup = nil, newDedup(c.LegacyRecords)
	return &next
}

// Published is what operators read: the catalogue without its memory of changes.
func (c *Catalog) Published() Catalog {
	out := *c
	out.LegacyRecords, out.Dedup = nil, nil
	return out
}

// Has tells whether this very change is remembered as accepted.
func (c *Catalog) Has(ch *Change) bool {
	var yes bool
	if c.Dedup != nil {
		return c.Dedup.has(ch)
	}
	for _, record := range c.LegacyRecords {
		yes = yes || record.Version == ch.Version && record.Checksum == ch.Checksum
	}
	return yes
}

// MayHaveForgotten tells whether this change can have been accepted so long ago
// that it is no longer remembered.
func (c *Catalog) MayHaveForgotten(ch *Change) bool {
	return c.Dedup != nil && c.Dedup.mayHaveForgotten(ch)
}

// Queue finds a queue by name.
func (c *Catalog) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// With is the catalogue after the change, or why it can't be made. The one it
// is called on stays as it is.
func (c *Catalog) With(ch *Change) (out *Catalog, why string) {
	out = &Catalog{Version: ch.Version, Source: c.Source}
	if ch.Whole {
		out.Queues, out.Pools, out.Source = ch.Queues, ch.Pools, ch.Source
	} else {
		out.Queues = merge(c.Queues, ch.Queues, ch.DropQueues, func(q Queue) string { return q.Name })
		out.Pools = merge(c.Pools, ch.Pools, ch.DropPools, func(p Pool) string { return p.Name })
		if len(ch.Source) > 0 {
			out.Source = ch.Source
		}
	}
	if why = out.check(c.Version); why != "" {
		return nil, why
	}
	out.remember(c, ch)
	return out, ""
}

// remember takes over what the former catalogue remembered and adds the change.
func (c *Catalog) remember(was *Catalog, ch *Change) {
	if was.Dedup != nil {
		c.Dedup = was.Dedup.with(ch)
		return
	}
	c.LegacyRecords = append(slices.Clone(was.LegacyRecords), LegacyRecord{ch.Version, ch.Checksum})
	if n := len(c.LegacyRecords); n > formerMost {
		c.LegacyRecords = c.LegacyRecords[n-formerMost:]
	}
}

// merge replaces items by name, adds new ones at the end, and drops some.
func merge[T any](old, put []T, drop []string, name func(T) string) []T {
	var out []T
	gone, at := map[string]bool{}, map[string]int{}
	for _, n := range drop {
		gone[n] = true
	}
	for i, one := range put {
		at[name(one)] = i
		delete(gone, name(one))
	}
	for _, one := range old {
		n := name(one)
		if i, ok := at[n]; ok {
			out = append(out, put[i])
			delete(at, n)
			continue
		}
		if !gone[n] {
			out = append(out, one)
		}
	}
	for i, one := range put {
		if k, ok := at[name(one)]; ok && k == i {
			out = append(out, one)
		}
	}
	return out
}

func (c *Catalog) check(was uint64) string {
	if c.Version <= was {
		return "the version is not above the current one"
	}
	if len(c.Queues) > MaxQueues || len(c.Pools) > MaxPools {
		return "too many queues or pools"
	}
	pools, names, places := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, p := range c.Pools {
		if pools[p.Name] {
			return "two pools are named " + p.Name
		}
		pools[p.Name] = true
	}
	for _, q := range c.Queues {
		place := strings.ToLower(q.Host) + " " + q.Prefix
		switch {
		case names[q.Name]:
			return "two queues are named " + q.Name
		case !pools[q.Pool]:
			return "queue " + q.Name + " names an unknown pool"
		case places[place]:
			return "two queues share host and prefix " + place
		}
		names[q.Name], places[place] = true, true
	}
	return ""
}

// RouteMap finds queues by the place a request was sent to.
type RouteMap struct {
	Version uint64
	hosts   map[string][]Route
}

// Route is a queue as the edge knows it.
type Route struct {
	Queue  string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
}

// Routes lists what the edge must know.
func (c *Catalog) Routes() []Route {
	var list []Route
	for _, q := range c.Queues {
		list = append(list, Route{q.Name, strings.ToLower(q.Host), q.Prefix})
	}
	return list
}

// NewRouteMap orders the places so that the longest prefix is met first.
func NewRouteMap(version uint64, list []Route) *RouteMap {
	m := &RouteMap{Version: version, hosts: map[string][]Route{}}
	for _, p := range list {
		m.hosts[p.Host] = append(m.hosts[p.Host], p)
	}
	for _, at := range m.hosts {
		sort.Slice(at, func(i, j int) bool { return len(at[i].Prefix) > len(at[j].Prefix) })
	}
	return m
}

// Find looks a request's host and path up; rest is what follows the prefix.
func (m *RouteMap) Find(host, path string) (name, rest string, ok bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, p := range m.hosts[host] {
		if rest, ok = strings.CutPrefix(path, p.Prefix); ok {
			return p.Queue, rest, true
		}
	}
	return "", "", false
}
