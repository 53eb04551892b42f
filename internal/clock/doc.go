// Package clock defines the types for times and durations, and the clock of a process.
//
// There are three kinds of time, each with its own type, so that the compiler rejects
// mixing them. [Monotonic] is a time on one process's monotonic clock, on which every
// duration is measured. [ClusterTime] is the time of day that the control plane agrees on
// through its log; scheduled start times are compared with it. [WallTime] is the time of
// day on one machine's clock, and serves only as input to the agreement on cluster time.
//
// All are in whole milliseconds. A duration is [Millis].
package clock
