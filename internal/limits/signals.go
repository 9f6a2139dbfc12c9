package limits

import (
	"slices"
	"time"

	"samphirewell/internal/api"
)

const (
	// nudgePeriod is the shortest time between two nudges to the same member. It limits the messages caused by hosts that demand more.
	nudgePeriod = 5 * time.Millisecond
	// waitingDemandPeriod is the shortest time between two equal demands while calls wait.
	waitingDemandPeriod = 10 * time.Millisecond
	// demandRetry is the time after which another demand is sent when the last one was not answered.
	demandRetry = 200 * time.Millisecond
	// fullRetry is the same until the first grant in a view, since the receiver may adopt the view later.
	fullRetry = 100 * time.Millisecond
)

// signals wakes the loops that send messages, so that shares move within round trips instead of heartbeat periods.
type signals struct {
	wake       chan struct{}
	table      chan struct{}        // wakes the loop that sends the table requests
	lastNudge  map[string]time.Time // last nudge to each member
	recall     recallBudget
	rowVersion int // row version to announce to the other domains in a hint; 0 for none
}

func newSignals() signals {
	return signals{wake: make(chan struct{}, 1), table: make(chan struct{}, 1), lastNudge: map[string]time.Time{}}
}

// signal wakes both loops. It never blocks; one pending signal stands for any number of events.
func (s *signals) signal() {
	for _, c := range []chan struct{}{s.wake, s.table} {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (s *signals) onViewChange() {
	clear(s.lastNudge)
	s.signal()
}

// Wake returns the channel that receives a value when Demand, Nudges or Hint may return something to send.
func (n *Node) Wake() <-chan struct{} { return n.signals.wake }

// Nudges returns the members to send a nudge to. A nudge requests a demand immediately, because this host has a changed share or unit list for the
// member or recalls unneeded calls; the receiver calls OnNudge. A lost nudge only delays the change to the next renewal.
func (n *Node) Nudges(now time.Time) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.hasAuthority(now) {
		return nil
	}
	var out []string
	for _, m := range n.view.Members {
		if m == n.self || now.Sub(n.signals.lastNudge[m]) < nudgePeriod {
			continue
		}
		if n.rowWriter.listOutdated(m) || n.owner.shareOutdated(m, now) || n.owner.recallDue(m, now) {
			n.signals.lastNudge[m] = now
			out = append(out, m)
		}
	}
	return out
}

// OnNudge makes the next demand to the sender of a nudge due immediately.
func (n *Node) OnNudge(from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.holder.peers[from]; e != nil {
		e.nudged = true
		n.signals.signal()
	}
}

// Hint returns, once per committed write, the row version to announce to the other domains. The caller sends it to one host of each other domain.
func (n *Node) Hint() (version int, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	version, n.signals.rowVersion = n.signals.rowVersion, 0
	return version, version > 0
}

// OnHint handles the row version that another domain has written. It returns the row writer, to which the caller forwards the hint, or "" when this
// host is the row writer. A hint only makes the next read happen earlier.
func (n *Node) OnHint(version int) (forward string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.rowWriterMember()
	if w != n.self {
		return w
	}
	n.rowWriter.row.announcedVersion = max(n.rowWriter.row.announcedVersion, version)
	n.signals.signal()
	return ""
}

// listOutdated reports whether this host is the row writer and a member does not have the current unit list.
func (w *rowWriter) listOutdated(member string) bool {
	serial, reported := w.memberSerial[member]
	return reported && w.serial > 0 && w.n.rowWriterMember() == w.n.self && serial != w.serial
}

// shareOutdated reports whether a member should request its changed share now: a smaller one, so that others can be granted the difference, or a
// larger one that it demands.
func (o *owner) shareOutdated(member string, now time.Time) bool {
	if !o.ready() || !slices.Contains(o.n.view.Members, member) {
		return false
	}
	for _, name := range o.ownedTeams() {
		if l := o.ledgers[name]; l != nil && l.hosts[member] != nil && o.shareChangeDue(name, l, member, now) {
			return true
		}
	}
	return false
}

// The domain's share divided by these numbers is the change from which a share is updated before the next renewal. An increase only uses what
// others released; each cut loses the tokens above the new capacity, so small cuts wait for the next renewal.
const (
	growthDivisor = 64
	cutDivisor    = 8
	callsDivisor  = 16
)

// shareChangeDue reports whether the next grant differs enough from the newest one to be requested immediately. Any cut is enough while the hosts
// may be using more than the domain's share.
func (o *owner) shareChangeDue(name string, l *ledger, member string, now time.Time) bool {
	e := l.hosts[member]
	if len(e.grants) == 0 {
		return false
	}
	total := o.domainTotal(name)
	newest, next := e.grants[len(e.grants)-1].share, o.grantableShare(name, l, member, now)
	more, less := next.minus(newest), newest.minus(next)
	if demandsMore(e.report) && (more.Rate > total.Rate/growthDivisor || more.Calls > total.Calls/callsDivisor) {
		return true
	}
	if less == (Share{}) {
		return false
	}
	return less.Rate > total.Rate/cutDivisor || less.Calls > total.Calls/callsDivisor || !l.maxHeldExcept("", now).within(total)
}

func abs(x int64) int64 { return max(x, -x) }

// demandsMore reports whether a host demands more than it holds.
func demandsMore(r api.TeamReport) bool { return r.WantRate > r.Rate || r.WantCalls > r.Calls }
