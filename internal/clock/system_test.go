package clock

import (
	"testing"

	"golang.org/x/sys/unix"
)

// TestClockCountsSuspend: a suspend can't be had in a test, so the source is
// held against the kernel's own: between two readings of the clock that counts
// suspend lies ours, and the test says so only of that clock.
func TestClockCountsSuspend(t *testing.T) {
	if source != unix.CLOCK_BOOTTIME {
		t.Errorf("the clock is number %d, and does not count suspend", source)
	}
	c := NewSystem()
	for i := 0; i < 1000; i++ {
		var low, high unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &low) != nil {
			t.Skip("no such clock here")
		}
		at := c.Now() + c.start
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &high) != nil {
			t.Fatal("the clock went away")
		}
		if int64(at) < low.Nano()/1e6 || int64(at) > high.Nano()/1e6 {
			t.Fatalf("read %d between %d and %d", at, low.Nano()/1e6, high.Nano()/1e6)
		}
	}
}
