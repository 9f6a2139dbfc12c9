package dispatch

import (
	"slices"
	"time"

	"samphirewell/internal/placement"
)

const (
	// emptyWorkerWait, spacedStartWait and separateStartWait are the waits of a suspected task after which it may start on a worker with other runs, beside
	// other suspected tasks on other workers, and on a worker with other recent starts.
	emptyWorkerWait   = 500 * time.Millisecond
	spacedStartWait   = time.Second
	separateStartWait = 2500 * time.Millisecond
)

// mayStartSuspected reports whether a suspected group may be placed now: suspected groups start one after the other, so that each crash has one cause.
// Until then they are kept out of the plan, so that they take no capacity in it.
func (c *Core) mayStartSuspected(g *taskGroup, now time.Duration) bool {
	return now-c.suspectedStartAt >= crashWindow || now-g.readySince > spacedStartWait
}

// closedForSuspected reports whether nothing else may start on a worker because a suspected task starts there.
func (w *worker) closedForSuspected(now time.Duration) bool {
	if now < w.closedUntil {
		return true
	}
	if !w.currentView().hasAssigned {
		return false
	}
	for _, a := range w.allocs {
		if a.task != nil && a.task.phase == assigned && a.task.group.suspected() {
			return true // its start is ordered once the assignment is stored
		}
	}
	return false
}

// workersForSuspected returns which of the allowed workers (nil means all) may start a suspected group: those without a recent start and, at first,
// without other runs.
func (in *planInput) workersForSuspected(allowed map[int]bool, waited, now time.Duration) map[int]bool {
	if waited > separateStartWait {
		return allowed
	}
	if in.quietWorkers == nil {
		in.findQuietWorkers(now)
	}
	quiet, empty := within(in.quietWorkers, allowed), within(in.emptyWorkers, allowed)
	if waited <= emptyWorkerWait && len(empty) > 0 {
		return empty
	}
	return quiet
}

// findQuietWorkers finds the workers without a recent start, and those of them without runs.
func (in *planInput) findQuietWorkers(now time.Duration) {
	in.quietWorkers, in.emptyWorkers = map[int]bool{}, map[int]bool{}
	for i, w := range in.workers {
		if now-w.lastPlacementAt < crashWindow {
			continue
		}
		in.quietWorkers[i] = true
		if len(w.allocs) == 0 {
			in.emptyWorkers[i] = true
		}
	}
}

// within returns the workers that are allowed; nil allows all.
func within(workers, allowed map[int]bool) map[int]bool {
	if allowed == nil {
		return workers
	}
	out := map[int]bool{}
	for i := range workers {
		if allowed[i] {
			out[i] = true
		}
	}
	return out
}

// applyPlacements starts the placed groups, in the order of their urgency. A suspected group starts apart from others: it is left out if anything else
// starts on its workers in this cycle, and nothing else starts there after it.
func (c *Core) applyPlacements(in *planInput, placements []placement.Placement, now time.Duration) {
	closed, used := map[int]bool{}, map[int]bool{}
	isClosed := func(w int) bool { return closed[w] }
	for _, p := range placements {
		g := in.requestGroups[p.Request][0]
		if !g.suspected() {
			c.applyPlacement(in, p, isClosed, now)
			for _, w := range p.Workers {
				used[w] = true
			}
			continue
		}
		apart := now-g.readySince <= separateStartWait
		isTaken := func(w int) bool { return closed[w] || apart && used[w] }
		// Another suspected group may have started in this cycle.
		if !c.mayStartSuspected(g, now) || slices.ContainsFunc(p.Workers, isTaken) {
			continue
		}
		g.startedApart, c.suspectedStartAt = apart, now
		c.applyPlacement(in, p, isClosed, now)
		for _, w := range p.Workers {
			closed[w] = true
		}
	}
}
