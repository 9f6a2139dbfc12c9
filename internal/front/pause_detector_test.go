package front

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a call that waited in a socket buffer while the process was paused and is run as if it had just arrived.
func TestBytesFromBeforeTheEndOfAPauseAreStale(t *testing.T) {
	var p pauseDetector
	now := time.Duration(0)
	for range 100 {
		now += pauseCheckInterval
		p.check(now)
		must.False(t, p.mayBeStale(now))
	}
	now += pauseThreshold
	must.False(t, p.mayBeStale(now))
	now += pauseCheckInterval
	must.True(t, p.mayBeStale(now), must.Sprint("before the first check after the pause"))
	p.check(now)
	must.Eq(t, 1, p.count.Load())
	must.True(t, p.mayBeStale(now))
	must.True(t, p.mayBeStale(now+pauseGrace-1))
	now += pauseGrace
	p.check(now)
	must.False(t, p.mayBeStale(now))
}
