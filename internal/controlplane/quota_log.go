package controlplane

import (
	"maps"
	"slices"

	"orchidward/internal/clock"
)

// quotaLogInterval is how long a tenant must have been within its quota before the log says
// so: a tenant that comes and goes is not logged each time.
const quotaLogInterval clock.Millis = 5000

// quotaLog is which tenants the log has said to be at their quota.
type quotaLog struct {
	// waiting are the tenants of which the last plan left work waiting for their quota.
	waiting map[string]bool
	// reported has the tenants that were logged, and when each last had work waiting so.
	reported map[string]clock.Monotonic
}

func newQuotaLog() quotaLog { return quotaLog{reported: map[string]clock.Monotonic{}} }

// planned takes the tenants at their quota from a plan.
func (l *quotaLog) planned(waiting map[string]bool) { l.waiting = waiting }

// logQuotas logs tenants that have come to their quota, and those that have kept within it
// for a while.
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
