package state

import (
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/job"
)

// TenantUse is the demand of the open leases of a tenant's jobs, revoked ones included: a
// task counts until its end is reported or its runner is surely dead.
func (s *Store) TenantUse(tenant string) job.Demand { return s.tenantUse[tenant] }

// TenantQuota is what a tenant may have in use, without bounds for one that the catalogue
// doesn't have.
func (s *Store) TenantQuota(tenant string) catalog.Quota {
	if s.Catalog == nil || tenant == "" {
		return catalog.Quota{}
	}
	found := s.Catalog.Tenant(tenant)
	if found == nil {
		return catalog.Quota{}
	}
	return found.Quota
}

// TenantOf is the tenant that a lease counts for, empty for none.
func (s *Store) TenantOf(lease *Lease) string { return s.Jobs[lease.Task.Job].Spec.Tenant }

// countTenantUse sets the use of a lease's tenant.
func (s *Store) countTenantUse(lease *Lease, use job.Demand) {
	tenant := s.TenantOf(lease)
	switch {
	case tenant == "":
	case use == job.Demand{}:
		delete(s.tenantUse, tenant)
	default:
		s.tenantUse[tenant] = use
	}
}

// withinQuota tells whether tasks may be placed by the quota of their job's tenant.
func (s *Store) withinQuota(j *Job, task job.Demand, tasks int) bool {
	tenant := j.Spec.Tenant
	return tenant == "" || s.TenantQuota(tenant).Admits(s.TenantUse(tenant), task, tasks)
}

// OverQuota tells whether a tenant has more in use than its quota, as that was lowered or as
// its last task passed it.
func (s *Store) OverQuota(tenant string) bool {
	return tenant != "" && !s.TenantQuota(tenant).Holds(s.TenantUse(tenant))
}

// AnyOverQuota tells whether some tenant has more in use than its quota.
func (s *Store) AnyOverQuota() bool {
	if s.Catalog == nil || len(s.tenantUse) == 0 {
		return false
	}
	for i := range s.Catalog.Tenants {
		tenant := &s.Catalog.Tenants[i]
		if !tenant.Quota.Holds(s.tenantUse[tenant.Name]) {
			return true
		}
	}
	return false
}

// EachTenantLease visits the open leases of a tenant's jobs, in no order.
func (s *Store) EachTenantLease(tenant string, visit func(lease *Lease)) {
	for _, lease := range s.Leases {
		if s.TenantOf(lease) == tenant {
			visit(lease)
		}
	}
}

// TenantWaiting counts the tasks of each tenant's jobs that could be placed now.
func (s *Store) TenantWaiting() map[string]int64 {
	waiting := map[string]int64{}
	s.EachQueueJob(func(j *Job) (more bool) {
		for step := range j.Steps {
			if j.Spec.Tenant != "" && j.Ready(step) {
				waiting[j.Spec.Tenant] += int64(len(j.WaitingTasks(step)))
			}
		}
		return true
	})
	return waiting
}
