package scheduler

import (
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/job"
)

// tenantBudget is what a tenant may have in use, and what it has, placements of this cycle
// included.
type tenantBudget struct {
	quota catalog.Quota
	used  job.Demand
}

// tenantBudget looks up the budget of the unit's tenant, nil for the job of no tenant.
func (c *cycle) tenantBudget(u unit) *tenantBudget {
	tenant := u.job.Spec.Tenant
	if tenant == "" {
		return nil
	}
	budget := c.tenants[tenant]
	if budget == nil {
		budget = &tenantBudget{quota: c.store.TenantQuota(tenant), used: c.store.TenantUse(tenant)}
		c.tenants[tenant] = budget
	}
	return budget
}

// withinQuota tells whether the tenant's quota admits the unit.
func (b *tenantBudget) withinQuota(u unit) bool {
	return b == nil || b.quota.Admits(b.used, u.demand(), len(u.taskNumbers))
}

// take counts a unit that is placed.
func (b *tenantBudget) take(u unit) {
	if b != nil {
		b.used = b.used.Plus(u.demand())
	}
}
