// Package state is the replicated state machine of the control plane: jobs and their
// tasks, leases, runners, queues, the limits table, the catalogue, and the drains of
// failure domains and racks.
//
// Its input is one command ([Command]) at a time, in the order of the log, given to
// [Store.Apply]. The output is a result ([Result]): an HTTP status and a document for
// whoever sent the command. [Store.Encode] makes a snapshot and [Decode] reads one
// back. All other methods leave the state as it is; they serve the scheduler and the
// periodic work of the leader.
//
// What holds at all times:
//
//   - Equal commands in equal order give equal states. Nothing here reads a clock,
//     draws a random number or depends on the order of a map; the time is the
//     command's At, which never sets Now back. The running checksum shows when two
//     servers differ all the same.
//   - A placement is checked again when it is applied, against the state as it is
//     then: resources, labels, limits, and that no drain cordons the runner. A gang is
//     placed completely or not at all.
//   - An open lease keeps its resources on the runner, also after it was revoked,
//     until an end is reported or the runner is counted lost.
//   - Only a reported defect counts against a task's allowance.
//   - A drain advances by one committed stage at a time, and a command names the
//     stage that it starts from, so that a new leader goes on where the last one
//     stopped.
//   - A job's id is remembered for a while after its details are dropped (the
//     column knownMs of the limits table), so that a late resend does not run the job
//     again.
//   - Commands and rules that came with a later version are used only once Level has
//     been raised to theirs.
//
// Exported fields of [Store] are the state and make up the snapshot; the others are
// indexes that rebuildIndexes derives from them.
//
// Begin with commands.go (every command), apply.go (the dispatch) and store.go (the
// state). submit.go, placement.go, lease_lifecycle.go and job_lifecycle.go follow a
// job from its submission to its end; the drain files are the drains, queue_jobs.go,
// queue_attempts.go and repeat.go the jobs of the catalogue's queues.
// docs/design.md gives the rules behind them.
package state
