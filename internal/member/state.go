package member

import (
	"time"

	"samphirewell/internal/api"
)

// State is an immutable snapshot of what a host may do in its view.
type State struct {
	Self       api.HostIdentity
	View       View      // adopted view; its id is empty when there is none
	LeaseUntil time.Time // end of the view lease; zero if it is not held
	SettledAt  time.Time // the leases of all earlier views have expired by this time

	Period              PeriodID  // current period
	BlocksCompleteSince time.Time // the host has a record of each key that was blocked since this time; valid while it acts or does solo work

	soloUntil time.Time        // end of the permission for solo work
	exclusive bool             // no view without this process can be established
	periods   []periodSnapshot // the current period and the earlier ones without a gap before it, oldest first
	rules     Rules
}

// periodSnapshot is a view and the time since which only its members can have acted.
type periodSnapshot struct {
	view          View
	completeSince time.Time
}

// State returns the snapshot at now. In a view of one member, each call renews the lease.
func (c *Core) State(now time.Time) State {
	s := State{Self: c.self, View: c.view, SettledAt: c.settledAt, rules: c.rules}
	if c.leaving || c.period == nil {
		return s
	}
	s.exclusive = c.exclusive()
	s.Period, s.BlocksCompleteSince, s.LeaseUntil = c.periodID(), c.blocksCompleteSince, c.leaseUntil(now)
	if c.solo {
		s.soloUntil = c.lastStepAt.Add(pauseThreshold)
	}
	for _, p := range append(c.history[:len(c.history):len(c.history)], c.period) {
		s.periods = append(s.periods, periodSnapshot{view: p.view, completeSince: p.completeSince})
	}
	return s
}

// leaseUntil returns the end of the view lease, or the zero time if it is not held.
func (c *Core) leaseUntil(now time.Time) time.Time {
	if !c.period.established {
		return time.Time{}
	}
	end := now.Add(ViewLease)
	for _, a := range c.period.accepted {
		if e := a.sentAt.Add(ViewLease); e.Before(end) {
			end = e
		}
	}
	return end
}

// Solo reports whether the host may do solo work at now, that is, run first attempts of calls alone without holding the view
// lease: it is exclusive, and no other host holds a lease that this one granted.
func (s State) Solo(now time.Time) bool { return s.Exclusive(now) && now.Before(s.soloUntil) }

// Acting reports whether the host may act in its view at now: it holds the view lease, and the leases of all earlier
// views have expired.
func (s State) Acting(now time.Time) bool {
	if len(s.periods) == 0 {
		return false
	}
	return (s.rules.NoLease || now.Before(s.LeaseUntil)) && (s.rules.NoSettle || !now.Before(s.SettledAt))
}

// Exclusive reports whether no host can act at now in a view of the domain that lacks this process. It can be true although
// this host does not act: in a view of two hosts that are cut off from each other, it is true for both.
func (s State) Exclusive(now time.Time) bool {
	return s.exclusive && !now.Before(s.SettledAt)
}

// Owns reports whether the host may act for the key at now as its owner.
func (s State) Owns(key string, now time.Time) bool {
	return s.View.Owner(key) == s.Self.ID && s.Acting(now)
}

// CompleteSince returns the time since which only this host can have acted for the key. ok is false while it may not
// act for the key at all.
func (s State) CompleteSince(key string, now time.Time) (since time.Time, ok bool) {
	if !s.Owns(key, now) {
		return time.Time{}, false
	}
	for i := len(s.periods) - 1; i >= 0 && s.periods[i].view.Owner(key) == s.Self.ID; i-- {
		since = s.periods[i].completeSince
	}
	return since, true
}
