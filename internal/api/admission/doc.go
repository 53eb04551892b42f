// Package admission checks jobs against the limits of their row. The input is the limits
// table, compiled once ([Compile]), and a job; the output is the job's errors, and whether its
// row has too many waiting tasks. Gateways and the state machine apply the same rules, except
// that gateways don't know the number of waiting tasks, so that only the state machine can
// enforce its limit.
package admission
