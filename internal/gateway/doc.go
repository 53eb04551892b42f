// Package gateway is the stateless front end of a cluster. It checks requests by its
// copy of the leader's routing table, forwards them to the leader, by way of another
// server if it must, and answers for the leader where that is not possible.
//
// A gateway is a pure state machine, [Gateway]. It starts no goroutine, does no input or
// output and reads no clock: package gatewayd runs it as a daemon, and the simulation
// (tests/simulation) in virtual time. Its inputs are the time (Tick), requests that came
// in (HandleRequest), callers that have gone (Forget) and messages of servers
// (HandleMessage). After any of them TakeOutput returns what to send, answer and log.
//
// What holds at all times:
//
//   - A request is answered once, and at once where it is given up: with 503 when it is
//     certain that no server took it, with 504 when one may have.
//   - A request is sent again after an unknown outcome only if it is idempotent.
//   - A gateway that has not heard the leader for LeaderContactTimeout decides nothing.
//   - The routing table in use never becomes an older one.
//   - Requests in flight are bounded, by number and by the bytes of their bodies.
//
// Begin with gateway.go (the machine and its inputs) and requests.go (a request from
// arrival to answer); leader_sync.go keeps in touch with the leader, servers.go chooses
// whom to ask, routing_copy.go holds the routing table. docs/api.md says which requests
// are idempotent.
package gateway
