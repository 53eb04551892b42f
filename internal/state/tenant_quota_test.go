package state

import (
	"fmt"
	"math/rand"
	"net/http"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
)

// tenantModel drives a store with random commands and independently counts the use of
// each tenant.
type tenantModel struct {
	*fixture
	random *rand.Rand
	quotas map[string]catalog.Quota
	jobs   int
	// incarnations holds the current incarnation number of each runner.
	incarnations [10]int
}

var modelTenants = []string{"t", "u"}

func newTenantModel(t *testing.T, seed int64) *tenantModel {
	t.Helper()
	m := &tenantModel{fixture: newQueueFixture(t), random: rand.New(rand.NewSource(seed)), quotas: map[string]catalog.Quota{}}
	m.store.Level = SupportedLevel
	for number := 5; number < 9; number++ {
		m.restart(number)
	}
	m.changeQuotas()
	return m
}

// changeQuotas gives every tenant a new random quota, or occasionally drops it.
func (m *tenantModel) changeQuotas() {
	current := m.store.currentCatalog()
	change := &catalog.Change{Base: current.Version, Version: current.Version + 1, Checksum: fmt.Sprint(m.random.Int()), Authenticated: true}
	clear(m.quotas)
	for _, name := range modelTenants {
		if m.random.Intn(8) == 0 {
			change.DropTenants = append(change.DropTenants, name)
			continue
		}
		m.quotas[name] = catalog.Quota{MilliCores: int64(m.random.Intn(12)) * 500, Mem: int64(m.random.Intn(4)) * 300}
		change.Tenants = append(change.Tenants, catalog.Tenant{Name: name, Weight: 1000, Quota: m.quotas[name]})
	}
	m.apply(http.StatusOK, &Command{ChangeCatalog: change})
}

func (m *tenantModel) submit() {
	m.jobs++
	step := job.Step{
		Name: "s", Tasks: 1 + m.random.Int63n(4), Gang: m.random.Intn(3) == 0, ExpectedRun: 1000,
		Demand: job.Demand{MilliCores: 100 + m.random.Int63n(1500), Mem: m.random.Int63n(200)},
	}
	spec := job.Spec{Queue: "q", Tenant: modelTenants[m.random.Intn(len(modelTenants))], Steps: []job.Step{step}}
	key := identifier.JobKey(fmt.Sprintf("q/j%d", m.jobs))
	m.apply(http.StatusCreated, &Command{SubmitJob: &SubmitJob{Key: key, Spec: spec}})
}

func (m *tenantModel) runner(number int) (identifier.Runner, identifier.Incarnation) {
	return identifier.Runner(fmt.Sprintf("r%d", number)), identifier.Incarnation(fmt.Sprint("a", m.incarnations[number]))
}

// place places tasks of a random job, or its whole gang, regardless of quotas, and checks
// that the result respects the quota.
func (m *tenantModel) place() {
	key := identifier.JobKey(fmt.Sprintf("q/j%d", 1+m.random.Intn(m.jobs)))
	j := m.store.Jobs[key]
	if j == nil || j.EndState != "" || !j.Ready(0) {
		return
	}
	placement := Placement{Job: key, Tasks: j.WaitingTasks(0)}
	if !j.Spec.Steps[0].Gang {
		placement.Tasks = placement.Tasks[:1+m.random.Intn(len(placement.Tasks))]
	}
	for range placement.Tasks {
		name, _ := m.runner(5 + m.random.Intn(4))
		placement.Runners = append(placement.Runners, name)
	}
	tenant := j.Spec.Tenant
	before := m.recount()[tenant]
	m.apply(0, &Command{PlaceTasks: &PlaceTasks{Placements: []Placement{placement}}})
	after := m.recount()[tenant]
	quota := m.quotas[tenant]
	largest := j.Spec.Steps[0].Demand
	if after == before {
		return
	}
	for _, c := range []struct{ before, after, task, bound int64 }{
		{before.CPU(), after.CPU(), largest.CPU(), quota.MilliCores},
		{before.Mem, after.Mem, largest.Mem, quota.Mem},
	} {
		if c.bound > 0 && c.after > c.bound && (c.before*2 > c.bound || c.after-c.task > c.bound) {
			m.Fatalf("placing %+v of %s raises its use from %d to %d, its quota is %d", placement, tenant, c.before, c.after, c.bound)
		}
	}
}

// recount returns the total demand of the open leases of each tenant's jobs.
func (m *tenantModel) recount() map[string]job.Demand {
	use := map[string]job.Demand{}
	for _, lease := range m.store.Leases {
		tenant := m.store.Jobs[lease.Task.Job].Spec.Tenant
		use[tenant] = use[tenant].Plus(lease.Demand)
	}
	return use
}

// endOrRevokeLease reports a random end of one open lease, or revokes the lease.
func (m *tenantModel) endOrRevokeLease() {
	for id := identifier.LeaseID(1 + m.random.Int63n(int64(m.store.NextLease))); id < m.store.NextLease; id++ {
		lease := m.store.Leases[id]
		if lease == nil {
			continue
		}
		if m.random.Intn(4) == 0 {
			m.apply(0, &Command{RevokeLeases: &RevokeLeases{Leases: []identifier.LeaseID{id}, Reason: RevokePreempted}})
			return
		}
		outcomes := []Outcome{OutcomeSuccess, OutcomeDefect, OutcomeStopped, OutcomeLeaseLapsed, OutcomeRejected}
		end := End{Lease: id, Task: lease.Task, Outcome: outcomes[m.random.Intn(len(outcomes))]}
		m.apply(0, &Command{ReportEnds: &ReportEnds{Runner: lease.Runner, Incarnation: lease.Incarnation, Ends: []End{end}}})
		return
	}
}

// loseOrRestartRunner counts a runner as lost, or makes it report a new incarnation.
func (m *tenantModel) loseOrRestartRunner() {
	number := 5 + m.random.Intn(4)
	name, incarnation := m.runner(number)
	if m.random.Intn(2) == 0 {
		m.apply(0, &Command{LoseRunner: &LoseRunner{Runner: name, Incarnation: incarnation}})
		return
	}
	m.restart(number)
}

// restart makes a runner report a new incarnation.
func (m *tenantModel) restart(number int) {
	m.incarnations[number]++
	_, incarnation := m.runner(number)
	report := m.runnerReport(number, incarnation, false, 0)
	report.Pool = "x"
	m.apply(http.StatusOK, &Command{ReportRunner: report})
}

// checkUse compares the store's own totals with the open leases, also for a store decoded
// from its snapshot.
func (m *tenantModel) checkUse() {
	m.Helper()
	restored, err := Decode(m.store.Encode())
	if err != nil {
		m.Fatal(err)
	}
	use := m.recount()
	for _, tenant := range modelTenants {
		if m.store.TenantUse(tenant) != use[tenant] || restored.TenantUse(tenant) != use[tenant] {
			m.Fatalf("%s uses %+v, counted as %+v, after a snapshot as %+v", tenant, use[tenant], m.store.TenantUse(tenant), restored.TenantUse(tenant))
		}
	}
}

// TestTenantNeverAboveQuota checks that no placement raises the use of a tenant above its
// quota, whatever the order of placements, ends, lost runners, cancels and quota changes.
func TestTenantNeverAboveQuota(t *testing.T) {
	for seed := range int64(40) {
		m := newTenantModel(t, seed)
		for step := range 400 {
			switch m.random.Intn(12) {
			case 0, 1:
				m.submit()
			case 2, 3, 4:
				m.endOrRevokeLease()
			case 5:
				m.loseOrRestartRunner()
			case 6:
				if m.random.Intn(4) == 0 {
					m.changeQuotas()
				}
			case 7:
				key := identifier.JobKey(fmt.Sprintf("q/j%d", m.random.Intn(m.jobs+1)))
				m.store.Apply(&Command{CancelJob: &CancelJob{Key: key}})
			default:
				if m.jobs > 0 {
					m.place()
				}
			}
			if step%20 == 0 {
				m.checkUse()
			}
		}
	}
}

// TestJobWithoutTenantRefused checks that a queue that requires API keys rejects a job
// without a tenant, and that a job keeps the tenant that submitted it first.
func TestJobWithoutTenantRefused(t *testing.T) {
	m := newTenantModel(t, 1)
	spec := job.Spec{Queue: "q", Steps: []job.Step{{Name: "s", Tasks: 1, ExpectedRun: 1}}}
	submit := func(want int, tenant string) {
		t.Helper()
		spec.Tenant = tenant
		m.apply(want, &Command{SubmitJob: &SubmitJob{Key: "q/a", Spec: spec}})
	}
	submit(http.StatusUnauthorized, "")
	submit(http.StatusCreated, "t")
	submit(http.StatusOK, "t")
	submit(http.StatusOK, "u")
	if tenant := m.store.Jobs["q/a"].Spec.Tenant; tenant != "t" {
		t.Errorf("the tenant of the job changed to %s", tenant)
	}
}
