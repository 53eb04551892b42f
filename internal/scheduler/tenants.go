package scheduler

import (
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/job"
	"orchidward/internal/state"
)

// tenantBudget is a tenant's quota and its usage, including the placements of this cycle.
type tenantBudget struct {
	quota catalog.Quota
	used  job.Demand
}

// tenantBudget returns the budget of a job's tenant, or nil if the job has no tenant.
func (c *cycle) tenantBudget(j *state.Job) *tenantBudget {
	tenant := j.Spec.Tenant
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

// withinQuota reports whether the tenant's quota admits the unit.
func (b *tenantBudget) withinQuota(u unit) bool {
	return b == nil || b.quota.Admits(b.used, u.spec().Demand, len(u.taskNumbers))
}

// blockedByQuota reports whether the quota of the job's tenant admits none of the job's
// ready steps. It records the quota as the reason for each step that it rejects.
func (c *cycle) blockedByQuota(j *state.Job) bool {
	budget := c.tenantBudget(j)
	if budget == nil || budget.quota.IsZero() {
		return false
	}
	for step, spec := range j.Spec.Steps {
		if !j.Ready(step) {
			continue
		}
		waiting := j.WaitingTasks(step)
		if !spec.Gang {
			waiting = waiting[:1]
		}
		u := unit{job: j, step: step, taskNumbers: waiting}
		if budget.withinQuota(u) {
			return false
		}
		c.plan.Reasons.add(u, reasonQuota)
		c.plan.AtQuota[j.Spec.Tenant] = true
	}
	return true
}

// take adds a placed unit to the tenant's usage.
func (b *tenantBudget) take(u unit) {
	if b != nil {
		b.used = b.used.Plus(u.demand())
	}
}
