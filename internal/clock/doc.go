// Package clock has the types for times and lengths of time, and the clock of a
// process.
//
// There are three kinds of time, each of its own type, so that the compiler refuses
// to mix them. [Monotonic] is one process's monotonic clock and measures every
// span. [ClusterTime] is the time of day that the control plane agreed on through
// its log; appointed starts are held against it. [WallTime] is what one machine's
// clock shows, and is only ever evidence for the cluster time.
//
// All are whole milliseconds. A length of time is [Millis].
package clock
