package main

import (
	"fmt"
	"time"
)

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// submitShortJobs submits a job of one work item each second until a time after the begin. It returns the accepted ones.
func (e *env) submitShortJobs(until time.Duration, report func()) []string {
	var accepted []string
	for time.Since(e.began) < until {
		n := e.shortJobs
		e.shortJobs++
		id := jobID(0x1000 + n)
		if _, ok := e.submit(0, callerKey, id, &jobSpec{Spec: "price-check", Steps: []stepSpec{{Count: 1, CPU: 15000, MemMb: 44000, Gpu: 1, EstimateMs: 500}}}); ok {
			accepted = append(accepted, id)
		}
		if n%10 == 0 {
			report()
		}
		time.Sleep(time.Second)
	}
	return accepted
}

// findLostJobs waits for finish_s after the end of the traffic. From then on, a job with nothing running for 3 s breaks the rule: nearly all of the fleet is free.
func (e *env) findLostJobs(accepted []string) bool {
	e.logf("end of the traffic, %d short jobs were accepted", len(accepted))
	time.Sleep(finishTime)
	idle, lost := map[string]time.Time{}, 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, id := range accepted {
			if e.doneItems(id) == 1 || e.fleet.runningOf(id) > 0 {
				delete(idle, id)
			} else if _, ok := idle[id]; !ok {
				idle[id] = time.Now()
			}
		}
	}
	for _, id := range accepted {
		if at, ok := idle[id]; ok && time.Since(at) > idleBound {
			e.logf("LOST: job %s was accepted, its work item has not ended done, and it has nothing running for %.1f s", id, time.Since(at).Seconds())
			if lost == 0 {
				e.state(0, callerKey, id)
			}
			lost++
		}
	}
	e.logf("%d of %d accepted short jobs are lost", lost, len(accepted))
	return lost > 0
}

// doneItems returns how many work items of a job have a run that ended done.
func (e *env) doneItems(job string) int {
	done := map[string]bool{}
	for _, r := range e.fleet.runsOf(job) {
		if !e.fleet.isRunning(r) && r.how == "done" {
			done[r.task] = true
		}
	}
	return len(done)
}
