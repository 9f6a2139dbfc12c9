package dispatch

import "time"

const (
	// holdWait is the time that a read of a worker waits for an end; the longest that workers allow.
	holdWait = 2 * time.Second
)

// NextHold returns the hold to send to a worker now; false if none is due.
func (c *Core) NextHold(id string, now time.Duration) (Hold, bool) {
	w := c.workers[id]
	if w == nil || w.Address == "" {
		return Hold{}, false
	}
	busy := len(w.occupants) > 0
	if !busy && !w.holdDue && w.contacted {
		return Hold{}, false
	}
	h := Hold{Worker: w.Worker, Epoch: c.epoch, Acked: w.acked}
	if busy && w.contacted && len(w.unacked) == 0 && !w.holdDue && !w.silent {
		// With unacknowledged ends the worker would answer at once.
		h.Wait = holdWait
	}
	if busy && w.contacted && !w.silent {
		// A renewal that gets no answer may have been taken. A worker that stays silent gets no more of them, so that its leases end.
		h.Lease = w.clockNow(now) + c.bounds.LeaseMax
		w.leaseEnd = max(w.leaseEnd, h.Lease)
	}
	w.holdDue = false
	return h, true
}

// wantHold asks for a read of the worker without waiting.
func (c *Core) wantHold(w *worker) {
	w.holdDue = true
	c.wakes = append(c.wakes, w.ID)
}

// TakeWakes returns the workers whose reading has to go on.
func (c *Core) TakeWakes() []string {
	out := c.wakes
	c.wakes = nil
	return out
}

// HoldPause returns the time until the next read after one that didn't wait: none if the next one can wait for an end.
func (c *Core) HoldPause(id string) time.Duration {
	w := c.workers[id]
	if w == nil || len(w.unacked) == 0 {
		return 0
	}
	return holdPause
}

// Knows reports whether the worker is registered or may run something.
func (c *Core) Knows(id string) bool { return c.workers[id] != nil }
