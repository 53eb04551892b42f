// Package agent is the part of the scheduler that stands beside one runner which speaks
// another protocol. It alone speaks to that runner: it answers the runner's heartbeats at
// once under the lease that the control plane gave it, passes on starts and stops with the
// leader's fencing token, reports to the control plane what changed, and lets work run on
// under its lease while the control plane looks for a new leader.
//
// An agent is a pure state machine, [Agent]. It starts no goroutine, does no input or
// output and reads no clock: package agentd runs it as a daemon. Its inputs are the time
// (Tick), the runner's heartbeats (HandleHeartbeat) and its farewell (RunnerLeft), and
// messages of the control plane (HandleMessage). After any of them TakeOutput returns
// messages to send and events to log. It keeps nothing on disk.
//
// What holds at all times:
//
//   - A runner's lease is counted from the last poll that the control plane answered, by
//     the agent's own clock, so that it never outlasts the one the leader reckons with.
//   - A start order leaves in one answer only, and expires with the poll that brought it.
//   - A runner is presumed dead only once every lease that it was given has run out.
//   - Heartbeats of an incarnation that another has replaced, or that come late, change
//     nothing.
//
// Begin with agent.go (the machine and its inputs); heartbeats.go follows the runner,
// orders.go what it is to do, progress.go its attempts, polls.go and poll_state.go the
// control plane, and fencing_token.go the number of its leader.
package agent
