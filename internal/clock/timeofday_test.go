package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against scheduled work that starts seconds early or late because the clock of the leading host jumps and jumps back.
func TestTimeOfDayIgnoresJumpsThatDoNotLast(t *testing.T) {
	steady, off := time.Duration(0), time.Duration(0)
	start := time.Unix(1_800_000_000, 0)
	d := NewTimeOfDay(func() time.Duration { return steady }, func() time.Time { return start.Add(steady + off) })
	at := func() time.Duration { return time.Duration(d.UnixMS())*time.Millisecond - sinceEpoch(start) - steady }
	must.Eq(t, 0, at())
	for _, jump := range []time.Duration{30 * time.Second, -2400 * time.Millisecond, 0} {
		off = jump
		for range 20 {
			steady += time.Second
			must.Eq(t, 0, at(), must.Sprint(jump))
		}
	}
	off = 100 * time.Millisecond
	must.Eq(t, off, at(), must.Sprint("small corrections are followed at once"))
	off = 5 * time.Second
	for range 30 {
		steady += time.Second
		must.Eq(t, 100*time.Millisecond, at())
	}
	off = -5 * time.Second // another jump begins anew
	for range 59 {
		steady += time.Second
		must.Eq(t, 100*time.Millisecond, at())
	}
	steady += 2 * time.Second
	at()
	must.Eq(t, off, at(), must.Sprint("a correction that stays is followed"))
}
