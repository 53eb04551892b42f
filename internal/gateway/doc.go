// Package gateway implements the stateless front end of a cluster. A gateway checks requests
// against its copy of the leader's routing table and forwards them to the leader, by way of
// another server if necessary. If a request can't be forwarded, the gateway answers it with
// an error.
//
// A gateway is a pure state machine, [Gateway]. It starts no goroutine, does no input or
// output and reads no clock: package gatewayd runs it as a daemon, and the simulation
// (tests/simulation) in virtual time. Its inputs are the time (Tick), incoming requests
// (HandleRequest), callers that disconnect (Forget) and messages from servers
// (HandleMessage). After any of them, TakeOutput returns the messages to send, the responses
// to deliver and the events to log.
//
// Invariants:
//
//   - A request is answered once, unless its caller disconnects. A request that the gateway
//     abandons is answered immediately: with 503 if it is certain that no server accepted
//     it, with 504 if a server may have.
//   - A request is sent again after an unknown outcome only if it is idempotent.
//   - A gateway without contact with the leader for LeaderContactTimeout decides nothing.
//   - The routing table in use is never replaced by an older one.
//   - Requests in flight are bounded, by number and by the bytes of their bodies.
//
// Start reading at gateway.go (the state machine and its inputs) and requests.go (a request
// from arrival to response); leader_sync.go keeps contact with the leader, servers.go selects
// the server to send requests to, routing_copy.go holds the routing table. docs/api.md lists
// which requests are idempotent.
package gateway
