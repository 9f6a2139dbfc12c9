package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/placement"
)

// evacuationMargin is the part of Bounds.Evacuation that remains for a start to reach its worker after it was last checked. One copy of a start takes at most
// 0.7 s.
const evacuationMargin = time.Second

// maxOperatorAge returns the age of the copy of the operator's table up to which tasks may start. A bound of less than two margins is divided in halves, so
// that starts remain possible.
func (b Bounds) maxOperatorAge() time.Duration {
	if b.Evacuation <= 0 {
		return math.MaxInt64
	}
	return max(b.Evacuation-evacuationMargin, b.Evacuation/2)
}

// SetEvacuations sets the failure domains that are evacuated: nothing starts on their workers, and the runs there end by themselves. domains is the complete
// set; domains without workers may be among them.
func (c *Core) SetEvacuations(domains []string, now time.Duration) {
	c.now = now
	updated := make(map[string]bool, len(domains))
	for _, d := range domains {
		updated[d] = true
	}
	old := c.evacuations
	c.evacuations = updated
	c.logEvacuations(updated, old, "evacuation of a failure domain requested")
	c.logEvacuations(old, updated, "evacuation of a failure domain ended")
	c.dirty = c.dirty || !maps.Equal(old, updated)
}

// logEvacuations logs the domains that are in one set and not in the other.
func (c *Core) logEvacuations(domains, others map[string]bool, message string) {
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		if others[d] {
			continue
		}
		workers, runs := 0, 0
		for _, w := range c.byID {
			if w.Domain != d {
				continue
			}
			runs += w.possibleRuns()
			if w.registered {
				workers++
			}
		}
		c.log.WithFields(logrus.Fields{"epoch": c.epoch, "worker_domain": d, "workers": workers, "runs": runs}).Info(message)
	}
}

// possibleRuns returns the number of runs that may exist on the worker.
func (w *worker) possibleRuns() int {
	n := 0
	for _, a := range w.allocs {
		if a.task == nil || a.task.phase.mayBeRunning() {
			n++
		}
	}
	return n
}

// SetOperatorAge sets the age of the copy of the operator's table. Nothing starts while it is too old, since an evacuation may have been requested in the
// meantime.
func (c *Core) SetOperatorAge(age time.Duration) {
	stale := age > c.bounds.maxOperatorAge()
	if c.operatorStale != stale {
		c.log.WithFields(logrus.Fields{"epoch": c.epoch, "stale": stale}).Info("age of the operator's table changed")
		c.operatorStale, c.dirty = stale, true
	}
}

// evacuated reports whether the worker is in a failure domain that is evacuated.
func (c *Core) evacuated(w *worker) bool { return c.evacuations[w.Domain] }

// withdrawEvacuated withdraws a start that isn't ordered yet if its worker is evacuated, and reports whether it did.
func (c *Core) withdrawEvacuated(t *task, w *worker, now time.Duration) bool {
	if !c.evacuated(w) {
		return false
	}
	c.logTask(t).Info("start withdrawn, the failure domain of the worker is evacuated")
	c.closeRun(t, outcomeNotOrdered, now)
	return true
}

// evacuationFields describes for the log how many of the workers that could run a task of a request are evacuated; blocked reports that all of them are.
func (c *Core) evacuationFields(in *planInput, r *placement.Request) (fields logrus.Fields, blocked bool) {
	if len(c.evacuations) == 0 {
		return nil, false
	}
	suitable, evacuated := 0, 0
	for _, w := range in.workers {
		if !w.registered || w.Draining || !w.HasLabel(r.Step.Requires) || !w.Capacity.Covers(r.Step.Need) {
			continue
		}
		suitable++
		if c.evacuated(w) {
			evacuated++
		}
	}
	return logrus.Fields{"suitable_workers": suitable, "evacuated_workers": evacuated}, evacuated > 0 && evacuated == suitable
}

// SetOperatorAge sets the function that returns the age of the copy of the operator's table. It must be called before Run.
func (r *Runner) SetOperatorAge(age func() time.Duration) { r.operatorAge = age }
