package limits

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"samphirewell/internal/api"
)

// View is the set of hosts of the domain that act together.
type View struct {
	ID      string
	Members []string // host id with incarnation, sorted
}

// owner returns the member that is responsible for a name by rendezvous hashing (highest random weight), "" in an empty view.
func (v View) owner(name string) string {
	var best string
	var bestWeight uint64
	for _, m := range v.Members {
		h := fnv.New64a()
		_, _ = h.Write([]byte(m))
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(name))
		w := mix(h.Sum64())
		if best == "" || w > bestWeight {
			best, bestWeight = m, w
		}
	}
	return best
}

// mix spreads the bits of a hash. With FNV alone, similar names have similar orders of members.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Node manages the shares of one host: it uses the shares granted to the host, grants shares of the teams whose share owner it is in the view, and
// manages the domain's quota units when it is the row writer. Apart from Run it does no I/O, and it starts no goroutine; its caller passes in
// messages and the time. All methods are safe for concurrent use.
type Node struct {
	Limiter *Limiter

	self, domain string

	mu             sync.Mutex
	plans          map[string]Plan
	domains        []string
	view           View
	viewLeaseUntil time.Time // end of the view lease
	// Calls are admitted without the view lease until this time.
	exclusiveUntil time.Time

	viewChanges int // view changes so far

	lastReported api.ShareDemand // last demand sent to the row writer
	signals      signals
	holder       holder
	owner        owner
	rowWriter    rowWriter

	// unsafeRegrant disables the wait for the grants of hosts that left, so that a test can show that the wait is needed.
	unsafeRegrant bool
	// For the same purpose, unsafeExpireGrants lets grants to members expire, and unsafeRenewExpired renews expired shares.
	unsafeExpireGrants, unsafeRenewExpired bool
}

// NewNode returns the node of host self (id with incarnation) in a failure domain. It admits nothing until it has
// plans, a view, a view lease and units.
func NewNode(self, domain string, now time.Time) *Node {
	n := &Node{Limiter: NewLimiter(now), self: self, domain: domain, plans: map[string]Plan{}}
	n.holder = newHolder(n)
	n.owner = newOwner(n)
	n.rowWriter = newRowWriter(n)
	n.signals = newSignals()
	n.Limiter.wake = n.signals.signal
	return n
}

// SetPlans applies accepted lists: the plan of each team and the names of all failure domains. Calls of a removed team are refused immediately; its
// running calls still count.
func (n *Node) SetPlans(plans map[string]Plan, domains []string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.plans, n.domains = plans, domains
	n.holder.setPlans(now)
}

// PlansOf returns the plan of each team in the lists. Teams whose plan is not in the lists are left out.
func PlansOf(lists api.Lists) map[string]Plan {
	byName := make(map[string]api.Plan, len(lists.Plans))
	for _, p := range lists.Plans {
		byName[p.Name] = p
	}
	plans := make(map[string]Plan, len(lists.Teams))
	for _, t := range lists.Teams {
		if p, ok := byName[t.Plan]; ok {
			plans[t.Name] = Plan{Rate: p.CallsPerSecond, Burst: p.BurstCalls, Calls: p.ConcurrentCalls}
		}
	}
	return plans
}

// SetViewLease sets the time until which this host holds the view lease of its view.
func (n *Node) SetViewLease(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.viewLeaseUntil = until
	n.Limiter.SetViewLease(latest(until, n.exclusiveUntil))
}

// OnViewChange adopts a view and ends the view lease of the earlier one. The caller sets the new lease with SetViewLease.
func (n *Node) OnViewChange(v View, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v.ID == n.view.ID {
		return
	}
	old := n.view
	n.view, n.viewLeaseUntil = v, time.Time{}
	n.viewChanges++
	n.Limiter.SetViewLease(n.exclusiveUntil)
	n.holder.onViewChange(now)
	n.owner.onViewChange(old, now)
	n.rowWriter.onViewChange(old, now)
	n.signals.onViewChange()
}

// hasAuthority reports whether this host may act in its view.
func (n *Node) hasAuthority(now time.Time) bool { return now.Before(n.viewLeaseUntil) }

// rowWriterMember returns the member that writes the row.
func (n *Node) rowWriterMember() string { return n.view.owner("limits/shares") }

// Demand returns the demand to send to another member; ok is false when there is nothing to send. Call it for each member once per heartbeat period
// and after each Wake.
func (n *Node) Demand(to string, now time.Time) (d api.ShareDemand, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.holder.demandDue(to, now) && !n.writerReportDue(to, now) {
		return api.ShareDemand{}, false
	}
	return n.nextDemand(to, now), true
}

// writerReportDue reports whether the row writer should be notified immediately of the confirmed unit list or of the demanded units of this host.
// Small changes of the demand are sent with the next renewal.
func (n *Node) writerReportDue(to string, now time.Time) bool {
	if to != n.rowWriterMember() || !n.holder.allAnswered(to) {
		return false
	}
	return n.owner.updateConfirmedSerial(now) != n.lastReported.Confined || demandsChanged(n.lastReported.Wants, n.owner.teamDemands())
}

// demandsChanged reports whether the demand for units of some team changed by at least demandStep.
func demandsChanged(before, after []api.TeamWant) bool {
	changes := map[string]int{}
	for _, w := range before {
		changes[w.Team] -= w.Units
	}
	for _, w := range after {
		changes[w.Team] += w.Units
	}
	for _, units := range changes {
		if abs(int64(units)) >= demandStep {
			return true
		}
	}
	return false
}

// OnDemand returns the grant that answers a demand; ok is false when there is none: this host does not act in the sender's view, or it has received
// the same or a later demand before.
func (n *Node) OnDemand(from string, d api.ShareDemand, now time.Time) (g api.ShareGrant, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.signals.signal()
	return n.onDemand(from, d, now)
}

// OnGrant applies a grant; sentAt is the time at which the demand that it answers was sent.
func (n *Node) OnGrant(from string, g api.ShareGrant, sentAt, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.signals.signal()
	n.onGrant(from, g, sentAt, now)
}

// Tick renews the shares that this host grants itself, and updates the unit list when it is the row writer. Call it once per heartbeat period and
// after each Wake, before sending messages.
func (n *Node) Tick(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !slices.Contains(n.view.Members, n.self) {
		return
	}
	for range 2 { // the second demand confirms the shares that the first one changed
		g, ok := n.onDemand(n.self, n.nextDemand(n.self, now), now)
		if !ok {
			break
		}
		n.onGrant(n.self, g, now, now)
		if len(g.Shares) == 0 {
			break
		}
	}
	n.rowWriter.step(now)
}

func (n *Node) nextDemand(to string, now time.Time) api.ShareDemand {
	d := n.holder.nextDemand(to, now)
	if to == n.rowWriterMember() {
		d.Known, d.Units = n.rowWriter.listToReport()
		d.Confined = n.owner.updateConfirmedSerial(now)
		d.Wants = n.owner.teamDemands()
		n.lastReported = d
	}
	return d
}

func (n *Node) onDemand(from string, d api.ShareDemand, now time.Time) (api.ShareGrant, bool) {
	if d.View != n.view.ID || !n.hasAuthority(now) || !slices.Contains(n.view.Members, from) || !n.owner.acceptDemand(from, d) {
		return api.ShareGrant{}, false
	}
	if n.owner.hasRejoined(from, d) {
		n.owner.onViewChange(View{}, now)
		n.rowWriter.onViewChange(View{}, now)
		n.owner.viewChanges[from] = d.Adoption
	}
	g := api.ShareGrant{
		View: n.view.ID, Session: n.owner.session, Answers: d.Number, Shares: []api.TeamShare{}, Units: []api.TeamUnits{},
	}
	if !d.Full && d.Session != n.owner.session {
		return g, true // the new session makes the sender respond with a full demand
	}
	if n.rowWriterMember() == n.self {
		n.rowWriter.onDemand(from, d, now)
		n.rowWriter.step(now)
		if d.Known != n.rowWriter.serial {
			g.Serial, g.Units = n.rowWriter.serial, n.rowWriter.list()
			n.rowWriter.memberSerial[from] = n.rowWriter.serial
		}
	}
	n.owner.recordActing(now)
	g.Shares = n.owner.grantShares(from, d, now)
	return g, true
}

func (n *Node) onGrant(from string, g api.ShareGrant, sentAt, now time.Time) {
	if g.View != n.view.ID || !n.holder.acceptGrant(from, g, sentAt, now) {
		return
	}
	if n.holder.ownerRestarted(from, g) {
		if from == n.rowWriterMember() {
			n.rowWriter.serial, n.owner.confirmedSerial = 0, 0
		}
		return
	}
	n.holder.applyGrant(from, g, sentAt, now)
	if g.Serial > n.rowWriter.serial && from == n.rowWriterMember() {
		n.rowWriter.setList(g.Serial, g.Units)
	}
}
