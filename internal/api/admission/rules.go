// Rules is the compiled table: one program a row. The same value serves the
// gates, the leader and the simulator.

package admission

import (
	"strings"

	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/limits"
)

// Rules is the limits table as a short program for each row. Epoch is the
// version of the table. It is safe for concurrent use once compiled.
type Rules struct {
	Epoch identifier.Epoch
	rows  map[identifier.Row][]Line
}

// Compile makes the programs of a checked table.
func Compile(t *limits.Table) *Rules {
	r := &Rules{Epoch: t.Epoch, rows: map[identifier.Row][]Line{}}
	for _, name := range t.RowNames() {
		r.rows[name] = compile(t, name)
	}
	return r
}

func compile(t *limits.Table, row identifier.Row) []Line {
	var prog []Line
	limit := func(f Field, col, path, what string) {
		prog = append(prog, Line{Op: Cap, Field: f, Limit: t.Int(row, col), Path: path, Why: what + " over the row's " + col})
	}
	limit(Tasks, "maxTasks", "steps", "tasks in the job")
	limit(Cores, "taskCores", "steps", "cores of a task")
	limit(Mem, "taskMemMb", "steps", "memory of a task")
	limit(Urgency, "maxUrgency", "urgency", "urgency")
	if set := t.Cell(row, "labels"); !strings.Contains(" "+set+" ", " * ") {
		only := map[identifier.Label]bool{}
		for _, l := range strings.Fields(set) {
			only[identifier.Label(l)] = true
		}
		prog = append(prog, Line{Op: Only, Set: only, Path: "steps", Why: "label not allowed in the row"})
	}
	prog = append(prog, Line{Op: Room, Limit: t.Int(row, "maxWaiting"), Why: "row is full"}, Line{Op: Pass})
	return prog
}

// Verdict of one run: faults (422), or full (429), or neither.
type Verdict struct {
	QueueFull bool
}

// Check passes a job through its row's program. used is the number of tasks
// waiting in the row, or negative where that isn't known.
func (r *Rules) Check(s *job.Spec, used int64, f *jsondoc.FieldErrors) Verdict {
	var v Verdict
	prog, ok := r.rows[s.Row]
	if !ok {
		f.Invalid("pending", "no such row in the table")
		return v
	}
	for _, l := range prog {
		switch l.Op {
		case Cap:
			if n := measure(s, l.Field); n > l.Limit {
				f.Invalid(l.Path, "%s: %d, limit %d", l.Why, n, l.Limit)
			}
		case Only:
			for _, st := range s.Steps {
				for _, one := range st.Labels {
					if !l.Set[one] {
						f.Invalid(l.Path, "%s: %s", l.Why, one)
					}
				}
			}
		case Room:
			v.QueueFull = used >= 0 && used+s.TaskCount() > l.Limit
		case Pass:
			return v
		}
	}
	return v
}

func measure(s *job.Spec, field Field) int64 {
	var n int64
	switch field {
	case Tasks:
		return s.TaskCount()
	case Urgency:
		return s.Urgency
	}
	for _, st := range s.Steps {
		d := st.Demand.Cores
		if field == Mem {
			d = st.Demand.Mem
		}
		n = max(n, d)
	}
	return n
}
