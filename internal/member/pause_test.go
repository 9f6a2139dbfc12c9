package member

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a process that keeps its view lease or continues solo work after a pause.
func TestPauseEndsActingAndSoloWork(t *testing.T) {
	paused := func(rules Rules) bool {
		n := newTestNetwork("a", "b")
		n.cores["a"].rules = rules
		n.advance(5 * time.Second)
		n.now = n.now.Add(pauseThreshold + 100*time.Millisecond)
		n.cores["a"].Tick(n.now)
		return n.cores["a"].State(n.now).Acting(n.now)
	}
	must.False(t, paused(Rules{}))
	must.True(t, paused(Rules{NoPauseCheck: true}))

	n := newTestNetwork("a", "b")
	n.advance(5 * time.Second)
	n.down["b"] = true
	n.advance(5 * time.Second)
	a := n.cores["a"]
	st := a.State(n.now)
	must.True(t, st.Solo(n.now))
	must.False(t, st.Solo(n.now.Add(pauseThreshold)))
	n.now = n.now.Add(pauseThreshold + 100*time.Millisecond)
	a.Tick(n.now)
	must.False(t, a.State(n.now).Solo(n.now))
	n.advance(time.Second)
	must.True(t, a.State(n.now).Solo(n.now))
}
