package limits

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/api"
	"samphirewell/internal/outcome"
)

// Guards against whole calls of a small limit that sum to more than the limit over the domains, and against calls that no domain can use because the
// other domains keep MinQuotaUnits.
func TestWholeCallsOfAllDomainsSumToAtMostTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 5000).Draw(t, "limit")
		left, sum := int64(QuotaUnits), int64(0)
		for range rapid.IntRange(1, 7).Draw(t, "domains") {
			units := rapid.Int64Range(0, left).Draw(t, "units")
			left -= units
			sum += wholeCalls(limit, units)
		}
		must.LessEq(t, limit, sum)
		must.GreaterEq(t, limit*965/QuotaUnits, wholeCalls(limit, 965))
		if limit > 0 && limit <= 27 {
			must.Eq(t, limit, wholeCalls(limit, 965))
			calls := rapid.Int64Range(1, limit).Draw(t, "calls")
			must.Eq(t, calls, wholeCalls(limit, unitsFor(limit, calls)))
		}
	})
}

// memberAndOwner returns the node of member "b" and the name of the only other member of its view. That member is the share owner of team "a" and
// the row writer; the test makes its grants.
func memberAndOwner(t *testing.T) (*Node, string) {
	n := NewNode("b", "d0", start)
	n.SetPlans(map[string]Plan{"a": {Rate: 100, Burst: 50, Calls: 10}}, []string{"d0"}, start)
	for _, ownerID := range []string{"c", "e", "f", "g", "h", "i"} {
		v := View{ID: ownerID, Members: []string{"b", ownerID}}
		if v.owner("a") == ownerID && v.owner(RowKey) == ownerID {
			n.OnViewChange(v, start)
			n.SetViewLease(start.Add(time.Minute))
			return n, ownerID
		}
	}
	t.Fatal("no name owns the team")
	return nil, ""
}

func grantOf(n *Node, d api.ShareDemand, session, calls int) api.ShareGrant {
	return api.ShareGrant{View: n.view.ID, Session: session, Answers: d.Number,
		Shares: []api.TeamShare{{Team: "a", Rate: 100e6, Burst: 50, Calls: calls}}}
}

// Guards against an old or duplicated grant that replaces a later one.
func TestGrantsOutOfOrderAreDropped(t *testing.T) {
	n, ownerID := memberAndOwner(t)
	d1, _ := n.Demand(ownerID, start)
	_, again := n.Demand(ownerID, start)
	must.False(t, again)
	d2, _ := n.Demand(ownerID, start.Add(demandRetry))
	n.OnGrant(ownerID, grantOf(n, d2, 1, 3), start, start)
	n.OnGrant(ownerID, grantOf(n, d1, 1, 9), start, start)
	n.OnGrant(ownerID, grantOf(n, d2, 1, 9), start, start)
	limit, _, _ := n.holder.teams["a"].team.gate.load()
	must.Eq(t, 3, limit)
}

// Guards against a lease that counts from the arrival of the grant instead of the sending of the demand.
func TestGrantEndsShareLeaseAfterItsDemandWasSent(t *testing.T) {
	n, ownerID := memberAndOwner(t)
	d, _ := n.Demand(ownerID, start)
	n.OnGrant(ownerID, grantOf(n, d, 1, 3), start, start.Add(1500*time.Millisecond))
	_, ok, _, _ := n.Limiter.Admit("a", start.Add(ShareLease-1))
	must.True(t, ok)
	_, ok, reason, wait := n.Limiter.Admit("a", start.Add(ShareLease))
	must.False(t, ok)
	must.Eq(t, outcome.RateLimit, reason)
	must.Positive(t, wait)
	n.SetViewLease(start.Add(time.Second))
	_, _, reason, _ = n.Limiter.Admit("a", start.Add(1500*time.Millisecond))
	must.Eq(t, outcome.NoView, reason)
}

// Guards against applying a grant of a share owner that left the view and returned while this host stayed: the owner's recorded state was reset, so
// it needs a full demand first.
func TestNewSessionOfOwnerIsAnsweredWithFullDemand(t *testing.T) {
	n, ownerID := memberAndOwner(t)
	d, _ := n.Demand(ownerID, start)
	n.OnGrant(ownerID, grantOf(n, d, 1, 3), start, start)
	d, _ = n.Demand(ownerID, start.Add(time.Second))
	must.False(t, d.Full)
	n.OnGrant(ownerID, grantOf(n, d, 2, 9), start.Add(time.Second), start.Add(time.Second))
	d, ok := n.Demand(ownerID, start.Add(time.Second))
	must.True(t, ok)
	must.True(t, d.Full)
	must.Eq(t, 0, d.Reports[0].Applied)
	must.Eq(t, 3, d.Reports[0].Calls)
}

// Guards against a share owner that accepts a demand twice, or that grants shares without a view lease.
func TestOwnerAnswersEachDemandOnceAndOnlyWithLease(t *testing.T) {
	n, ownerID := memberAndOwner(t)
	d := api.ShareDemand{View: n.view.ID, Number: 7, Full: true}
	_, ok := n.OnDemand(ownerID, d, start)
	must.True(t, ok)
	_, ok = n.OnDemand(ownerID, d, start)
	must.False(t, ok)
	n.SetViewLease(start)
	d.Number++
	_, ok = n.OnDemand(ownerID, d, start)
	must.False(t, ok)
}
