// Package register tests that the catalog of queues is a linearizable register for its
// operators: specification_test.go has the specification and the search for an order of
// calls that satisfies it, histories_test.go runs many short histories against the state
// machine alone, cluster_test.go against a simulated cluster with faults.
// in_force_test.go tests when gateways apply a new version.
package register
