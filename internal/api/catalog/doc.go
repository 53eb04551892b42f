// Package catalog holds the operators' configuration of queues, of the pools of runners that
// serve them, and of tenants. The input is changes in JSON, either of the complete catalogue
// ([ReadWhole]) or of named items ([ReadPatch]); the output is the current catalogue
// ([Catalog]) and the queue that a request's host and path belong to ([RouteMap]).
//
// A change names the version that it is based on: of two changes based on the same version,
// only one is accepted. Accepted changes are recorded, so that a retry is recognised. The
// "source" that an operator sends along is stored unchanged.
//
// Start with catalog.go; change.go reads changes, merge.go applies them, dedup.go records
// them, and routes.go finds queues.
package catalog
