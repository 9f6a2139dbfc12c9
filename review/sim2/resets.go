package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// lastingLimit is the time without a run after which a lasting work item is lost: 6 s after its last run, for 3 s.
	lastingLimit = 9 * time.Second
	// calmTime is the calm that the rule asks for: 3 s and the 4 s before them.
	calmTime = 7 * time.Second
)

// resetChannels has channels to executors reset a few times, half of them at a time. Then a lasting work item fails by itself, and must be started
// again, since all executors are sound and most of their capacity is free.
func resetChannels(w *world, trouble bool) bool {
	const everywhere, failing = "00000000000000aa", "00000000000000bb"
	need := resources{8000, 8000, 1}
	const executors = 8
	for i := range executors {
		w.fleet.add(fmt.Sprintf("i-%d", i), "r0", resources{128000, 512000, 8})
	}
	w.putConfig(1, route{"q", 1})
	if !w.start(3) {
		return false
	}
	if !w.submitSteps("q", everywhere, spec{Lasting: true, Need: need}, step{Count: executors, AntiAffinity: 1, LongRunning: true}) ||
		!w.submitSteps("q", failing, spec{Lasting: true, Need: need}, step{Count: 1, LongRunning: true}) {
		return false
	}
	if !await(15*time.Second, func() bool { return w.fleet.running() == executors+1 }) {
		w.record.fail("the lasting jobs don't run")
		return false
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	for _, at := range []time.Duration{0, 2, 8, 18} {
		time.Sleep(time.Until(began.Add(at * time.Second)))
		if trouble {
			for half := range 2 {
				for i, e := range w.fleet.executors {
					if i%2 == half {
						e.resetChannels()
					}
				}
				time.Sleep(600 * time.Millisecond)
			}
		}
	}
	lastReset := time.Now()
	time.Sleep(time.Second)
	task := failing + ".0.0.0"
	w.fleet.failTask(task)
	failedAt := time.Now()
	await(30*time.Second, func() bool { return w.fleet.runs(task) })
	gap := time.Since(failedAt)
	w.record.line("%s was without a run for %.1f s; the last reset was %.1f s before its end", task, gap.Seconds(), failedAt.Sub(lastReset).Seconds())
	return gap > lastingLimit && gap > calmTime-failedAt.Sub(lastReset)
}

// resetChannels resets all open channels of an executor.
func (e *executor) resetChannels() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.channels {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	e.fleet.record.line("channels of executor %s reset: %d", e.id, len(e.channels))
}

// trackChannel keeps the set of open channels.
func (e *executor) trackChannel(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s {
	case http.StateNew:
		e.channels[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(e.channels, c)
	}
}

// failTask ends the run of a work item as failed.
func (f *fleet) failTask(task string) {
	for _, e := range f.executors {
		e.mu.Lock()
		if e.running[task] != nil {
			e.end(task, "failed")
		}
		e.mu.Unlock()
	}
}

// runs reports whether a work item runs.
func (f *fleet) runs(task string) bool { return f.host(task) != nil }
