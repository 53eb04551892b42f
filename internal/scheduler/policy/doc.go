// Package policy compiles and evaluates the placement policies that operators store in the
// policy column of the limits table. A policy is a single expression that scores a runner
// for a task. Its inputs are attributes of both ([Inputs]); its result is a number, where
// higher is better.
//
// An expression can read numeric fields and test for labels, the zone and the rack, and
// nothing else: there are no loops, variables, string operations, I/O, clock or randomness.
// Starlark parses and evaluates it with a bound on the number of steps, so that no policy
// can stall a leader.
//
// Start reading at policy.go; check.go defines the syntax that an expression may use.
package policy
