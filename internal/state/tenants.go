package state

import (
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/job"
)

// TenantUse returns the total demand of the open leases of a tenant's jobs, including
// revoked ones: a task counts until its end is reported or its runner is certain to be
// dead.
func (s *Store) TenantUse(tenant string) job.Demand { return s.tenantUse[tenant] }

// TenantQuota returns the quota of a tenant, which is unlimited for a tenant that is not
// in the catalogue.
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

// TenantOf returns the tenant that a lease is charged to, or an empty string.
func (s *Store) TenantOf(lease *Lease) string { return s.Jobs[lease.Task.Job].Spec.Tenant }

// countTenantUse sets the total use of the tenant that a lease is charged to.
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

// withinQuota reports whether the quota of the job's tenant allows placing the tasks.
func (s *Store) withinQuota(j *Job, task job.Demand, tasks int) bool {
	tenant := j.Spec.Tenant
	return tenant == "" || s.TenantQuota(tenant).Admits(s.TenantUse(tenant), task, tasks)
}

// OverQuota reports whether a tenant uses more than its quota, because the quota was
// lowered or because the last task placed exceeded it.
func (s *Store) OverQuota(tenant string) bool {
	return tenant != "" && !s.TenantQuota(tenant).Holds(s.TenantUse(tenant))
}

// AnyOverQuota reports whether any tenant uses more than its quota.
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

// EachTenantLease visits the open leases of a tenant's jobs, in no particular order.
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
