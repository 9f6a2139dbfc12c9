package limits

import (
	"time"
)

const (
	// recallAge is the age from which a report is considered outdated, since calls may have ended after it.
	recallAge = 10 * time.Millisecond
	// A recall is a nudge to a member that may hold unneeded calls. recallPeriod is the shortest average time between two recalls sent by a host,
	// and recallBurst the number that may be sent without a pause. They limit the messages when many teams are short for a long time.
	recallPeriod = 50 * time.Millisecond
	recallBurst  = 10
)

// recallBudget limits recalls to one per recallPeriod after a burst of recallBurst. fullAt is when the whole burst is available again.
type recallBudget struct{ fullAt time.Time }

func (b *recallBudget) take(now time.Time) bool {
	if b.fullAt.Before(now) {
		b.fullAt = now
	}
	if b.fullAt.Sub(now) > (recallBurst-1)*recallPeriod {
		return false
	}
	b.fullAt = b.fullAt.Add(recallPeriod)
	return true
}

// recallDue reports whether a member may hold concurrent calls that it does not need, of a plan with few calls of which another member is short. It
// takes from the recall budget.
func (o *owner) recallDue(member string, now time.Time) bool {
	if !o.ready() {
		return false
	}
	for _, name := range o.ownedTeams() {
		l := o.ledgers[name]
		if l == nil || l.hosts[member] == nil || o.domainTotal(name).Calls >= int64(fewCalls*len(o.n.view.Members)) {
			continue
		}
		if l.hosts[member].mayHoldIdleCalls(now) && l.otherHostShort(member, now) {
			return o.n.signals.recall.take(now)
		}
	}
	return false
}

// mayHoldIdleCalls reports whether the host may hold calls that it does not need, since its report is outdated.
func (e *ledgerEntry) mayHoldIdleCalls(now time.Time) bool {
	return e.maxHeld(now, false).Calls > 0 && now.Sub(e.reportedAt) >= recallAge
}

// otherHostShort reports whether, within MaxShareWait, another host demanded more calls than it was granted.
func (l *ledger) otherHostShort(member string, now time.Time) bool {
	for id, e := range l.hosts {
		if n := len(e.grants); id != member && n > 0 && now.Sub(e.shortReportedAt) < MaxShareWait && int64(e.report.WantCalls) > e.grants[n-1].share.Calls {
			return true
		}
	}
	return false
}
