// Package policy compiles and evaluates the placement policies that operators keep in the
// policy column of the limits table. A policy is one expression that scores one runner
// for one task; the input is its source and the facts of both ([Inputs]), the output a
// number, where higher is better.
//
// An expression sees plain numbers and may ask for labels, the zone and the rack, and
// nothing else: there are no loops, no names of its own, no strings to build, no I/O, no
// time and no randomness. Starlark parses and evaluates it, under a bound on steps, so
// that no policy can keep a leader busy.
//
// Begin with policy.go; check.go is what an expression may be made of.
package policy
