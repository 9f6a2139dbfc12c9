package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
)

// process identifies one incarnation of a worker at an address.
type process struct {
	address     string
	incarnation int64
}

func processOf(w batch.Worker) process { return process{w.Address, w.Incarnation} }

// replaced reports whether the worker's newest known process has ended, because another one responded at its address.
func (w *worker) replaced() bool { return w.Incarnation != 0 && w.endedProcess == processOf(w.Worker) }

// OnReplaced handles a renewal that reached another worker or incarnation than the intended one.
func (c *Core) OnReplaced(id string, renewal Renewal, now time.Duration) {
	c.now = now
	w := c.workers[id]
	switch {
	case w == nil || c.endReplaced(renewal.Worker, now):
	case processOf(renewal.Worker) != processOf(w.Worker):
		c.requestRenewal(w)
	default:
		c.OnRenewalFailed(id, now)
	}
}

// endReplaced ends all runs of a worker's process after another process responded at its address: it no longer listens there, so it has ended.
// It returns false, without effect, if target isn't the worker's newest known process, or if its incarnation is unknown.
func (c *Core) endReplaced(target batch.Worker, now time.Duration) bool {
	w := c.workers[target.ID]
	if w == nil || target.Incarnation == 0 || processOf(target) != processOf(w.Worker) {
		return false
	}
	if w.replaced() {
		return true
	}
	w.endedProcess = processOf(target)
	c.log.WithFields(logrus.Fields{"epoch": c.epoch, "worker": w.ID, "address": w.Address, "boot": w.Incarnation, "runs": len(w.allocs)}).Warn("worker was replaced")
	if !w.unresponsive {
		c.recordFailure(w, now)
		w.unresponsive = true
	}
	c.confirmCrash(w, now)
	c.endAllRuns(w, outcomeReplaced, now)
	c.requestRenewal(w) // is sent once the worker has another process
	return true
}
