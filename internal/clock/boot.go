package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot reads the clocks that the scheduling of jobs needs.
type Boot struct{}

// SinceBoot returns the time since the start of the machine. Unlike the steady clock of package time it goes on while the machine is
// suspended, so that a leader notices that its authority has ended.
func (Boot) SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported kernel has the clock
	}
	return time.Duration(ts.Nano())
}

// WallMS returns the time of day, Unix milliseconds.
func (Boot) WallMS() int64 { return time.Now().UnixMilli() }
