// Package job defines a client's description of work: a row of the limits table or a queue of
// the catalogue, and steps with dependencies, each consisting of a number of equal tasks. The
// input is JSON, parsed and validated by [Read], which collects all errors; the output is a
// [Spec] in canonical form, so that equal jobs have equal checksums however they were
// written.
//
// Start with spec.go and step.go, which define what a job consists of; demand.go has the
// resource arithmetic.
package job
