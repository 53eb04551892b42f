// Package state is the replicated state machine of the control plane: jobs and
// their tasks, leases, runners, queues, the limits table, the catalogue, and the
// drains of zones and racks.
//
// The input is a command ([Command]) at a time, in the order of the log, by Apply. The
// output is a result ([Result]): a status in HTTP's terms and a document for whoever
// asked. Encode makes a snapshot and Decode reads one back. All other methods
// leave the state as it is; they serve the planner and the leader's periodic work.
//
// What holds at all times:
//
//   - Equal commands in equal order give equal states. Nothing here reads a clock,
//     draws a random number or lets the order of a map decide; the time is the At
//     of the command, which never moves Now back. The running checksum Sum would
//     tell a difference between two servers.
//   - A placement is checked again when it is applied, against the state as it is
//     then: room, labels, limits, and that no drain cordons the runner. A gang is
//     placed as a whole or not at all.
//   - An open lease keeps its room on the runner, also after it was revoked, until
//     an end is reported or the runner is counted lost.
//   - Only a reported defect counts against a task's allowance.
//   - A drain moves by one committed stage at a time, and a command names the stage
//     it starts from, so that a new leader goes on where the last one stopped.
//   - A job's key is remembered for a while after its details are dropped (the
//     site's cell knownMs), so that a late repeat of the request does not run it
//     again.
//   - Commands and rules that came with a later version are used only once Level
//     has been raised to theirs.
//
// Exported fields of [Store] are the state and make up the snapshot; the others are
// indexes that Decode rebuilds.
//
// Begin with cmd.go (every command), apply.go (the dispatch) and book.go (the
// state). job.go, task.go and grants.go follow a task from its submission to its
// end; closing.go and duty.go are drains, queue.go and times.go the catalogue's
// queues and repeated jobs. docs/design.md gives the rules behind them.
package state
