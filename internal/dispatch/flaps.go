package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// flapWindow is the time for which a restart of a worker that no task explains is held against the worker: with one such restart in it, the next
	// crash is more likely the worker's own than that of the task that starts there.
	flapWindow = time.Minute
	// flapPauseMin and flapPauseMax bound the time for which a worker that restarts again and again gets no work.
	flapPauseMin = time.Second
	flapPauseMax = 4 * time.Second
)

// flapRecord counts the restarts of a worker, each within flapWindow of the one before, that no task explains. It outlives the incarnations of the worker.
type flapRecord struct {
	count  int
	lastAt time.Duration
}

// recent reports whether the worker has restarted lately without a task that explains it.
func (f flapRecord) recent(now time.Duration) bool { return f.count > 0 && now-f.lastAt < flapWindow }

// add records a restart and returns the time for which the worker gets no work.
func (f *flapRecord) add(now time.Duration) time.Duration {
	if !f.recent(now) {
		f.count = 0
	}
	f.count++
	f.lastAt = now
	if f.count < 2 {
		return 0
	}
	return min(flapPauseMin<<min(f.count-2, 8), flapPauseMax)
}

// recordFlap records the restart of a worker unless it is planned, has a cause that many workers share, or is explained by a task that started there for the
// first time.
func (c *Core) recordFlap(w *worker, now time.Duration) {
	noticed := w.failedIncarnation == w.Incarnation
	if w.Draining || w.takenDown || noticed && c.isMassCrash(w.failedAt) || noticed && explained(w) {
		return
	}
	pause := w.flaps.add(now)
	if pause > 0 {
		w.health.quarantinedUntil = now + pause
		c.log.WithFields(logrus.Fields{"worker": w.ID, "epoch": c.epoch, "worker_flaps": w.flaps.count, "pause_ms": pause.Milliseconds()}).Warn("worker restarts again and again")
	}
}

// explained reports whether a task that was starting on a worker explains its failure.
func explained(w *worker) bool {
	for _, s := range w.crashSuspects {
		for _, crash := range s.task.crashes {
			if crash.run == s.run {
				return true
			}
		}
	}
	return len(w.crashSuspects) > 1 // any of several
}

// addUnprovenWorkers adds the workers whose crash would say little about a suspected group: those that flap, and those that it may have crashed before.
func (c *Core) addUnprovenWorkers(in *planInput, g *taskGroup, out map[int]bool) {
	for i, w := range in.workers {
		if w.flaps.recent(c.now) {
			out[i] = true
		}
	}
	for _, t := range g.tasks {
		for _, crash := range t.crashes {
			if i, ok := in.workerIndex[crash.worker]; ok {
				out[i] = true
			}
		}
	}
}
