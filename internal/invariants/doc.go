// Package invariants checks from outside that a cluster keeps its promises. It
// believes only what runners do and what clients and operators are answered, and
// shares no code with the scheduler that it judges. The simulation and the
// zone drill check by the same rules.
//
// A checker is a pure state machine, [Checker]. Its inputs are the events of
// runners (RunnerEvent, PollAnswered, RunnerLeaving, ...), the answers that
// clients and operators got (the fields of [Job], JobStateReported, DrainAcked,
// ...) and, a few times a second, Sweep. The caller implements [Cluster], by which
// a checker reads the time and the state of runners. Its outputs are Violations,
// Counts of what was seen, and Spans, the durations measured on the way.
//
// What holds at all times:
//
//   - All times and durations are in milliseconds of the cluster's Time.
//   - Events reach a checker in the order of time.
//   - An invariant that was violated stays so; each has one line in Violations,
//     of its first violation, and a count of all.
//
// Each invariant is described beside its constant in rules.go. Begin with
// checker.go; starts.go holds most of the rules.
package invariants
