package main

import (
	"fmt"
	"time"
)

// finishTime is finish_s: how long after the end of the traffic jobs are judged.
const finishTime = 14 * time.Second

// fillingJob has a serving job on six of seven executors and a job that fills on the seventh, which then leaves. The rest of the fleet has room for the job
// many times over, so that it must run on.
func fillingJob(w *world, trouble bool) bool {
	const executors, serving, filling = 7, "00000000000000aa", "00000000000000bb"
	for i := range executors {
		w.fleet.add(fmt.Sprintf("i-%d", i), "r0", resources{128000, 512000, 8})
	}
	w.putConfig(1, route{"q", 1}, route{"s", 2})
	if !w.start(3) {
		return false
	}
	if !w.submitSteps("q", serving, spec{Lasting: true, Need: resources{8000, 8000, 1}},
		step{Count: executors - 1, AntiAffinity: 1, LongRunning: true, TargetMs: 200, Image: "front"}) {
		return false
	}
	if !await(15*time.Second, func() bool { return w.fleet.running() == executors-1 }) {
		w.record.fail("the serving job doesn't run")
		return false
	}
	if !w.submitSteps("s", filling, spec{RunMs: 6000, Need: resources{4000, 8000, 0}}, step{Count: 1, Fills: true, Checkpoint: true, Image: "batch"}) {
		return false
	}
	task := filling + ".0.0.0"
	if !await(10*time.Second, func() bool { return w.fleet.runs(task) }) {
		w.record.fail("the filling job doesn't run")
		return false
	}
	if trouble {
		time.Sleep(time.Second)
		e := w.fleet.host(task)
		e.register("draining")
		w.record.line("executor %s reports draining, RemainingMs %d", e.id, leaveNotice.Milliseconds())
		time.Sleep(leaveNotice)
		e.remove()
	}
	// No more requests come but those for states.
	completed := await(finishTime+20*time.Second, func() bool { return w.state(1, "s", filling) == "completed" })
	w.fleet.mu.Lock()
	w.record.line("%s was started %d times; ends listed by executors: %v", task, w.fleet.starts[task], w.fleet.ends[task])
	w.fleet.mu.Unlock()
	return !completed
}

// host returns the executor on which a work item runs, or nil.
func (f *fleet) host(task string) *executor {
	for _, e := range f.executors {
		e.mu.Lock()
		found := e.running[task] != nil
		e.mu.Unlock()
		if found {
			return e
		}
	}
	return nil
}
