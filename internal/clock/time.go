package clock

import "time"

type (
	// Monotonic is a time in milliseconds on the monotonic clock of one process.
	// Those of two processes cannot be compared.
	Monotonic int64
	// ClusterTime is milliseconds since 1970 in UTC, as agreed on by the replicated log.
	ClusterTime int64
	// WallTime is what one machine's clock shows, in milliseconds since 1970. It can
	// jump.
	WallTime int64
	// Millis is a length of time in milliseconds, negative where the span ends before it
	// begins.
	Millis int64
)

// Add is the time s later, or earlier when s is negative.
func (m Monotonic) Add(s Millis) Monotonic { return m + Monotonic(s) }

// Since is the span from then to m, negative when m is the earlier one.
func (m Monotonic) Since(then Monotonic) Millis { return Millis(m - then) }

// Add is the time s later, or earlier when s is negative.
func (m ClusterTime) Add(s Millis) ClusterTime { return m + ClusterTime(s) }

// Since is the span from then to m, negative when m is the earlier one.
func (m ClusterTime) Since(then ClusterTime) Millis { return Millis(m - then) }

// Time is the same moment as a time.Time in UTC.
func (m ClusterTime) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// Duration is the same length as a time.Duration.
func (s Millis) Duration() time.Duration { return time.Duration(s) * time.Millisecond }

// driftFraction is the part of a span by which a clock may run slow: one in fifty.
const driftFraction = 50

// WithDrift is the longest that a span may last on another clock: the span as measured
// by the slowest clock there may be.
func (s Millis) WithDrift() Millis { return s + s/driftFraction }
