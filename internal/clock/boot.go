package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot provides the clocks for the scheduling of jobs: the time since boot and a time of day without short jumps.
type Boot struct{ timeOfDay *TimeOfDay }

// NewBoot returns the clocks of this machine.
func NewBoot() Boot {
	return Boot{NewTimeOfDay(Boot{}.SinceBoot, time.Now)}
}

// SinceBoot returns the time since the start of the machine. Unlike the monotonic clock of package time it advances while the machine is suspended,
// so that a leader notices that its authority has ended.
func (Boot) SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return time.Duration(ts.Nano())
}

// WallMS returns the time of day in Unix milliseconds, without the short jumps that TimeOfDay filters out.
func (b Boot) WallMS() int64 { return b.timeOfDay.UnixMS() }
