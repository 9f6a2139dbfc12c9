package dispatch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
)

// startValidity is how long after it is sent a copy of a start may be carried out: it names a lease of that length, and the worker refuses it once that has ended.
// It exceeds the time that the sender waits for a response (0.7 s). The renewal that is sent beside the start keeps the run alive.
const startValidity = time.Second

// outcome is why a run ended.
type outcome string

const (
	outcomeDone           outcome = "done"
	outcomeFailed         outcome = "failed"
	outcomeStopped        outcome = "stopped"
	outcomeLeaseExpired   outcome = "lapsed"      // its lease expired
	outcomeGangBroken     outcome = "broken"      // another member of the gang ended
	outcomeGangIncomplete outcome = "alone"       // the other members of the gang didn't start in time
	outcomeRefused        outcome = "refused"     // the worker didn't start it
	outcomeMissing        outcome = "missing"     // the worker doesn't list it
	outcomeRestarted      outcome = "rebooted"    // the worker restarted
	outcomeReplaced       outcome = "replaced"    // another worker or incarnation responds at the worker's address
	outcomeNotOrdered     outcome = "not_ordered" // its start was never sent
	outcomeMachineDown    outcome = "taken_down"  // the machine was taken down for maintenance
)

var outcomeOfEnd = map[EndKind]outcome{EndDone: outcomeDone, EndFailed: outcomeFailed, EndStopped: outcomeStopped, EndLeaseExpired: outcomeLeaseExpired, EndGangBroken: outcomeGangBroken,
	EndGangIncomplete: outcomeGangIncomplete}

func (t *task) key() runKey { return runKey{t.name, t.group.run} }

// closeRun handles the end of the current run of a task.
func (c *Core) closeRun(t *task, o outcome, now time.Duration) {
	g := t.group
	c.counts.Ends[string(o)]++
	c.logTask(t).WithFields(logrus.Fields{"outcome": string(o), "percent": t.percent, "ran_ms": (now - t.startedAt).Milliseconds()}).Info("run over")
	if w := c.workers[t.worker]; w != nil {
		w.removeAlloc(t.key())
	}
	c.dirty = true
	c.observeEnd(t, o, now)
	if o == outcomeDone {
		if c.isRunTimeSample(t) {
			c.runTimes.AddSample(g.job.Queue.Name, time.Duration(float64(now-t.startedAt)/c.certainSlowness(g)), g.spec().Estimate)
		}
		c.completeGroup(t, now)
		return
	}
	c.setPhase(t, waiting)
	if o == outcomeFailed {
		c.countFailure(t, g.run, t.worker, now)
	}
	c.putTask(t)
	if g.gang && !g.finished {
		c.stopGroup(g, now, "member_"+string(o))
	}
	g.readySince = now
}

// completeGroup marks the task's group as done: a gang is done when one of its members is.
func (c *Core) completeGroup(t *task, now time.Duration) {
	g := t.group
	if g.finished {
		return
	}
	g.finished = true
	for _, m := range g.tasks {
		if m != t && m.phase.mayBeRunning() {
			c.detachRun(m, now)
		}
		c.setPhase(m, done)
		c.putTask(m)
	}
	j := g.job
	g.state.tasksLeft -= len(g.tasks)
	if g.state.tasksLeft > 0 || j.ending() {
		return
	}
	if o := j.occurrence(g.occurrence); o.complete() {
		c.completeOccurrence(j, o, now)
	}
	c.openSteps(j, now)
}

// detachRun keeps the allocation of a run that is no longer needed until the worker lists its end.
func (c *Core) detachRun(t *task, now time.Duration) {
	w := c.workers[t.worker]
	if w == nil {
		return
	}
	if a := w.allocs[t.key()]; a != nil {
		w.detach(a)
		a.stopOrderedAt = now
	}
	c.requestRenewal(w)
}

// countFailure counts a failed run once for its task group, and ends the job as failed when no attempt is left.
func (c *Core) countFailure(t *task, run int, workerID string, now time.Duration) {
	g := t.group
	if slices.Contains(g.failedRuns, run) {
		return
	}
	g.failedRuns = append(g.failedRuns, run)
	if g.spec().LongRunning {
		// Their number decides nothing, and the row of the task holds them.
		g.failedRuns = g.failedRuns[max(0, len(g.failedRuns)-maxKeptFailures):]
		g.restarts.recordFailure(now, now-g.startedAt())
	}
	g.avoidedWorkers[workerID] = true
	if w := c.workers[workerID]; w != nil && len(g.failedRuns) == 1 {
		// A group that fails again on other workers is more likely to be the cause than the workers are.
		w.health.addFailure(now, 1)
	}
	c.putTasks(g)
	c.failExhausted(g, 0, now)
}

// startedAt returns when the current or last run of the group began.
func (g *taskGroup) startedAt() time.Duration { return g.tasks[0].startedAt }

// failExhausted ends the job of a group as failed if the group has no attempt left or has crashed too many workers. A long-running step has no limit.
func (c *Core) failExhausted(g *taskGroup, crashes int, now time.Duration) {
	if g.finished || g.job.ending() || g.spec().LongRunning || len(g.failedRuns) < g.job.Queue.Attempts && crashes < maxCrashes {
		return
	}
	c.logTask(g.tasks[0]).WithFields(logrus.Fields{"attempts": len(g.failedRuns), "crashes": crashes}).Warn("no attempt is left")
	c.finish(g.job, batch.Failed, now)
}

// stopGroup stops all runs of a task group.
func (c *Core) stopGroup(g *taskGroup, now time.Duration, reason string) {
	c.stopGroupFor(g, now, reason, "")
}

// preempt stops all runs of a task group whose capacity a more urgent job needs.
func (c *Core) preempt(g *taskGroup, now time.Duration, preemptor string) {
	c.stopGroupFor(g, now, "preempted", preemptor)
	g.preemptions++
}

func (c *Core) stopGroupFor(g *taskGroup, now time.Duration, reason, preemptor string) {
	key := StopKey{reason, g.job.Queue.Priority}
	if g.active() {
		c.counts.Stops[key]++
	}
	for _, t := range g.tasks {
		switch t.phase {
		case assigned:
			c.logTask(t).WithField("reason", reason).Info("start withdrawn")
			c.closeRun(t, outcomeNotOrdered, now)
		case ordered, running:
			lost := c.lostWork(t, now)
			c.counts.LostCoreSeconds[key] += lost
			c.logTask(t).WithFields(logrus.Fields{"reason": reason, "claimant": preemptor, "priority": g.job.Queue.Priority, "percent": t.percent,
				"ran_ms": (now - t.startedAt).Milliseconds(), "lost_core_s": int(lost), "preemptions": g.preemptions, "silent_ms": c.silence(t, now).Milliseconds(),
				"standing": c.objectiveStatus(g.job, now).String(), "remaining_percent": int(100 * c.remainingShare(g.job, g.job.occurrence(g.occurrence)))}).Info("stopping run")
			c.setPhase(t, stopping)
			t.stopConfirmed = false
			c.orderStop(t, now)
		}
	}
}

// silence returns the time since the worker of a run last reported.
func (c *Core) silence(t *task, now time.Duration) time.Duration {
	if w := c.workers[t.worker]; w != nil {
		return now - w.lastContact
	}
	return 0
}

func (c *Core) orderStop(t *task, now time.Duration) {
	t.stopOrderedAt = now
	if w := c.workers[t.worker]; w != nil && w.Address != "" {
		c.orders = append(c.orders, Order{Worker: w.Worker, Epoch: c.epoch, Task: t.name, Run: t.group.run, Stop: true})
	}
}

// stopOrphan stops a run that isn't the current run of any task.
func (c *Core) stopOrphan(w *worker, k runKey, a *alloc, now time.Duration) {
	a.stopOrderedAt = now
	c.orders = append(c.orders, Order{Worker: w.Worker, Epoch: c.epoch, Task: k.task, Run: k.run, Stop: true})
}

// placeGroup assigns workers to a task group that is ready, and orders the start once the assignment is stored.
func (c *Core) placeGroup(g *taskGroup, workers []*worker, now time.Duration) {
	g.run++
	for i, t := range g.tasks {
		w := workers[i]
		t.worker, t.incarnation, t.startedAt = w.ID, w.Incarnation, now
		c.setPhase(t, assigned)
		t.percent, t.startPercent, t.startPercentAt, t.reportedCheckpoint = 0, 0, 0, ""
		t.inherited, t.confirmed, t.stopConfirmed = false, false, false
		w.lastPlacementAt = now
		w.setAlloc(t.key(), &alloc{task: t, need: g.spec().Need})
		c.putTask(t)
		run := g.run
		c.afterStored(t.row(), func() { c.orderStart(t, run) })
	}
	if g.job.state == batch.Pending {
		g.job.state = batch.Running
		c.put(stateRow(g.job.ID))
	}
}

// orderStart sends the start of a run whose assignment is stored, unless it was withdrawn in the meantime.
func (c *Core) orderStart(t *task, run int) {
	if t.phase != assigned || t.group.run != run {
		return
	}
	w := c.workers[t.worker]
	now := c.now
	if c.startsDisabled || w.Incarnation != t.incarnation || !c.mayStartIn(w.Service) {
		c.closeRun(t, outcomeNotOrdered, now)
		return
	}
	if c.withdrawEvacuated(t, w, now) {
		return
	}
	if !w.holds(t.group.spec().Need) {
		c.logTask(t).Info("start withdrawn, the worker no longer has the capacity")
		c.closeRun(t, outcomeNotOrdered, now)
		return
	}
	c.setPhase(t, ordered)
	t.startedAt, t.percentChangedAt, t.progressAt = now, now, now
	resume := t.group.resumeCheckpoint()
	t.resumed = resume != ""
	if t.group.suspected() {
		w.closedUntil = now + crashWindow
	}
	c.logTask(t).WithFields(logrus.Fields{"waited_ms": (now - t.group.readySince).Milliseconds(), "resume": t.resumed,
		"priority": t.group.job.Queue.Priority, "standing": c.objectiveStatus(t.group.job, now).String(), "core_equivalents": int(t.group.spec().Need.CoreEquivalents()),
		"gang_size": len(t.group.tasks), "slowness": rounded(c.slowness(w))}).Info("starting run")
	c.counts.Starts = append(c.counts.Starts, StartCount{t.group.job.Queue.Priority, now - t.group.readySince})
	c.pollWakeups = append(c.pollWakeups, w.ID)
	o := Order{Worker: w.Worker, Epoch: c.epoch, Task: t.name, Run: run, Payload: t.group.job.Payload, Resume: resume, Ticket: t.ticketFor(w, now)}
	c.limitValidity(&o, now)
	c.orders = append(c.orders, o)
}

// limitValidity sets the lease of a copy of a start that is sent now. Its end is computed with the rate of an accurate clock, since a worker that was idle for
// long would otherwise refuse the start.
func (c *Core) limitValidity(o *Order, now time.Duration) {
	w := c.workers[o.Worker.ID]
	if w == nil || !w.contacted || o.Worker.Incarnation != w.Incarnation {
		return // the worker refuses an order for another incarnation
	}
	o.LeaseEnd = w.lastClock + now - w.lastContact + startValidity
	w.leaseEnd = max(w.leaseEnd, o.LeaseEnd)
}

// holds reports whether the worker has the capacity for its runs in each resource that need names, where need is that of one of these runs.
func (w *worker) holds(need batch.Resources) bool {
	for _, a := range w.allocs {
		if a.needUnknown {
			return false
		}
	}
	return w.free().Plus(need).Covers(need)
}

// resumeCheckpoint returns the checkpoint from which the group resumes. All members of a gang have to name the same one.
func (g *taskGroup) resumeCheckpoint() string { return g.tasks[0].checkpoint }

// saveCheckpoint records a checkpoint of a run. A checkpoint of any member is valid for the whole gang.
func (g *taskGroup) saveCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if !g.gang {
		t.checkpoint = checkpoint
		return
	}
	for _, m := range g.tasks {
		m.checkpoint = checkpoint
	}
}

func (c *Core) logTask(t *task) *logrus.Entry {
	e := c.log.WithFields(logrus.Fields{"job": t.id.Job, "task": t.name, "run": t.group.run, "worker": t.worker, "epoch": c.epoch})
	if w := c.workers[t.worker]; w != nil {
		e = e.WithField("worker_domain", w.Domain)
	}
	return e
}

// minClock returns a lower bound of the current time on the worker's clock.
func (w *worker) minClock(now time.Duration) time.Duration {
	return w.lastClock + time.Duration(float64(now-w.lastContact)*minClockRate)
}

// longestLease returns an upper bound of the time that a lease which a worker grants now lasts on the leader's clock.
func (c *Core) longestLease() time.Duration {
	return time.Duration(float64(c.bounds.LeaseMax)/minClockRate) + leaseExpiryMargin
}

// leasesExpired reports whether all leases on the worker have certainly expired.
func (w *worker) leasesExpired(now time.Duration) bool {
	if !w.contacted {
		return now > w.leasesExpireAt
	}
	return w.minClock(now) > w.leaseEnd+leaseExpiryMargin
}
