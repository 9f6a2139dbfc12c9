package main

import (
	"fmt"
	"time"
)

const (
	flapPeriod = time.Second             // gap_s of srv_flap, its default
	flapUp     = 250 * time.Millisecond  // part of the period in which the executor is up
	flapTime   = 6500 * time.Millisecond // for_s of srv_flap in the site file
)

// crashedExecutor keeps nine of ten executors busy and hands a job in while the tenth goes down and up by turns. The job's work item never ends
// failed, so that it must not be shown as failed.
func crashedExecutor(w *world, trouble bool) bool {
	need := resources{16000, 16000, 8}
	for i := range 10 {
		w.fleet.add(fmt.Sprintf("i-%d", i), fmt.Sprintf("r%d", i/5), resources{128000, 512000, 8})
	}
	w.putConfig(1, route{"q", 1})
	if !w.start(3) {
		return false
	}
	const filler, victim = "00000000000000aa", "00000000000000bb"
	if !w.submit("q", filler, 9, spec{RunMs: 40000, Need: need}, 0) {
		return false
	}
	if !await(15*time.Second, func() bool { return w.fleet.running() == 9 }) {
		w.record.fail("the filler doesn't run")
		return false
	}
	free := w.fleet.idle()
	if !w.submit("q", victim, 1, spec{RunMs: 3000, Need: need}, 0) {
		return false
	}
	if trouble {
		for end := time.Now().Add(flapTime); time.Now().Before(end); {
			free.crash()
			time.Sleep(flapPeriod - flapUp)
			free.boot()
			time.Sleep(flapUp)
		}
	}
	state := ""
	await(40*time.Second, func() bool {
		state = w.state(1, "q", victim)
		return state == "completed" || state == "failed"
	})
	task := victim + ".0.0.0"
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.record.line("job %s is shown as %q; its work item was started %d times, ends listed by executors: %v", victim, state, w.fleet.starts[task], w.fleet.ends[task])
	return state == "failed" && w.fleet.ends[task]["failed"] == 0
}

// running returns the number of work items that run.
func (f *fleet) running() int {
	n := 0
	for _, e := range f.executors {
		e.mu.Lock()
		n += len(e.running)
		e.mu.Unlock()
	}
	return n
}

// idle returns an executor without work items.
func (f *fleet) idle() *executor {
	for _, e := range f.executors {
		e.mu.Lock()
		n := len(e.running)
		e.mu.Unlock()
		if n == 0 {
			return e
		}
	}
	return nil
}
