// Package membership holds tests of the servers' group in a simulated cluster
// (package simulation): founding, the loss, replacement and orderly stop of servers,
// servers that are cut off, and diskless servers. Begin with voters_test.go.
package membership
