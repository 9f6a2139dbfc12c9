package dispatch

import "time"

const (
	// holdWait is the time that a read of a worker waits for an end; the longest that workers allow.
	holdWait = 2 * time.Second
)

// NextRenewal returns the renewal to send to a worker now; false if none is due.
func (c *Core) NextRenewal(id string, now time.Duration) (Renewal, bool) {
	w := c.workers[id]
	if w == nil || w.Address == "" {
		return Renewal{}, false
	}
	busy := len(w.occupants) > 0
	if !busy && !w.holdDue && w.contacted {
		return Renewal{}, false
	}
	h := Renewal{Worker: w.Worker, Epoch: c.epoch, AckedEnds: w.acked}
	if busy && w.contacted && len(w.unacked) == 0 && !w.holdDue && !w.silent {
		// With unacknowledged ends the worker would answer at once.
		h.Wait = holdWait
	}
	if busy && w.contacted && !w.silent {
		// A renewal that gets no answer may have been taken. A worker that stays silent gets no more of them, so that its leases end.
		h.LeaseEnd = w.clockNow(now) + c.bounds.LeaseMax
		w.leaseEnd = max(w.leaseEnd, h.LeaseEnd)
	}
	w.holdDue = false
	return h, true
}

// wantHold asks for a read of the worker without waiting.
func (c *Core) wantHold(w *worker) {
	w.holdDue = true
	c.wakes = append(c.wakes, w.ID)
}

// TakePollWakeups returns and clears the ids of the workers whose polling goroutine has to be woken.
func (c *Core) TakePollWakeups() []string {
	out := c.wakes
	c.wakes = nil
	return out
}

// RenewalPause returns the pause before the next renewal. It is 0 if the worker has no unacknowledged ends: that renewal can wait at the worker for
// the end of a run.
func (c *Core) RenewalPause(id string) time.Duration {
	w := c.workers[id]
	if w == nil || len(w.unacked) == 0 {
		return 0
	}
	return holdPause
}

// HasWorker reports whether the core tracks the worker, because it is registered or may still run something.
func (c *Core) HasWorker(id string) bool { return c.workers[id] != nil }
