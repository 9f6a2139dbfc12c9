package main

import "time"

func init() { scenarios["serving"] = serving }

// serving: small work items that fill run on every executor when a tenant claims its guarantee with a job that serves.
func serving(e *env) (broken, ran bool) {
	const filling, claim, wait = 0xabc0, 0xabc1, 40 * time.Second
	e.fleet.verbose = true
	e.fleet.behave = func(r *run) plan {
		if r.job == jobID(filling) || r.job == jobID(claim) {
			return plan{}
		}
		return plan{100 * time.Millisecond, "done"}
	}
	if !e.deploy(4, 0, 8) {
		return false, false
	}
	items := 2
	if e.trouble {
		items = 4
	}
	e.logf("Guaranteed of t1 is 8 Gpu, the fleet has 32; t2 submits a job of %d work items that fill, 4 cores and no Gpu each, one an executor", items)
	if _, ok := e.submit(2, "key-of-t2", jobID(filling), &jobSpec{Spec: "batch", Steps: []stepSpec{{Count: items, CPU: 4000, MemMb: 4000, EstimateMs: 1000, LongRunning: true, Fills: true,
		AntiAffinity: 1, Image: "batch"}}}); !ok {
		return false, false
	}
	time.Sleep(8 * time.Second)
	e.logf("%d work items that fill run", e.fleet.runningOf(jobID(filling)))
	at, ok := e.submit(0, callerKey, jobID(claim), &jobSpec{Spec: "service", Steps: []stepSpec{{Count: 2, CPU: 8000, MemMb: 8000, Gpu: 1, EstimateMs: 1000, LongRunning: true, TargetMs: 200,
		Image: "web"}}})
	if !ok {
		return false, false
	}
	begun := 0
	for time.Since(at) < wait && begun < 2 {
		time.Sleep(20 * time.Millisecond)
		begun = e.fleet.begunItems(jobID(claim))
	}
	e.logf("%d of 2 work items of t1's job have begun, %.2f s after its confirmation", begun, time.Since(at).Seconds())
	e.state(0, callerKey, jobID(claim))
	if begun < 2 || time.Since(at) > reclaimTime {
		e.logf("RECLAIM: t1's job of priority 0 has not begun all work items of its first step %v after its confirmation", reclaimTime)
		return true, true
	}
	return false, true
}
