package member

import (
	"time"
)

// pauseThreshold is the time without a step of the core after which a process counts as paused. It must then obtain the view lease
// or the permission for solo work again.
const pauseThreshold = time.Second

// soloWait is the time that a host waits in an adopted view before it starts solo work, so that the view can be established first.
const soloWait = 2 * HeartbeatPeriod

// checkPause withdraws the view lease and solo work if the process did not run for longer than pauseLimit.
func (c *Core) checkPause(now time.Time) {
	paused := !c.lastStepAt.IsZero() && now.Sub(c.lastStepAt) > pauseThreshold
	c.lastStepAt = now
	if !paused || c.rules.NoPauseCheck {
		return
	}
	c.solo = false
	c.resumedAt = now
	if c.period == nil {
		return
	}
	for id, a := range c.period.accepted {
		a.sentAt = time.Time{}
		c.period.accepted[id] = a
	}
}

// updateSolo starts solo work if this host is exclusive and does not hold the view lease. The new epoch makes the other
// members begin a new period, so their CompleteSince does not reach back to the time of solo work.
func (c *Core) updateSolo(now time.Time) {
	if c.solo || c.leaving || c.period == nil || !c.exclusive() || now.Before(c.soloAllowedAt()) || now.Before(c.resumedAt.Add(soloWait)) {
		return
	}
	if now.Sub(c.period.start) < soloWait || c.period.established && now.Before(c.leaseUntil(now)) {
		return
	}
	if !c.rules.NoSoloEpoch {
		c.epoch++
		c.period = newPeriod(c.view, now, c.epoch)
		c.history = nil
	}
	c.solo = true
}

// soloAllowedAt returns the time from which no other host can hold a view lease that this process granted.
func (c *Core) soloAllowedAt() time.Time {
	at := c.settledAt
	if c.rules.NoSoloWait {
		return at
	}
	for _, p := range c.peers {
		for _, accepted := range p.lastAccepted {
			at = later(at, accepted.Add(LeaseEnd))
		}
	}
	return at
}

// ExtendBlockHistory records that this host has the records of all keys that were blocked since a given time, received from another member.
// It has no effect outside the period in which the records were requested.
func (c *Core) ExtendBlockHistory(period PeriodID, since time.Time) {
	if c.period != nil && c.period.established && c.periodID() == period && since.Before(c.blocksCompleteSince) {
		c.blocksCompleteSince = since
	}
}

// PeriodID identifies a period, in which a host keeps one view without a gap.
type PeriodID struct {
	epoch int
	start time.Time
}

func (c *Core) periodID() PeriodID { return PeriodID{c.period.epoch, c.period.start} }
