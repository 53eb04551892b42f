package admission

import (
	"strings"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/limits"
)

// atEveryLimit returns a job that is exactly at every limit of the row that TestCheck sets up.
func atEveryLimit() *job.Spec {
	return &job.Spec{Row: "default", Urgency: 3, Steps: []job.Step{
		{Name: "a", Tasks: 3, Demand: job.Demand{Cores: 2, Mem: 100}, Labels: []identifier.Label{"ssd"}},
		{Name: "b", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 1}},
	}}
}

// TestCheck checks that a job at every limit of its row passes, that a job past a limit is
// rejected with the name of that limit, and that a row with too many waiting tasks is
// distinguished from an invalid job.
func TestCheck(t *testing.T) {
	table := limits.Default()
	row := table.Rows[limits.DefaultRow]
	row["maxTasks"] = "4"
	row["taskCores"] = "2"
	row["taskMemMb"] = "100"
	row["maxUrgency"] = "3"
	row["labels"] = "ssd std"
	row["maxWaiting"] = "10"
	rules := Compile(table)
	for name, c := range map[string]struct {
		change  func(s *job.Spec)
		waiting int64
		fault   string
		full    bool
	}{
		"at every limit":       {func(_ *job.Spec) {}, 6, "", false},
		"one too many waiting": {func(_ *job.Spec) {}, 7, "", true},
		"waiting not known":    {func(_ *job.Spec) {}, -1, "", false},
		"tasks":                {func(s *job.Spec) { s.Steps[1].Tasks = 2 }, 0, "maxTasks: 5, limit 4", false},
		"cores":                {func(s *job.Spec) { s.Steps[1].Demand.Cores = 3 }, 0, "taskCores: 3, limit 2", false},
		"memory":               {func(s *job.Spec) { s.Steps[0].Demand.Mem = 101 }, 0, "taskMemMb: 101, limit 100", false},
		"urgency":              {func(s *job.Spec) { s.Urgency = 4 }, 0, "maxUrgency: 4, limit 3", false},
		"label":                {func(s *job.Spec) { s.Steps[1].Labels = []identifier.Label{"gpu"} }, 0, "not allowed in the row: gpu", false},
		"row":                  {func(s *job.Spec) { s.Row = "other" }, 0, "no such row", false},
	} {
		spec := atEveryLimit()
		c.change(spec)
		var faults jsondoc.FieldErrors
		verdict := rules.Check(spec, c.waiting, &faults)
		body := string(faults.ErrorBody())
		if verdict.QueueFull != c.full || faults.Any() != (c.fault != "") {
			t.Errorf("%s: queue full is %v, errors %s", name, verdict.QueueFull, body)
		}
		if faults.Any() && !strings.Contains(body, c.fault) {
			t.Errorf("%s: %s, want %s", name, body, c.fault)
		}
	}
}
