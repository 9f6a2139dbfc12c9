package limits

import (
	"math"
	"slices"
	"sort"
	"time"

	"samphirewell/internal/api"
)

const (
	rebalancePeriod    = 5 * time.Second // interval at which shares that nobody demands are divided again
	unreadyRenewPeriod = 2 * viewExpiry  // time in a new view after which shares of the old one are no longer renewed, so that plan changes take effect
	memberSlotPeriod   = 2 * time.Second // shortest time for which one member is preferred when a plan has too few whole calls for all equal demands
	demandMargin       = 1.25            // share granted per measured demand, so that rising demand is not refused immediately
)

// owner is the part of a node that grants shares of the teams whose share owner it is in the view.
type owner struct {
	n               *Node
	ledgers         map[string]*ledger
	lastNumber      map[string]int  // last demand number per sender; kept over view changes, because a view can recur
	sentFull        map[string]bool // members that sent a full demand in this view
	viewChanges     map[string]int  // number of view changes of each member, as of its last demand in this session
	session         int             // incremented when the recorded state of the members is reset
	viewChangedAt   time.Time
	firstActedAt    time.Time // first time at which this host acted as a share owner in the view; zero before
	confirmedSerial int       // highest serial of the view's unit list with which all shares are certain to comply
}

func newOwner(n *Node) owner {
	return owner{n: n, ledgers: map[string]*ledger{}, lastNumber: map[string]int{}, sentFull: map[string]bool{}, viewChanges: map[string]int{}}
}

// onViewChange keeps the ledgers of the teams that this host still owns if no member left. All other ledgers are reset; what no host reports is
// then granted to nobody until hosts that left cannot be using it.
func (o *owner) onViewChange(old View, now time.Time) {
	o.sentFull, o.viewChanges, o.viewChangedAt, o.confirmedSerial = map[string]bool{}, map[string]int{}, now, 0
	o.session++
	o.firstActedAt = time.Time{}
	for name := range o.ledgers {
		if !o.n.keepsMembersOf(old) || old.owner(name) != o.n.self || o.n.view.owner(name) != o.n.self {
			delete(o.ledgers, name)
		}
	}
}

// recordActing records when this host first acts in the view; the wait for the grants of hosts that left starts then.
func (o *owner) recordActing(now time.Time) {
	if o.firstActedAt.IsZero() {
		o.firstActedAt = now
	}
}

// hasRejoined records the number of view changes of a member. It reports whether the member left this view and returned to it without this host
// having changed its view.
func (o *owner) hasRejoined(from string, d api.ShareDemand) bool {
	before := o.viewChanges[from]
	o.viewChanges[from] = d.Adoption
	return before != 0 && before != d.Adoption
}

// keepsMembersOf reports whether the old view had members and the current one contains all of them.
func (n *Node) keepsMembersOf(old View) bool {
	for _, m := range old.Members {
		if !slices.Contains(n.view.Members, m) {
			return false
		}
	}
	return len(old.Members) > 0
}

// acceptDemand returns false for demands that are duplicates or arrive out of order.
func (o *owner) acceptDemand(from string, d api.ShareDemand) bool {
	if d.Number <= o.lastNumber[from] {
		return false
	}
	o.lastNumber[from] = d.Number
	return true
}

func (o *owner) ledger(name string) *ledger {
	l := o.ledgers[name]
	if l == nil {
		l = newLedger(o.firstActedAt)
		l.expireGrants = o.n.unsafeExpireGrants
		if o.n.unsafeRegrant {
			l.rateUnreportedUntil, l.callsUnreportedUntil = time.Time{}, time.Time{}
		}
		o.ledgers[name] = l
	}
	return l
}

// ready reports whether shares may change: all members have reported what they hold, and this host has plans and the unit list of the view.
func (o *owner) ready() bool {
	return len(o.sentFull) == len(o.n.view.Members) && o.n.rowWriter.serial > 0 && len(o.n.plans) > 0
}

// grantShares records the reports of a demand and returns the shares that change.
func (o *owner) grantShares(from string, d api.ShareDemand, now time.Time) []api.TeamShare {
	reports := map[string]api.TeamReport{}
	for _, r := range d.Reports {
		if o.n.view.owner(r.Team) == o.n.self {
			reports[r.Team] = r
			o.ledger(r.Team)
		}
	}
	first := d.Full && !o.sentFull[from]
	if d.Full {
		o.sentFull[from] = true
	}
	shares := []api.TeamShare{}
	if !o.sentFull[from] {
		return shares
	}
	for _, name := range o.ownedTeams() {
		l := o.ledger(name)
		e := l.entry(from)
		r, listed := reports[name]
		if !listed && !first {
			r = e.report
		}
		r.Team = name
		if first {
			e.reset(r, now)
		}
		e.applyReport(r, d.Answered, now)
		e.reportedAt = now
		if listed && r.WantCalls > r.Calls {
			e.shortReportedAt = now
		}
		if s, changed := o.grantTeam(name, l, from, d.Number, now); changed {
			shares = append(shares, api.TeamShare{Team: name, Rate: int(s.Rate), Burst: int(s.Burst), Calls: int(s.Calls)})
		}
	}
	return shares
}

// grantTeam renews the reported share or grants a different one. A grant never raises the sum of what hosts may be using above the domain's share.
func (o *owner) grantTeam(name string, l *ledger, to string, number int, now time.Time) (Share, bool) {
	e := l.entry(to)
	s := reportedShare(e.report)
	switch {
	case !o.ready() && len(o.n.plans) > 0 && now.Sub(o.viewChangedAt) >= unreadyRenewPeriod:
		s = Share{}
	case o.ready():
		s = o.grantableShare(name, l, to, now)
	}
	if s == reportedShare(e.report) && e.renewGrant(now) {
		return s, false
	}
	e.recordGrant(number, s, now)
	return s, true
}

// grantableShare returns the share that a member may be granted now.
func (o *owner) grantableShare(name string, l *ledger, to string, now time.Time) Share {
	total := o.domainTotal(name)
	available := total.minus(l.unreported(o.settledShare(name), now)).minus(l.maxHeldExcept(to, now))
	return o.updateTargets(name, l, total, now)[to].atMost(available)
}

// domainTotal returns the domain's share of the team's plan.
func (o *owner) domainTotal(name string) Share {
	units, _ := o.n.rowWriter.unitsOf(name)
	return o.n.plans[name].domainShare(units)
}

// settledShare returns the part of the domain's share that it held when the view began.
func (o *owner) settledShare(name string) Share {
	_, settled := o.n.rowWriter.unitsOf(name)
	return o.n.plans[name].domainShare(settled)
}

// updateTargets returns the share that each member should have. Targets that cover all demand are kept for rebalancePeriod, since each move of a
// share to another host loses tokens.
func (o *owner) updateTargets(name string, l *ledger, total Share, now time.Time) map[string]Share {
	members := o.n.view.Members
	if l.targetShares != nil && l.targetTotal == total && now.Sub(l.targetsSetAt) < rebalancePeriod && l.targetsCoverDemand(members) {
		return l.targetShares
	}
	demandRate, demandCalls := make([]float64, len(members)), make([]float64, len(members))
	for i, m := range members {
		r := l.entry(m).report
		demandRate[i], demandCalls[i] = float64(r.WantRate)*demandMargin, float64(r.WantCalls)*demandMargin
		if r.WantCalls > 0 || r.WantRate > 0 { // a call needs both
			demandRate[i], demandCalls[i] = max(demandRate[i], 1), max(demandCalls[i], 1)
		}
	}
	if sum(demandCalls) > float64(total.Calls) { // no margin for hosts that do not need it while others are short
		for i, m := range members {
			demandCalls[i] = float64(l.entry(m).report.WantCalls)
		}
	}
	first := o.n.plans[name].slotMember(len(members), memberSlotPeriod, now)
	old, keepRates := l.targetShares, l.targetTotal == total && l.targetsCoverRates(members)
	l.targetShares, l.targetTotal, l.targetsSetAt = make(map[string]Share, len(members)), total, now
	for i, s := range splitShare(total, demandRate, demandCalls, first) {
		if keepRates {
			s.Rate, s.Burst = old[members[i]].Rate, old[members[i]].Burst
		}
		l.targetShares[members[i]] = s
	}
	return l.targetShares
}

// targetsCoverRates reports whether the targets give each member the rate that it demands. Concurrent calls can then be divided again without
// changing the rates, which would lose tokens.
func (l *ledger) targetsCoverRates(members []string) bool {
	for _, m := range members {
		t, ok := l.targetShares[m]
		if !ok || t.Rate < int64(l.entry(m).report.WantRate) || t.Burst < 1 {
			return false
		}
	}
	return true
}

func sum(values []float64) (total float64) {
	for _, v := range values {
		total += v
	}
	return total
}

// targetsCoverDemand reports whether the targets give each member the rate and the calls that it demands.
func (l *ledger) targetsCoverDemand(members []string) bool {
	for _, m := range members {
		t, ok := l.targetShares[m]
		r := l.entry(m).report
		if !ok || t.Rate < int64(r.WantRate) || t.Calls < int64(r.WantCalls) {
			return false
		}
	}
	return true
}

// ownedTeams returns the teams whose share owner is this host, including removed ones that still have a ledger, sorted by name.
func (o *owner) ownedTeams() []string {
	var names []string
	for name := range o.n.plans {
		if o.n.view.owner(name) == o.n.self {
			names = append(names, name)
		}
	}
	for name := range o.ledgers {
		if _, planned := o.n.plans[name]; !planned {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// updateConfirmedSerial returns the highest serial of the view's unit list with which everything that hosts may be using complies.
func (o *owner) updateConfirmedSerial(now time.Time) int {
	if !o.ready() || o.confirmedSerial == o.n.rowWriter.serial {
		return o.confirmedSerial
	}
	for name, l := range o.ledgers {
		used := l.maxHeldExcept("", now).plus(l.unreported(o.settledShare(name), now))
		if !used.within(o.domainTotal(name)) {
			return o.confirmedSerial
		}
	}
	o.confirmedSerial = o.n.rowWriter.serial
	return o.confirmedSerial
}

// teamDemands returns the quota units that the domain demands of the teams whose share owner is this host.
func (o *owner) teamDemands() []api.TeamWant {
	out := []api.TeamWant{}
	for _, name := range o.ownedTeams() {
		p, l := o.n.plans[name], o.ledgers[name]
		if l == nil {
			continue
		}
		var rate, calls float64
		for _, m := range o.n.view.Members {
			r := l.entry(m).report
			rate, calls = rate+float64(r.WantRate), calls+float64(r.WantCalls)
		}
		fraction := max(rate/max(1, float64(p.microRate())), calls/float64(max(1, p.Calls)))
		if units := int(min(QuotaUnits, math.Ceil(fraction*QuotaUnits))); units > 0 {
			out = append(out, api.TeamWant{Team: name, Units: units})
		}
	}
	return out
}
