package dispatch

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/placement"
	"samphirewell/internal/speed"
	"samphirewell/internal/waitcost"
)

const (
	// slownessSafety is the part of the time up to the objective that a run may take as expected. The rest covers the time that stores and orders take.
	slownessSafety = 0.9
	// fastWorkerWaitLimit is how long a request within a guarantee waits for fast workers. It leaves time to stop other runs (0.9 s) and to store the start
	// within the shortest time in which a guarantee has to be met (2.7 s).
	fastWorkerWaitLimit = 800 * time.Millisecond
	// minSlack is how many times the time on the fastest worker has to be left for a request to wait for a fast worker.
	minSlack = 1.1
	// speedProbeShare is the share of the workers that may run a task at a time from which their speed is learned.
	speedProbeShare = 0.1
	// unevennessMargin is how far the unevenness of the fleet has to exceed the tightest stretch: the extremes of many estimates exaggerate, and with a ratio of
	// the speeds near the stretch most work is in time on any worker.
	unevennessMargin = 1.25
	// speedHysteresis is the share of the limit that the unevenness of the fleet has to fall below before speed decides nothing again.
	speedHysteresis = 0.9
)

// tightestStretch returns the lowest stretch of the queues, +Inf if none has one.
func (c *Core) tightestStretch() float64 {
	tightest := math.Inf(1)
	for i := range c.policy.Queues {
		if s := c.policy.Queues[i].Stretch; s > 0 {
			tightest = min(tightest, s)
		}
	}
	return tightest
}

// addSlowness sets the slowness of the workers if the slow ones lastingly take so much longer than the fast ones that work with a tight
// objective misses it on some workers and meets it on others, and marks those of which it should be learned. Otherwise speed decides nothing: the waits and
// preemptions for fast workers would cost more than the runs on slow ones.
func (c *Core) addSlowness(in *planInput) {
	in.fastest = 1
	lasting, estimates := make([]speed.Estimate, len(in.workers)), make([]speed.Estimate, len(in.workers))
	for i, w := range in.workers {
		lasting[i], estimates[i] = c.slownessForPlacement(w)
	}
	unevenness, limit, before := speed.Unevenness(lasting), unevennessMargin*c.tightestStretch(), c.placesBySpeed[in.service]
	if before {
		limit *= speedHysteresis
	}
	c.placesBySpeed[in.service] = unevenness >= limit
	if before != c.placesBySpeed[in.service] {
		c.log.WithFields(logrus.Fields{"epoch": c.epoch, "service": in.service, "by_speed": !before, "unevenness": rounded(unevenness)}).Info("placement by the speed of workers changed")
	}
	if !c.placesBySpeed[in.service] {
		return
	}
	speed.BoundUncertainty(estimates)
	in.fastest = math.Inf(1)
	in.SpeedProbes = int(speedProbeShare * float64(len(in.workers)))
	for i, e := range estimates {
		w := &in.Workers[i]
		w.Slowness, w.LikelySlowness = e.Mean, e.High
		switch {
		case !w.Usable:
			continue
		case e.Known():
		case len(in.workers[i].allocs) > 0:
			in.SpeedProbes--
		default:
			w.SpeedUnknown = true
		}
		in.fastest = min(in.fastest, e.Mean)
	}
}

// limitSlowness sets the slowness with which a request for the group still meets its objective or, if no worker is fast enough for that, three times its
// objective. An urgent request that can still meet its objective on a fast worker waits for one.
func (c *Core) limitSlowness(r *placement.Request, g *taskGroup, fastest float64, now time.Duration) {
	if g.spec().LongRunning {
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
		r.SlownessLimit = max(0, limit(waitcost.LateFactor*objective))
		return
	}
	r.AwaitsFastWorker = r.MayPreempt && (!r.WithinGuarantee || r.WaitTime <= fastWorkerWaitLimit)
}
