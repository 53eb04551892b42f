package catalog

import (
	"slices"

	"github.com/go-faster/errors"

	"orchidward/internal/api/jsondoc"
)

// TenantUpdate changes some fields of an existing tenant and keeps the others. The operator
// need not know the tenant's API keys, which can't be read back.
type TenantUpdate struct {
	Name     string   `json:"name"`
	AddKeys  []APIKey `json:"addKeys,omitempty"`
	DropKeys []APIKey `json:"dropKeys,omitempty"`
	Weight   *int64   `json:"weight,omitempty"`
	Quota    *Quota   `json:"quota,omitempty"`
}

// check makes the checks that do not need the existing tenant.
func (u *TenantUpdate) check(faults *jsondoc.FieldErrors) {
	tenant := Tenant{Name: u.Name, Weight: 1, Keys: slices.Concat(u.AddKeys, u.DropKeys)}
	if u.Weight != nil {
		tenant.Weight = *u.Weight
	}
	if u.Quota != nil {
		tenant.Quota = *u.Quota
	}
	tenant.check(faults)
}

// applyTo returns the tenant with the update applied.
func (u *TenantUpdate) applyTo(tenant Tenant) (Tenant, error) {
	if len(tenant.Source) > 0 {
		return tenant, errors.Errorf("tenant %s has a source, which only a whole tenant replaces", tenant.Name)
	}
	tenant.Keys = slices.Clone(tenant.Keys)
	for _, key := range u.DropKeys {
		i := slices.Index(tenant.Keys, key)
		if i < 0 {
			return tenant, errors.Errorf("tenant %s does not have a key that is to be dropped", tenant.Name)
		}
		tenant.Keys = slices.Delete(tenant.Keys, i, i+1)
	}
	for _, key := range u.AddKeys {
		if !slices.Contains(tenant.Keys, key) {
			tenant.Keys = append(tenant.Keys, key)
		}
	}
	if len(tenant.Keys) > maxKeys {
		return tenant, errors.Errorf("tenant %s would have over %d keys", tenant.Name, maxKeys)
	}
	if u.Weight != nil {
		tenant.Weight = *u.Weight
	}
	if u.Quota != nil {
		tenant.Quota = *u.Quota
	}
	return tenant, nil
}

// updateTenants returns the tenants with the updates applied.
func updateTenants(tenants []Tenant, updates []TenantUpdate) ([]Tenant, error) {
	updated := slices.Clone(tenants)
	for _, update := range updates {
		i := slices.IndexFunc(updated, func(t Tenant) bool { return t.Name == update.Name })
		if i < 0 {
			return nil, errors.Errorf("there is no tenant %s to update", update.Name)
		}
		var err error
		if updated[i], err = update.applyTo(updated[i]); err != nil {
			return nil, err
		}
	}
	return updated, nil
}
