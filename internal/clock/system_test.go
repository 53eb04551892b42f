package clock

import (
	"testing"

	"golang.org/x/sys/unix"
)

// TestClockCountsSuspend checks that the clock includes suspend time. A test cannot suspend
// the machine, so it checks that source is CLOCK_BOOTTIME and that each reading lies between
// two direct readings of that clock.
func TestClockCountsSuspend(t *testing.T) {
	if source != unix.CLOCK_BOOTTIME {
		t.Errorf("the clock uses clock ID %d, which does not count suspend", source)
	}
	c := NewSystem()
	for i := 0; i < 1000; i++ {
		var low, high unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &low) != nil {
			t.Skip("CLOCK_BOOTTIME is not available")
		}
		at := c.Now() + c.start
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &high) != nil {
			t.Fatal("CLOCK_BOOTTIME can no longer be read")
		}
		if int64(at) < low.Nano()/1e6 || int64(at) > high.Nano()/1e6 {
			t.Fatalf("clock reads %d, want between %d and %d", at, low.Nano()/1e6, high.Nano()/1e6)
		}
	}
}
