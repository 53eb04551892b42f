// Package raft implements consensus among control-plane servers: a replicated log as
// in Ongaro's thesis ("Consensus: Bridging Theory and Practice", 2014), with
// pre-vote, a leader lease, learners, and single-server membership changes.
//
// A member is a deterministic state machine, [Raft]. It starts no goroutines, performs
// no I/O and reads no clock, so the daemon and the simulator run the same code.
//
// Its inputs are the current time (Tick), messages from other members (Step),
// completed writes (Synced) and calls by the application: Propose, ProposeMembers,
// TransferLeadership and Compact. After any input, TakeOutput returns an [Output]:
//
//   - Messages may be sent immediately and may be lost, duplicated or reordered in
//     transit. A message that depends on a write is withheld until that write is
//     synced.
//   - Write must be written to disk as one batch, in the order of Seq, and then
//     reported through Synced. A [Backlog] merges queued writes.
//   - InstalledSnapshot, if set, is a leader's snapshot that replaces the state. It
//     must be restored before the entries in Committed are applied in order.
//   - LocalSnapshot is a snapshot that this member took. It may be written at any
//     time.
//
// Invariants:
//
//   - A term has at most one leader, and a member's vote is on disk before it is
//     sent.
//   - A member acknowledges an entry only after the entry is on its disk. An entry is
//     committed once a quorum of voters has acknowledged it; only entries of the
//     leader's own term are committed by counting.
//   - A committed entry is never replaced: a member whose log would do so panics.
//   - HasLease is true for at most one member: a lease is shorter than the election
//     timeout, and a voter grants no vote within an election timeout of hearing from a
//     leader, or of its own start, unless the leader stepped down to transfer
//     leadership.
//   - A member list takes effect as soon as it is appended to the log, and the next
//     one is accepted only once it is committed.
//
// Begin with types.go and message.go, then raft.go (the state), step.go and tick.go
// (the inputs), and output.go and outbox.go (outputs and messages that wait for the
// disk). voting.go and election.go implement elections, follower.go and replication.go
// the two sides of log replication, snapshot.go snapshot transfer, membership.go
// membership changes, lease.go the leader lease and transfer.go leadership transfer.
// log.go holds the in-memory log and peer.go the leader's view of another member.
//
// The tests run groups of members on simulated clocks, disks and networks:
// simulation_test.go is the simulator, faults_test.go injects faults and
// invariants_test.go checks the invariants. docs/notes/agreement.md and membership.md
// describe the alternatives that were considered.
package raft
