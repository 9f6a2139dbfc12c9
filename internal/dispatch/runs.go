package dispatch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
)

// startLease is the lease that a start brings along. The read that follows renews it; a start without an answer is over when it has
// ended. It exceeds the longest read (2 s), which may be under way.
const startLease = 3 * time.Second

// outcome is why a run is over.
type outcome string

const (
	outDone       outcome = "done"
	outFailed     outcome = "failed"
	outStopped    outcome = "stopped"
	outLapsed     outcome = "lapsed"      // its lease has ended
	outBroken     outcome = "broken"      // another member of the gang ended
	outAlone      outcome = "alone"       // the other members of the gang didn't come
	outRefused    outcome = "refused"     // the worker didn't start it
	outMissing    outcome = "missing"     // the worker doesn't have it
	outRebooted   outcome = "rebooted"    // the worker started anew
	outNotOrdered outcome = "not_ordered" // it was never ordered
	outTakenDown  outcome = "taken_down"  // the machine was taken down for maintenance
)

var outcomeOf = map[EndKind]outcome{EndDone: outDone, EndFailed: outFailed, EndStopped: outStopped, EndLeaseExpired: outLapsed, EndGangBroken: outBroken,
	EndGangIncomplete: outAlone}

func (t *task) key() runKey { return runKey{t.name, t.unit.run} }

// closeRun takes the end of the present run of a task into account.
func (c *Core) closeRun(t *task, o outcome, now time.Duration) {
	u := t.unit
	c.counts.Ends[string(o)]++
	c.logTask(t).WithFields(logrus.Fields{"outcome": string(o), "percent": t.percent, "ran_ms": (now - t.startedAt).Milliseconds()}).Info("run over")
	if w := c.workers[t.worker]; w != nil {
		delete(w.occupants, t.key())
	}
	c.dirty = true
	if o == outDone {
		c.complete(t, now)
		return
	}
	t.phase = waiting
	if o == outFailed {
		c.countFailure(t, u.run, t.worker, now)
	}
	c.rows.mark(t.row())
	if u.gang && !u.finished {
		c.stopUnit(u, now, "member_"+string(o))
	}
	u.readySince = now
}

// complete marks a task as done; the end of one member is that of its gang.
func (c *Core) complete(t *task, now time.Duration) {
	u := t.unit
	if u.finished {
		return
	}
	u.finished = true
	for _, m := range u.tasks {
		if m != t && m.phase.located() {
			c.detach(m, now)
		}
		m.phase = done
		c.rows.mark(m.row())
	}
	j := u.job
	s := j.steps[u.occurrence][u.step]
	s.left -= len(u.tasks)
	if !t.inherited {
		c.times.learn(j, now-t.startedAt, t.startPercent)
	}
	if s.left > 0 || j.ending() {
		return
	}
	j.stepsLeft--
	if j.stepsLeft == 0 {
		c.finish(j, batch.Completed, now)
		return
	}
	c.openSteps(j, now)
}

// detach leaves a run that is no longer wanted as an occupant of its worker until the worker lists its end.
func (c *Core) detach(t *task, now time.Duration) {
	w := c.workers[t.worker]
	if w == nil {
		return
	}
	if o := w.occupants[t.key()]; o != nil {
		o.task = nil
		o.stopAt = now
	}
	c.wantHold(w)
}

// countFailure counts a failed run once for its unit, and ends the job when no attempt is left.
func (c *Core) countFailure(t *task, run int, workerID string, now time.Duration) {
	u := t.unit
	if slices.Contains(u.failed, run) {
		return
	}
	u.failed = append(u.failed, run)
	u.avoid[workerID] = true
	if w := c.workers[workerID]; w != nil && len(u.failed) == 1 {
		// A unit that fails again on other workers is more likely at fault than they are.
		w.health.fail(now, 1)
	}
	for _, m := range u.tasks {
		c.rows.mark(m.row())
	}
	if len(u.failed) >= u.job.Queue.Attempts && !u.spec().LongRunning && !u.job.ending() {
		c.logTask(t).WithField("attempts", len(u.failed)).Warn("no attempt is left")
		c.finish(u.job, batch.Failed, now)
	}
}

// stopUnit ends all runs of a unit.
func (c *Core) stopUnit(u *unit, now time.Duration, reason string) {
	c.stopUnitFor(u, now, reason, "")
}

// preempt ends all runs of a unit, whose room a more urgent job takes.
func (c *Core) preempt(u *unit, now time.Duration, claimant string) {
	c.stopUnitFor(u, now, "preempted", claimant)
	u.preemptions++
}

func (c *Core) stopUnitFor(u *unit, now time.Duration, reason, claimant string) {
	key := StopKey{reason, u.job.Queue.Priority}
	if u.active() {
		c.counts.Stops[key]++
	}
	for _, t := range u.tasks {
		switch t.phase {
		case assigned:
			c.logTask(t).WithField("reason", reason).Info("start withdrawn")
			c.closeRun(t, outNotOrdered, now)
		case ordered, running:
			lost := c.lossOf(t, now)
			c.counts.LostCoreSeconds[key] += lost
			c.logTask(t).WithFields(logrus.Fields{"reason": reason, "claimant": claimant, "priority": u.job.Queue.Priority, "percent": t.percent,
				"ran_ms": (now - t.startedAt).Milliseconds(), "lost_core_s": int(lost), "preemptions": u.preemptions}).Info("stopping run")
			t.phase, t.stopConfirmed = stopping, false
			c.orderStop(t, now)
		}
	}
}

func (c *Core) orderStop(t *task, now time.Duration) {
	t.stopAt = now
	if w := c.workers[t.worker]; w != nil && w.Address != "" {
		c.orders = append(c.orders, Order{Worker: w.Worker, Epoch: c.epoch, Task: t.name, Run: t.unit.run, Stop: true})
	}
}

// stopRun ends a run that isn't the present one of any task.
func (c *Core) stopRun(w *worker, k runKey, o *occupant, now time.Duration) {
	o.stopAt = now
	c.orders = append(c.orders, Order{Worker: w.Worker, Epoch: c.epoch, Task: k.task, Run: k.run, Stop: true})
}

// place assigns workers to a unit that is ready and orders the start once that is stored.
func (c *Core) place(u *unit, workers []*worker, now time.Duration) {
	u.run++
	for i, t := range u.tasks {
		w := workers[i]
		t.phase, t.worker, t.boot, t.startedAt = assigned, w.ID, w.Incarnation, now
		t.percent, t.startPercent, t.inherited, t.confirmed, t.stopConfirmed = 0, 0, false, false, false
		w.occupants[t.key()] = &occupant{task: t, need: u.spec().Need}
		c.rows.mark(t.row())
		run := u.run
		c.afterStored(t.row(), func() { c.orderStart(t, run) })
	}
	if u.job.state == batch.Pending {
		u.job.state = batch.Running
		c.rows.mark(stateRow(u.job.ID))
	}
}

// orderStart sends the start of a run whose record is stored, unless it was withdrawn meanwhile.
func (c *Core) orderStart(t *task, run int) {
	if t.phase != assigned || t.unit.run != run {
		return
	}
	w := c.workers[t.worker]
	now := c.now
	if c.freeze || w.Incarnation != t.boot {
		c.closeRun(t, outNotOrdered, now)
		return
	}
	t.phase, t.startedAt, t.percentAt = ordered, now, now
	lease := w.clockNow(now) + startLease
	w.leaseEnd = max(w.leaseEnd, lease)
	c.logTask(t).WithFields(logrus.Fields{"waited_ms": (now - t.unit.readySince).Milliseconds(), "resume": t.checkpoint != "",
		"priority": t.unit.job.Queue.Priority, "standing": c.standing(t.unit.job, now).String(), "core_equivalents": int(t.unit.spec().Need.CoreEquivalents()),
		"gang_size": len(t.unit.tasks)}).Info("starting run")
	c.counts.Starts = append(c.counts.Starts, StartCount{t.unit.job.Queue.Priority, now - t.unit.readySince})
	c.wakes = append(c.wakes, w.ID)
	c.orders = append(c.orders, Order{Worker: w.Worker, Epoch: c.epoch, Task: t.name, Run: run, Payload: t.unit.job.Payload,
		LeaseEnd: lease, Resume: t.unit.resume(), Ticket: t.ticketFor(w, now)})
}

// resume returns the checkpoint from which the unit goes on. All members of a gang have to name the same one.
func (u *unit) resume() string { return u.tasks[0].checkpoint }

// saveCheckpoint remembers a checkpoint of a run. That of any member is valid for its gang.
func (u *unit) saveCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if !u.gang {
		t.checkpoint = checkpoint
		return
	}
	for _, m := range u.tasks {
		m.checkpoint = checkpoint
	}
}

func (c *Core) logTask(t *task) *logrus.Entry {
	e := c.log.WithFields(logrus.Fields{"job": t.id.Job, "task": t.name, "run": t.unit.run, "worker": t.worker, "epoch": c.epoch})
	if w := c.workers[t.worker]; w != nil {
		e = e.WithField("worker_domain", w.Domain)
	}
	return e
}

// clockNow returns a lower bound of the worker's clock.
func (w *worker) clockNow(now time.Duration) time.Duration {
	return w.clock + time.Duration(float64(now-w.clockAt)*clockRate)
}

// lapsed reports whether every lease on the worker must have ended.
func (w *worker) lapsed(now time.Duration) bool {
	if !w.contacted {
		return now > w.lapseAt
	}
	return w.clockNow(now) > w.leaseEnd+lapseMargin
}
