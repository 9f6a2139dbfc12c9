package dispatch

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/speed"
)

const (
	// loggedSlownessChange is the least factor by which the estimate of a worker changes between two log lines about it.
	loggedSlownessChange = 1.5
	// lateEndMargin is how much longer than a renewal the time between two reports of a worker, or since the start of a run, may be, so that the end of the run
	// that the second one lists is recent.
	lateEndMargin = 500 * time.Millisecond
)

// progressStart is the point from which the progress of a run is measured for the speed of its workers.
type progressStart struct {
	run     int // of the group; another run has another start
	percent int
	at      time.Duration
	known   bool // false while the run may still be restoring a checkpoint
	begin   bool // the begin of the run, not a report
}

// slowness returns the factor by which run times on a worker differ from those on the mean worker, 1 if nothing is known of it.
func (c *Core) slowness(w *worker) float64 {
	if c.trueSlowness != nil {
		return c.trueSlowness(w.ID)
	}
	return c.speed.Factor(w.ID, w.Incarnation)
}

// SetSlowness replaces the estimates of the slowness of workers, by id, for comparisons of policies.
func (c *Core) SetSlowness(of func(worker string) float64) { c.trueSlowness = of }

// Slowness returns the estimate of the slowness of a worker, as learned from the progress of its runs.
func (c *Core) Slowness(worker string) speed.Estimate {
	incarnation := int64(0)
	if w := c.workers[worker]; w != nil {
		incarnation = w.Incarnation
	}
	return c.speed.Slowness(worker, incarnation)
}

// slownessForPlacement returns the estimates of the slowness of a worker without and with a temporary slowdown.
func (c *Core) slownessForPlacement(w *worker) (lasting, now speed.Estimate) {
	if c.trueSlowness != nil {
		f := c.trueSlowness(w.ID)
		e := speed.Estimate{Mean: f, Low: f, High: f}
		return e, e
	}
	return c.speed.Lasting(w.ID, w.Incarnation), c.speed.Slowness(w.ID, w.Incarnation)
}

// certainSlowness returns the lasting slowness of the slowest worker of a group's run. A worker of which it isn't certain on which side of the mean it is
// counts as 1, since its estimate would add noise to run times.
func (c *Core) certainSlowness(g *taskGroup) float64 {
	slowest := 0.0
	for _, t := range g.tasks {
		factor := 1.0
		if w := c.workers[t.worker]; w != nil {
			if c.trueSlowness != nil {
				factor = c.trueSlowness(w.ID)
			} else if e := c.speed.Lasting(w.ID, w.Incarnation); e.CertainlyDiffers(1) {
				factor = e.Mean
			}
		}
		slowest = max(slowest, factor)
	}
	return slowest
}

// expectedOnWorkers returns the expected run time of the current run of a group on its workers.
func (c *Core) expectedOnWorkers(g *taskGroup) time.Duration {
	return time.Duration(c.certainSlowness(g) * float64(c.expectedRunTime(&g.job.Job, g.step)))
}

// observeProgress passes the progress of the current run of a task, which its worker has just reported, to the model of the speed of workers. Runs away from
// the rack that their step prefers take longer for another reason.
func (c *Core) observeProgress(t *task, now time.Duration) {
	g := t.group
	if t.phase != running || !c.showsSpeed(g) {
		return
	}
	start := c.progressStart(t, now)
	if !start.known {
		return
	}
	progress := float64(t.percent-start.percent) / 100
	if start.begin {
		progress += 0.005 // whole percent are reported, rounded down
	}
	c.observe(g, speed.Observation{Elapsed: now - start.at, Progress: progress, Now: now})
}

// observeEnd passes the end of the current run of a task to the model.
func (c *Core) observeEnd(t *task, o outcome, now time.Duration) {
	g := t.group
	if g.spec().LongRunning {
		return
	}
	end := speed.Observation{Now: now, Ended: true}
	w := c.workers[t.worker]
	if start := g.progressFrom; o == outcomeDone && w != nil && min(w.reportGap, now-t.startedAt) <= renewalWait+lateEndMargin && c.showsSpeed(g) {
		if start.run != g.run && !t.inherited && !t.resumed {
			start = c.progressStart(t, now) // it ended before its first report
		}
		if start.run == g.run && start.known {
			end.Elapsed, end.Progress = now-start.at, float64(100-start.percent)/100
		}
	}
	c.observe(g, end)
}

// showsSpeed reports whether the time that the current run of a group takes depends on the speed of its workers only.
func (c *Core) showsSpeed(g *taskGroup) bool {
	return !g.spec().LongRunning && g.allInPhase(running) && c.onPreferredRack(g)
}

// progressStart returns the point from which the progress of the current run of a task is measured: its begin, or for a run that an earlier leader has
// started or that restores a checkpoint, a report.
func (c *Core) progressStart(t *task, now time.Duration) progressStart {
	g := t.group
	start := g.progressFrom
	switch {
	case start.run != g.run && !t.inherited && !t.resumed:
		start = progressStart{run: g.run, known: true, begin: true}
		for _, m := range g.tasks {
			start.at = max(start.at, m.startedAt) // a gang works once all members have started
		}
	case start.run != g.run:
		start = progressStart{run: g.run, percent: t.percent, at: now, known: !t.resumed && g.resumeCheckpoint() == ""}
	case !start.known && t.percent > start.percent:
		start = progressStart{run: g.run, percent: t.percent, at: now, known: true}
	}
	g.progressFrom = start
	return start
}

// observe adds the identity of a group's run to an observation, passes it to the model, and logs estimates that have changed.
func (c *Core) observe(g *taskGroup, o speed.Observation) {
	spec := g.spec()
	o.Step, o.Queue = g.job.ID+"."+strconv.Itoa(g.occurrence)+"."+strconv.Itoa(g.step), g.job.Queue.Name
	o.Run = g.id + "/" + strconv.Itoa(g.run)
	o.Expected = spec.Estimate
	if o.Expected <= 0 {
		o.Expected = c.expectedRunTime(&g.job.Job, g.step)
	}
	o.Workers = make([]speed.Worker, 0, len(g.tasks))
	for _, t := range g.tasks {
		o.Workers = append(o.Workers, speed.Worker{ID: t.worker, Incarnation: t.incarnation})
	}
	c.speed.Observe(o)
	for _, t := range g.tasks {
		if w := c.workers[t.worker]; w != nil && o.Progress > 0 {
			c.logSlowness(w)
		}
	}
}

// logSlowness logs the estimate of a worker if it has certainly changed by a factor of loggedSlownessChange since the last line about it.
func (c *Core) logSlowness(w *worker) {
	e := c.speed.Slowness(w.ID, w.Incarnation)
	before := w.loggedSlowness
	if before == 0 {
		before = 1
	}
	if !e.CertainlyDiffers(before) || e.Mean < loggedSlownessChange*before && before < loggedSlownessChange*e.Mean {
		return
	}
	w.loggedSlowness = e.Mean
	c.log.WithFields(logrus.Fields{"worker": w.ID, "rack": w.Rack, "slowness": rounded(e.Mean), "low": rounded(e.Low), "high": rounded(e.High), "before": rounded(before),
		"runs": len(w.allocs)}).Info("estimated speed of a worker changed")
}

// rounded rounds a factor to hundredths for the log.
func rounded(factor float64) float64 { return float64(int(100*factor+0.5)) / 100 }
