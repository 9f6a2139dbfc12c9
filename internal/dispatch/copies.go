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
	withheldOperatorStale withholdReason = "operator_table_stale" // an evacuation may have been requested unnoticed
	withheldEvacuated     withholdReason = "evacuated"            // the failure domain of the worker is evacuated
)

// withholdStart returns why a copy of a start must not be sent, given the age of the copy of the operator's table. The worker may have another entry than
// when the start was ordered.
func (c *Core) withholdStart(o *Order, operatorAge time.Duration) withholdReason {
	w := c.workers[o.Worker.ID]
	switch {
	case operatorAge > c.bounds.maxOperatorAge():
		return withheldOperatorStale
	case c.evacuations[o.Worker.Domain], w != nil && c.evacuated(w):
		return withheldEvacuated
	}
	return ""
}

// withholdCopy returns why a copy of an order must not be sent. It is called right before sending, since the process may have been paused and the state of
// the core may have changed after the order was decided.
func (r *Runner) withholdCopy(o *Order) withholdReason {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.mayAct() {
		return withheldNoAuthority
	}
	return r.core.withholdStart(o, r.operatorAge())
}

// mayAct is hasAuthority for a check right before an order is sent.
func (r *Runner) mayAct() bool { return r.clock.SinceBoot()-r.lastWrite() < authorityAfterCommit }

// mayBeSent is the StillAllowed of an order.
func (r *Runner) mayBeSent(o *Order) bool {
	reason := r.withholdCopy(o)
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
