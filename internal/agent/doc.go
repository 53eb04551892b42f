// Package agent connects the control plane to one runner that speaks another protocol. The
// agent is the only process that communicates with that runner. It answers the runner's
// heartbeats immediately, under the lease granted by the control plane; forwards starts and
// stops with the leader's fencing token; reports changes to the control plane; and lets
// tasks continue under their lease while the control plane elects a new leader.
//
// An agent is a pure state machine, [Agent]. It starts no goroutines, performs no I/O and
// reads no clock: package agentd runs it as a daemon. Its inputs are the time (Tick), the
// runner's heartbeats (HandleHeartbeat) and leave notification (RunnerLeft), and messages
// from the control plane (HandleMessage). After each input, TakeOutput returns the messages
// to send and the events to log. Nothing is stored on disk.
//
// Invariants:
//
//   - A runner's lease is counted from the time at which the agent sent the last poll that
//     the control plane answered, on the agent's own clock, so that it never outlasts the
//     lease that the leader assumes.
//   - A start order is sent in one heartbeat response only, and expires with the poll whose
//     response delivered it.
//   - A runner is presumed dead only after every lease that it was granted has expired.
//   - Late heartbeats, and heartbeats from a superseded or retired incarnation, change
//     nothing.
//   - That a heartbeat lacks an attempt proves nothing while its list of ends may be
//     truncated.
//
// Start with agent.go, which has the state machine and its inputs. heartbeats.go tracks the
// runner, incarnations.go its restarts, reported_attempts.go what a heartbeat says of its
// attempts, orders.go its pending orders, progress.go the progress of its attempts, polls.go
// and poll_state.go the exchange with the control plane, and fencing_token.go the leader's
// fencing token.
package agent
