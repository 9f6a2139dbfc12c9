package clock

import (
	"sync"
	"time"
)

const (
	// jumpThreshold is the smallest difference that counts as a jump of the wall clock; corrections of a running clock are far smaller.
	jumpThreshold = 250 * time.Millisecond
	// jumpConfirmTime is how long a jump has to last before it is adopted. Clocks that jump back by themselves do so within seconds.
	jumpConfirmTime = time.Minute
)

// TimeOfDay is a time of day that ignores jumps of the wall clock until they have lasted for jumpConfirmTime: work that is due at a time of day must
// start neither early nor late because the clock of one host is wrong for some seconds. A process that starts while the wall clock is wrong adopts
// its correction only after jumpConfirmTime. It is safe for concurrent use.
type TimeOfDay struct {
	monotonic func() time.Duration // advances while the machine is suspended
	wall      func() time.Time

	mu          sync.Mutex
	offset      time.Duration // Unix time minus the monotonic clock
	pendingJump time.Duration // jump that isn't adopted so far, 0 without one
	jumpSeenAt  time.Duration // when the pending jump was first seen, on the monotonic clock
}

// NewTimeOfDay returns a clock that starts at the current reading of wall.
func NewTimeOfDay(monotonic func() time.Duration, wall func() time.Time) *TimeOfDay {
	return &TimeOfDay{monotonic: monotonic, wall: wall, offset: unixTime(wall()) - monotonic()}
}

func unixTime(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// UnixMS returns the time of day in Unix milliseconds.
func (d *TimeOfDay) UnixMS() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.monotonic()
	diff := unixTime(d.wall()) - now - d.offset
	switch {
	case diff.Abs() < jumpThreshold:
		d.offset += diff
		d.pendingJump = 0
	case d.pendingJump == 0 || (diff-d.pendingJump).Abs() >= jumpThreshold:
		d.pendingJump, d.jumpSeenAt = diff, now
	case now-d.jumpSeenAt >= jumpConfirmTime:
		d.offset += diff
		d.pendingJump = 0
	}
	return (now + d.offset).Milliseconds()
}
