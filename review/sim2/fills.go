package main

import (
	"fmt"
	"time"
)

// finishTime is finish_s: how long after the end of the traffic jobs are judged.
const finishTime = 14 * time.Second

// fillingJob has a lasting job use an eighth of the cores of all executors but one, and a job that fills run on that one, which then leaves. Its Cpu isn't
// counted against an executor's capacity, so that it must run on.
func fillingJob(w *world, trouble bool) bool {
	return w.playFilling(trouble, step{}, spec{RunMs: 8000, Fills: true, Need: resources{120000, 8000, 0}})
}

// fillingBesideServing is fillingJob with a serving job and a job that needs few cores.
func fillingBesideServing(w *world, trouble bool) bool {
	return w.playFilling(trouble, step{TargetMs: 200, Image: "front"}, spec{RunMs: 8000, Fills: true, Need: resources{4000, 8000, 0}})
}

func (w *world) playFilling(trouble bool, lasting step, fills spec) bool {
	const executors, others, filling = 16, "00000000000000aa", "00000000000000bb"
	for i := range executors {
		w.fleet.add(fmt.Sprintf("i-%d", i), "r0", resources{128000, 512000, 8})
	}
	w.putConfig(1, route{"q", 1}, route{"s", 2})
	if !w.start(3) {
		return false
	}
	lasting.Count, lasting.AntiAffinity, lasting.LongRunning = executors-1, 1, true
	if !w.submitSteps("q", others, spec{Lasting: true, Need: resources{16000, 8000, 1}}, lasting) {
		return false
	}
	if !await(15*time.Second, func() bool { return w.fleet.running() == executors-1 }) {
		w.record.fail("the lasting job doesn't run")
		return false
	}
	if !w.submitSteps("s", filling, fills, step{Count: 1, Fills: true, Checkpoint: true, Image: "batch"}) {
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
	// No more requests come but those for states. The job is judged from finishTime on: it is lost if it hasn't ended and nothing of it runs for 3 s. Room doesn't
	// change any more: what runs uses an eighth of each executor.
	time.Sleep(finishTime + 8*time.Second)
	state, idleSince, lost := "", time.Now(), false
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w.fleet.runs(task) {
			idleSince = time.Now()
		}
		if state = w.state(1, "s", filling); state != "pending" && state != "running" {
			break
		}
		lost = lost || time.Since(idleSince) > 3*time.Second
	}
	w.record.line("the job is shown as %q; nothing of it ran for 3 s on end: %v", state, lost)
	w.fleet.mu.Lock()
	w.record.line("%s was started %d times; ends listed by executors: %v", task, w.fleet.starts[task], w.fleet.ends[task])
	w.fleet.mu.Unlock()
	return lost
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
