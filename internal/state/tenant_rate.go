package state

import "orchidward/internal/clock"

const (
	// jobCredit is what a job takes of its tenant's credit, which grows by the tenant's
	// weight each millisecond.
	jobCredit = 1_000_000
	// creditSpan is how long credit is collected while a tenant hands nothing in, or until
	// it is enough for one job; maxCreditSpan bounds that.
	creditSpan    clock.Millis = 5000
	maxCreditSpan clock.Millis = 24 * 60 * 60 * 1000
)

// tenantRate is how fast a tenant hands jobs in, as a token bucket that its weight fills.
type tenantRate struct {
	credit     int64
	refilledAt clock.ClusterTime
}

// take takes a job's credit and tells whether there was enough.
func (r *tenantRate) take(weight int64, now clock.ClusterTime) bool {
	limit := max(jobCredit, weight*int64(creditSpan))
	gained := weight * int64(min(now.Since(r.refilledAt), maxCreditSpan))
	r.credit = min(limit, r.credit+gained)
	r.refilledAt = now
	if r.credit < jobCredit {
		return false
	}
	r.credit -= jobCredit
	return true
}

// exceedsShare counts a job that is handed in, and tells whether its tenant hands in more
// than its weight.
func (s *Store) exceedsShare(j *Job) bool {
	name := j.Spec.Tenant
	if name == "" {
		return false
	}
	tenant := s.Catalog.Tenant(name)
	if tenant == nil || tenant.Weight == 0 {
		return false
	}
	rate := s.tenantRates[name]
	if rate == nil {
		rate = &tenantRate{}
		s.tenantRates[name] = rate
	}
	return !rate.take(tenant.Weight, s.Now)
}

// dropTenantRates forgets the rates of tenants that the catalogue no longer has.
func (s *Store) dropTenantRates() {
	for name := range s.tenantRates {
		if s.Catalog.Tenant(name) == nil {
			delete(s.tenantRates, name)
		}
	}
}
