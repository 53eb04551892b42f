// Package raft is the consensus among control-plane servers: a replicated log as
// in Ongaro's thesis ("Consensus: Bridging Theory and Practice", 2014), with
// pre-votes, a leader lease, learners, and membership changes of one member at a
// time.
//
// A member is a pure state machine, [Raft]. It starts no goroutine, does no input
// or output and reads no clock, so that the daemon and the simulator run the same
// code.
//
// Inputs are the time (Tick), messages of other members (Step), finished writes
// (Synced) and, from the owner of the state, Propose, ProposeMembers,
// TransferLeadership and Compact. After any of them TakeOutput returns an
// [Output]:
//
//   - Messages may be sent at once and may be lost, duplicated or reordered on the
//     way. A message that depends on a write is held back until that write is
//     synced.
//   - Write must go to disk as one batch, in the order of Seq, and be reported by
//     Synced. A [Backlog] merges writes that wait.
//   - InstalledSnapshot, when set, replaces the state by the leader's snapshot; it
//     comes before the entries in Committed, which are to be applied in order.
//   - LocalSnapshot is a snapshot of the member's own. It may be written at any
//     time.
//
// Invariants:
//
//   - A term has at most one leader, and a member's vote is on disk before it is
//     sent.
//   - An acknowledged entry is on the disk of whoever acknowledged it. A quorum of
//     voters commits it, counted only for entries of the leader's own term.
//   - A committed entry is never replaced; a log that would do so is a panic.
//   - HasLease is true for one member at most: a lease is shorter than the election
//     timeout, and no voter helps to elect another leader within that timeout of
//     hearing one, or of its own start, unless the leader stepped down to transfer
//     leadership.
//   - A member list is in force as soon as it is in the log, and the next one is
//     accepted only once it is committed.
//
// Begin with types.go and message.go, then raft.go (the state), step.go and tick.go
// (the inputs) and output.go and outbox.go (what waits for the disk). voting.go and
// election.go hold elections, follower.go and replication.go the two ends of
// replication, snapshot.go the transfer of snapshots, membership.go, lease.go and
// transfer.go what their names say. log.go is the log in memory, peer.go what a
// leader knows of each other member.
//
// The tests run groups of members on simulated clocks, disks and networks:
// simulation_test.go, with faults_test.go for what goes wrong and
// invariants_test.go for what must hold. docs/notes/agreement.md and membership.md
// describe the alternatives.
package raft
