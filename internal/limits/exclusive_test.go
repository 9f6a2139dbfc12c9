package limits

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/outcome"
)

// Guards against a simulation that cannot detect violations: when grants to members expire, shares that their holders renewed under SetExclusive are
// granted twice.
func TestModelFindsExpiringMemberGrants(t *testing.T) {
	must.SliceEmpty(t, violationsWithLostDemands(4, func(*Node) {}))
	must.SliceNotEmpty(t, violationsWithLostDemands(4, func(n *Node) { n.unsafeExpireGrants = true }))
}

// survivorRate returns the fraction of the plan's rate that the survivor of two hosts admits from 10 s to 30 s after the other one failed. The view
// keeps both hosts, because the platform does not list the failed host as ended.
func survivorRate(t *testing.T, exclusive bool) float64 {
	s := newSim(2, 1, 2, map[string]Plan{"a": {Rate: 1000, Burst: 100, Calls: 100}})
	s.keepUnresponsive, s.noExclusive = true, !exclusive
	s.run(20 * time.Second)
	i := 0
	if s.hosts[0].view.owner("a") == s.hosts[0].id { // the share owner fails
		i = 1
	}
	s.offer("a", func() *simHost { return s.hosts[i] }, 3000, 5*time.Millisecond)
	s.run(5 * time.Second)
	s.hosts[1-i].alive = false
	s.run(10 * time.Second)
	before := s.check.total["a"]
	s.run(20 * time.Second)
	must.SliceEmpty(t, s.check.errs)
	fraction := float64(s.check.total["a"]-before) / 20000
	s.keepUnresponsive = false
	s.run(20 * time.Second)
	before = s.check.total["a"]
	s.run(5 * time.Second)
	must.Greater(t, 4750, s.check.total["a"]-before) // the host gets the whole plan once it is alone in its view
	must.SliceEmpty(t, s.check.errs)
	return fraction
}

// Guards against a survivor of two hosts that refuses every call until the platform lists the other one as ended.
func TestExclusiveHostAdmitsWithoutViewLease(t *testing.T) {
	without, with := survivorRate(t, false), survivorRate(t, true)
	t.Logf("%.3f of the rate without SetExclusive, %.3f with it", without, with)
	must.Eq(t, 0, without)
	must.Greater(t, 0.9, with)
}

// Guards against SetExclusive renewing expired shares, which another host may hold, or shares of an earlier plan, and against admission that goes on
// for longer than ViewLease after the host has stopped being exclusive.
func TestExclusivityRenewsOnlyValidShares(t *testing.T) {
	n, ownerID := memberAndOwner(t)
	d, _ := n.Demand(ownerID, start)
	n.OnGrant(ownerID, grantOf(n, d, 1, 3), start, start)
	n.SetViewLease(start.Add(time.Second))
	now := start
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		n.SetExclusive(true, now)
	}
	admits := func(at time.Time) bool {
		release, ok, _, _ := n.Limiter.Admit("a", at)
		if ok {
			release()
		}
		return ok
	}
	must.True(t, admits(now.Add(ViewLease-1)))
	n.SetExclusive(false, now.Add(time.Second))
	must.False(t, admits(now.Add(ViewLease)))

	n.SetPlans(map[string]Plan{"a": {Rate: 50, Burst: 50, Calls: 10}}, []string{"d0"}, now)
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		n.SetExclusive(true, now)
	}
	must.False(t, admits(now))
	n.SetExclusive(true, now.Add(listsLag))
	_, _, reason, _ := n.Limiter.Admit("a", now.Add(listsLag))
	must.Eq(t, outcome.RateLimit, reason) // expired, and not renewed
}

// Guards against granting shares of hosts that left too early: the wait for them must begin only when this host first acts in the view, because one
// of them may have been exclusive and have renewed its shares until then.
func TestWaitForDepartedHostsBeginsWithActing(t *testing.T) {
	n, others := teamOwner(t)
	n.SetViewLease(time.Time{})
	later := start.Add(time.Minute)
	n.SetViewLease(later.Add(time.Hour))
	n.Tick(later)
	var g api.ShareGrant
	for i, m := range others {
		g, _ = n.OnDemand(m, api.ShareDemand{View: n.view.ID, Number: 1 + i, Full: true,
			Reports: []api.TeamReport{{Team: "a", WantCalls: 10, WantRate: 1e6}}}, later)
	}
	n.rowWriter.setList(2, []api.TeamUnits{{Team: "a", Units: QuotaUnits, Settled: QuotaUnits}})
	d := api.ShareDemand{View: n.view.ID, Number: 9, Session: g.Session,
		Reports: []api.TeamReport{{Team: "a", WantCalls: 10, WantRate: 1e6}}}
	g, _ = n.OnDemand(others[0], d, later.Add(viewExpiry))
	must.SliceEmpty(t, g.Shares)
	d.Number++
	g, _ = n.OnDemand(others[0], d, later.Add(viewExpiry+callsExpiry))
	must.Positive(t, g.Shares[0].Calls)
}
