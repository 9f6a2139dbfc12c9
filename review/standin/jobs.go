package main

import (
	"fmt"
	"time"
)

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// shortItem is the step of a short job.
var shortItem = stepSpec{Count: 1, CPU: 15000, MemMb: 44000, Gpu: 1, EstimateMs: 500}

// submitShortJobs submits a job of one work item each second until a time after the begin. It returns the accepted ones.
func (e *env) submitShortJobs(until time.Duration, report func()) []string {
	var accepted []string
	for time.Since(e.began) < until {
		n := e.shortJobs
		e.shortJobs++
		id := jobID(0x1000 + n)
		if _, ok := e.submit(0, callerKey, id, &jobSpec{Spec: "price-check", Steps: []stepSpec{shortItem}}); ok {
			accepted = append(accepted, id)
		}
		if n%10 == 0 {
			report()
		}
		time.Sleep(time.Second)
	}
	return accepted
}

// findLostJobs waits for finish_s after the end of the traffic. From then on it breaks the rule if, for 3 s, an accepted job has nothing running although its work item
// isn't done, there is capacity for it twice over, and under half of the capacity is in use.
func (e *env) findLostJobs(accepted []string) bool {
	e.logf("end of the traffic, %d short jobs were accepted", len(accepted))
	time.Sleep(finishTime)
	from := time.Now() // the 3 s count from here, or from the last moment at which capacity was short
	for end := from.Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !e.fleet.hasAmpleRoom(shortItem) {
			from = time.Now()
		}
	}
	lost := 0
	for _, id := range accepted {
		idle := e.idleSince(id, from)
		if idle.IsZero() || time.Since(idle) <= idleBound {
			continue
		}
		e.logf("LOST: job %s was accepted, its work item has not ended done, and it has nothing running for %.1f s; capacity was ample", id, time.Since(idle).Seconds())
		if lost == 0 {
			e.state(0, callerKey, id)
		}
		lost++
	}
	e.logf("%d of %d accepted short jobs are lost", lost, len(accepted))
	return lost > 0
}

// idleSince returns since when a job has had nothing running, not before a time; zero if it is done or something of it runs.
func (e *env) idleSince(id string, from time.Time) time.Time {
	if e.doneItems(id) == 1 || e.fleet.runningOf(id) > 0 {
		return time.Time{}
	}
	for _, r := range e.fleet.runsOf(id) {
		if r.ended.After(from) {
			from = r.ended
		}
	}
	return from
}

// hasAmpleRoom reports whether a work item fits twice over, and under half of each resource of all executors is in use.
func (f *fleet) hasAmpleRoom(item stepSpec) bool {
	var used, total size
	fits, need := 0, item.room()
	for _, w := range f.workers {
		free := w.size.minus(w.used())
		used, total = used.plus(w.used()), total.plus(w.size)
		for free.covers(need) {
			free = free.minus(need)
			fits++
		}
	}
	return fits >= 2 && 2*used.cpu < total.cpu && 2*used.mem < total.mem && 2*used.gpu < total.gpu
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
