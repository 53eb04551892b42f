// Package devcluster runs clusters of real processes, driven by the scripts in
// scripts/. Nothing here judges time more finely than within a wide limit: latencies
// are checked by the simulation. The programs up and down start and stop such a cluster
// by hand.
//
// Begin with scripts_test.go, which lists the commands of the scripts.
package devcluster
