package scheduler

import (
	"fmt"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/job"
	"orchidward/internal/state"
)

// TestOverQuotaBacklogDoesNotStarveOthers checks that a tenant's backlog of jobs blocked by its
// quota, however long, does not keep other tenants' jobs from free runners.
func TestOverQuotaBacklogDoesNotStarveOthers(t *testing.T) {
	store := newTenantStore(t, 8,
		catalog.Tenant{Name: "hot", Weight: 1000, Quota: catalog.Quota{MilliCores: 1000}},
		catalog.Tenant{Name: "usual", Weight: 1000})
	for i := range maxOrderedJobs + 1 {
		submitAs(t, store, "hot", fmt.Sprint("hot", i), 10_000, job.Step{Tasks: 1, Demand: job.Demand{MilliCores: 1000}})
	}
	submitAs(t, store, "usual", "usual", 10_001, job.Step{Tasks: 1, Demand: job.Demand{MilliCores: 1000}})
	scheduleAndPlace(t, store)
	if used := store.TenantUse("usual").CPU(); used != 1000 {
		t.Errorf("with free runners the other tenant uses %d", used)
	}
}

// TestIdleTenantStartsGang checks that a gang that exceeds its tenant's quota by less than one
// task starts once the tenant has nothing running.
func TestIdleTenantStartsGang(t *testing.T) {
	store := newTenantStore(t, 8, catalog.Tenant{Name: "small", Weight: 1000, Quota: catalog.Quota{MilliCores: 5000}})
	submitAs(t, store, "small", "gang", 10, job.Step{Tasks: 3, Gang: true, Demand: job.Demand{MilliCores: 2000}})
	scheduleAndPlace(t, store)
	if used := store.TenantUse("small").CPU(); used != 6000 {
		t.Errorf("the gang of 3 x 2000 uses %d", used)
	}
}

// TestGangStartsBelowHalfOfQuota checks that a gang of more than half of a quota starts while
// its tenant uses less than half of it, if together they exceed the quota by less than one
// task.
func TestGangStartsBelowHalfOfQuota(t *testing.T) {
	store := newTenantStore(t, 8, catalog.Tenant{Name: "small", Weight: 1000, Quota: catalog.Quota{MilliCores: 5000}})
	submitAs(t, store, "small", "steady", 10, job.Step{Tasks: 1, Demand: job.Demand{MilliCores: 2000}})
	scheduleAndPlace(t, store)
	submitAs(t, store, "small", "gang", 20, job.Step{Tasks: 2, Gang: true, Demand: job.Demand{MilliCores: 2000}})
	scheduleAndPlace(t, store)
	if used := store.TenantUse("small").CPU(); used != 6000 {
		t.Errorf("the steady task and the gang use %d", used)
	}
}

// TestExcessBacklogDoesNotHideOthers checks that a tenant's backlog beyond its weight, however
// long, does not delay a job within the weight of another tenant.
func TestExcessBacklogDoesNotHideOthers(t *testing.T) {
	store := newTenantStore(t, 1,
		catalog.Tenant{Name: "hot", Weight: 1000},
		catalog.Tenant{Name: "usual", Weight: 1000})
	whole := job.Step{Tasks: 1, Demand: job.Demand{MilliCores: 8000}}
	for i := range maxOrderedJobs + 100 {
		submitAs(t, store, "hot", fmt.Sprint("hot", i), 10_000, whole)
	}
	submitAs(t, store, "usual", "usual", 10_001, whole)
	for turn := range 12 {
		plan := scheduleAndPlace(t, store)
		if len(plan.Placements) == 1 && plan.Placements[0].Job == "q/usual" {
			return
		}
		if turn == 11 {
			t.Errorf("after %d turns the job within its tenant's weight is still pending", turn+1)
		}
		endLeases(t, store, state.OutcomeSuccess, keepNone)
	}
}
