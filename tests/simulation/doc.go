// Package simulation runs a cluster in virtual time: the same state machines
// that the daemons run, over a network that delays, loses and blocks messages, on
// disks that lose unsynced writes, with clocks that drift and jump. Simulated
// clients and operators generate load, and package invariants checks the responses
// they get and the behavior of runners from outside.
//
// The input is a [Scenario]: a seed, a [ClusterSpec] and the faults to inject. Run
// returns the [Cluster] in its final state, with the checker's violations and
// counts. NewCluster makes one that the caller drives itself.
//
// The following always holds:
//
//   - Everything happens in events of one queue, one after another: nothing here is
//     safe for concurrent use, and nothing reads a real clock.
//   - All randomness comes from the seed, so that one seed always gives the same
//     run. Where the iteration order of a map would matter, names are sorted.
//   - Times and durations are in milliseconds of virtual time since the start.
//
// Begin with scenario.go and cluster.go. The tests of package scenarios check the
// promises under injected faults, those of package membership the loss, replacement
// and graceful stop of servers, those of package register the catalog's history.
package simulation

import "runtime/debug"

// gcPercent lets a run allocate more between two collections than the default: its heap is
// small, and nearly all allocations are messages that are garbage after one event.
const gcPercent = 400

func init() { debug.SetGCPercent(gcPercent) }
