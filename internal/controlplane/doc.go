// Package controlplane implements a control-plane server: a member of the consensus group
// (package raft), the replicated state (package state), and the work that only the leader
// does: scheduling, runner leases, drains, membership and cluster time.
//
// A server is a deterministic state machine, [Server]. It starts no goroutine, does no
// I/O and reads no clock: package serverd runs it as a daemon, and the simulation
// (tests/simulation) runs it in virtual time.
//
// New creates a server and Resume restores it from its disk. From then on its inputs are
// the time (Tick), messages from other processes (HandleMessage) and completed disk
// operations (LogCreated, Synced). After each input TakeOutput returns an [Output]:
// messages to send, a log to create, writes and a snapshot for the disk, and events to
// log. Quit tells the owner to stop the server, for example because it met a command that
// this version does not know.
//
// Invariants:
//
//   - Only a leader that holds its lease serves requests, schedules or gives orders to
//     runners, and it checks the lease each time.
//   - A request that changes the state is answered once its entry is applied. If
//     leadership is lost before that, the response says that the outcome is unknown.
//   - An order to a runner is sent only after the entry that opens its lease is
//     committed.
//   - State that only the leader keeps, such as when it last heard from a runner, is not
//     replicated. A new leader restarts these timers, which can only make it wait longer
//     than needed.
//   - Every queue is bounded; a request beyond the bound is refused at once.
//
// Files:
//
//   - server.go: inputs, gaining and losing leadership; apply.go: committed entries,
//     snapshots; config.go: configuration and output.
//   - requests.go: API requests as the leader serves them; proposals.go: requests
//     that wait for their entry; forwarding.go and leader_link.go: requests forwarded to
//     the leader; order_expiry.go: orders too old to carry out; replies.go: error
//     responses; job_documents.go and cluster_documents.go: documents that clients and
//     operators read.
//   - command_events.go: log events of applied commands; policy_results.go: usage and
//     failures of placement policies.
//   - leader.go: the leader's periodic work; scheduling.go, leases.go,
//     drain_controller.go, cluster_clock.go: its parts.
//   - runner_polls.go and poll_answers.go, agent_polls.go and agent_answers.go: reports of
//     runners and agents, and the orders sent to them; runner_contact.go: silent and lost
//     runners; run_progress.go and runner_health.go: stalled and slow attempts;
//     gangs.go: tasks that run together.
//   - discovery.go, announcements.go, membership.go, membership_plan.go,
//     graceful_stop.go, levels.go: the group, from its founding to version upgrades.
//   - gateway_sync.go, gateways.go: synchronization with gateways; forwarder_node.go:
//     servers without a disk.
//
// docs/architecture.md shows how this package and the others work together,
// docs/design.md the rules that it follows.
package controlplane
