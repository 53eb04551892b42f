// The monotonic clock of this process, in the project's own type. It counts
// the time a machine spends suspended: Go's own does not, and by that one a
// runner waking from an hour's sleep would find its grant fresh, and a leader
// its lease.

package lifecycle

import (
	"time"

	"golang.org/x/sys/unix"

	"orchidward/internal/api/identifier"
)

// Clock reads the time of this process and of the machine.
type Clock struct{ start identifier.Mono }

// source is the kernel's clock that runs on through a suspend.
const source = unix.CLOCK_BOOTTIME

// NewClock makes a clock whose Now counts from this moment. It panics when the
// kernel has no clock that runs on through a suspend.
func NewClock() *Clock { return &Clock{read()} }

// read panics where the kernel lacks the clock: no promise could be kept.
func read() identifier.Mono {
	var ts unix.Timespec
	if err := unix.ClockGettime(source, &ts); err != nil {
		panic("crew: no clock that counts suspend: " + err.Error())
	}
	return identifier.Mono(ts.Nano() / int64(time.Millisecond))
}

// Now is the time since NewClock, that of a suspended machine included.
func (c *Clock) Now() identifier.Mono { return read() - c.start }

// Wall is the machine's time of day.
func (c *Clock) Wall() identifier.Wall { return identifier.Wall(time.Now().UnixMilli()) }
