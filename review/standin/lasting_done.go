package main

import (
	"time"
)

func init() { scenarios["lasting-done"] = lastingDone }

// lastingDone: the program of work items that last ends with success.
func lastingDone(e *env) (broken, ran bool) {
	const lasting = 0xabc0
	e.fleet.verbose = true
	e.fleet.behave = func(r *run) plan {
		switch {
		case r.job == jobID(lasting) && e.trouble && r.number == 1:
			return plan{4*time.Second + time.Duration(r.index)*4*time.Second, "done"}
		case r.job == jobID(lasting):
			return plan{}
		}
		return plan{100 * time.Millisecond, "done"}
	}
	if !e.deploy(4, 0, 8) {
		return false, false
	}
	if _, ok := e.submit(1, callerKey, jobID(lasting), &jobSpec{Spec: "service", Steps: []stepSpec{{Count: 3, CPU: 1000, MemMb: 1000, EstimateMs: 1000, LongRunning: true}}}); !ok {
		return false, false
	}
	time.Sleep(12*time.Second + lastingWait + idleBound + 2*time.Second)
	last := map[int]*run{}
	for _, r := range e.fleet.runsOf(jobID(lasting)) {
		if l := last[r.index]; l == nil || r.began.After(l.began) {
			last[r.index] = r
		}
	}
	for i := range 3 {
		r := last[i]
		if r == nil {
			return false, false
		}
		if !e.fleet.isRunning(r) && time.Since(r.ended) > lastingWait+idleBound {
			e.logf("LOST: work item %s lasts, its last run %d ended %s %.1f s ago, and it was not started again", r.task, r.number, r.how, time.Since(r.ended).Seconds())
			broken = true
		}
	}
	e.state(1, callerKey, jobID(lasting))
	return broken, true
}
