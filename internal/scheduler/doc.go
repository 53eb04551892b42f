// Package scheduler decides where tasks run. One scheduling cycle ([Schedule]) reads the
// state and the leader's view of the runners, and returns a plan: placements, leases to
// preempt, and the reasons why the remaining work is pending. It changes nothing; the
// state machine checks every placement again.
//
// Invariants:
//
//   - A task is placed only on a runner of its pool that has enough free resources and
//     all the labels the task requires, and that no drain has cordoned.
//   - A gang is placed completely or not at all.
//   - Rows share resources in proportion to their weights; displaced work is placed
//     before other work.
//   - Resources are reserved for the first unit of work that fits the runners' capacity
//     but not their free resources, so that a stream of smaller work can't starve it.
//   - Work may preempt only if it was displaced by a drain whose preflight check found
//     too few resources and its row is configured to preempt, and it preempts only
//     strictly cheaper work.
//
// Start reading at schedule.go. rows.go places the jobs of rows, queues.go those of the
// catalogue's queues, node.go models a runner within one cycle, and preemption.go chooses
// the leases to preempt. Package feasibility packs units of work onto nodes, and package
// policy evaluates the placement policies of rows.
package scheduler
