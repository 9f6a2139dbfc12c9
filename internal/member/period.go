package member

import (
	"time"

	"samphirewell/internal/api"
)

// maxHistory bounds the earlier periods that are kept to determine since when this host has owned a key.
const maxHistory = 64

// period is a span of time in which this host keeps one view.
type period struct {
	view          View
	start         time.Time
	epoch         int
	accepted      map[string]acceptance // by host id
	prompted      map[string]bool       // members, by host id, for which prompt has sent pings
	established   bool                  // each other member has accepted a ping of this period
	completeSince time.Time             // from this time on no other host has acted in an earlier view
}

// acceptance records the pings that a member accepted in a period.
type acceptance struct {
	sentAt time.Time // sending time of the newest accepted ping
	epoch  int       // epoch of the member when it first accepted
}

func newPeriod(v View, now time.Time, epoch int) *period {
	return &period{view: v, start: now, epoch: epoch, accepted: map[string]acceptance{}, prompted: map[string]bool{}}
}

// onAccepted records that a member accepted a ping of the current period.
func (c *Core) onAccepted(now, sentAt time.Time, pong api.Pong) {
	id := pong.Host.ID
	a, seen := c.period.accepted[id]
	if seen && a.epoch != pong.Epoch {
		// The member was in another view in between, in which others may have acted.
		c.restartPeriod(now)
		return
	}
	if !seen {
		wait := time.Duration(pong.SettleMS) * time.Millisecond
		c.settledAt = later(c.settledAt, now.Add(wait))
	}
	if sentAt.After(a.sentAt) {
		a.sentAt = sentAt
	}
	a.epoch = pong.Epoch
	c.period.accepted[id] = a
	c.establishIfComplete(now)
}

// restartPeriod begins a new period of the current view and drops the earlier periods.
func (c *Core) restartPeriod(now time.Time) {
	c.period = newPeriod(c.view, now, c.epoch)
	c.history = nil
	c.nextPingAt = now
}

// establishIfComplete establishes the view once each other member has accepted a ping of the period.
func (c *Core) establishIfComplete(now time.Time) {
	p := c.period
	if p.established || len(p.accepted) < len(p.view.Members)-1 {
		return
	}
	withoutGap := c.exclusive() // no host can have acted without this one since it last established a view
	p.established, c.established = true, true
	p.completeSince = later(p.start.Add(LeaseEnd), later(c.settledAt, now))
	c.quorumViews = []View{p.view}
	c.solo = false
	c.pruneHistory()
	if c.blocksCompleteSince.IsZero() || !withoutGap && len(c.history) == 0 && !c.rules.NoBlockGap {
		c.blocksCompleteSince = p.completeSince
	}
}

// pruneHistory keeps the earlier periods only if no other view can have been established since the last of them. That holds
// if each common member moved directly from that view to the current one and the common members are a quorum of that view.
func (c *Core) pruneHistory() {
	for len(c.history) > 0 && !c.history[len(c.history)-1].established {
		c.history = c.history[:len(c.history)-1] // adopted but not established, so no host can have acted in it
	}
	if len(c.history) == 0 {
		return
	}
	last := c.history[len(c.history)-1]
	direct := c.period.epoch == last.epoch+1 &&
		quorumOf(last.view, func(m api.HostIdentity) bool { return c.view.Has(m) })
	for id, a := range c.period.accepted {
		m, _ := c.view.Find(id)
		if last.view.Has(m) && a.epoch != last.accepted[id].epoch+1 {
			direct = false
		}
	}
	if !direct {
		c.history = nil
	} else if len(c.history) > maxHistory {
		c.history = c.history[1:]
	}
}
