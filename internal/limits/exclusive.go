package limits

import "time"

// listsLag is the time within which accepted lists are in force on every reachable host.
const listsLag = 3 * time.Second

// SetExclusive sets whether, at now, no host of this domain can act in a view that lacks this process. While that holds, no other host can be
// granted the shares of this host, because a share owner in a view with this host counts them until this host reports otherwise. Each call with
// true therefore renews the unexpired shares for ShareLease and admits calls for ViewLease without the view lease. Call it once per heartbeat
// period.
//
// After the last call with true, both times expire. A share owner in a view that lacks this host waits longer than that: its waits for hosts
// that left begin when it first acts in the view, which is after the last call with true.
func (n *Node) SetExclusive(on bool, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !on {
		return
	}
	n.exclusiveUntil = now.Add(ViewLease)
	n.Limiter.SetViewLease(latest(n.viewLeaseUntil, n.exclusiveUntil))
	n.holder.renewExclusively(now)
}

// renewExclusively renews all shares except two kinds: expired ones, which may have been granted to another host, and those that may have been
// granted under an earlier plan, because the share owner may have failed before it received the current plan.
func (h *holder) renewExclusively(now time.Time) {
	for _, t := range h.teams {
		until := t.team.leaseUntil.Load()
		expired := h.sinceBase(now) >= until
		if expired && !h.n.unsafeRenewExpired || t.renewedAt.Before(t.planChangedAt.Add(listsLag)) {
			continue
		}
		t.team.leaseUntil.Store(max(until, h.sinceBase(now.Add(ShareLease))))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
