package dispatch

import (
	"math"
	"time"

	"samphirewell/internal/placement"
)

const (
	// slownessSafety is the part of the time up to the objective that a run may take as expected. The rest covers errors of the expected run time and the
	// time that stores and orders take.
	slownessSafety = 0.85
	// fastWorkerWaitLimit is how long a request within a guarantee waits for fast workers. It leaves time to stop other runs (0.9 s) and to store the start
	// within the shortest time in which a guarantee has to be met (2.7 s).
	fastWorkerWaitLimit = 800 * time.Millisecond
	// minSlack is how many times the time on the fastest worker has to be left for a request to wait for a fast worker.
	minSlack = 1.1
)

// fastestOf returns the lowest slowness of the usable workers.
func fastestOf(workers []placement.Worker) float64 {
	fastest := math.Inf(1)
	for i := range workers {
		if w := &workers[i]; w.Usable {
			fastest = min(fastest, w.Slowness)
		}
	}
	return fastest
}

// limitSlowness sets the slowness with which a request for the group still meets its objective or, if no worker is fast enough for that, three times its
// objective. An urgent request that can still meet its objective on a fast worker waits for one.
func (c *Core) limitSlowness(r *placement.Request, g *taskGroup, fastest float64, now time.Duration) {
	if g.spec().LongRunning || math.IsInf(fastest, 1) {
		return
	}
	paths := c.remainingPaths(g.job)
	path, objective, age := paths[g.step], g.job.objectiveFor(longestOf(paths)), c.age(g.job, g.occurrence, now)
	if path <= 0 {
		return
	}
	limit := func(by time.Duration) float64 { return slownessSafety * float64(by-age) / float64(path) }
	r.SlownessLimit = limit(objective)
	if r.SlownessLimit < fastest*minSlack {
		r.SlownessLimit = max(0, limit(lateFactor*objective))
		return
	}
	r.AwaitsFastWorker = r.MayPreempt && !(r.WithinGuarantee && r.WaitTime > fastWorkerWaitLimit)
}
