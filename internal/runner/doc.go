// Package runner is a simulated back end. It implements the public protocol
// (docs/runners.md) like a real runner, but only simulates the work. It can be configured to
// run slowly, to fail attempts, and to leave.
//
// A runner is a pure state machine, [Runner]. It starts no goroutines, performs no I/O and
// reads no clock: cmd/orchidward-runner runs it as a daemon, and the simulation runs it in
// virtual time. Its inputs are the time (Tick), the responses to its polls
// (HandlePollResponse) and its mode. Every input advances the time first, so that a process
// that was suspended for too long ends its attempts before it does anything else.
//
// Invariants:
//
//   - An attempt runs under a lease, counted from when the runner sent the last poll that was
//     answered, and ends when the lease expires.
//   - A lease starts at most one attempt, regardless of retransmitted or late responses.
//   - An end is reported until it is acknowledged.
//
// Start with runner.go; attempts.go tracks attempts from start to end, and polls.go has the
// exchange with the control plane.
package runner
