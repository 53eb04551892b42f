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

// tenantOf is the tenant that a lease counts for, empty for none.
func (s *Store) tenantOf(lease *Lease) string { return s.Jobs[lease.Task.Job].Spec.Tenant }

// countTenantUse sets the use of a lease's tenant.
func (s *Store) countTenantUse(lease *Lease, use job.Demand) {
	tenant := s.tenantOf(lease)
	switch {
	case tenant == "":
	case use == job.Demand{}:
		delete(s.tenantUse, tenant)
	default:
		s.tenantUse[tenant] = use
	}
}

// withinQuota tells whether tasks may be placed by the quota of their job's tenant.
func (s *Store) withinQuota(j *Job, demand job.Demand, tasks int) bool {
	tenant := j.Spec.Tenant
	return tenant == "" || s.TenantQuota(tenant).Admits(s.TenantUse(tenant), demand, tasks)
}

// ExceedsQuota tells whether the attempt of a lease must not start now, as its tenant has more
// in use than its quota admits: the quota was lowered since the lease was opened.
func (s *Store) ExceedsQuota(lease *Lease) bool {
	tenant := s.tenantOf(lease)
	if tenant == "" {
		return false
	}
	others := s.TenantUse(tenant).Minus(lease.Demand)
	return !s.TenantQuota(tenant).Admits(others, lease.Demand, 1)
}
