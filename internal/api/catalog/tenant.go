package catalog

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
)

// Tenant is a customer. A job belongs to the tenant whose API key it was submitted with.
type Tenant struct {
	Name string `json:"name"`
	// Keys holds the API keys. A tenant without keys cannot submit jobs.
	Keys []APIKey `json:"keys,omitempty"`
	// Weight is the tenant's share while the runners are full, in thousandths of a job per
	// second; 0 means no such bound.
	Weight int64           `json:"weight"`
	Quota  Quota           `json:"quota"`
	Source json.RawMessage `json:"source,omitempty"`
}

// Quota bounds the resources that a tenant's running tasks may use at once on all runners. A
// field of 0 means no bound.
type Quota struct {
	MilliCores int64 `json:"milliCores,omitempty"`
	// Mem is in mebibytes.
	Mem  int64 `json:"memMb,omitempty"`
	GPUs int64 `json:"gpus,omitempty"`
}

// overrunDivisor determines when a tenant may exceed its quota by one task: while it uses at
// most 1/overrunDivisor of the quota.
const overrunDivisor = 2

// Admits reports whether a tenant whose running tasks use used may start the given number of
// further tasks, all or none. While at most half of the quota is in use, the last of them may
// exceed it: otherwise a large task or gang might starve behind small ones.
func (q Quota) Admits(used, task job.Demand, tasks int) bool {
	var others job.Demand
	for range tasks - 1 {
		others = others.Plus(task)
	}
	if q.Holds(used.Plus(others).Plus(task)) {
		return true
	}
	scaled := job.Demand{}
	for range overrunDivisor {
		scaled = scaled.Plus(used)
	}
	return q.Holds(scaled) && q.Holds(used.Plus(others))
}

// IsZero reports whether the quota has no bounds.
func (q Quota) IsZero() bool { return q == Quota{} }

// Holds reports whether an amount in use is within the quota.
func (q Quota) Holds(used job.Demand) bool {
	return within(used.CPU(), q.MilliCores) && within(used.Mem, q.Mem) && within(used.GPUs, q.GPUs)
}

// within reports whether an amount is within a bound; a bound of 0 means none.
func within(amount, bound int64) bool { return bound == 0 || amount <= bound }

// Limits on the fields of tenants.
const (
	maxKeys     = 1024
	maxKeyBytes = 256
	// MaxWeight is the largest weight: a million jobs per second.
	MaxWeight = 1_000_000_000
	// MaxQuota is the largest bound of a quota.
	MaxQuota = maxNumber - 1
)

func (t *Tenant) check(faults *jsondoc.FieldErrors) {
	require := func(valid bool, key, message string) {
		if !valid {
			faults.Invalid("tenants."+t.Name+"."+key, "%s", message)
		}
	}
	require(t.Name != "" && len(t.Name) <= maxNameBytes, "name", "want 1 to 128 bytes")
	require(t.Weight >= 0 && t.Weight <= MaxWeight, "weight", "want a number from 0 to 1000000000")
	require(len(t.Keys) <= maxKeys, "keys", "want 1024 at most")
	for _, key := range t.Keys {
		require(key != "" && len(key) <= maxKeyBytes, "keys", "want keys of 1 to 256 bytes")
	}
	for _, bound := range []int64{t.Quota.MilliCores, t.Quota.Mem, t.Quota.GPUs} {
		require(bound >= 0 && bound < maxNumber, "quota", "want numbers from 0")
	}
}

// validateTenants checks that no two tenants of a catalogue share a name or an API key.
func (c *Catalog) validateTenants() error {
	names := map[string]bool{}
	owners := map[APIKey]string{}
	for _, tenant := range c.Tenants {
		if names[tenant.Name] {
			return errors.Errorf("two tenants are named %s", tenant.Name)
		}
		names[tenant.Name] = true
		for _, key := range tenant.Keys {
			if owner, taken := owners[key]; taken && owner != tenant.Name {
				return errors.Errorf("tenants %s and %s share a key", owner, tenant.Name)
			}
			owners[key] = tenant.Name
		}
	}
	return nil
}
