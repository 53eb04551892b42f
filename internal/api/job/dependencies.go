package job

import "orchidward/internal/api/jsondoc"

// checkDependencies rejects steps that depend on an unknown step, name a dependency twice, or
// form a cycle. positions maps the name of each step to its position.
func checkDependencies(s *Spec, positions map[string]int, faults *jsondoc.FieldErrors) {
	// missing counts the unsatisfied dependencies of each step, and dependents lists the
	// steps that depend on it.
	missing := make([]int, len(s.Steps))
	dependents := make([][]int, len(s.Steps))
	for i, step := range s.Steps {
		previous := ""
		for _, name := range step.After {
			position, ok := positions[name]
			switch {
			case !ok:
				faults.Invalid("steps", "step %q comes after unknown step %q", step.Name, name)
			case name == previous:
				faults.Invalid("steps", "step %q names %q twice", step.Name, name)
			default:
				missing[i]++
				dependents[position] = append(dependents[position], i)
			}
			previous = name
		}
	}
	if countOrdered(missing, dependents) < len(s.Steps) {
		faults.Invalid("steps", "steps wait for one another in a ring")
	}
}

// countOrdered returns the number of steps that can be sorted topologically (Kahn, 1962). It
// is less than the number of all steps if there is a cycle.
func countOrdered(missing []int, dependents [][]int) int {
	var ready []int
	for i, count := range missing {
		if count == 0 {
			ready = append(ready, i)
		}
	}
	ordered := 0
	for len(ready) > 0 {
		step := ready[0]
		ready = ready[1:]
		ordered++
		for _, dependent := range dependents[step] {
			missing[dependent]--
			if missing[dependent] == 0 {
				ready = append(ready, dependent)
			}
		}
	}
	return ordered
}
