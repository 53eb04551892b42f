// Package catalog is the operators' configuration of queues and of the pools of runners
// behind them. The input is changes in JSON, of the complete catalogue ([ReadWhole]) or of
// named items ([ReadPatch]); the output is the catalogue in force ([Catalog]) and the
// queue that a request's host and path belong to ([RouteMap]).
//
// A change names the version that it is based on: of two changes based on one version only
// one is accepted. Accepted changes are remembered, so that a resend is recognised. What
// the operator sent along in "source" is kept as it came.
//
// Begin with catalog.go; change.go reads changes, merge.go applies them, dedup.go remembers
// them, routes.go finds queues.
package catalog
