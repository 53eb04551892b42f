// Package devcluster runs clusters of real processes, driven by the scripts in scripts/.
// Its tests check times only against generous limits; latencies are checked by the
// simulation. The shell scripts up and down start and stop such a cluster by hand.
//
// Begin with scripts_test.go, which lists the commands of the scripts.
package devcluster
