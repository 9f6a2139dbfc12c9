package relay

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a bound that stays long after a slow time, when a lost response costs the caller that much.
func TestTimeoutFollowsTheTable(t *testing.T) {
	var p adaptiveTimeout
	must.Eq(t, directTimeout, p.current())
	p.recordSilence()
	must.Eq(t, 2*directTimeout, p.current())
	for range 5 {
		p.recordSilence()
	}
	must.Eq(t, maxDirectTimeout, p.current())
	p.recordResponse(480 * time.Millisecond)
	must.Eq(t, maxDirectTimeout, p.current())
	p.recordResponse(4 * time.Millisecond)
	must.Eq(t, directTimeout, p.current())
	p.recordResponse(250 * time.Millisecond)
	must.Eq(t, time.Second, p.current())
}
