// Two kinds of time never meet by accident. Mono counts milliseconds on one
// process's monotonic clock and measures every span. Millis is site time, the
// committed time of day that appointed starts are held against; Wall is what
// one machine's clock claims, and is only ever evidence for site time.

package identifier

import "time"

type (
	// Mono is a time in milliseconds on the monotonic clock of one process.
	// Those of two processes cannot be compared.
	Mono int64
	// Millis is site time: milliseconds since 1970 in UTC, as agreed on by the
	// replicated log.
	Millis int64
	// Wall is what one machine's clock shows, in milliseconds since 1970. It can
	// jump.
	Wall int64
	// Span is a length of time in milliseconds.
	Span int64
)

// Add is the time s later, or earlier when s is negative.
func (m Mono) Add(s Span) Mono { return m + Mono(s) }

// Since is the span from then to m, negative when m is the earlier one.
func (m Mono) Since(then Mono) Span { return Span(m - then) }

// Add is the time s later, or earlier when s is negative.
func (m Millis) Add(s Span) Millis { return m + Millis(s) }

// Time is the same moment as a time.Time in UTC.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// Real is the same length as a time.Duration.
func (s Span) Real() time.Duration { return time.Duration(s) * time.Millisecond }
