package dispatch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/placement"
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
	// emptyWorkerWait, spacedStartWait and separateStartWait are the waits of a suspected task after which it may start on a worker with other runs, beside
	// other suspected tasks on other workers, and on a worker with other recent starts.
	emptyWorkerWait   = 500 * time.Millisecond
	spacedStartWait   = time.Second
	separateStartWait = 1500 * time.Millisecond
)

// suspected reports whether runs of the group were starting on a worker when it crashed, and none has lasted since.
func (g *taskGroup) suspected() bool { return g.suspectedRun > 0 }

// accuse records that a worker stopped responding while a run of the task was starting there.
func (t *task) accuse(run int, onlyCause bool) {
	if !t.group.suspected() {
		t.group.suspectedRun = run
	}
	if onlyCause && !slices.Contains(t.crashedRuns, run) {
		t.crashedRuns = append(slices.Clip(t.crashedRuns), run)
	}
}

// acquit withdraws the accusation of a run.
func (t *task) acquit(run int) {
	if t.group.suspectedRun == run {
		t.group.suspectedRun = 0
	}
	t.withdrawCrash(run)
}

// withdrawCrash removes a run from those that may have been the only cause of a crash. The suspicion remains.
func (t *task) withdrawCrash(run int) {
	t.crashedRuns = slices.DeleteFunc(slices.Clone(t.crashedRuns), func(n int) bool { return n == run })
}

// crashes returns the largest number of crashes that a task of the group may have caused.
func (g *taskGroup) crashes() int {
	n := 0
	for _, t := range g.tasks {
		n = max(n, len(t.crashedRuns))
	}
	return n
}

// accusation is the record of a run that was starting on a worker when the worker stopped responding.
type accusation struct {
	task *task
	run  int
}

// holds reports whether the worker had accepted the start. Otherwise it may have crashed before.
func (a accusation) holds() bool { return a.task.group.run == a.run && a.task.confirmed }

// accusationsAt returns the runs that were starting on a worker when it failed.
func accusationsAt(w *worker, failedAt time.Duration) []accusation {
	var out []accusation
	for _, k := range sortedKeys(w.allocs) {
		t := w.allocs[k].task
		if t == nil || t.group.run != k.run || !t.phase.mayBeRunning() || t.inherited {
			continue
		}
		if age := failedAt - t.startedAt; age < crashWindow && age > -crashClockError {
			out = append(out, accusation{t, k.run})
		}
	}
	return out
}

// onlyCause returns the only group that may have caused a crash: the one that was suspected before, or the only one. It returns nil if several may.
func onlyCause(accusations []accusation) *taskGroup {
	var groups, suspected []*taskGroup
	for _, a := range accusations {
		g := a.task.group
		if slices.Contains(groups, g) {
			continue
		}
		groups = append(groups, g)
		if g.suspected() {
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
	w.failedAt = now
	c.failures = slices.DeleteFunc(c.failures, func(at time.Duration) bool { return at < now-2*c.longestLease() })
	c.failures = append(c.failures, now)
	w.accusations = accusationsAt(w, now)
	cause := onlyCause(w.accusations)
	for _, a := range w.accusations {
		a.task.accuse(a.run, a.task.group == cause)
		c.putTasks(a.task.group)
	}
}

// withdrawAccusations withdraws what was recorded when a worker stopped responding, because it has not crashed.
func (c *Core) withdrawAccusations(w *worker) {
	for _, a := range w.accusations {
		c.withdrawAccusation(a)
	}
	w.accusations = nil
}

func (c *Core) withdrawAccusation(a accusation) {
	a.task.acquit(a.run)
	c.putTasks(a.task.group)
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
	accusations, mass := w.accusations, c.isMassCrash(w.failedAt)
	w.accusations = nil
	c.log.WithFields(logrus.Fields{"epoch": c.epoch, "worker": w.ID, "runs": len(w.allocs), "suspects": len(accusations), "many_workers": mass}).Warn("worker crashed")
	for _, a := range accusations {
		g := a.task.group
		if !a.holds() {
			c.withdrawAccusation(a)
			continue
		}
		if mass {
			a.task.withdrawCrash(a.run)
		}
		c.log.WithFields(logrus.Fields{"epoch": c.epoch, "job": g.job.ID, "task": a.task.name, "run": a.run, "worker": w.ID,
			"crashes": len(a.task.crashedRuns)}).Warn("task is suspected to crash workers")
		c.putTasks(g)
		c.failExhausted(g, now)
	}
}

// clearSuspicion ends the suspicion of a group whose runs have lasted.
func (c *Core) clearSuspicion(g *taskGroup, t *task, now time.Duration) {
	if g.suspected() && now-t.startedAt >= crashClearedAge && g.allInPhase(running) {
		c.logTask(t).Info("task is no longer suspected to crash workers")
		g.suspectedRun = 0
		for _, m := range g.tasks {
			m.crashedRuns = nil
		}
		c.putTasks(g)
	}
}

func (c *Core) putTasks(g *taskGroup) {
	for _, m := range g.tasks {
		c.rows.put(m.row())
	}
}

// mayStartSuspected reports whether a suspected group may be placed now: suspected groups start one after the other, so that each crash has one cause.
func (c *Core) mayStartSuspected(g *taskGroup, now time.Duration) bool {
	return now-c.suspectedStartAt >= crashWindow || now-g.readySince > spacedStartWait
}

// workersForSuspected returns which of the allowed workers (nil means all) may start a suspected group: those without a recent start and, at first,
// without other runs.
func workersForSuspected(workers []*worker, allowed map[int]bool, waited, now time.Duration) map[int]bool {
	if waited > separateStartWait {
		return allowed
	}
	quiet, empty := map[int]bool{}, map[int]bool{}
	for i, w := range workers {
		if allowed != nil && !allowed[i] || now-w.startedAt < crashWindow {
			continue
		}
		quiet[i] = true
		if len(w.allocs) == 0 {
			empty[i] = true
		}
	}
	if waited <= emptyWorkerWait && len(empty) > 0 {
		return empty
	}
	return quiet
}

// applyPlacements starts the placed groups. A suspected group starts alone: nothing else starts on its workers at about the same time.
func (c *Core) applyPlacements(in *planInput, placements []placement.Placement, now time.Duration) {
	closed := map[int]bool{}
	isClosed := func(w int) bool { return closed[w] }
	for _, p := range placements {
		g := in.requestGroups[p.Request][0]
		if !g.suspected() || !c.mayStartSuspected(g, now) || slices.ContainsFunc(p.Workers, isClosed) {
			continue
		}
		c.applyPlacement(in, p, isClosed, now)
		c.suspectedStartAt = now
		for _, w := range p.Workers {
			closed[w], in.workers[w].closedUntil = true, now+2*crashWindow
		}
	}
	for _, p := range placements {
		if !in.requestGroups[p.Request][0].suspected() {
			c.applyPlacement(in, p, isClosed, now)
		}
	}
}
