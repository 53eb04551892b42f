// Package admission checks jobs against the limits of their row. The input is the limits
// table, compiled once ([Compile]), and a job; the output is the job's faults, or that its
// row has too many waiting tasks. Gateways and the state machine use the same rules:
// gateways don't know how many tasks wait, so that only the state machine decides on that.
package admission
