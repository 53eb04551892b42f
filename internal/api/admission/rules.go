package admission

import (
	"slices"
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/limits"
)

// Rules is the compiled limits table. It is safe for concurrent use.
type Rules struct {
	// Epoch is the version of the table.
	Epoch identifier.Epoch
	rows  map[identifier.Row]*rowRules
}

// rowRules holds the limits of one row.
type rowRules struct {
	maximums []maximum
	// allowedLabels is nil if every label is allowed.
	allowedLabels map[identifier.Label]bool
	maxWaiting    int64
}

// maximum bounds one numeric property of a job.
type maximum struct {
	measure func(s *job.Spec) int64
	limit   int64
	// path and message describe the error of a job that exceeds the limit.
	path    string
	message string
}

// Compile compiles a validated table.
func Compile(t *limits.Table) *Rules {
	r := &Rules{Epoch: t.Epoch, rows: map[identifier.Row]*rowRules{}}
	for _, row := range t.RowNames() {
		r.rows[row] = compileRow(t, row)
	}
	return r
}

func compileRow(t *limits.Table, row identifier.Row) *rowRules {
	newMaximum := func(measure func(s *job.Spec) int64, column, path, what string) maximum {
		return maximum{
			measure: measure,
			limit:   t.Int(row, column),
			path:    path,
			message: what + " over the row's " + column,
		}
	}
	return &rowRules{
		maximums: []maximum{
			newMaximum((*job.Spec).TaskCount, limits.ColumnMaxTasks, "steps", "tasks in the job"),
			newMaximum(largestCores, limits.ColumnTaskCores, "steps", "cores of a task"),
			newMaximum(largestMem, limits.ColumnTaskMem, "steps", "memory of a task"),
			newMaximum(urgency, limits.ColumnMaxUrgency, "urgency", "urgency"),
		},
		allowedLabels: compileLabels(t.Cell(row, limits.ColumnLabels)),
		maxWaiting:    t.Int(row, limits.ColumnMaxWaiting),
	}
}

// compileLabels returns the set of labels of a cell, nil if it allows every label.
func compileLabels(cell string) map[identifier.Label]bool {
	names := strings.Fields(cell)
	if slices.Contains(names, limits.AnyLabel) {
		return nil
	}
	allowed := map[identifier.Label]bool{}
	for _, name := range names {
		allowed[identifier.Label(name)] = true
	}
	return allowed
}

// largestCores returns the largest number of cores that a task of the job requests.
func largestCores(s *job.Spec) int64 {
	var largest int64
	for _, step := range s.Steps {
		largest = max(largest, step.Demand.Cores)
	}
	return largest
}

// largestMem returns the largest amount of memory that a task of the job requests, in
// mebibytes.
func largestMem(s *job.Spec) int64 {
	var largest int64
	for _, step := range s.Steps {
		largest = max(largest, step.Demand.Mem)
	}
	return largest
}

func urgency(s *job.Spec) int64 { return s.Urgency }

// Verdict is the result of a check, apart from the job's errors.
type Verdict struct {
	// QueueFull means that the row has too many waiting tasks to accept the job.
	QueueFull bool
}

// WaitingUnknown is passed as the number of waiting tasks by callers that don't know it.
const WaitingUnknown = -1

// Check checks a job against the limits of its row and adds its errors to faults. waiting is
// the number of waiting tasks of the row, or WaitingUnknown.
func (r *Rules) Check(s *job.Spec, waiting int64, faults *jsondoc.FieldErrors) Verdict {
	row, ok := r.rows[s.Row]
	if !ok {
		faults.Invalid("pending", "no such row in the table")
		return Verdict{}
	}
	for _, m := range row.maximums {
		if value := m.measure(s); value > m.limit {
			faults.Invalid(m.path, "%s: %d, limit %d", m.message, value, m.limit)
		}
	}
	row.checkLabels(s, faults)
	full := waiting >= 0 && waiting+s.TaskCount() > row.maxWaiting
	return Verdict{QueueFull: full}
}

func (r *rowRules) checkLabels(s *job.Spec, faults *jsondoc.FieldErrors) {
	if r.allowedLabels == nil {
		return
	}
	for _, step := range s.Steps {
		for _, label := range step.Labels {
			if !r.allowedLabels[label] {
				faults.Invalid("steps", "label not allowed in the row: %s", label)
			}
		}
	}
}
