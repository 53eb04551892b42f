// Package register tests that the catalog of queues is a linearizable register, as
// operators see it: specification_test.go is the specification and the search for an
// order of calls that satisfies it, histories_test.go plays many short histories at
// the state machine alone, cluster_test.go the same against a simulated cluster with
// faults.
package register
