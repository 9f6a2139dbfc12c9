package dispatch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
)

const (
	// stopRetry is the time after which an unconfirmed stop is sent again; several round trips of a slow worker.
	stopRetry = 500 * time.Millisecond
	// noRoomPause keeps new starts from a worker that had less room than known, until it was read again.
	noRoomPause = 300 * time.Millisecond
	// hangAfter is the time without progress after which a run is moved. It exceeds the time in which a task that is slowed
	// tenfold advances by a percent (1.1 s for the longest tasks) and two reads of the worker.
	hangAfter = 4500 * time.Millisecond
)

// OnStart takes the result of a start into account.
func (c *Core) OnStart(o Order, r Result, now time.Duration) {
	c.now = now
	if r == Deposed {
		c.depose("worker refused a start", o.Worker.ID)
		return
	}
	t := c.task(o.Task)
	if t == nil || t.unit.run != o.Run || t.phase != ordered {
		c.clearOccupant(o, r, now)
		return
	}
	w := c.workers[t.worker]
	if r != Accepted {
		c.logTask(t).WithField("result", r.String()).Info("start not confirmed")
	}
	switch r {
	case Accepted:
		t.phase, t.confirmed, t.confirmedAt, t.startedAt, t.percentAt = running, true, now, now, now
		c.confirm(w, t.key(), now)
	case Superseded:
		// Its end may be listed; the next read of the worker tells.
		t.phase, t.confirmed, t.confirmedAt = running, true, now
		c.confirm(w, t.key(), now)
		c.wantHold(w)
	case InsufficientCapacity:
		w.fullUntil = now + noRoomPause
		c.wantHold(w)
		c.closeRun(t, outRefused, now)
	case NoTicket:
		if s := t.unit.job.steps[t.unit.occurrence][t.unit.step]; s.advice != nil {
			delete(s.advice.tickets, w.ID)
		}
		c.closeRun(t, outRefused, now)
	case Unhealthy, Invalid:
		w.health.fail(now, 1)
		c.closeRun(t, outRefused, now)
	case TooLate, OtherIncarnation:
		c.wantHold(w)
		c.closeRun(t, outRefused, now)
	case Unknown:
		// The start may still be carried out. After a stop the worker refuses it.
		w.health.fail(now, 1)
		c.stopUnit(t.unit, now, "start_unknown")
	}
}

func (c *Core) clearOccupant(o Order, r Result, now time.Duration) {
	if r == Unknown {
		return
	}
	if w := c.workers[o.Worker.ID]; w != nil {
		c.confirm(w, runKey{o.Task, o.Run}, now)
	}
}

// confirm notes that a run can't start later than now.
func (c *Core) confirm(w *worker, k runKey, now time.Duration) {
	if o := w.occupants[k]; o != nil && !o.cleared {
		o.cleared, o.clearedAt = true, now
	}
}

// OnStop takes the result of a stop into account.
func (c *Core) OnStop(o Order, r Result, now time.Duration) {
	c.now = now
	if r == Deposed {
		c.depose("worker refused a stop", o.Worker.ID)
		return
	}
	w := c.workers[o.Worker.ID]
	if w == nil || r == Unknown || r == Unhealthy {
		return
	}
	k := runKey{o.Task, o.Run}
	c.confirm(w, k, now)
	if occ := w.occupants[k]; occ != nil && occ.task != nil {
		occ.task.stopConfirmed = true
		// A list that was asked for before the stop may not show a run that starts in between.
		occ.clearedAt = now
	}
	c.wantHold(w)
}

func (c *Core) depose(why, worker string) {
	if !c.deposed {
		c.log.WithFields(logrus.Fields{"epoch": c.epoch, "worker": worker, "why": why}).Warn("another host leads")
	}
	c.deposed = true
}

// OnReport takes the list of a worker into account. sent and received are the times of the call.
func (c *Core) OnReport(id string, r WorkerReport, sent, received time.Duration) {
	c.now = received
	w := c.workers[id]
	if w == nil {
		return
	}
	if r.Incarnation != 0 && r.Incarnation != w.Incarnation {
		if r.Incarnation < w.Incarnation {
			return
		}
		c.changeBoot(w, r.Incarnation, received)
	}
	w.clock, w.clockAt, w.silent = r.Clock, received, false
	if !w.contacted {
		// Leases that an earlier leader granted end at the latest after the longest lease.
		w.contacted, c.dirty = true, true
		w.leaseEnd = max(w.leaseEnd, r.Clock+c.bounds.LeaseMax)
	}
	listed := map[runKey]bool{}
	for _, e := range r.Ended {
		listed[runKey{e.Task, e.Run}] = true
		c.takeEnd(w, e, received)
	}
	for _, run := range r.Running {
		k := runKey{run.Task, run.Run}
		listed[k] = true
		c.takeRunning(w, k, run, received)
	}
	c.closeMissing(w, listed, sent, received)
}

// takeEnd takes one listed end into account, once.
func (c *Core) takeEnd(w *worker, e EndReport, now time.Duration) {
	if e.N <= w.seen {
		return
	}
	w.seen = e.N
	k := runKey{e.Task, e.Run}
	occ := w.occupants[k]
	delete(w.occupants, k)
	c.dirty = true
	t := c.task(e.Task)
	if t != nil && t.unit.run >= e.Run {
		t.unit.saveCheckpoint(t, e.Checkpoint)
	}
	switch {
	case t != nil && t.worker == w.ID && t.unit.run == e.Run && (t.phase.located() || t.phase == assigned):
		if e.Kind == EndDone {
			w.health.succeed()
		}
		c.closeRun(t, outcomeOf[e.Kind], now)
	case t != nil && e.Kind == EndDone && t.phase != done:
		// A run that was given up as lapsed was done before. Another run of the task isn't needed any more.
		c.logTask(t).WithFields(logrus.Fields{"ended_run": e.Run, "ended_worker": w.ID}).Info("earlier run was done")
		c.adoptDone(t, now)
	case t != nil && e.Kind == EndFailed && t.unit.run > e.Run && !t.unit.finished:
		c.countFailure(t, e.Run, w.ID, now)
	case occ == nil:
		c.log.WithFields(logrus.Fields{"task": e.Task, "run": e.Run, "worker": w.ID, "kind": e.Kind.String()}).Debug("end of an unknown run")
	}
	c.acknowledgeEnd(w, e.N, t)
}

// acknowledgeEnd lets the worker forget the end once what follows from it is stored.
func (c *Core) acknowledgeEnd(w *worker, n uint64, t *task) {
	w.unacked = append(w.unacked, n)
	boot := w.Incarnation
	ack := func() {
		if w.Incarnation != boot {
			return
		}
		if i := slices.Index(w.unacked, n); i >= 0 {
			w.unacked = slices.Delete(w.unacked, i, i+1)
		}
		w.acked = w.seen
		if len(w.unacked) > 0 {
			w.acked = slices.Min(w.unacked) - 1
		}
		c.wantHold(w)
	}
	if t == nil {
		ack()
		return
	}
	c.rows.mark(t.row())
	c.afterStored(t.row(), ack)
}

// adoptDone accepts the result of an earlier run and ends the present one.
func (c *Core) adoptDone(t *task, now time.Duration) {
	for _, m := range t.unit.tasks {
		if m.phase == assigned {
			if w := c.workers[m.worker]; w != nil {
				delete(w.occupants, m.key())
			}
			m.phase = waiting
		}
	}
	c.stopUnit(t.unit, now, "earlier_run_done")
	if t.phase.located() {
		c.detach(t, now)
	}
	c.complete(t, now)
}

func (c *Core) takeRunning(w *worker, k runKey, run RunReport, now time.Duration) {
	occ := w.occupants[k]
	if occ == nil {
		occ = &occupant{cleared: true, clearedAt: now}
		if t := c.task(run.Task); t != nil {
			occ.need = t.unit.spec().Need
		}
		w.occupants[k] = occ
		c.log.WithFields(logrus.Fields{"task": run.Task, "run": run.Run, "worker": w.ID, "epoch": c.epoch}).Info("stopping run that isn't wanted")
		c.stopRun(w, k, occ, now)
		return
	}
	c.confirm(w, k, now)
	t := occ.task
	if t == nil || t.unit.run != k.run {
		if now-occ.stopAt > stopRetry {
			c.stopRun(w, k, occ, now)
		}
		return
	}
	t.unit.saveCheckpoint(t, run.Checkpoint)
	if run.Percent != t.percent {
		switch {
		case t.percent > 0 || t.startPercent > 0:
		case t.inherited:
			t.startedAt = now - time.Duration(float64(c.runTime(&t.unit.job.Job, t.unit.step))*float64(run.Percent)/100)
		default:
			t.startPercent = run.Percent
		}
		t.percent, t.percentAt = run.Percent, now
	}
	if t.phase == ordered {
		t.phase, t.confirmed, t.confirmedAt = running, true, now
	}
}

// closeMissing ends the runs that the worker neither lists nor can start later.
func (c *Core) closeMissing(w *worker, listed map[runKey]bool, sent, now time.Duration) {
	for _, k := range sortedKeys(w.occupants) {
		occ := w.occupants[k]
		if occ == nil || listed[k] || !occ.cleared || occ.clearedAt >= sent {
			continue
		}
		t := occ.task
		delete(w.occupants, k)
		c.dirty = true
		if t != nil && t.unit.run == k.run && t.phase.located() {
			o := outMissing
			if t.phase == stopping {
				o = outStopped
			}
			c.closeRun(t, o, now)
		}
	}
}

// changeBoot takes the start time of a worker into account. Without an earlier one only runs of another life are lost.
func (c *Core) changeBoot(w *worker, boot int64, now time.Duration) {
	if w.Incarnation != 0 {
		c.reboot(w, boot, now)
		return
	}
	w.Incarnation = boot
	for _, k := range sortedKeys(w.occupants) {
		if occ := w.occupants[k]; occ != nil && occ.task != nil && occ.task.boot != 0 && occ.task.boot != boot {
			delete(w.occupants, k)
			c.closeRun(occ.task, outRebooted, now)
		}
	}
}

// reboot takes into account that a worker started anew and runs nothing.
func (c *Core) reboot(w *worker, boot int64, now time.Duration) {
	c.log.WithFields(logrus.Fields{"worker": w.ID, "boot": boot, "old_boot": w.Incarnation}).Warn("worker started anew")
	c.loseRuns(w, outRebooted, now)
	w.Incarnation = boot
	w.seen, w.acked, w.unacked = 0, 0, nil
	w.contacted, w.leaseEnd, w.clock = false, 0, 0
	w.lapseAt = now
	w.health = health{}
	c.wantHold(w)
	c.dirty = true
}

// loseRuns ends all runs on a worker on which nothing runs any more.
func (c *Core) loseRuns(w *worker, o outcome, now time.Duration) {
	for _, k := range sortedKeys(w.occupants) {
		occ := w.occupants[k]
		delete(w.occupants, k)
		if occ == nil || occ.task == nil {
			continue
		}
		if t := occ.task; t.unit.run == k.run && (t.phase.located() || t.phase == assigned) {
			c.closeRun(t, o, now)
		}
	}
	c.dirty = true
}

func sortedKeys(m map[runKey]*occupant) []runKey {
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
func (c *Core) OnRenewalRefused(id string) { c.depose("worker refused a hold", id) }

// OnRenewalFailed handles a renewal that failed: the worker is suspected and counts as unresponsive.
func (c *Core) OnRenewalFailed(id string, h Renewal, now time.Duration) {
	c.now = now
	if w := c.workers[id]; w != nil {
		w.health.fail(now, 1)
		w.silent = true
		if h.Wait == 0 {
			c.wantHold(w)
		}
	}
}

// SetWorkers takes the registry's list of workers.
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
			c.log.WithFields(logrus.Fields{"worker": w.ID, "runs": len(w.occupants)}).Warn("worker left the registry")
		}
	}
}

func (c *Core) setWorker(e batch.Worker, now time.Duration) {
	w := c.workers[e.ID]
	if w == nil {
		w = c.newWorker(e.ID, now)
	}
	if e.Incarnation > w.Incarnation {
		c.changeBoot(w, e.Incarnation, now)
	}
	if e.Draining && !w.Draining {
		w.drainingSince = now
		c.log.WithFields(logrus.Fields{"worker": w.ID, "remaining_ms": e.Remaining.Milliseconds(), "runs": len(w.occupants)}).Info("worker is draining")
	}
	boot := max(w.Incarnation, e.Incarnation)
	w.Worker = e
	w.Incarnation = boot
	if !w.registered {
		w.registered = true
		c.wantHold(w)
	}
	c.dirty = true
}

// newWorker makes a worker on which leases of earlier leaders may last.
func (c *Core) newWorker(id string, now time.Duration) *worker {
	w := &worker{Worker: batch.Worker{ID: id}, occupants: map[runKey]*occupant{}}
	w.lapseAt = now + authorityAfterCommit + time.Duration(float64(c.bounds.LeaseMax)/clockRate) + lapseMargin
	c.workers[id] = w
	c.wakes = append(c.wakes, id)
	return w
}
