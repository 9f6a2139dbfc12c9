package dispatch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// drainReserve is how long before the end of a draining worker its last runs are stopped.
const drainReserve = 300 * time.Millisecond

// Tick does the work that depends on time: it handles lost workers and hanging runs, repeats stops and opens scheduled occurrences. wallMS is the
// time of day in Unix milliseconds.
func (c *Core) Tick(now time.Duration, wallMS int64) {
	c.now, c.timeOfDayMS = now, wallMS
	for _, w := range slices.Clone(c.byID) {
		c.tickWorker(w, now)
	}
	for _, j := range c.liveJobs {
		if j.Schedule != nil {
			c.openSteps(j, now)
		}
	}
	c.openHeldSteps()
	c.retryRejected(now)
	c.tickWaves(now)
	c.logPriorities(now)
	c.deleteOldStates(now)
}

func (c *Core) tickWorker(w *worker, now time.Duration) {
	if w.currentView().mayHaveRuns && w.leasesExpired(now) {
		c.log.WithFields(logrus.Fields{"worker": w.ID, "runs": len(w.allocs), "silent_ms": (now - w.lastContact).Milliseconds()}).Warn("leases of a worker have expired")
		if w.registered {
			c.clearSuspects(w)
		} else {
			c.confirmCrash(w, now)
		}
		c.endAllRuns(w, outcomeLeaseExpired, now)
	}
	if !w.registered && len(w.allocs) == 0 {
		c.removeWorker(w)
		return
	}
	due := map[runKey]*alloc{}
	for k, a := range w.allocs {
		if a.task != nil && c.runActionOf(w, a.task, now) != runActionNone {
			due[k] = a
		}
	}
	for _, k := range sortedKeys(due) {
		if t := due[k].task; t != nil { // the action on another run may have ended it
			c.tickRun(w, t, now)
		}
	}
}

func (c *Core) removeWorker(w *worker) {
	delete(c.workers, w.ID)
	c.speed.Forget(w.ID)
	c.byID = slices.DeleteFunc(c.byID, func(other *worker) bool { return other == w })
}

// runAction is what Tick has to do about a run.
type runAction uint8

const (
	runActionNone runAction = iota
	runActionRepeatStop
	runActionLeave // the worker is draining and ends before the run
	runActionMove  // the run makes no progress
)

func (c *Core) runActionOf(w *worker, t *task, now time.Duration) runAction {
	switch {
	case t.phase == stopping && now-t.stopOrderedAt > stopRetryInterval && (!t.stopConfirmed || now-t.stopOrderedAt > stopRetryInterval+c.bounds.StopMax):
		return runActionRepeatStop
	case t.phase != running:
	case w.Draining && c.mustLeaveDraining(w, t, now):
		return runActionLeave
	case t.group.spec().LongRunning:
	case w.contacted && t.percent < 100 && w.listedRunningAt(t)-t.progressAt > hangTimeout && w.listedRunningAt(t)-t.progressAt > c.hangBound(t) && t.group.allInPhase(running):
		return runActionMove
	}
	return runActionNone
}

// listedRunningAt returns when a report of the worker listed the current run of a task as running last. A report may lack a run whose end it doesn't list yet.
func (w *worker) listedRunningAt(t *task) time.Duration {
	if a := w.allocs[t.key()]; a != nil {
		return a.runningAt
	}
	return 0
}

// tickRun repeats unconfirmed stops, and stops runs that hang or whose worker is draining so that they start elsewhere.
func (c *Core) tickRun(w *worker, t *task, now time.Duration) {
	switch c.runActionOf(w, t, now) {
	case runActionRepeatStop:
		c.orderStop(t, now)
	case runActionLeave:
		c.stopGroup(t.group, now, "worker_leaves")
	case runActionMove:
		if t.group.hangs == 0 {
			// A group that hangs again elsewhere is more likely to be the cause than the workers are.
			w.health.addFailure(now, hangSuspicion)
		}
		c.stopGroup(t.group, now, "no_progress")
		t.group.hangs++
	}
}

// mustLeaveDraining reports whether a run on a draining worker can't finish there and should be stopped now. A run without checkpoints would lose its
// work anyway and is stopped immediately; one with checkpoints or of a long-running step is stopped shortly before the worker ends.
func (c *Core) mustLeaveDraining(w *worker, t *task, now time.Duration) bool {
	workerTimeLeft := w.drainingSince + w.Remaining - now
	spec := t.group.spec()
	if !spec.LongRunning && c.remaining(t, now) < workerTimeLeft-drainReserve {
		return false
	}
	if spec.Checkpoints || spec.LongRunning {
		return workerTimeLeft < drainReserve+c.bounds.StopMax
	}
	return true
}

// remaining estimates the remaining time of a run: from its progress, or from the expected run time while there is too little progress.
func (c *Core) remaining(t *task, now time.Duration) time.Duration {
	if perPercent, ok := t.timePerPercent(); ok {
		return time.Duration(100-t.percent)*perPercent - (now - t.percentChangedAt)
	}
	return max(0, c.expectedOnWorkers(t.group)-(now-t.startedAt))
}
