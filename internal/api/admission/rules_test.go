package admission

import (
	"strings"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/limits"
)

// TestRun: each limit of a row holds at its edge and refuses one past it, by
// name, and a full row is told from a faulty job.
func TestRun(t *testing.T) {
	now := limits.Default()
	row := now.Rows["default"]
	row["maxTasks"], row["taskCores"], row["taskMemMb"], row["maxUrgency"], row["labels"], row["maxWaiting"] = "4", "2", "100", "3", "ssd std", "10"
	r := Compile(now)
	spec := func(change func(s *job.Spec)) *job.Spec {
		s := &job.Spec{Row: "default", Urgency: 3, Steps: []job.Step{
			{Name: "a", Tasks: 3, Demand: job.Demand{Cores: 2, Mem: 100}, Labels: []identifier.Label{"ssd"}}, {Name: "b", Tasks: 1, Demand: job.Demand{Cores: 1, Mem: 1}}}}
		change(s)
		return s
	}
	for name, one := range map[string]struct {
		change func(s *job.Spec)
		used   int64
		fault  string
		full   bool
	}{
		"at every edge":        {func(_ *job.Spec) {}, 6, "", false},
		"one too many waiting": {func(_ *job.Spec) {}, 7, "", true},
		"waiting not known":    {func(_ *job.Spec) {}, -1, "", false},
		"tasks":                {func(s *job.Spec) { s.Steps[1].Tasks = 2 }, 0, "maxTasks: 5, limit 4", false},
		"cores":                {func(s *job.Spec) { s.Steps[1].Demand.Cores = 3 }, 0, "taskCores: 3, limit 2", false},
		"memory":               {func(s *job.Spec) { s.Steps[0].Demand.Mem = 101 }, 0, "taskMemMb: 101, limit 100", false},
		"urgency":              {func(s *job.Spec) { s.Urgency = 4 }, 0, "maxUrgency: 4, limit 3", false},
		"label":                {func(s *job.Spec) { s.Steps[1].Labels = []identifier.Label{"gpu"} }, 0, "not allowed in the row: gpu", false},
		"row":                  {func(s *job.Spec) { s.Row = "other" }, 0, "no such row", false},
	} {
		var f jsondoc.FieldErrors
		v := r.Check(spec(one.change), one.used, &f)
		if v.QueueFull != one.full || f.Any() != (one.fault != "") || f.Any() && !strings.Contains(string(f.ErrorBody()), one.fault) {
			t.Errorf("%s: full %v, %s", name, v.QueueFull, f.ErrorBody())
		}
	}
}
