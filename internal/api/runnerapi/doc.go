// Package runnerapi defines the public protocol of runners and agents: the poll
// ([PollRequest]) and its response ([PollResponse]). docs/runners.md is its documentation for
// implementers. The input is the JSON of a poll, parsed and validated by [Read], which collects
// all errors.
//
// Start with poll.go and agent.go, which define the documents. A fast scanner (scan_poll.go,
// scanner.go) reads polls that are plainly valid; read.go reads all others in order to report
// their errors. The two must agree on every poll that the scanner accepts.
package runnerapi
