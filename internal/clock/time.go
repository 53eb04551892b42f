package clock

import "time"

type (
	// Monotonic is a time in milliseconds on the monotonic clock of one process. Times of
	// different processes cannot be compared.
	Monotonic int64
	// ClusterTime is the time that the control plane agreed on through the replicated log,
	// in milliseconds since the Unix epoch.
	ClusterTime int64
	// WallTime is the time on one machine's wall clock, in milliseconds since the Unix
	// epoch. It can jump.
	WallTime int64
	// Millis is a duration in milliseconds. It is negative if the end precedes the start.
	Millis int64
)

// Add returns m+s; s may be negative.
func (m Monotonic) Add(s Millis) Monotonic { return m + Monotonic(s) }

// Since returns the duration from then to m, negative if m is before then.
func (m Monotonic) Since(then Monotonic) Millis { return Millis(m - then) }

// Add returns m+s; s may be negative.
func (m ClusterTime) Add(s Millis) ClusterTime { return m + ClusterTime(s) }

// Since returns the duration from then to m, negative if m is before then.
func (m ClusterTime) Since(then ClusterTime) Millis { return Millis(m - then) }

// Time returns the cluster time as a time.Time in UTC.
func (m ClusterTime) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// Duration returns s as a time.Duration.
func (s Millis) Duration() time.Duration { return time.Duration(s) * time.Millisecond }

// driftFraction bounds the clock drift: a clock may run slow by one part in fifty.
const driftFraction = 50

// WithDrift returns the longest time that may pass on another clock while the slowest
// clock that driftFraction allows measures s.
func (s Millis) WithDrift() Millis { return s + s/driftFraction }
