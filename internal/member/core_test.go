package member

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
)

// testNetwork connects cores directly; hosts in down neither send nor receive.
type testNetwork struct {
	now   time.Time
	cores map[string]*Core
	down  map[string]bool
}

func newTestNetwork(ids ...string) *testNetwork {
	n := &testNetwork{now: time.Unix(1000, 0), cores: map[string]*Core{}, down: map[string]bool{}}
	for _, id := range ids {
		n.add(id, 1, ids)
	}
	return n
}

func (n *testNetwork) add(id string, incarnation int, ids []string) {
	c := NewCore(api.HostIdentity{ID: id, Incarnation: incarnation}, "d", n.now, Rules{})
	c.SetCandidates(ids, EndedHosts{})
	n.cores[id] = c
}

func (n *testNetwork) send(from string, out []OutgoingPing) {
	for _, o := range out {
		to := n.cores[o.To]
		if to == nil || n.down[from] || n.down[o.To] {
			continue
		}
		pong, followUp, ok := to.OnPing(n.now, o.Ping)
		n.send(o.To, followUp)
		if ok {
			n.send(from, n.cores[from].OnPong(n.now, pong))
		}
	}
}

func (n *testNetwork) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(50 * time.Millisecond)
		for _, id := range []string{"a", "b", "c", "d"} {
			if c := n.cores[id]; c != nil && !n.down[id] {
				n.send(id, c.Tick(n.now))
			}
		}
	}
}

// members returns the ids of the view of a host that may act, else nothing.
func (n *testNetwork) members(id string) []string {
	st := n.cores[id].State(n.now)
	if !st.Acting(n.now) {
		return nil
	}
	return st.View.ids()
}

// Guards against a view that does not form, or that loses more than the crashed host.
func TestViewFormsAndDropsACrashedHost(t *testing.T) {
	n := newTestNetwork("a", "b", "c")
	n.advance(3 * time.Second)
	for _, id := range []string{"a", "b", "c"} {
		must.Eq(t, []string{"a", "b", "c"}, n.members(id))
	}
	n.down["a"] = true
	n.advance(1700 * time.Millisecond) // the last answered ping was sent up to 250 ms before the crash
	must.Eq(t, []string{"a", "b", "c"}, n.cores["b"].View().ids())
	n.advance(800 * time.Millisecond)
	must.Eq(t, []string{"b", "c"}, n.members("b"))
	must.Eq(t, []string{"b", "c"}, n.members("c"))
	must.Nil(t, n.members("a"))
}

// Guards against a minority that acts without proof that the other hosts have ended, and against one that ignores such proof.
func TestMinorityActsOnlyAfterTheOthersEnded(t *testing.T) {
	n := newTestNetwork("a", "b")
	n.advance(3 * time.Second)
	before := EndedHosts{AsOf: n.now, Hosts: map[string]bool{"a": true}}
	n.advance(time.Second)
	n.down["a"] = true
	n.cores["b"].SetCandidates([]string{"a", "b"}, before)
	n.advance(5 * time.Second)
	must.Nil(t, n.members("b"), must.Sprint("the list is older than the last message of a"))
	n.cores["b"].SetCandidates([]string{"a", "b"}, EndedHosts{AsOf: n.now, Hosts: map[string]bool{"a": true}})
	n.advance(time.Second)
	must.Eq(t, []string{"b"}, n.members("b"))
}

// Guards against an announced leave that stops the remaining hosts from acting, and against counting the announcement for two
// different views.
func TestAnnouncedLeaveCountsForOneSuccessor(t *testing.T) {
	n := newTestNetwork("a", "b", "c")
	n.advance(3 * time.Second)
	n.send("a", n.cores["a"].Leave(n.now))
	n.advance(50 * time.Millisecond)
	must.Eq(t, []string{"b", "c"}, n.members("b"))
	must.Eq(t, []string{"b", "c"}, n.members("c"))
	must.Nil(t, n.members("a"))

	// Here c has no contact with b when the announcement of a arrives, so c must not count a and itself as a quorum for the view {c}.
	n = newTestNetwork("a", "b", "c")
	n.advance(3 * time.Second)
	n.down["c"] = true
	n.send("a", n.cores["a"].Leave(n.now))
	n.advance(4 * time.Second)
	n.down["a"], n.down["b"], n.down["c"] = false, true, false
	n.send("a", n.cores["a"].Leave(n.now))
	n.advance(time.Second)
	must.Nil(t, n.members("c"))
}

// Guards against a CompleteSince that restarts at each change of the view for keys that keep their owner, and against one that
// reaches back to the time of the former owner for keys of a dropped host.
func TestCompleteSinceSurvivesADropForOwnKeys(t *testing.T) {
	n := newTestNetwork("a", "b", "c")
	n.advance(20 * time.Second)
	view := n.cores["a"].View()
	var kept, moved string
	after := NewView(view.Members[1:])
	for i := 0; kept == "" || moved == ""; i++ {
		key := string(rune('A' + i))
		switch {
		case view.Owner(key) == "b":
			kept = key
		case view.Owner(key) == "a" && after.Owner(key) == "b":
			moved = key
		}
	}
	old, ok := n.cores["b"].State(n.now).CompleteSince(kept, n.now)
	must.True(t, ok)
	_, ok = n.cores["b"].State(n.now).CompleteSince(moved, n.now)
	must.False(t, ok)
	n.down["a"] = true
	dropAt := n.now
	n.advance(4 * time.Second)
	since, ok := n.cores["b"].State(n.now).CompleteSince(kept, n.now)
	must.True(t, ok)
	must.Eq(t, old, since)
	since, ok = n.cores["b"].State(n.now).CompleteSince(moved, n.now)
	must.True(t, ok)
	must.True(t, since.After(dropAt.Add(ViewLease+LeaseEnd-HeartbeatPeriod)))
}

// Guards against mistaking a restarted host for its former process, and against accepting messages of the former process.
func TestRestartedHostJoinsWithItsNewIncarnation(t *testing.T) {
	n := newTestNetwork("a", "b")
	n.advance(3 * time.Second)
	old := n.cores["b"]
	n.add("b", 2, []string{"a", "b"})
	n.advance(time.Second)
	must.Eq(t, []string{"a", "b"}, n.members("a"))
	m, _ := n.cores["a"].View().Find("b")
	must.Eq(t, 2, m.Incarnation)
	_, _, ok := n.cores["a"].OnPing(n.now, old.ping(n.now, 1))
	must.False(t, ok)
}

// Guards against a host that is exclusive although the other members of its view can act without it, and against hosts of a
// view of two that drop each other without proof that the other has ended.
func TestHostIsExclusiveOnlyWhenTheOthersAreNoQuorum(t *testing.T) {
	n := newTestNetwork("a", "b", "c")
	n.advance(3 * time.Second)
	must.False(t, n.cores["a"].State(n.now).Exclusive(n.now))
	n.down["c"] = true
	n.advance(5 * time.Second)
	n.down["b"] = true
	n.advance(5 * time.Second)
	for _, id := range []string{"a", "b"} {
		must.Nil(t, n.members(id))
		must.True(t, n.cores[id].State(n.now).Exclusive(n.now))
	}
	must.False(t, n.cores["c"].State(n.now).Exclusive(n.now))
}
