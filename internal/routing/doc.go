// Package routing replicates the routing table (limits by row, and the routes to
// queues) from the leader to gateways. A gateway asks for what changed since the
// version that it has. The answer is divided into pages, so that a table of any size
// goes over a slow link without delaying anything else, and however many changes came
// meanwhile, each item travels once, as it is now.
//
// History is the leader's side: tables go in, pages come out. Replica is the
// gateway's: pages go in, requests for the next one and the table come out. Both are
// pure values, without a clock, input or output.
//
// Invariants: a replica's epoch never goes back, and each of its routes
// is one that some table had at that epoch or later.
//
// Begin with page.go and documents.go, which are what travels, then history.go and
// replica.go.
package routing
