package main

import (
	"fmt"
	"time"
)

const (
	flapPeriod = 1400 * time.Millisecond // gap_s of srv_flap in the site file
	flapUp     = 250 * time.Millisecond  // part of the period in which the executor is up
	flapTime   = 6500 * time.Millisecond // for_s of srv_flap in the site file
)

// crashedExecutor runs a lasting job with a work item on each of ten executors, of which one goes down and up by turns. No work item ever ends failed, and
// those that last have no limit of attempts, so that the job must not be shown as failed.
func crashedExecutor(w *world, trouble bool) bool {
	const executors, id = 10, "00000000000000bb"
	for i := range executors {
		w.fleet.add(fmt.Sprintf("i-%d", i), fmt.Sprintf("r%d", i/5), resources{128000, 512000, 8})
	}
	w.putConfig(1, route{"q", 1})
	if !w.start(3) {
		return false
	}
	if !w.submit("q", id, executors, spec{Lasting: true, Need: resources{16000, 16000, 8}}, 1) {
		return false
	}
	if !await(15*time.Second, func() bool { return w.fleet.running() == executors }) {
		w.record.fail("the job doesn't run")
		return false
	}
	time.Sleep(2 * time.Second)
	if trouble {
		e := w.fleet.executors[0]
		for end := time.Now().Add(flapTime); time.Now().Add(flapPeriod).Before(end); {
			e.crash()
			time.Sleep(flapPeriod - flapUp)
			e.boot()
			time.Sleep(flapUp)
		}
	}
	time.Sleep(10 * time.Second)
	state := w.state(1, "q", id)
	ends := map[string]int{}
	w.fleet.mu.Lock()
	for _, e := range w.fleet.ends {
		for how, n := range e {
			ends[how] += n
		}
	}
	w.fleet.mu.Unlock()
	w.record.line("the job is shown as %q, and %d of its %d work items run; all ends listed by executors: %v", state, w.fleet.running(), executors, ends)
	return state == "failed" && ends["failed"] == 0
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
