package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// System reads the monotonic clock of this process and the wall clock of the machine.
type System struct{ start Monotonic }

// source is the kernel clock that keeps running while the machine is suspended. Go's
// monotonic clock stops: by that clock, a runner resumed after an hour of suspend would
// consider its lease still valid.
const source = unix.CLOCK_BOOTTIME

// NewSystem returns a clock whose Now starts at 0. It panics if the kernel has no clock
// that keeps running during suspend.
func NewSystem() *System { return &System{read()} }

// read returns the time of source. It panics if the kernel lacks that clock, since leases
// could not be enforced without it.
func read() Monotonic {
	var ts unix.Timespec
	if err := unix.ClockGettime(source, &ts); err != nil {
		panic("clock: no clock that counts suspend: " + err.Error())
	}
	return Monotonic(ts.Nano() / int64(time.Millisecond))
}

// Now returns the time since NewSystem, including time during which the machine was
// suspended.
func (c *System) Now() Monotonic { return read() - c.start }

// Wall returns the machine's time of day.
func (c *System) Wall() WallTime { return WallTime(time.Now().UnixMilli()) }
