// Package agents tests, in a simulated cluster (package simulation), runners of another
// protocol and the agents that represent them: gangs that lose a member or the leader,
// the payloads that reach runners, drains, and how soon agents and gateways know a new
// leader. Begin with fixture_test.go.
package agents
