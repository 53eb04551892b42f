// Package scenarios holds tests that inject faults into a simulated cluster (package
// simulation) and check the promises of docs/promises.md about jobs, runners, gangs,
// drains, clocks, disks, the limits table and the versions of servers. Begin with
// fault_sequences_test.go.
package scenarios
