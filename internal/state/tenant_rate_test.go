package state

import (
	"testing"

	"orchidward/internal/clock"
)

// TestSlowTenantKeepsItsShare checks that a tenant with a low weight that submits jobs
// exactly at the rate allowed by its weight never exceeds its share.
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
			t.Errorf("weight %d, one job every %d ms: %d of 100 exceed the share", weight, every, excess)
		}
	}
}
