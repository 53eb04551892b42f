// Package job is a client's description of work: a row of the limits table or a queue of
// the catalogue, and steps that depend on one another, each a number of equal tasks. The
// input is JSON, read and checked by [Read], which gathers all its faults; the output is a
// [Spec] in normal form, so that equal jobs have equal checksums however they were
// written.
//
// Begin with spec.go and step.go, what a job consists of; demand.go is the arithmetic of
// resources.
package job
