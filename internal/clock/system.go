package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// System reads the time of this process and of the machine.
type System struct{ start Monotonic }

// source is the kernel's clock that runs on through a suspend. Go's own monotonic
// clock does not: by that one a runner waking from an hour's sleep would find its
// lease fresh.
const source = unix.CLOCK_BOOTTIME

// NewSystem makes a clock whose Now counts from this moment. It panics when the
// kernel has no clock that runs on through a suspend.
func NewSystem() *System { return &System{read()} }

// read panics where the kernel lacks the clock: no promise could be kept.
func read() Monotonic {
	var ts unix.Timespec
	if err := unix.ClockGettime(source, &ts); err != nil {
		panic("clock: no clock that counts suspend: " + err.Error())
	}
	return Monotonic(ts.Nano() / int64(time.Millisecond))
}

// Now is the time since NewSystem, that of a suspended machine included.
func (c *System) Now() Monotonic { return read() - c.start }

// Wall is the machine's time of day.
func (c *System) Wall() WallTime { return WallTime(time.Now().UnixMilli()) }
