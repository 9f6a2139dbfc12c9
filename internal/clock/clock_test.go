package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against waiters that fire early, or are lost when several are pending.
func TestManualReleasesExactlyTheDueWaiters(t *testing.T) {
	c := NewManual(time.Unix(100, 0))
	early, late := c.After(time.Second), c.After(3*time.Second)
	c.Advance(999 * time.Millisecond)
	must.Eq(t, 0, len(early))
	c.Advance(time.Millisecond)
	must.Eq(t, 1, len(early))
	must.Eq(t, 0, len(late))
	c.Advance(2 * time.Second)
	must.Eq(t, 1, len(late))
	must.Eq(t, time.Unix(103, 0), c.Now())
}
