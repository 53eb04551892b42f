// Package state is the replicated state machine of the control plane: jobs and their
// tasks, leases, runners, queues, the limits table, the catalogue, and the drains of
// failure domains and racks.
//
// Its input is one command ([Command]) at a time, in the order of the log, passed to
// [Store.Apply]. The output is a result ([Result]): an HTTP status and a document for the
// sender of the command. [Store.Encode] makes a snapshot and [Decode] reads one back. All
// other methods only read the state; they serve the scheduler and the periodic work of
// the leader.
//
// Invariants:
//
//   - Applying the same commands in the same order yields the same state. Nothing
//     here reads a clock, draws a random number or depends on map iteration order;
//     the time is the command's At, which never sets Now back. The running checksum
//     reveals it if two servers diverge nevertheless.
//   - A placement is validated again when it is applied, against the state at that
//     point: resources, labels, limits, and that no drain cordons the runner. A gang
//     is placed completely or not at all.
//   - An open lease holds its resources on the runner, even after it was revoked,
//     until an end is reported or the runner is counted lost.
//   - Only a reported defect counts against a task's allowance, and an attempt counts once
//     by its number, whichever members of a gang report it and however late.
//   - The success of one member completes a queue's gang, however late it is reported.
//   - A drain advances by one committed stage at a time, and a command names the
//     stage that it starts from, so that a new leader resumes where the previous one
//     stopped.
//   - A job's id is remembered for a period (the column knownMs of the limits table)
//     after its details are dropped, so that a late resend does not run the job again.
//   - Commands and rules introduced by a later version are used only once Level has
//     been raised to theirs.
//
// The exported fields of [Store] are the state and make up the snapshot; the others are
// indexes that rebuildIndexes derives from them.
//
// Begin with commands.go (every command), apply.go (the dispatch) and store.go (the
// state). submit.go, placement.go, lease_lifecycle.go and job_lifecycle.go follow a job
// from its submission to its end; the drain files implement drains; queue_jobs.go,
// queue_attempts.go and repeat.go implement the jobs of the catalogue's queues.
// docs/design.md explains the rules behind them.
package state
