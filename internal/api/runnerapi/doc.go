// Package runnerapi is the published protocol of runners and agents: what a poll says
// ([PollRequest]) and what its response says ([PollResponse]). docs/runners.md describes it
// for others. The input is the JSON of a poll, read and checked by [Read], which gathers
// all its faults.
//
// Begin with poll.go and agent.go, the documents. A poll is read by a scanner
// (scan_poll.go, scanner.go) when it is plainly valid and else, to name its faults, by
// read.go; the two must agree on every poll that the scanner takes.
package runnerapi
