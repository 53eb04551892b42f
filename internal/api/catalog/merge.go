package catalog

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// With returns the catalogue that results from the change, or an error if the change is not
// valid. It does not modify c.
func (c *Catalog) With(change *Change) (*Catalog, error) {
	next := &Catalog{Version: change.Version}
	if change.Whole {
		next.Queues = change.Queues
		next.Pools = change.Pools
		next.Tenants = change.Tenants
		next.Authenticated = change.Authenticated
		next.Source = change.Source
	} else {
		next.Queues = merge(c.Queues, change.Queues, change.DropQueues, func(q Queue) string { return q.Name })
		next.Pools = merge(c.Pools, change.Pools, change.DropPools, func(p Pool) string { return p.Name })
		next.Tenants = merge(c.Tenants, change.Tenants, change.DropTenants, func(t Tenant) string { return t.Name })
		next.Authenticated = c.Authenticated || change.Authenticated
		next.Source = c.patchedSource(change)
	}
	var err error
	if next.Tenants, err = updateTenants(next.Tenants, change.TenantUpdates); err != nil {
		return nil, err
	}
	if err = next.validate(c.Version); err != nil {
		return nil, err
	}
	next.KeySalt = c.KeySalt
	if next.KeySalt == nil && next.Authenticated {
		next.KeySalt = newKeySalt(change)
	}
	next.recordChange(c, change)
	return next, nil
}

// patchedSource returns the source that results from a change of named items.
func (c *Catalog) patchedSource(change *Change) json.RawMessage {
	switch {
	case change.Sections != nil:
		return change.Sections.applyTo(c.Source)
	case len(change.Source) > 0:
		return change.Source
	}
	return c.Source
}

// recordChange copies the previous catalogue's records of changes and adds the change.
func (c *Catalog) recordChange(previous *Catalog, change *Change) {
	if previous.Dedup != nil {
		c.Dedup = previous.Dedup.with(change)
		return
	}
	record := LegacyRecord{Version: change.Version, Checksum: change.Checksum}
	records := append(slices.Clone(previous.LegacyRecords), record)
	c.LegacyRecords = records[max(0, len(records)-maxLegacyRecords):]
}

// merge replaces items by name in place, appends new ones, and removes dropped ones. If put
// has several items of the same name, the last one wins; an item that is both put and dropped
// is kept.
func merge[T any](old, put []T, drop []string, name func(T) string) []T {
	// latest maps each name to the position of its last item in put.
	latest := map[string]int{}
	for i, item := range put {
		latest[name(item)] = i
	}
	dropped := map[string]bool{}
	for _, n := range drop {
		dropped[n] = true
	}
	var merged []T
	for _, item := range old {
		n := name(item)
		if i, replaced := latest[n]; replaced {
			merged = append(merged, put[i])
			delete(latest, n)
			dropped[n] = false
			continue
		}
		if !dropped[n] {
			merged = append(merged, item)
		}
	}
	for i, item := range put {
		if last, ok := latest[name(item)]; ok && last == i {
			merged = append(merged, item)
		}
	}
	return merged
}

// validate makes the checks that need the whole catalogue. previous is the current version.
func (c *Catalog) validate(previous uint64) error {
	if c.Version <= previous {
		return errors.New("the version is not above the current one")
	}
	if len(c.Queues) > MaxQueues || len(c.Pools) > MaxPools || len(c.Tenants) > MaxTenants {
		return errors.New("too many queues, pools or tenants")
	}
	pools := map[string]bool{}
	for _, p := range c.Pools {
		if pools[p.Name] {
			return errors.Errorf("two pools are named %s", p.Name)
		}
		pools[p.Name] = true
	}
	names := map[string]bool{}
	routes := map[string]bool{}
	for _, q := range c.Queues {
		route := strings.ToLower(q.Host) + " " + q.Prefix
		switch {
		case names[q.Name]:
			return errors.Errorf("two queues are named %s", q.Name)
		case !pools[q.Pool]:
			return errors.Errorf("queue %s names an unknown pool", q.Name)
		case routes[route]:
			return errors.Errorf("two queues share host and prefix %s", route)
		}
		names[q.Name] = true
		routes[route] = true
	}
	return c.validateTenants()
}
