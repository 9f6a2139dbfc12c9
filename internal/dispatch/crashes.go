package dispatch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// crashWindow is the age below which a run is suspected to be the cause when its worker crashes, and the time without other starts around the start of
	// a suspected task on a worker.
	crashWindow = 250 * time.Millisecond
	// crashClockError bounds how much later than the crash of its worker the start of a run may seem to be: the response is handled after the failure.
	crashClockError = 100 * time.Millisecond
	// crashClearedAge is the age of a run from which its task is no longer suspected.
	crashClearedAge = time.Second
	// massCrashWorkers is the number of workers that fail within massCrashWindow of each other from which a common cause is assumed instead of their tasks.
	massCrashWorkers = 5
	massCrashWindow  = 100 * time.Millisecond
	// maxCrashes is the number of crashes with a task as their only possible cause after which its job fails.
	maxCrashes = 2
)

// suspected reports whether runs of the group were starting on a worker when it crashed, and none has lasted since.
func (g *taskGroup) suspected() bool { return g.suspectedRun > 0 }

// taskCrash is a crash of a worker of which the start of a run of a task may have been the only cause.
type taskCrash struct {
	run    int
	worker string // empty if it isn't known
}

// addCrash records that a worker stopped responding while a run of the task was starting there. Of a worker only the first crash is recorded: another one
// says as much about the worker as about the task.
func (t *task) addCrash(run int, worker string, onlyCause bool) {
	if !t.group.suspected() {
		t.group.suspectedRun = run
	}
	known := slices.ContainsFunc(t.crashes, func(c taskCrash) bool { return c.run == run || c.worker != "" && c.worker == worker })
	if onlyCause && !known && len(t.crashes) < maxKeptFailures {
		t.crashes = append(slices.Clip(t.crashes), taskCrash{run, worker})
	}
}

// clearCrash withdraws what addCrash recorded for a run.
func (t *task) clearCrash(run int) {
	if t.group.suspectedRun == run {
		t.group.suspectedRun = 0
	}
	t.withdrawCrash(run)
}

// withdrawCrash removes a run from those that may have been the only cause of a crash. The suspicion remains.
func (t *task) withdrawCrash(run int) {
	t.crashes = slices.DeleteFunc(slices.Clone(t.crashes), func(c taskCrash) bool { return c.run == run })
}

// crashes returns the largest number of workers that a task of the group may have crashed.
func (g *taskGroup) crashes() int {
	n := 0
	for _, t := range g.tasks {
		n = max(n, len(t.crashes))
	}
	return n
}

// crashSuspect is the record of a run that was starting on a worker when the worker stopped responding.
type crashSuspect struct {
	task *task
	run  int
}

// startAccepted reports whether the worker had accepted the start. Otherwise it may have crashed before.
func (s crashSuspect) startAccepted() bool { return s.task.group.run == s.run && s.task.confirmed }

// suspectsAt returns the runs that were starting on a worker when it failed.
func suspectsAt(w *worker, failedAt time.Duration) []crashSuspect {
	var out []crashSuspect
	for _, k := range sortedKeys(w.allocs) {
		t := w.allocs[k].task
		if t == nil || t.group.run != k.run || !t.phase.mayBeRunning() || t.inherited {
			continue
		}
		if age := failedAt - t.startedAt; age < crashWindow && age > -crashClockError {
			out = append(out, crashSuspect{t, k.run})
		}
	}
	return out
}

// onlyCause returns the only group that may have caused a crash: the only one, or the one that was suspected before and started apart from others. It
// returns nil if several may.
func onlyCause(suspects []crashSuspect) *taskGroup {
	var groups, suspected []*taskGroup
	for _, s := range suspects {
		g := s.task.group
		if slices.Contains(groups, g) {
			continue
		}
		groups = append(groups, g)
		if g.suspected() && g.startedApart {
			suspected = append(suspected, g)
		}
	}
	switch {
	case len(suspected) == 1:
		return suspected[0]
	case len(groups) == 1:
		return groups[0]
	}
	return nil
}

// recordFailure records that a worker stopped responding, and which tasks may have crashed it. This is stored before the crash is certain, so that
// a new leader knows it.
func (c *Core) recordFailure(w *worker, now time.Duration) {
	w.failedAt, w.failedIncarnation = now, w.Incarnation
	c.failures = slices.DeleteFunc(c.failures, func(at time.Duration) bool { return at < now-2*c.longestLease() })
	c.failures = append(c.failures, now)
	w.crashSuspects = suspectsAt(w, now)
	cause := onlyCause(w.crashSuspects)
	for _, s := range w.crashSuspects {
		s.task.addCrash(s.run, w.ID, s.task.group == cause && !w.flaps.recent(now))
		c.putTasks(s.task.group)
	}
}

// checkSuspects handles that a worker responds again. If it hasn't restarted, it has not crashed. If it has, the new incarnation may have carried
// out the starts of the runs that it lists.
func (c *Core) checkSuspects(w *worker, listed []RunReport, now time.Duration) {
	switch {
	case len(w.crashSuspects) == 0:
	case w.Incarnation == w.failedIncarnation:
		c.clearSuspects(w)
	default:
		w.crashSuspects = slices.DeleteFunc(w.crashSuspects, func(s crashSuspect) bool {
			runs := slices.ContainsFunc(listed, func(r RunReport) bool { return r.Task == s.task.name && r.Run == s.run })
			if runs {
				c.clearSuspect(s)
			}
			return runs
		})
		c.confirmCrash(w, now)
	}
}

// clearSuspects withdraws what was recorded when a worker stopped responding, because it has not crashed.
func (c *Core) clearSuspects(w *worker) {
	for _, s := range w.crashSuspects {
		c.clearSuspect(s)
	}
	w.crashSuspects = nil
}

func (c *Core) clearSuspect(s crashSuspect) {
	s.task.clearCrash(s.run)
	c.putTasks(s.task.group)
}

// isMassCrash reports whether many workers failed at about the same time.
func (c *Core) isMassCrash(failedAt time.Duration) bool {
	n := 0
	for _, at := range c.failures {
		if at > failedAt-massCrashWindow && at < failedAt+massCrashWindow {
			n++
		}
	}
	return n >= massCrashWorkers
}

// confirmCrash handles the certainty that a worker has crashed. It ends jobs whose tasks have crashed too many workers.
func (c *Core) confirmCrash(w *worker, now time.Duration) {
	suspects, mass := w.crashSuspects, c.isMassCrash(w.failedAt)
	w.crashSuspects = nil
	c.log.WithFields(logrus.Fields{"epoch": c.epoch, "worker": w.ID, "runs": len(w.allocs), "suspects": len(suspects), "many_workers": mass}).Warn("worker crashed")
	for _, s := range suspects {
		g := s.task.group
		if !s.startAccepted() {
			c.clearSuspect(s)
			continue
		}
		if mass {
			s.task.withdrawCrash(s.run)
		}
		c.log.WithFields(logrus.Fields{"epoch": c.epoch, "job": g.job.ID, "task": s.task.name, "run": s.run, "worker": w.ID,
			"crashes": len(s.task.crashes), "worker_flaps": w.flaps.count}).Warn("task is suspected to crash workers")
		if g.spec().LongRunning {
			g.restarts.recordFailure(now, crashWindow)
		}
		c.putTasks(g)
		c.failExhausted(g, g.crashes(), now)
	}
}

// clearSuspicion ends the suspicion of a group whose runs have lasted.
func (c *Core) clearSuspicion(g *taskGroup, t *task, now time.Duration) {
	if g.suspected() && now-t.startedAt >= crashClearedAge && g.allInPhase(running) {
		c.logTask(t).Info("task is no longer suspected to crash workers")
		g.suspectedRun = 0
		for _, m := range g.tasks {
			m.crashes = nil
		}
		c.putTasks(g)
	}
}

func (c *Core) putTasks(g *taskGroup) {
	for _, m := range g.tasks {
		c.putTask(m)
	}
}
