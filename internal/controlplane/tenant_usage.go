package controlplane

import (
	"cmp"
	"slices"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/job"
)

// TenantUsage is the usage and quota of a tenant. Tenant is empty for the sum of all
// tenants other than the largest users, which has no quota.
type TenantUsage struct {
	Tenant string
	Used   job.Demand
	Quota  catalog.Quota
}

// LargestTenants lists the tenants that use the most processors, at most so many and in
// descending order, followed by one entry for all others if there are any.
func (s *Server) LargestTenants(limit int) []TenantUsage {
	if s.state.Catalog == nil {
		return nil
	}
	var list []TenantUsage
	for _, tenant := range s.state.Catalog.Tenants {
		list = append(list, TenantUsage{tenant.Name, s.state.TenantUse(tenant.Name), tenant.Quota})
	}
	slices.SortFunc(list, func(a, b TenantUsage) int {
		return cmp.Or(cmp.Compare(b.Used.CPU(), a.Used.CPU()), cmp.Compare(a.Tenant, b.Tenant))
	})
	if len(list) <= limit {
		return list
	}
	others := TenantUsage{}
	for _, tenant := range list[limit:] {
		others.Used = others.Used.Plus(tenant.Used)
	}
	return append(list[:limit:limit], others)
}
