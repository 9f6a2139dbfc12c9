package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against scheduled work that starts seconds early or late because the wall clock of the leader jumps and jumps back.
func TestTimeOfDayIgnoresJumpsThatDoNotLast(t *testing.T) {
	elapsed, wallError := time.Duration(0), time.Duration(0)
	start := time.Unix(1_800_000_000, 0)
	d := NewTimeOfDay(func() time.Duration { return elapsed }, func() time.Time { return start.Add(elapsed + wallError) })
	filteredError := func() time.Duration { return time.Duration(d.UnixMS())*time.Millisecond - unixTime(start) - elapsed }
	must.Eq(t, 0, filteredError())
	for _, jump := range []time.Duration{30 * time.Second, -2400 * time.Millisecond, 0} {
		wallError = jump
		for range 20 {
			elapsed += time.Second
			must.Eq(t, 0, filteredError(), must.Sprint(jump))
		}
	}
	wallError = 100 * time.Millisecond
	must.Eq(t, wallError, filteredError(), must.Sprint("small corrections are adopted immediately"))
	wallError = 5 * time.Second
	for range 30 {
		elapsed += time.Second
		must.Eq(t, 100*time.Millisecond, filteredError())
	}
	wallError = -5 * time.Second // a different jump has to last for jumpConfirmTime again
	for range 59 {
		elapsed += time.Second
		must.Eq(t, 100*time.Millisecond, filteredError())
	}
	elapsed += 2 * time.Second
	filteredError()
	must.Eq(t, wallError, filteredError(), must.Sprint("a jump that lasts is adopted"))
}
