package limits

import (
	"time"

	"samphirewell/internal/api"
)

// Times after which a share owner may assume that a grant to a host that left the view has expired, increased by the clock rate error of 1%.
// Grants to members never expire in the ledger, since a member may renew its own share beyond its lease (see SetExclusive).
const (
	viewExpiry  = ViewLease + ViewLease/100 // a host that left a view does not act in it afterwards
	rateExpiry  = ShareLease + ShareLease/100
	callsExpiry = rateExpiry + MaxCallTime + MaxCallTime/100
)

// grantRecord is a share that a member may be using until it reports that it uses a later one or has dropped this one.
type grantRecord struct {
	number int // number of the demand that it answered; 0 for a share kept from an earlier view
	share  Share
	until  time.Time // end of the lease
}

// ledgerEntry is what a share owner records about one host and team.
type ledgerEntry struct {
	report          api.TeamReport
	inherited       Share // share kept from the earlier view; its calls are at least the running ones
	grants          []grantRecord
	runningUntil    time.Time // until then, the calls that report counts as running may still run
	reportedAt      time.Time // time of the host's last demand
	shortReportedAt time.Time // time of the last report in which the host demanded more calls than it held
}

// ledger is what a share owner records about one team. It never underestimates what hosts hold.
type ledger struct {
	hosts map[string]*ledgerEntry
	// Until these times, hosts that left may use the part of the domain's share that no host has reported.
	rateUnreportedUntil, callsUnreportedUntil time.Time

	// Last division of the domain's share among the members.
	targetShares map[string]Share
	expireGrants bool // grants to members expire with their lease; only for the test that shows that they must not
	targetTotal  Share
	targetsSetAt time.Time
}

// newLedger returns the ledger for a view in which this host first acted at actedAt. The share owner of the earlier view may have made grants
// until viewExpiry later, and the holder of such a grant may join this view with it.
func newLedger(actedAt time.Time) *ledger {
	return &ledger{
		hosts:               map[string]*ledgerEntry{},
		rateUnreportedUntil: actedAt.Add(viewExpiry + rateExpiry), callsUnreportedUntil: actedAt.Add(viewExpiry + callsExpiry),
	}
}

func (l *ledger) entry(id string) *ledgerEntry {
	e := l.hosts[id]
	if e == nil {
		e = &ledgerEntry{}
		l.hosts[id] = e
	}
	return e
}

// reset replaces the recorded state of a host by its first report in a view.
func (e *ledgerEntry) reset(r api.TeamReport, now time.Time) {
	s := reportedShare(r)
	e.inherited = Share{Rate: s.Rate, Burst: s.Burst, Calls: max(s.Calls, int64(r.Running))}
	e.grants = nil
	e.report = r
	e.recordGrant(0, s, now)
}

// applyReport records a report of a host that from now on drops all grants for demands numbered up to answered. It removes the grants before the
// applied one, and the later ones for those demands.
func (e *ledgerEntry) applyReport(r api.TeamReport, answered int, now time.Time) {
	e.report = r
	e.runningUntil = now.Add(callsExpiry)
	kept := e.grants[:0]
	for _, g := range e.grants {
		if g.number == r.Applied { // a host that drops a removed team gives up its share permanently
			g.share = g.share.atMost(reportedShare(r))
		}
		if g.number == r.Applied || g.number > max(r.Applied, answered) {
			kept = append(kept, g)
		}
	}
	e.grants = kept
}

// renewGrant extends the grant that the host reported as applied. It returns false when that grant is not recorded.
func (e *ledgerEntry) renewGrant(now time.Time) bool {
	for i := range e.grants {
		if g := &e.grants[i]; g.number == e.report.Applied {
			g.until = now.Add(rateExpiry)
			return true
		}
	}
	return false
}

// recordGrant records a grant before it is sent.
func (e *ledgerEntry) recordGrant(number int, s Share, now time.Time) {
	e.grants = append(e.grants, grantRecord{number, s, now.Add(rateExpiry)})
}

// maxHeld returns the most that the host may be using at or after now under the grants made so far. With expireGrants, expired grants do not
// count.
func (e *ledgerEntry) maxHeld(now time.Time, expireGrants bool) Share {
	var s Share
	if now.Before(e.runningUntil) {
		s.Calls = int64(e.report.Running)
	}
	for _, g := range e.grants {
		if expireGrants && !now.Before(g.until) {
			continue
		}
		s.Rate, s.Burst, s.Calls = max(s.Rate, g.share.Rate), max(s.Burst, g.share.Burst), max(s.Calls, g.share.Calls)
	}
	return s
}

// maxHeldExcept returns the sum of what all hosts except one may be using.
func (l *ledger) maxHeldExcept(host string, now time.Time) Share {
	var sum Share
	for id, e := range l.hosts {
		if id != host {
			sum = sum.plus(e.maxHeld(now, l.expireGrants))
		}
	}
	return sum
}

// unreported returns what hosts that left may be using of settled, the share that the domain held when the view began.
func (l *ledger) unreported(settled Share, now time.Time) Share {
	var inherited Share
	for _, e := range l.hosts {
		inherited = inherited.plus(e.inherited)
	}
	var u Share
	if now.Before(l.rateUnreportedUntil) {
		u.Rate, u.Burst = max(0, settled.Rate-inherited.Rate), max(0, settled.Burst-inherited.Burst)
	}
	if now.Before(l.callsUnreportedUntil) {
		u.Calls = max(0, settled.Calls-inherited.Calls)
	}
	return u
}

func (s Share) plus(o Share) Share {
	return Share{s.Rate + o.Rate, s.Burst + o.Burst, s.Calls + o.Calls}
}

// minus returns the difference, at least zero in each field.
func (s Share) minus(o Share) Share {
	return Share{max(0, s.Rate-o.Rate), max(0, s.Burst-o.Burst), max(0, s.Calls-o.Calls)}
}

func (s Share) atMost(o Share) Share {
	return Share{min(s.Rate, o.Rate), min(s.Burst, o.Burst), min(s.Calls, o.Calls)}
}

func (s Share) within(o Share) bool { return s.atMost(o) == s }

func reportedShare(r api.TeamReport) Share {
	return Share{int64(r.Rate), int64(r.Burst), int64(r.Calls)}
}
