package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
)

const (
	// stopRetryInterval is the time after which an unconfirmed stop is sent again; several round trips to a slow worker.
	stopRetryInterval = 500 * time.Millisecond
	// fullWorkerPause is the time without new starts on a worker that refused one for insufficient capacity, so that its next report comes first, or to
	// which no connection could be opened.
	fullWorkerPause = 300 * time.Millisecond
)

// OnStart handles the result of a start.
func (c *Core) OnStart(o Order, d Delivery, now time.Duration) {
	c.now = now
	r := d.Result
	if r == Deposed {
		c.depose("worker refused a start", o.Worker.ID)
		return
	}
	if d.Response == OtherIncarnation && c.endReplaced(o.Worker, now) {
		return
	}
	if w := c.workers[o.Worker.ID]; w != nil {
		c.endDelivery(w, o, now)
	}
	t := c.task(o.Task)
	if t == nil || t.group.run != o.Run || t.phase != ordered {
		c.settleStaleStart(o, r, now)
		return
	}
	w := c.workers[t.worker]
	if r != Accepted {
		fields := logrus.Fields{"result": r.String(), "response": d.Response.String(), "unanswered_copies": d.UnansweredCopies}
		if c.evacuated(w) {
			fields["evacuated"] = true
		}
		c.logTask(t).WithFields(fields).Info("start not confirmed")
	}
	switch r {
	case Accepted:
		c.setPhase(t, running)
		t.confirmed, t.confirmedAt, t.startedAt, t.percentChangedAt, t.progressAt = true, now, now, now, now
		c.settleStart(w, t.key(), now)
	case Superseded:
		// The worker may list its end; the next report shows it.
		c.setPhase(t, running)
		t.confirmed, t.confirmedAt = true, now
		c.settleStart(w, t.key(), now)
		c.requestRenewal(w)
	case InsufficientCapacity:
		w.fullUntil = now + fullWorkerPause
		c.requestRenewal(w)
		c.closeRun(t, outcomeRefused, now)
	case NoTicket:
		if s := t.group.state; s.advice != nil {
			delete(s.advice.tickets, w.ID)
		}
		c.closeRun(t, outcomeRefused, now)
	case Unhealthy, Invalid, NotSent:
		w.health.addFailure(now, 1)
		c.closeRun(t, outcomeRefused, now)
	case NoConnection:
		w.fullUntil = now + fullWorkerPause
		c.closeRun(t, outcomeRefused, now)
	case TooLate, OtherIncarnation:
		c.requestRenewal(w)
		c.closeRun(t, outcomeRefused, now)
	case Unknown:
		// The start may still be carried out. The worker refuses it after a stop.
		w.health.addFailure(now, 1)
		c.stopGroup(t.group, now, "start_unknown")
	}
}

// endDelivery records that no more copies of a start are sent. If the worker restarted meanwhile, its new incarnation may have granted the longest lease,
// since the end of the lease was computed for the clock of the earlier one.
func (c *Core) endDelivery(w *worker, o Order, now time.Duration) {
	if a := w.allocs[runKey{o.Task, o.Run}]; a != nil {
		a.delivered = true
	}
	switch {
	case w.Incarnation == o.Worker.Incarnation:
	case w.contacted:
		w.leaseEnd = max(w.leaseEnd, w.minClock(now)+c.bounds.LeaseMax)
	default:
		w.leasesExpireAt = max(w.leasesExpireAt, now+c.longestLease())
	}
}

// settleStaleStart handles the result of a start whose run is no longer current or no longer waits for that result.
func (c *Core) settleStaleStart(o Order, r Result, now time.Duration) {
	if r == Unknown {
		return
	}
	if w := c.workers[o.Worker.ID]; w != nil {
		c.settleStart(w, runKey{o.Task, o.Run}, now)
	}
}

// settleStart records that a run that has not started by now can't start later.
func (c *Core) settleStart(w *worker, k runKey, now time.Duration) {
	if a := w.allocs[k]; a != nil && !a.startSettled {
		a.startSettled, a.startSettledAt = true, now
	}
}

// OnStop handles the result of a stop.
func (c *Core) OnStop(o Order, r Result, now time.Duration) {
	c.now = now
	if r == Deposed {
		c.depose("worker refused a stop", o.Worker.ID)
		return
	}
	if r == OtherIncarnation && c.endReplaced(o.Worker, now) {
		return
	}
	w := c.workers[o.Worker.ID]
	if w == nil || !r.confirmsStop() || o.Worker.Incarnation != w.Incarnation {
		return // an earlier incarnation may have confirmed it
	}
	k := runKey{o.Task, o.Run}
	c.settleStart(w, k, now)
	if a := w.allocs[k]; a != nil && a.task != nil {
		a.task.stopConfirmed = true
		// A report that was requested before the stop may lack a run that starts in between.
		a.startSettledAt = now
	}
	c.requestRenewal(w)
}

// confirmsStop reports whether a result of a stop tells that the worker has carried it out. TooLate means that the stop was not sent.
func (r Result) confirmsStop() bool {
	return r != Unknown && r != NotSent && r != NoConnection && r != Unhealthy && r != TooLate
}

func (c *Core) depose(reason, worker string) {
	if !c.deposed {
		c.log.WithFields(logrus.Fields{"epoch": c.epoch, "worker": worker, "why": reason}).Warn("another host leads")
	}
	c.deposed = true
}

// OnReport handles the report of a worker. sent and received are the times of the call.
func (c *Core) OnReport(id string, r WorkerReport, sent, received time.Duration) {
	c.now = received
	w := c.workers[id]
	if w == nil {
		return
	}
	if r.Incarnation != 0 && r.Incarnation != w.Incarnation {
		if r.Incarnation < w.Incarnation && sent <= w.incarnationAt {
			return // a late response of an earlier incarnation
		}
		c.setIncarnation(w, r.Incarnation, received)
	}
	w.incarnationAt = received
	c.checkSuspects(w, r.Running, received)
	w.reportGap = received - w.lastContact
	w.lastClock, w.lastContact, w.unresponsive = r.Clock, received, false
	if !w.contacted {
		// A lease that an earlier leader granted ends at most LeaseMax from now.
		w.contacted, c.dirty = true, true
		w.leaseEnd = max(w.leaseEnd, r.Clock+c.bounds.LeaseMax)
	}
	listed := map[runKey]bool{}
	if !slices.ContainsFunc(r.Ended, func(e EndReport) bool { return e.N <= w.ackedEnd }) {
		w.forgottenEnd = w.ackedEnd
	}
	for _, e := range r.Ended {
		listed[runKey{e.Task, e.Run}] = true
		c.applyEnd(w, e, received)
	}
	if w.replaced() {
		return // the report is older than the end of this process
	}
	for _, run := range r.Running {
		k := runKey{run.Task, run.Run}
		listed[k] = true
		c.applyRunning(w, k, run, received)
	}
	if r.Incomplete {
		c.log.WithFields(logrus.Fields{"worker": w.ID, "epoch": c.epoch, "running": len(r.Running), "ended": len(r.Ended), "runs": len(w.allocs)}).Info("report of a worker is incomplete")
	} else {
		c.closeMissingRuns(w, listed, sent, received)
	}
	if w.ackedEnd > w.forgottenEnd {
		c.requestRenewal(w)
	}
}

// applyEnd handles the reported end of a run. Ends that were handled before are ignored.
func (c *Core) applyEnd(w *worker, e EndReport, now time.Duration) {
	if e.N <= w.appliedEnd {
		return
	}
	w.appliedEnd = e.N
	k := runKey{e.Task, e.Run}
	a := w.allocs[k]
	w.removeAlloc(k)
	c.dirty = true
	t := c.task(e.Task)
	if t != nil && t.group.run >= e.Run {
		t.group.saveCheckpoint(t, e.Checkpoint)
	}
	switch {
	case t != nil && t.worker == w.ID && t.group.run == e.Run && (t.phase.mayBeRunning() || t.phase == assigned):
		if e.Kind == EndDone {
			w.health.addSuccess()
		}
		c.closeRun(t, outcomeOfEnd[e.Kind], now)
	case t != nil && e.Kind == EndDone && t.phase != done:
		// The run was closed because its lease had expired, but it was done before that. Another run of the task isn't needed.
		c.logTask(t).WithFields(logrus.Fields{"ended_run": e.Run, "ended_worker": w.ID}).Info("earlier run was done")
		c.adoptEarlierResult(t, now)
	case t != nil && e.Kind == EndFailed && t.group.run >= e.Run && !t.group.finished:
		c.countFailure(t, e.Run, w.ID, now)
	case a == nil:
		c.log.WithFields(logrus.Fields{"task": e.Task, "run": e.Run, "worker": w.ID, "kind": e.Kind.String()}).Debug("end of an untracked run")
	}
	c.acknowledgeEnd(w, e.N, t)
}

// acknowledgeEnd acknowledges an end to the worker once its effects are stored; the worker then forgets it.
func (c *Core) acknowledgeEnd(w *worker, n uint64, t *task) {
	w.unackedEnds = append(w.unackedEnds, n)
	incarnation := w.Incarnation
	ack := func() {
		if w.Incarnation != incarnation {
			return
		}
		if i := slices.Index(w.unackedEnds, n); i >= 0 {
			w.unackedEnds = slices.Delete(w.unackedEnds, i, i+1)
		}
		w.ackedEnd = w.appliedEnd
		if len(w.unackedEnds) > 0 {
			w.ackedEnd = slices.Min(w.unackedEnds) - 1
		}
		c.requestRenewal(w)
	}
	if t == nil {
		ack()
		return
	}
	c.putTask(t)
	c.afterStored(t.row(), ack)
}

// adoptEarlierResult accepts the result of an earlier run and stops the current one.
func (c *Core) adoptEarlierResult(t *task, now time.Duration) {
	for _, m := range t.group.tasks {
		if m.phase == assigned {
			if w := c.workers[m.worker]; w != nil {
				w.removeAlloc(m.key())
			}
			c.setPhase(m, waiting)
		}
	}
	c.stopGroup(t.group, now, "earlier_run_done")
	if t.phase.mayBeRunning() {
		c.detachRun(t, now)
	}
	c.completeGroup(t, now)
}

func (c *Core) applyRunning(w *worker, k runKey, run RunReport, now time.Duration) {
	a := w.allocs[k]
	if a == nil {
		a = &alloc{startSettled: true, startSettledAt: now, listed: true, delivered: true}
		if t := c.task(run.Task); t != nil {
			a.need = t.group.spec().Need
		} else {
			a.needUnknown = true
		}
		w.setAlloc(k, a)
		c.log.WithFields(logrus.Fields{"task": run.Task, "run": run.Run, "worker": w.ID, "epoch": c.epoch}).Info("stopping an orphaned run")
		c.stopOrphan(w, k, a, now)
		return
	}
	c.settleStart(w, k, now)
	a.listed, a.runningAt = true, now
	t := a.task
	if t == nil || t.group.run != k.run {
		if now-a.stopOrderedAt > stopRetryInterval {
			c.stopOrphan(w, k, a, now)
		}
		return
	}
	c.clearSuspicion(t.group, t, now)
	if run.Percent != t.percent || run.Checkpoint != t.reportedCheckpoint {
		t.progressAt, t.reportedCheckpoint = now, run.Checkpoint
	}
	t.group.saveCheckpoint(t, run.Checkpoint)
	if run.Percent != t.percent {
		switch {
		case t.percent > 0:
		case t.inherited:
			t.startedAt = now - time.Duration(float64(c.expectedOnWorkers(t.group))*float64(run.Percent)/100)
		case t.resumed:
			t.startPercent, t.startPercentAt = run.Percent, now
		}
		t.percent, t.percentChangedAt = run.Percent, now
	}
	if t.phase == ordered {
		c.setPhase(t, running)
		t.confirmed, t.confirmedAt = true, now
	}
	c.observeProgress(t, now)
}

// closeMissingRuns closes the runs that the worker does not list and can no longer start.
func (c *Core) closeMissingRuns(w *worker, listed map[runKey]bool, sent, now time.Duration) {
	for _, k := range sortedKeys(w.allocs) {
		a := w.allocs[k]
		if a == nil || listed[k] || !a.startSettled || a.startSettledAt >= sent {
			continue
		}
		t := a.task
		w.removeAlloc(k)
		c.dirty = true
		if t != nil && t.group.run == k.run && t.phase.mayBeRunning() {
			o := outcomeMissing
			if t.phase == stopping {
				o = outcomeStopped
			}
			c.closeRun(t, o, now)
		}
	}
}

// setIncarnation records the incarnation of a worker.
func (c *Core) setIncarnation(w *worker, incarnation int64, now time.Duration) {
	if w.Incarnation != 0 {
		c.handleRestart(w, incarnation, now)
	}
	w.Incarnation = incarnation
}

// handleRestart handles the restart of a worker. Runs that the earlier incarnation has listed have ended, unless copies of their start are still being
// sent. Orders name a worker by its id only, so that the new incarnation may run any other: it may have carried out an order that was in flight. Its
// own report decides on those.
func (c *Core) handleRestart(w *worker, incarnation int64, now time.Duration) {
	c.log.WithFields(logrus.Fields{"worker": w.ID, "boot": incarnation, "old_boot": w.Incarnation}).Warn("worker restarted")
	w.appliedEnd, w.ackedEnd, w.forgottenEnd, w.unackedEnds = 0, 0, 0, nil
	w.contacted, w.leaseEnd, w.lastClock = false, 0, 0
	w.leasesExpireAt = now + c.longestLease()
	w.health = health{}
	c.recordFlap(w, now)
	for _, k := range sortedKeys(w.allocs) {
		a := w.allocs[k]
		switch {
		case a == nil:
		case a.listed && a.delivered:
			c.endRunOn(w, k, outcomeRestarted, now)
		default:
			a.listed, a.startSettled = false, a.delivered
			if t := a.task; t != nil && t.phase == running && !a.delivered {
				c.setPhase(t, ordered)
			}
			c.repeatStop(w, k, a, now)
		}
	}
	c.requestRenewal(w)
	c.dirty = true
}

// repeatStop orders the stop of a run again for a new incarnation of its worker, which doesn't know the earlier one.
func (c *Core) repeatStop(w *worker, k runKey, a *alloc, now time.Duration) {
	switch {
	case a.task == nil || a.task.group.run != k.run:
		a.startSettled = false
		c.stopOrphan(w, k, a, now)
	case a.task.phase == stopping:
		a.startSettled, a.task.stopConfirmed = false, false
		c.orderStop(a.task, now)
	}
}

// endAllRuns closes all runs of a worker on which nothing can be running any more.
func (c *Core) endAllRuns(w *worker, o outcome, now time.Duration) {
	for _, k := range sortedKeys(w.allocs) {
		c.endRunOn(w, k, o, now)
	}
	c.dirty = true
}

// endRunOn closes a run that can't be running on a worker any more.
func (c *Core) endRunOn(w *worker, k runKey, o outcome, now time.Duration) {
	a := w.allocs[k]
	w.removeAlloc(k)
	if a == nil || a.task == nil {
		return
	}
	if t := a.task; t.group.run == k.run && (t.phase.mayBeRunning() || t.phase == assigned) {
		c.closeRun(t, o, now)
	}
}

func sortedKeys(m map[runKey]*alloc) []runKey {
	out := make([]runKey, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b runKey) int {
		if a.task != b.task {
			if a.task < b.task {
				return -1
			}
			return 1
		}
		return a.run - b.run
	})
	return out
}

// OnRenewalRefused handles the refusal of a renewal by a worker that has seen a newer epoch: this leader is deposed.
func (c *Core) OnRenewalRefused(id string) { c.depose("worker refused a renewal", id) }

// OnRenewalFailed handles a renewal that failed: the worker is suspected and counts as unresponsive.
func (c *Core) OnRenewalFailed(id string, now time.Duration) {
	c.now = now
	if w := c.workers[id]; w != nil {
		if !w.unresponsive {
			w.health.addFailure(now, 1)
			c.recordFailure(w, now)
		}
		w.unresponsive, w.renewalDue = true, true
	}
}

// OnRenewalNotSent handles a renewal for which this host could not open a connection.
func (c *Core) OnRenewalNotSent(id string) {
	if w := c.workers[id]; w != nil {
		w.renewalDue = true
	}
}

// SetWorkers applies the registry's list of workers.
func (c *Core) SetWorkers(list []batch.Worker, now time.Duration) {
	c.now = now
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		c.setWorker(e, now)
	}
	for _, w := range c.workers {
		if w.registered && !seen[w.ID] {
			w.registered, c.dirty = false, true
			c.log.WithFields(logrus.Fields{"worker": w.ID, "runs": len(w.allocs)}).Warn("worker left the registry")
		}
	}
}

func (c *Core) setWorker(e batch.Worker, now time.Duration) {
	w := c.workers[e.ID]
	if w == nil {
		w = c.newWorker(e.ID, now)
	}
	earlier := e.Incarnation != 0 && e.Incarnation < w.Incarnation
	if earlier && (!w.unresponsive || !w.leasesExpired(now)) {
		return // the address of an earlier incarnation may be that of another worker now
	}
	if earlier || e.Incarnation > w.Incarnation {
		// The time of day may have gone back before the worker started again.
		c.setIncarnation(w, e.Incarnation, now)
		w.incarnationAt = now
	}
	if e.Draining && !w.Draining {
		w.drainingSince = now
		c.log.WithFields(logrus.Fields{"worker": w.ID, "remaining_ms": e.Remaining.Milliseconds(), "runs": len(w.allocs)}).Info("worker is draining")
	}
	if e.Incarnation > w.entryIncarnation || earlier {
		w.takenDown = false
	}
	incarnation := max(w.Incarnation, e.Incarnation)
	w.Worker, w.entryIncarnation, w.view = e, e.Incarnation, nil
	w.Incarnation = incarnation
	if !w.registered {
		w.registered = true
		c.requestRenewal(w)
	}
	c.dirty = true
}

// newWorker adds a worker on which leases of earlier leaders may still be valid.
func (c *Core) newWorker(id string, now time.Duration) *worker {
	w := &worker{Worker: batch.Worker{ID: id}, allocs: map[runKey]*alloc{}}
	w.leasesExpireAt = now + authorityAfterCommit + c.longestLease()
	c.workers[id] = w
	at, _ := slices.BinarySearchFunc(c.byID, id, func(w *worker, id string) int { return strings.Compare(w.ID, id) })
	c.byID = slices.Insert(c.byID, at, w)
	c.pollWakeups = append(c.pollWakeups, id)
	return w
}
