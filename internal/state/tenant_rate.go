package state

import "orchidward/internal/clock"

const (
	// jobCredit is the credit that a job costs its tenant. The credit grows by the
	// tenant's weight each millisecond.
	jobCredit = 1_000_000
	// creditSpan is the time for which an idle tenant accumulates credit; a tenant whose
	// weight is too low to earn the credit of one job in that time accumulates until it
	// has enough for one. maxCreditSpan bounds the idle time that is credited.
	creditSpan    clock.Millis = 5000
	maxCreditSpan clock.Millis = 24 * 60 * 60 * 1000
)

// tenantRate is a token bucket, filled according to the weight of a tenant, that detects
// when the tenant submits jobs faster than its weight allows.
type tenantRate struct {
	credit     int64
	refilledAt clock.ClusterTime
}

// take deducts the credit of one job and reports whether there was enough.
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

// exceedsShare counts a submitted job and reports whether its tenant submits jobs faster
// than its weight allows.
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

// dropTenantRates drops the rates of tenants that are no longer in the catalogue.
func (s *Store) dropTenantRates() {
	for name := range s.tenantRates {
		if s.Catalog.Tenant(name) == nil {
			delete(s.tenantRates, name)
		}
	}
}
