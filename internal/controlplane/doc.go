// Package controlplane is a control-plane server: a member of the consensus group
// (package raft), the replicated state (package state), and the work that the leader
// alone does: scheduling, the leases of runners, drains, membership and cluster time.
//
// A server is a pure state machine, [Server]. It starts no goroutine, does no input or
// output and reads no clock: package serverd runs it as a daemon, and the simulation
// (tests/simulation) in virtual time.
//
// New makes one and Resume gives it what its disk held. From then on its inputs are the
// time (Tick), messages of other processes (HandleMessage) and finished work of its disk
// (LogCreated, Synced). After any of them TakeOutput returns an [Output]: messages to
// send, a log to create, writes and a snapshot for the disk, and events to log. Quit says
// that the server must stop, for example because it met a command that this version does
// not know.
//
// What holds at all times:
//
//   - Only a leader whose lease holds serves requests, schedules or gives orders to
//     runners, and it checks the lease each time.
//   - A request that changes the state is answered once its entry is applied. When
//     leadership is lost before that, the answer says that the outcome is unknown.
//   - An order to a runner leaves only after the entry that opens its lease is
//     committed.
//   - What only a leader knows, such as when it last heard a runner, is not replicated.
//     A new leader starts these timers anew, which can only make it wait longer than
//     needed.
//   - Whatever waits is bounded; a request beyond the bound is refused at once.
//
// Where to find what:
//
//   - server.go: inputs, gaining and losing leadership; apply.go: committed entries,
//     snapshots; config.go: configuration and output.
//   - requests.go: the API's requests as the leader serves them; proposals.go: those
//     that wait for their entry; forwarding.go and leader_link.go: those passed on to
//     the leader; order_expiry.go: orders too old to carry out; replies.go: error
//     responses; job_documents.go and cluster_documents.go: what clients and
//     operators read.
//   - command_events.go: what is logged of commands; policy_results.go: how placement
//     policies did.
//   - leader.go: the leader's periodic work; scheduling.go, leases.go,
//     drain_controller.go, cluster_clock.go: its parts.
//   - runner_polls.go and poll_answers.go, agent_polls.go and agent_answers.go: what
//     runners and agents report, and what they are ordered; runner_contact.go: silence
//     and loss; run_progress.go and runner_health.go: stalled and slow attempts;
//     gangs.go: tasks that run together.
//   - discovery.go, announcements.go, membership.go, membership_plan.go,
//     graceful_stop.go, levels.go: the group, from its founding to changes of version.
//   - gateway_sync.go, gateways.go: what gateways are told; forwarder_node.go: servers
//     without a disk.
//
// docs/architecture.md shows how this package and the others work together,
// docs/design.md the rules that it keeps.
package controlplane
