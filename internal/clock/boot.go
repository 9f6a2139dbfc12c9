package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot reads the clocks that the scheduling of jobs needs.
type Boot struct{ timeOfDay *TimeOfDay }

// NewBoot returns the clocks of this machine.
func NewBoot() Boot {
	return Boot{NewTimeOfDay(Boot{}.SinceBoot, time.Now)}
}

// SinceBoot returns the time since the start of the machine. Unlike the steady clock of package time it goes on while the machine is
// suspended, so that a leader notices that its authority has ended.
func (Boot) SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported kernel has the clock
	}
	return time.Duration(ts.Nano())
}

// WallMS returns the time of day without jumps that don't last, Unix milliseconds.
func (b Boot) WallMS() int64 { return b.timeOfDay.UnixMS() }
