package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"

	"github.com/go-faster/errors"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/endpoint"
	"orchidward/internal/controlplane"
)

type tenantCommand struct {
	List   tenantList   `cmd:"" help:"List tenants, with what each has in use."`
	Show   tenantShow   `cmd:"" help:"Show one tenant. Its API keys are never shown, only how many there are."`
	Set    tenantSet    `cmd:"" help:"Change a tenant's weight and quota; a tenant not there yet is made."`
	Keys   tenantKeys   `cmd:"" help:"Add, remove and renew a tenant's API keys."`
	Remove tenantRemove `cmd:"" help:"Remove a tenant: its keys are refused from then on, what it has running goes on."`
}

// weightUnit is a weight of one job per second; the API counts weights in thousandths.
const weightUnit = 1000

// defaultWeight is the weight of a tenant that is created without one.
const defaultWeight = 1 * weightUnit

// tenants reads the list of tenants from the API.
func (a *api) tenants() (doc controlplane.TenantsDoc, err error) {
	text, err := a.call(http.MethodGet, endpoint.TenantsPath, nil)
	if err != nil {
		return doc, err
	}
	if err = json.Unmarshal(text, &doc); err != nil {
		return doc, errors.Wrap(err, "answer does not parse")
	}
	return doc, nil
}

// findTenant returns the tenant with the given name, or nil if the list has none.
func findTenant(doc controlplane.TenantsDoc, name string) *controlplane.TenantDoc {
	i := slices.IndexFunc(doc.Tenants, func(t controlplane.TenantDoc) bool { return t.Name == name })
	if i < 0 {
		return nil
	}
	return &doc.Tenants[i]
}

// tenantPatch is a request that changes tenants in the catalogue.
type tenantPatch struct {
	Base    uint64        `json:"base"`
	Version uint64        `json:"version"`
	Put     *putTenants   `json:"put,omitempty"`
	Drop    *dropTenants  `json:"drop,omitempty"`
	Update  *tenantUpdate `json:"update,omitempty"`
}

type putTenants struct {
	Tenants []catalog.Tenant `json:"tenants"`
}

type dropTenants struct {
	Tenants []string `json:"tenants"`
}

type tenantUpdate struct {
	Tenants []catalog.TenantUpdate `json:"tenants"`
}

// changedCatalog is the response to a change.
type changedCatalog struct {
	Version uint64 `json:"version"`
}

func printChangedCatalog(changed changedCatalog) { fmt.Printf("version %d\n", changed.Version) }

// changeTenants sends a change based on the given version of the catalogue, and returns
// the response.
func (a *api) changeTenants(base uint64, patch tenantPatch) ([]byte, error) {
	patch.Base = base
	patch.Version = base + 1
	body, err := json.Marshal(patch)
	if err != nil {
		return nil, err
	}
	return a.call(http.MethodPatch, endpoint.CatalogPath, body)
}

// updateTenant sends an update of an existing tenant, and returns the response.
func (a *api) updateTenant(update catalog.TenantUpdate) ([]byte, error) {
	doc, err := a.tenants()
	if err != nil {
		return nil, err
	}
	return a.changeTenants(doc.Version, tenantPatch{Update: &tenantUpdate{[]catalog.TenantUpdate{update}}})
}

type tenantList struct{}

// Run lists the tenants.
func (c *tenantList) Run(a *api) error {
	return callAndShow(a, http.MethodGet, endpoint.TenantsPath, nil, func(doc controlplane.TenantsDoc) {
		for _, tenant := range doc.Tenants {
			printTenant(tenant)
		}
	})
}

type tenantShow struct {
	Name string `arg:"" help:"Tenant."`
}

// Run shows a tenant.
func (c *tenantShow) Run(a *api) error {
	doc, err := a.tenants()
	if err != nil {
		return err
	}
	tenant := findTenant(doc, c.Name)
	if tenant == nil {
		return errors.Errorf("there is no tenant %s", c.Name)
	}
	text, err := json.Marshal(tenant)
	if err != nil {
		return err
	}
	return show(a, text, printTenant)
}

func printTenant(t controlplane.TenantDoc) {
	fmt.Printf("%-16s weight %g  milliCores %s  memMb %s  gpus %s  waiting %d  keys %d\n",
		t.Name, float64(t.Weight)/weightUnit, formatUse(t.Used.CPU(), t.Quota.MilliCores),
		formatUse(t.Used.Mem, t.Quota.Mem), formatUse(t.Used.GPUs, t.Quota.GPUs), t.Waiting, t.Keys)
}

// formatUse formats the amount in use and its bound; a bound of 0 means unbounded.
func formatUse(used, bound int64) string {
	if bound == 0 {
		return fmt.Sprintf("%d/-", used)
	}
	return fmt.Sprintf("%d/%d", used, bound)
}

type tenantSet struct {
	Name       string   `arg:"" help:"Tenant."`
	Weight     *float64 `help:"Share when the runners are full, in jobs a second."`
	MilliCores *int64   `help:"Most thousandths of a core in use at once; 0 is no bound."`
	MemMB      *int64   `name:"mem-mb" help:"Most memory in use at once, in MiB; 0 is no bound."`
	GPUs       *int64   `name:"gpus" help:"Most GPUs in use at once; 0 is no bound."`
}

// Run changes a tenant's weight and quota, or creates the tenant.
func (c *tenantSet) Run(a *api) error {
	doc, err := a.tenants()
	if err != nil {
		return err
	}
	patch := tenantPatch{}
	if current := findTenant(doc, c.Name); current != nil {
		update := catalog.TenantUpdate{Name: c.Name, Weight: c.weight()}
		if quota := c.quota(current.Quota); quota != current.Quota {
			update.Quota = &quota
		}
		patch.Update = &tenantUpdate{[]catalog.TenantUpdate{update}}
	} else {
		created := catalog.Tenant{Name: c.Name, Weight: defaultWeight, Quota: c.quota(catalog.Quota{})}
		if weight := c.weight(); weight != nil {
			created.Weight = *weight
		}
		patch.Put = &putTenants{[]catalog.Tenant{created}}
	}
	text, err := a.changeTenants(doc.Version, patch)
	if err != nil {
		return err
	}
	return show(a, text, printChangedCatalog)
}

// weight returns the weight given on the command line, or nil if none was given.
func (c *tenantSet) weight() *int64 {
	if c.Weight == nil {
		return nil
	}
	weight := int64(math.Round(*c.Weight * weightUnit))
	return &weight
}

// quota returns the current quota with the bounds given on the command line replaced.
func (c *tenantSet) quota(current catalog.Quota) catalog.Quota {
	quota := current
	for _, bound := range []struct {
		given *int64
		field *int64
	}{{c.MilliCores, &quota.MilliCores}, {c.MemMB, &quota.Mem}, {c.GPUs, &quota.GPUs}} {
		if bound.given != nil {
			*bound.field = *bound.given
		}
	}
	return quota
}

type tenantRemove struct {
	Name string `arg:"" help:"Tenant."`
}

// Run removes a tenant.
func (c *tenantRemove) Run(a *api) error {
	doc, err := a.tenants()
	if err != nil {
		return err
	}
	if findTenant(doc, c.Name) == nil {
		return errors.Errorf("there is no tenant %s", c.Name)
	}
	text, err := a.changeTenants(doc.Version, tenantPatch{Drop: &dropTenants{[]string{c.Name}}})
	if err != nil {
		return err
	}
	return show(a, text, printChangedCatalog)
}
