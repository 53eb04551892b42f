// Command scale measures the resource usage of a cluster as it grows. It runs three
// servers and two gateways as separate processes, and simulated agents with stand-in
// runners in its own process. A run is limited in time, stops every process that it
// started, prints one table and draws one plot. Run it from the root of the repository.
//
// A run is a plan (plan.go) of points. A point varies one quantity: the number of
// runners, starts per second, running tasks, or queues. Each point is measured several
// times over a window (measure.go), as the difference between two samples of the
// processes' usage from /proc and of the agents' counters. The report (report.go) fits a
// line to the points of each phase, and compares the extrapolated total at full size with
// the total measured there.
//
// With -hold it instead runs a trial of one agent's lease in virtual time
// (lease_trial.go).
package main
