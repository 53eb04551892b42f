package state

import (
	"testing"

	"orchidward/internal/clock"
)

// TestSlowTenantKeepsItsShare: a tenant of a low weight that hands in just as much is never beyond it.
func TestSlowTenantKeepsItsShare(t *testing.T) {
	for _, weight := range []int64{50, 100, 150, 199, 200, 1000} {
		rate := &tenantRate{}
		excess := 0
		every := clock.ClusterTime(jobCredit/weight + 1)
		for i := clock.ClusterTime(1); i <= 100; i++ {
			if !rate.take(weight, i*every) {
				excess++
			}
		}
		if excess > 0 {
			t.Errorf("weight %d, a job each %d ms: %d of 100 are beyond the share", weight, every, excess)
		}
	}
}
