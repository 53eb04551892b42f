package controlplane

import (
	"orchidward/internal/api/job"
	"orchidward/internal/state"
)

// exceedsQuota reports whether the attempt of a lease must not start now because its
// tenant's quota was lowered after the placement: the attempts that are already running,
// together with those that were placed earlier and may start first, exceed the quota.
func (s *Server) exceedsQuota(lease *state.Lease) bool {
	tenant := s.state.TenantOf(lease)
	if !s.state.OverQuota(tenant) {
		return false
	}
	var before job.Demand
	s.state.EachTenantLease(tenant, func(other *state.Lease) {
		first := other.ID < lease.ID && other.RevokeReason == ""
		if other.ID != lease.ID && (first || s.mayRun(other)) {
			before = before.Plus(other.Demand)
		}
	})
	return !s.state.TenantQuota(tenant).Holds(before)
}

// mayRun reports whether the attempt of a lease may be running, according to the last
// poll of its runner.
func (s *Server) mayRun(lease *state.Lease) bool {
	contact := s.leader.runners[lease.Runner]
	if contact == nil || !contact.hasPolled || contact.incarnation != lease.Incarnation {
		return true
	}
	return contact.running[lease.ID]
}
