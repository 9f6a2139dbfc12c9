package clock

import (
	"sync"
	"time"
)

const (
	// jumpFrom is the difference from which a change of the time of day counts as a jump; corrections of a running clock are far smaller.
	jumpFrom = 250 * time.Millisecond
	// jumpKept is how long a jump has to last until it is followed. Clocks that jump back by themselves do so within seconds.
	jumpKept = time.Minute
)

// TimeOfDay is the time of day without jumps that don't last: what is due at a time of day must neither start early nor late because the clock of
// one host is wrong for some seconds. A process that starts while the clock is wrong follows it after jumpKept only. It is safe for concurrent use.
type TimeOfDay struct {
	steady func() time.Duration // goes on while the machine is suspended
	wall   func() time.Time

	mu     sync.Mutex
	offset time.Duration // of the time of day, Unix time, from the steady clock
	jump   time.Duration // present difference, 0 without one
	since  time.Duration // when the jump was first seen, on the steady clock
}

// NewTimeOfDay returns a clock that begins with the present time of day.
func NewTimeOfDay(steady func() time.Duration, wall func() time.Time) *TimeOfDay {
	return &TimeOfDay{steady: steady, wall: wall, offset: sinceEpoch(wall()) - steady()}
}

func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// UnixMS returns the time of day, Unix milliseconds.
func (d *TimeOfDay) UnixMS() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.steady()
	diff := sinceEpoch(d.wall()) - now - d.offset
	switch {
	case diff.Abs() < jumpFrom:
		d.offset += diff
		d.jump = 0
	case d.jump == 0 || (diff-d.jump).Abs() >= jumpFrom:
		d.jump, d.since = diff, now
	case now-d.since >= jumpKept:
		d.offset += diff
		d.jump = 0
	}
	return (now + d.offset).Milliseconds()
}
