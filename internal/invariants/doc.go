// Package invariants checks from outside that a cluster keeps its promises. It relies
// only on the actions of runners and on the responses that clients and operators receive,
// and shares no code with the scheduler under test. The simulation and the zone drill
// apply the same rules.
//
// A checker is a pure state machine, [Checker]. Its inputs are the events of runners
// (RunnerEvent, PollAnswered, RunnerLeaving, ...), the responses that clients and
// operators received (the fields of [Job], JobStateReported, DrainAcked, ...) and,
// several times a second, Sweep. The caller implements [Cluster], from which a checker
// reads the time and the state of runners. Its outputs are Violations, Counts of observed
// events, and Spans, the measured durations.
//
// Conventions:
//
//   - All times and durations are in milliseconds of the cluster's Time.
//   - Events are passed to a checker in chronological order.
//   - A violated invariant stays violated. Violations has one line for the first
//     violation of each invariant; Counts counts all of them.
//
// Each invariant is documented at its constant in rules.go. Begin with checker.go;
// starts.go contains most of the rules.
package invariants
