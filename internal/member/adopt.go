package member

import (
	"slices"
	"time"

	"samphirewell/internal/api"
)

// updateView adopts the best view of the hosts in contact if the rules permit it. It reports whether the view changed.
func (c *Core) updateView(now time.Time) bool {
	if c.leaving {
		return false
	}
	best := NewView(c.bestMembers(now))
	if best.ID == c.view.ID || !c.mayAdopt(best, now) {
		return false
	}
	c.adopt(best, now)
	return true
}

// bestMembers returns the best set of hosts that all reach each other and this host: the one with the most members of the
// current view, then the largest, then the one with the lowest ids.
func (c *Core) bestMembers(now time.Time) []api.HostIdentity {
	var ids []string
	for _, id := range c.pingTargets() {
		p := c.peers[id]
		if p != nil && c.inContact(p, now) && !p.leaving && slices.Contains(p.reach, c.self.ID) && len(ids) < MaxHosts {
			ids = append(ids, id)
		}
	}
	linked := func(a, b string) bool {
		return slices.Contains(c.peers[a].reach, b) && slices.Contains(c.peers[b].reach, a)
	}
	var best uint64
	bestKept, bestSize := -1, 0
	cliques(ids, linked, func(mask uint64) {
		kept, size := 0, 0
		for i, id := range ids {
			if mask&(1<<i) == 0 {
				continue
			}
			size++
			if c.view.Has(c.peers[id].host) {
				kept++
			}
		}
		if kept > bestKept || kept == bestKept && size > bestSize {
			best, bestKept, bestSize = mask, kept, size
		}
	})
	members := []api.HostIdentity{c.self}
	for i, id := range ids {
		if best&(1<<i) != 0 {
			members = append(members, c.peers[id].host)
		}
	}
	return members
}

// mayAdopt reports whether this host may adopt v.
func (c *Core) mayAdopt(v View, now time.Time) bool {
	if c.rules.NoQuorum {
		return c.view.ID != "" || now.Sub(c.startedAt) >= LeaseEnd || c.hasEstablishedMember(v)
	}
	if c.coversRunningHosts(v) && (c.view.ID != "" || now.Sub(c.startedAt) >= LeaseEnd) {
		return true // a new process listens for LeaseEnd first
	}
	if len(c.quorumViews) >= maxQuorumViews || !c.established && !c.hasEstablishedMember(v) {
		return false
	}
	for _, u := range c.quorumViews {
		if !quorumOf(u, v.Has) && !c.isSuccessor(v, u) {
			return false
		}
	}
	return true
}

// hasEstablishedMember reports whether v has another member that has established a view. That member enforces the quorum
// rule for the earlier views, which a process that has not established a view itself does not have.
func (c *Core) hasEstablishedMember(v View) bool {
	for _, m := range v.Members {
		if p := c.peers[m.ID]; m != c.self && p != nil && p.host == m && p.established {
			return true
		}
	}
	return false
}

// coversRunningHosts reports whether each tracked host of the domain is in v or has ended. The announcement of a leaving
// process does not prove that its host has ended: the host may have restarted without contact to this one and be a member of
// another view.
func (c *Core) coversRunningHosts(v View) bool {
	ids := c.pingTargets()
	for _, u := range c.quorumViews {
		for _, m := range u.Members {
			ids = append(ids, m.ID)
		}
	}
	for _, id := range ids {
		if _, in := v.Find(id); in || id == c.self.ID {
			continue
		}
		p := c.peers[id]
		ended := c.ended.Hosts[id] && c.ended.AsOf.After(c.startedAt) && (p == nil || c.ended.AsOf.After(p.lastContact))
		if !ended {
			return false
		}
	}
	return true
}

// isSuccessor reports whether v keeps all members of u except those that left with u as their last established view. Such a
// process takes part in no other successor of u. Its announcement counts only if v keeps all other members, not as a vote in a
// quorum: otherwise two smaller groups could both count it.
func (c *Core) isSuccessor(v, u View) bool {
	for _, m := range u.Members {
		p := c.peers[m.ID]
		left := p != nil && p.host == m && p.leaving && p.consentView == u.ID
		if !left && !v.Has(m) {
			return false
		}
	}
	return true
}

// exclusive reports whether the other members are not a quorum of any view that this process may have helped to establish.
// A view without this process can then be established only on proof that this process has ended.
func (c *Core) exclusive() bool {
	others := func(m api.HostIdentity) bool { return m != c.self }
	return c.established && !slices.ContainsFunc(c.quorumViews, func(u View) bool { return quorumOf(u, others) })
}

func (c *Core) adopt(v View, now time.Time) {
	c.settledAt = later(c.settledAt, c.leasesEnd(v, now))
	if c.period != nil {
		c.history = append(c.history, c.period)
	}
	c.view = v
	c.epoch++
	c.solo = false
	c.quorumViews = slices.DeleteFunc(c.quorumViews, func(u View) bool { return u.ID == v.ID })
	c.quorumViews = append(c.quorumViews, v)
	c.period = newPeriod(v, now, c.epoch)
	c.establishIfComplete(now)
}

// leasesEnd returns the time by which the lease of each member of the current view that is missing in v has expired.
func (c *Core) leasesEnd(v View, now time.Time) time.Time {
	end := now
	for _, m := range c.view.Members {
		p := c.peers[m.ID]
		if m == c.self || v.Has(m) || p == nil || p.host != m || p.leaving {
			continue // a replaced process has ended, and a leaving one has stopped acting
		}
		if at, ok := p.lastAccepted[m]; ok {
			end = later(end, at.Add(LeaseEnd))
		}
	}
	return end
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
