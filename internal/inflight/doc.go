// Package inflight keeps the requests that were made at one server of the control
// plane until they have a response. It is a pure state machine: requests, the server's
// replies and the time go in; dispatches and responses come out.
//
// Each request is dispatched to the server's own state machine as if it came from a
// peer of its own ([wire.LocalPeer]). One that met no leader is dispatched again a
// little later. When the server knows no leader, whatever waits is answered at once, so
// that the caller can go on to another server.
//
// Invariants: an admitted request is answered exactly once, by the end of
// its budget, unless its caller leaves; and one that a leader may have carried out is
// never answered as if it had not been.
//
// Begin with requests.go; responses.go holds the responses that no leader gave.
package inflight
