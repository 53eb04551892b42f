package state

import (
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
)

// fixture is a store with four runners, r1 to r4: even numbers are in domain north and
// rack k0, odd numbers in domain east and rack k1.
type fixture struct {
	*testing.T
	store *Store
}

// newFixture returns a fixture whose limits table has the given cells.
func newFixture(t *testing.T, cells string) *fixture {
	t.Helper()
	f := &fixture{t, New()}
	f.apply(http.StatusOK, &Command{At: 1000, ChangeLimits: f.limitsPatch(1, cells)})
	for i := 1; i <= 4; i++ {
		f.apply(http.StatusOK, &Command{ReportRunner: f.runnerReport(i, "a", false, 0)})
	}
	return f
}

func newFixtureAtLevel(t *testing.T, level uint16) *fixture {
	t.Helper()
	f := newFixture(t, `{"a.weight":1}`)
	f.store.Level = level
	return f
}

// newQueueFixture returns a fixture with a queue q of the pool x, four more runners of
// that pool, r5 to r8, and one of the pool y, r9.
func newQueueFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixtureAtLevel(t, CatalogLevel)
	queue := catalog.Queue{
		Name:          "q",
		Host:          "h",
		Prefix:        "/q/",
		Pool:          "x",
		MaxAttempts:   2,
		LatencyFactor: 2000,
		LatencyTarget: 1000,
		Timeout:       3000,
	}
	f.apply(http.StatusOK, &Command{At: 2000, ChangeCatalog: &catalog.Change{
		Version:  3,
		Whole:    true,
		Checksum: "one",
		Queues:   []catalog.Queue{queue},
		Pools:    []catalog.Pool{{Name: "x"}, {Name: "y"}},
	}})
	for i := 5; i <= 9; i++ {
		report := f.runnerReport(i, "a", false, 0)
		report.Pool = "x"
		if i == 9 {
			report.Pool = "y"
		}
		f.apply(http.StatusOK, &Command{ReportRunner: report})
	}
	return f
}

// limitsPatch returns a change of single cells, based on the given epoch.
func (f *fixture) limitsPatch(base int, cells string) *limits.Change {
	f.Helper()
	var faults jsondoc.FieldErrors
	change := limits.ReadPatch([]byte(fmt.Sprintf(`{"base":%d,"cells":%s}`, base, cells)), &faults)
	if faults.Any() {
		f.Fatal(faults.List)
	}
	return change
}

func (f *fixture) runnerReport(i int, incarnation identifier.Incarnation, draining bool, departsAt clock.ClusterTime) *ReportRunner {
	domains := []identifier.Domain{"north", "east"}
	racks := []identifier.Rack{"k0", "k1"}
	return &ReportRunner{
		Runner:      identifier.Runner(fmt.Sprintf("r%d", i)),
		Incarnation: incarnation,
		Capacity:    job.Demand{Cores: 8, Mem: 8000},
		Labels:      []identifier.Label{"std"},
		Domain:      domains[i%2],
		Rack:        racks[i%2],
		Draining:    draining,
		DepartsAt:   departsAt,
	}
}

// apply applies a command and fails the test if its result has another status.
func (f *fixture) apply(status int, command *Command) {
	f.Helper()
	if r := f.store.Apply(command); r.Status != status {
		f.Fatalf("want %d, have %+v", status, r)
	}
}

// submit submits a job for a row. Steps allow one defect unless they specify a number.
func (f *fixture) submit(key identifier.JobKey, row identifier.Row, steps ...job.Step) {
	f.Helper()
	for i := range steps {
		if steps[i].MaxDefects == 0 {
			steps[i].MaxDefects = 1
		}
	}
	spec := job.Spec{Row: row, Steps: steps}
	f.apply(http.StatusCreated, &Command{SubmitJob: &SubmitJob{Key: key, Spec: spec}})
}

// submitToQueue submits a job for the queue q. Its steps are named s0, s1 and so on.
func (f *fixture) submitToQueue(key identifier.JobKey, spec job.Spec) {
	f.Helper()
	spec.Queue = "q"
	for i := range spec.Steps {
		step := &spec.Steps[i]
		step.Name = fmt.Sprint("s", i)
		step.MaxDefects = 1
		if step.Demand == (job.Demand{}) {
			step.Demand = job.Demand{MilliCores: 1500, Mem: 10}
		}
		if step.ExpectedRun == 0 {
			step.ExpectedRun = 1000
		}
	}
	f.apply(http.StatusCreated, &Command{SubmitJob: &SubmitJob{Key: key, Spec: spec}})
}

// place proposes a placement, which the store skips if it is invalid.
func (f *fixture) place(key identifier.JobKey, step int, nums []int, runners ...identifier.Runner) {
	placement := Placement{Job: key, Step: step, Tasks: nums, Runners: runners}
	f.store.Apply(&Command{PlaceTasks: &PlaceTasks{Placements: []Placement{placement}}})
}

func (f *fixture) reportEnd(runner identifier.Runner, incarnation identifier.Incarnation, lease identifier.LeaseID, ref identifier.TaskRef, outcome Outcome) {
	end := End{Lease: lease, Task: ref, Outcome: outcome}
	f.store.Apply(&Command{ReportEnds: &ReportEnds{Runner: runner, Incarnation: incarnation, Ends: []End{end}}})
}

func (f *fixture) loseRunner(runner identifier.Runner) {
	f.Helper()
	f.apply(0, &Command{LoseRunner: &LoseRunner{Runner: runner, Incarnation: "a"}})
}

func (f *fixture) advanceDrain(id string, stages ...Stage) {
	f.Helper()
	for _, stage := range stages {
		f.apply(0, &Command{AdvanceDrain: &AdvanceDrain{ID: id, From: stage}})
	}
}

// reload replaces the store by one decoded from its snapshot.
func (f *fixture) reload() {
	f.Helper()
	loaded, err := Decode(f.store.Encode())
	if err != nil {
		f.Fatal(err)
	}
	f.store = loaded
}

func (f *fixture) wantState(key identifier.JobKey, want string) {
	f.Helper()
	if have := f.store.Jobs[key].State(); have != want {
		f.Fatalf("job %s is %s, want %s", key, have, want)
	}
}

// firstTask returns task 0 of step 0.
func (f *fixture) firstTask(key identifier.JobKey) *Task { return f.store.Jobs[key].Steps[0][0] }

// openLeases returns the number of open leases of a job.
func (f *fixture) openLeases(key identifier.JobKey) int {
	count := 0
	for _, lease := range f.store.Leases {
		if lease.Task.Job == key {
			count++
		}
	}
	return count
}

func singleTaskStep(cores int64) job.Step {
	return job.Step{Name: "one", Tasks: 1, Demand: job.Demand{Cores: cores, Mem: 1}, ExpectedRun: 1}
}

func gangStep(tasks, cores int64) job.Step {
	step := singleTaskStep(cores)
	step.Tasks = tasks
	step.Gang = true
	return step
}
