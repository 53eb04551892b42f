// Command scale measures what a cluster costs as it grows: three servers and two
// gateways in processes of their own, and simulated agents with stand-in runners in
// this one. It is bounded in time, ends what it started, prints one table and draws one
// plot. Run it from the root of the repository.
//
// A run is a plan (plan.go) of points. A point varies one thing: the number of runners,
// of starts a second, of running tasks, or of queues. It is measured a few times over a
// window (measure.go), as the difference of two samples of what the kernel says of the
// processes and what the agents count. The report (report.go) fits a line to the points
// and compares the sum at full size with what was measured there.
//
// With -hold it runs a trial in virtual time of one agent's lease instead
// (lease_trial.go).
package main
