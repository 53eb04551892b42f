package controlplane

import (
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/job"
)

// TenantDoc is a tenant as the API returns it. API keys are omitted: Keys is their
// number, Used the tenant's current usage, and Waiting the number of its tasks that could
// be placed now.
type TenantDoc struct {
	Name    string        `json:"name"`
	Weight  int64         `json:"weight"`
	Quota   catalog.Quota `json:"quota"`
	Used    job.Demand    `json:"used"`
	Waiting int64         `json:"waiting"`
	Keys    int           `json:"keys"`
}

// TenantsDoc lists the tenants in the order of the catalogue with this version.
type TenantsDoc struct {
	Version uint64      `json:"version"`
	Tenants []TenantDoc `json:"tenants"`
}

func (s *Server) tenantDocs() TenantsDoc {
	doc := TenantsDoc{Tenants: []TenantDoc{}}
	if s.state.Catalog == nil {
		return doc
	}
	doc.Version = s.state.Catalog.Version
	waiting := s.state.TenantWaiting()
	for _, tenant := range s.state.Catalog.Tenants {
		doc.Tenants = append(doc.Tenants, TenantDoc{
			Name:    tenant.Name,
			Weight:  tenant.Weight,
			Quota:   tenant.Quota,
			Used:    s.state.TenantUse(tenant.Name),
			Waiting: waiting[tenant.Name],
			Keys:    len(tenant.Keys),
		})
	}
	return doc
}
