// Package raft is the consensus among control-plane servers: a replicated log
// after Ongaro's Raft, with a pre-vote, a leader lease, learners and membership
// changes of one member at a time.
//
// A member is a pure state machine, [Raft]. It starts no goroutine, does no input
// or output and reads no clock, so that the daemon and the simulator run the same
// code.
//
// Inputs are the time (Tick), messages of other members (Step), finished writes
// (Synced) and, from the owner of the state, Propose, ProposeMembers and Compact. After
// any of them Take returns an [Output]:
//
//   - Msgs may be sent at once and may be lost, doubled or reordered on the way.
//     A message that depends on a write is held back until that write is synced.
//   - Write must go to disk as one batch, in the order of Seq, and be reported by
//     Synced. A [Backlog] merges writes that wait.
//   - Load, when set, replaces the state by the leader's snapshot; it comes before
//     the entries in Commit, which are to be applied in order.
//   - Draft is a snapshot of the member's own. It may be written at any time.
//
// What holds at all times:
//
//   - A term has at most one leader, and a member's vote is on disk before it is
//     sent.
//   - An acknowledged entry is on the disk of whoever acknowledged it. A quorum of
//     voters commits it, counted only for entries of the leader's own term.
//   - A committed entry is never replaced; a log that would do so is a panic.
//   - Leased is true for one member at most: a lease is shorter than the election
//     timeout, and no voter helps to elect another leader within that timeout of
//     hearing one, or of its own start, unless the leader stepped down to hand over.
//   - A member list is in force as soon as it is logged, and the next one is
//     accepted only once it is committed.
//
// Begin with types.go (messages and results) and raft.go (the machine and its
// inputs), then step.go (receiving), election.go, replication.go, membership.go,
// lease.go and outbox.go (what waits for the disk). log.go and peer.go hold the log in memory and
// what a leader knows of each follower. chaos_test.go runs groups through crashes
// and losses. docs/notes/agreement.md and membership.md tell what was weighed.
package raft
