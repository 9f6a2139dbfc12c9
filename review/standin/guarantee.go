package main

import (
	"time"
)

func init() { scenarios["guarantee"] = guarantee }

// guarantee: another tenant's lasting job takes the whole fleet before a tenant claims its guarantee.
func guarantee(e *env) (broken, ran bool) {
	const lasting, claim = 0xabc0, 0xabc1
	e.fleet.behave = func(r *run) plan {
		if r.job == jobID(lasting) {
			return plan{}
		}
		return plan{time.Second, "done"}
	}
	if !e.deploy(4, 0, 8) {
		return false, false
	}
	items := 8
	if e.trouble {
		items = 32
	}
	e.logf("Guaranteed of t1 is 8 Gpu, the fleet has 32; t2 submits a lasting job of %d work items with 1 Gpu and MayMiss 4", items)
	if _, ok := e.submit(2, "key-of-t2", jobID(lasting), &jobSpec{Spec: "service", Steps: []stepSpec{{Count: items, CPU: 1000, MemMb: 1000, Gpu: 1, EstimateMs: 1000, LongRunning: true,
		MayMiss: 4}}}); !ok {
		return false, false
	}
	time.Sleep(10 * time.Second)
	e.logf("%d work items of the lasting job run", e.fleet.runningOf(jobID(lasting)))
	at, ok := e.submit(0, callerKey, jobID(claim), &jobSpec{Spec: "price-check", Steps: []stepSpec{{Count: 4, CPU: 1000, MemMb: 1000, Gpu: 1, EstimateMs: 1000}}})
	if !ok {
		return false, false
	}
	for time.Since(at) < 60*time.Second {
		if e.fleet.begunItems(jobID(claim)) == 4 {
			e.logf("all work items of t1's job have begun %.2f s after the confirmation", time.Since(at).Seconds())
			return time.Since(at) > reclaimTime, true
		}
		time.Sleep(50 * time.Millisecond)
	}
	e.logf("RECLAIM: t1's job has not begun all work items of its first step 60 s after its confirmation; %d have run", len(e.fleet.runsOf(jobID(claim))))
	e.state(0, callerKey, jobID(claim))
	return true, true
}
