package dispatch

import "time"

const (
	// renewalWait is how long a renewal waits at the worker for the end of a run; the longest wait that workers allow.
	renewalWait = 2 * time.Second
	// minRenewalWait bounds the rate of renewals to a worker whose runs are checked for progress.
	minRenewalWait = 100 * time.Millisecond
	// hangCheckMargin makes the report that shows whether a run hangs come after its hang bound.
	hangCheckMargin = 20 * time.Millisecond
)

// NextRenewal returns the renewal to send to a worker now; false if none is due.
func (c *Core) NextRenewal(id string, now time.Duration) (Renewal, bool) {
	w := c.workers[id]
	if w == nil || w.Address == "" || w.replaced() {
		return Renewal{}, false
	}
	busy := len(w.allocs) > 0
	if !busy && !w.renewalDue && w.contacted {
		return Renewal{}, false
	}
	renewal := Renewal{Worker: w.Worker, Epoch: c.epoch}
	if w.ackedEnd > w.forgottenEnd && !w.unresponsive {
		// The worker may have restarted since its last response. Its new incarnation would forget ends under the same numbers that were never reported.
		renewal.AckedEnds = w.ackedEnd
	}
	if busy && w.contacted && len(w.unackedEnds) == 0 && !w.renewalDue && !w.unresponsive {
		// With unacknowledged ends the worker would respond immediately.
		renewal.Wait = c.timeToHangCheck(w, now)
	}
	if busy && w.contacted && !w.unresponsive {
		// A renewal without a response may have taken effect. An unresponsive worker gets no further ones, so that its leases expire.
		renewal.LeaseEnd = w.minClock(now) + c.bounds.LeaseMax
		w.leaseEnd = max(w.leaseEnd, renewal.LeaseEnd)
	}
	w.renewalDue = false
	return renewal, true
}

// timeToHangCheck returns how long a renewal may wait at the worker, so that its report comes when a run that makes no progress is due to be moved.
func (c *Core) timeToHangCheck(w *worker, now time.Duration) time.Duration {
	wait := renewalWait
	for _, a := range w.allocs {
		if t := a.task; t != nil && t.phase == running && t.percent < 100 && !t.group.spec().LongRunning {
			if due := t.progressAt + c.hangBound(t) + hangCheckMargin - now; due > 0 {
				wait = min(wait, due)
			}
		}
	}
	return max(wait, minRenewalWait)
}

// requestRenewal makes a renewal that returns immediately due, and wakes the worker's polling goroutine.
func (c *Core) requestRenewal(w *worker) {
	w.renewalDue = true
	c.pollWakeups = append(c.pollWakeups, w.ID)
}

// TakePollWakeups returns and clears the ids of the workers whose polling goroutine has to be woken.
func (c *Core) TakePollWakeups() []string {
	out := c.pollWakeups
	c.pollWakeups = nil
	return out
}

// RenewalPause returns the pause before the next renewal. It is 0 if the worker has no unacknowledged ends: that renewal can wait at the worker for
// the end of a run.
func (c *Core) RenewalPause(id string) time.Duration {
	w := c.workers[id]
	if w == nil || len(w.unackedEnds) == 0 {
		return 0
	}
	return unackedRenewalPause
}

// HasWorker reports whether the core tracks the worker, because it is registered or may still run something.
func (c *Core) HasWorker(id string) bool { return c.workers[id] != nil }
