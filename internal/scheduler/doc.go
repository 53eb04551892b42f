// Package scheduler decides where tasks run. One scheduling cycle ([Schedule]) reads the
// state and what the leader knows of the runners, and returns a plan: placements, leases
// to preempt, and the reasons why the rest waits. It changes nothing; the state machine
// checks every placement again.
//
// What holds at all times:
//
//   - A task goes only to a runner with free resources and all its labels, in the right
//     pool, that no drain cordons.
//   - A gang is placed completely or not at all.
//   - Rows get resources by their weights; displaced work comes before other work.
//   - Resources are reserved for the first unit of work that only lacks free ones, so
//     that smaller work which keeps coming can't starve it.
//   - Only displaced work of a row that preempts, whose drain found too few resources,
//     preempts, and only strictly cheaper work.
//
// Begin with schedule.go. rows.go places the jobs of rows, queues.go those of the
// catalogue's queues, node.go is a runner as one cycle sees it, and preemption.go chooses
// what has to make way. Package feasibility packs units of work onto nodes, package
// policy evaluates the placement policies of rows.
package scheduler
