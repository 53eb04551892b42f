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

// newTenantStore is a store with queues as of newQueueStore, and tenants.
func newTenantStore(t *testing.T, runners int, tenants ...catalog.Tenant) *state.Store {
	t.Helper()
	store := newQueueStore(t, runners)
	store.Level = state.TenantLevel
	apply(t, store, &state.Command{ChangeCatalog: &catalog.Change{
		Base: 1, Version: 2, Checksum: "tenants", Tenants: tenants, Authenticated: true,
	}})
	return store
}

// submitAs hands in a job of one step for the queue q1 in the name of a tenant.
func submitAs(t *testing.T, store *state.Store, tenant, id string, at clock.ClusterTime, step job.Step) {
	t.Helper()
	step.Name = "s"
	step.MaxDefects = 1
	step.ExpectedRun = 1000
	spec := job.Spec{Queue: "q1", Tenant: tenant, Steps: []job.Step{step}}
	apply(t, store, &state.Command{At: at, SubmitJob: &state.SubmitJob{Key: identifier.JobKey("q/" + id), Spec: spec}})
}

// TestPlansKeepQuotas: a plan places no more of a tenant than its quota admits, a gang as one, and the work of others behind it goes on.
func TestPlansKeepQuotas(t *testing.T) {
	store := newTenantStore(t, 8,
		catalog.Tenant{Name: "small", Weight: 1 << 30, Quota: catalog.Quota{MilliCores: 5000}},
		catalog.Tenant{Name: "free", Weight: 1 << 30})
	submitAs(t, store, "small", "gang", 10, job.Step{Tasks: 3, Gang: true, Demand: job.Demand{MilliCores: 2000}})
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
		t.Errorf("the gang waits because %q", reason)
	}
	endLeases(t, store, state.OutcomeSuccess, keepNone)
	scheduleAndPlace(t, store)
	if used := store.TenantUse("small").CPU(); used != 4000 {
		t.Errorf("after the first ends it uses %d", used)
	}
}
