// Package agents tests, in a simulated cluster (package simulation), runners of another
// protocol with the agents that speak for them: gangs that lose a member or the leader,
// the texts of the jobs that reach them, and how soon a new leader is known to all.
// Begin with fixture_test.go.
package agents
