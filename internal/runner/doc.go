// Package runner is the stand-in back end. It speaks the published protocol (docs/runners.md)
// as any real one would, and simulates the work; it can be told to be slow, to fail, and to
// leave.
//
// A runner is a pure state machine, [Runner]. It starts no goroutine, does no input or output
// and reads no clock: cmd/orchidward-runner runs it as a daemon, and the simulation in
// virtual time. Its inputs are the time (Tick), the responses to its polls
// (HandlePollResponse) and its mode. Every input first looks at the clock, so that a process
// that slept too long ends its tasks before it does anything else.
//
// What holds at all times:
//
//   - An attempt runs under a lease, counted from the sending of the last poll that was
//     answered, and ends when it lapses.
//   - A lease starts one attempt at most, whatever is sent again or comes late.
//   - An end is reported until it is acknowledged.
//
// Begin with runner.go; attempts.go follows an attempt from its start to its end, polls.go the
// exchange with the control plane.
package runner
