package controlplane

import (
	"maps"
	"slices"

	"orchidward/internal/clock"
)

// quotaLogInterval is how long a tenant must have been within its quota before that is
// logged. A tenant that repeatedly reaches its quota is not logged each time.
const quotaLogInterval clock.Millis = 5000

// quotaLog tracks which tenants have been logged as being at their quota.
type quotaLog struct {
	// waiting are the tenants that had work waiting for their quota in the last plan.
	waiting map[string]bool
	// reported holds the tenants that were logged, and when each last had work waiting
	// for its quota.
	reported map[string]clock.Monotonic
}

func newQuotaLog() quotaLog { return quotaLog{reported: map[string]clock.Monotonic{}} }

// recordPlan records the tenants that a plan found at their quota.
func (l *quotaLog) recordPlan(waiting map[string]bool) { l.waiting = waiting }

// logQuotas logs tenants that have reached their quota, and tenants that have been within
// it for quotaLogInterval.
func (s *Server) logQuotas() {
	l := &s.leader.quotas
	for _, tenant := range slices.Sorted(maps.Keys(l.waiting)) {
		if _, known := l.reported[tenant]; !known {
			used, quota := s.state.TenantUse(tenant), s.state.TenantQuota(tenant)
			s.logEvent("tenant-at-quota", "tenant", tenant,
				"milliCores", used.CPU(), "ofMilliCores", quota.MilliCores,
				"memMb", used.Mem, "ofMemMb", quota.Mem, "gpus", used.GPUs, "ofGpus", quota.GPUs)
		}
		l.reported[tenant] = s.now
	}
	for _, tenant := range slices.Sorted(maps.Keys(l.reported)) {
		if s.now.Since(l.reported[tenant]) >= quotaLogInterval {
			delete(l.reported, tenant)
			s.logEvent("tenant-within-quota", "tenant", tenant)
		}
	}
}
