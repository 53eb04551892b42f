// Package inflight tracks the requests received by one control-plane server until they are
// answered. It is a pure state machine: its inputs are requests, the server's replies and
// the time; its outputs are dispatches and responses.
//
// Each request is dispatched to the server's own state machine as if it came from a
// separate peer ([wire.LocalPeer]). A request that reached no leader is dispatched again
// after a short delay. If the server knows no leader, undispatched requests are answered
// immediately, so that their callers can try another server.
//
// Invariants: an admitted request is answered exactly once, by the end of its budget, unless
// its caller disconnects; and a request that a leader may have executed is never answered as
// if it had not been.
//
// Start reading at requests.go; responses.go defines the responses that the server gives
// without a leader.
package inflight
