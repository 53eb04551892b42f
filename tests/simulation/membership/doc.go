// Package membership tests the servers' group in a simulated cluster (package
// simulation): founding, the loss, replacement and graceful stop of servers, isolated
// servers, and diskless servers. Begin with voters_test.go.
package membership
