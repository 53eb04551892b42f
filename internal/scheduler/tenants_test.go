package scheduler

import (
	"fmt"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/state"
)

// newTenantStore returns a store with the queues of newQueueStore and the given tenants.
func newTenantStore(t *testing.T, runners int, tenants ...catalog.Tenant) *state.Store {
	t.Helper()
	store := newQueueStore(t, runners)
	store.Level = state.TenantLevel
	apply(t, store, &state.Command{ChangeCatalog: &catalog.Change{
		Base: 1, Version: 2, Checksum: "tenants", Tenants: tenants, Authenticated: true,
	}})
	return store
}

// submitAs submits a single-step job of a tenant to queue q1.
func submitAs(t *testing.T, store *state.Store, tenant, id string, at clock.ClusterTime, step job.Step) {
	t.Helper()
	step.Name = "s"
	step.MaxDefects = 1
	step.ExpectedRun = 1000
	spec := job.Spec{Queue: "q1", Tenant: tenant, Steps: []job.Step{step}}
	apply(t, store, &state.Command{At: at, SubmitJob: &state.SubmitJob{Key: identifier.JobKey("q/" + id), Spec: spec}})
}

// TestPlansKeepQuotas checks that a plan places no more work of a tenant than its quota admits,
// counting a gang as a whole, and still places work of other tenants submitted later.
func TestPlansKeepQuotas(t *testing.T) {
	store := newTenantStore(t, 8,
		catalog.Tenant{Name: "small", Weight: 1 << 30, Quota: catalog.Quota{MilliCores: 5000}},
		catalog.Tenant{Name: "free", Weight: 1 << 30})
	submitAs(t, store, "small", "gang", 10, job.Step{Tasks: 4, Gang: true, Demand: job.Demand{MilliCores: 2000}})
	for i := range 700 {
		submitAs(t, store, "small", fmt.Sprint("small", i), 10, job.Step{Tasks: 1, Demand: job.Demand{MilliCores: 2000}})
	}
	submitAs(t, store, "free", "other", 20, job.Step{Tasks: 4, Demand: job.Demand{MilliCores: 8000}})
	plan := scheduleAndPlace(t, store)
	if used := store.TenantUse("small").CPU(); used != 4000 {
		t.Errorf("the tenant with a quota uses %d", used)
	}
	if used := store.TenantUse("free").CPU(); used != 32000 {
		t.Errorf("the tenant without one uses %d", used)
	}
	if reason := plan.Reasons["q/gang"][0]; reason != reasonQuota {
		t.Errorf("the gang is pending because %q", reason)
	}
	endLeases(t, store, state.OutcomeSuccess, keepNone)
	scheduleAndPlace(t, store)
	if used := store.TenantUse("small").CPU(); used != 4000 {
		t.Errorf("after the first tasks end it uses %d", used)
	}
}

// TestExcessWorkWaits checks that while the runners are full, work that a tenant submits beyond
// its weight is placed after the work of other tenants.
func TestExcessWorkWaits(t *testing.T) {
	store := newTenantStore(t, 1,
		catalog.Tenant{Name: "hot", Weight: 1000},
		catalog.Tenant{Name: "usual", Weight: 1000})
	whole := job.Step{Tasks: 1, Demand: job.Demand{MilliCores: 8000}}
	for i := range 20 {
		submitAs(t, store, "hot", fmt.Sprint("hot", i), 10_000, whole)
	}
	submitAs(t, store, "usual", "usual", 10_001, whole)
	var order []identifier.JobKey
	for range 21 {
		plan := scheduleAndPlace(t, store)
		if len(plan.Placements) != 1 {
			t.Fatalf("%d placements in one cycle, want 1", len(plan.Placements))
		}
		order = append(order, plan.Placements[0].Job)
		endLeases(t, store, state.OutcomeSuccess, keepNone)
	}
	if order[4] != "q/hot4" || order[5] != "q/usual" || order[6] != "q/hot5" {
		t.Errorf("placed in the order %v", order)
	}
}
