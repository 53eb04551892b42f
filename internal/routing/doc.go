// Package routing replicates the routing table (limits by row, routes to queues, and the
// digests of tenants' API keys) from the leader to gateways. A gateway requests the changes
// since the epoch of its own table. The response is divided into pages, so that a table of
// any size can be sent over a slow link without delaying other traffic. However often an
// item has changed, it is sent once, in its current version.
//
// History is the leader's side: it takes tables and returns pages. Replica is the gateway's
// side: it takes pages and returns the request for the next page and the resulting table.
// Both are pure state machines without a clock, input or output.
//
// Invariants: a replica's epoch never decreases, and each of its routes was part of some
// table at that epoch or later.
//
// Start reading at page.go and documents.go, which define the messages, then history.go and
// replica.go.
package routing
