package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// withholdReason is why a copy of an order isn't sent; empty if it is.
type withholdReason string

const (
	withheldNoAuthority   withholdReason = "no_authority"         // the last successful write of the leader is too old
	withheldDeposed       withholdReason = "deposed"              // another host leads, or this one has stopped leading
	withheldReleasing     withholdReason = "releasing"            // the leader is about to release leadership
	withheldNotWanted     withholdReason = "not_wanted"           // of a start: the run isn't current, is stopped or was reported; of a stop: the run is over
	withheldDraining      withholdReason = "draining"             // the worker is draining
	withheldWorkersStale  withholdReason = "workers_stale"        // the capacity of the worker may have changed unnoticed
	withheldOperatorStale withholdReason = "operator_table_stale" // an evacuation may have been requested unnoticed
	withheldEvacuated     withholdReason = "evacuated"            // the failure domain of the worker is evacuated
)

// withholdOrder returns why a copy of an order must not be sent, given the age of the copy of the operator's table.
func (c *Core) withholdOrder(o *Order, operatorAge time.Duration) withholdReason {
	w := c.workers[o.Worker.ID]
	switch {
	case c.deposed:
		return withheldDeposed
	case w == nil:
		return withheldNotWanted
	case o.Stop:
		return c.withholdStop(o, w)
	}
	return c.withholdStart(o, w, operatorAge)
}

// withholdStart is withholdOrder for a start. The worker may have another entry than when the start was ordered.
func (c *Core) withholdStart(o *Order, w *worker, operatorAge time.Duration) withholdReason {
	switch t := c.task(o.Task); {
	case c.startsDisabled:
		return withheldReleasing
	case t == nil || t.group.run != o.Run || t.phase != ordered:
		return withheldNotWanted
	case w.Draining:
		return withheldDraining
	case operatorAge > c.bounds.maxOperatorAge():
		return withheldOperatorStale
	case c.evacuations[o.Worker.Domain], c.evacuated(w):
		return withheldEvacuated
	case !c.mayStartIn(w.Service):
		return withheldWorkersStale
	}
	return ""
}

// withholdStop is withholdOrder for a stop. It isn't wanted any more once the run can't exist.
func (c *Core) withholdStop(o *Order, w *worker) withholdReason {
	if w.allocs[runKey{o.Task, o.Run}] == nil {
		return withheldNotWanted
	}
	return ""
}

// withholdCopy returns why a copy of an order must not be sent. It is called right before sending, since the process may have been paused and the state of
// the core may have changed after the order was decided.
func (r *Runner) withholdCopy(ctx context.Context, o *Order) withholdReason {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case ctx.Err() != nil || r.leadErr != nil:
		return withheldDeposed
	case r.clock.SinceBoot()-r.lastWrite() >= authorityAfterCommit:
		return withheldNoAuthority
	}
	return r.core.withholdOrder(o, r.operatorAge())
}

// mayBeSent reports whether a copy of an order may be sent. ctx ends when the leader stops.
func (r *Runner) mayBeSent(ctx context.Context, o *Order) bool {
	reason := r.withholdCopy(ctx, o)
	if reason != "" {
		r.metrics.CopyWithheld(*o, string(reason))
		r.logOrder(o).WithField("reason", string(reason)).Info("copy of an order withheld")
	}
	return reason == ""
}

// sendCopy sends one copy of an order.
func (r *Runner) sendCopy(ctx context.Context, o Order) Result {
	began := r.clock.SinceBoot()
	if !o.Stop {
		r.mu.Lock()
		r.core.limitValidity(&o, began)
		r.mu.Unlock()
	}
	result := r.workers.Order(ctx, o)
	r.metrics.CopySent(o, result)
	if result == Unknown {
		r.logOrder(&o).WithField("took_ms", (r.clock.SinceBoot() - began).Milliseconds()).Info("copy of an order got no response")
	}
	return result
}

func (r *Runner) logOrder(o *Order) *logrus.Entry {
	return r.log.WithFields(logrus.Fields{"epoch": o.Epoch, "task": o.Task, "run": o.Run, "worker": o.Worker.ID, "kind": o.Kind()})
}
