// Package controlplane is a control-plane server: a member of the consensus group
// (package raft), the replicated state (package state), and the work that the
// leader alone does.
//
// A server is a pure state machine, [Server]. It starts no goroutine, does no
// input or output and reads no clock: package serverd runs it as a daemon, and
// package sim in virtual time.
//
// New makes one and Resume gives it what its disk held. From then on its inputs
// are the time (Tick), messages of other processes (Frame) and finished work of
// its disk (Started, Synced). After any of them Take returns an [Output]: messages to
// send, a log to create, batches and a snapshot to write, and events to log. Quit
// says that the server must stop, for example because it met a command that this
// version does not know.
//
// What holds at all times:
//
//   - Only a leader whose lease holds serves requests, plans or gives orders to
//     runners, and it checks the lease each time.
//   - A request that changes the state is answered once its entry is applied. When
//     leadership is lost before that, the answer says that the outcome is unknown.
//   - An order to a runner leaves only after the entry that opens its lease is
//     committed.
//   - What only a leader knows, such as when it last heard a runner, is not
//     replicated. A new leader starts these timers anew, which can only make it
//     wait longer than needed.
//   - Whatever waits is bounded; a request beyond the bound is refused at once.
//
// A server without a disk (porter.go) has no vote and forwards requests to the
// leader.
//
// Begin with boot.go (configuration and output) and machine.go (inputs, applying
// entries, gaining and losing leadership). ask.go and sync.go serve requests, order_age.go drops old orders, leave.go stops in order, polls.go and
// agents.go runners, lead.go the leader's periodic work, find.go discovery,
// seats.go and reseat.go membership, and clock.go cluster time. docs/design.md shows
// how the parts fit together.
package controlplane
