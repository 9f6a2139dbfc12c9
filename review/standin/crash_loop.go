package main

import (
	"time"
)

func init() { scenarios["crash-loop"] = crashLoop }

// crashLoop: the program of one lasting job ends right after each start.
func crashLoop(e *env) (broken, ran bool) {
	const lasting = 0xabc0
	e.fleet.behave = func(r *run) plan {
		switch {
		case r.job == jobID(lasting) && e.trouble:
			return plan{5 * time.Millisecond, "failed"}
		case r.job == jobID(lasting):
			return plan{}
		}
		return plan{500 * time.Millisecond, "done"}
	}
	if !e.deploy(6, 0, 16) {
		return false, false
	}
	if _, ok := e.submit(1, "key-of-t2", jobID(lasting), &jobSpec{Spec: "service", Steps: []stepSpec{{Count: 24, CPU: 1000, MemMb: 1000, EstimateMs: 1000, LongRunning: true}}}); !ok {
		return false, false
	}
	report := func() { e.logf("runs of the lasting job so far: %d", len(e.fleet.runsOf(jobID(lasting)))) }
	accepted := e.submitShortJobs(60*time.Second, report)
	for e.trouble && !e.beyondLimits.Load() && time.Since(e.began) < 92*time.Second { // a slow machine needs longer
		accepted = append(accepted, e.submitShortJobs(time.Since(e.began)+time.Second, report)...)
	}
	accepted = append(accepted, e.submitShortJobs(time.Since(e.began)+3*time.Second, report)...)
	return e.findLostJobs(accepted), true
}
