package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment (SYSTEM.md).
const (
	visible      = 3 * time.Second
	greyTime     = 6500 * time.Millisecond // longest time that executors fail their requests
	waitingAge   = 2 * time.Second         // how old the number of waiting jobs may be
	lastingGrace = 6 * time.Second         // after the last run of a work item that lasts
	lastingSpan  = 3 * time.Second         // for which it must not stand still then
	calmBefore   = 4 * time.Second
)

func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// playWaiting hands in jobs that only two of the fourteen executors may run, while these are unhealthy: they refuse all starts with 429 and do nothing.
// MIXED: a host gives under half of the jobs that were accepted over visible_ms + 2 s before and haven't begun.
func playWaiting(w *world, trouble bool) string {
	const jobs = 6
	if trouble {
		began := time.Now()
		w.log("the executors of kind b fail what they get, for %v", greyTime)
		w.setConduct(func(e *executor, kind string, _ order) conduct {
			return conduct{refuse: e.kind == "b" && kind == "run-start" && time.Since(began) < greyTime}
		})
	}
	var mu sync.Mutex
	accepted := map[string]time.Time{}
	var group sync.WaitGroup
	for n := range jobs {
		group.Go(func() {
			if w.submit(n%hostCount, "/recon/"+jobID(n), jobBody("done:2000", `"Count":1,"Cpu":15000,"MemMb":44000,"Gpu":1,"EstimateMs":2000,"Requires":"b"`)) {
				mu.Lock()
				accepted[jobID(n)] = time.Now()
				mu.Unlock()
			}
		})
	}
	group.Wait()
	broken := ""
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for i := range hostCount {
			asked := time.Now()
			given := w.waiting(i, "/recon/")
			owed := 0
			for id, at := range accepted {
				if asked.Sub(at) > visible+waitingAge && len(w.history.of(id)) == 0 {
					owed++
				}
			}
			w.log("client: host %d says Waiting %d; accepted over 5 s before and not begun: %d", i, given, owed)
			if given >= 0 && 2*given < owed && broken == "" {
				broken = fmt.Sprintf("MIXED: host %d says Waiting %d while %d jobs that were accepted over 5 s before haven't begun; it says of one of them: %s", i, given, owed, w.state(i, "/recon/"+jobID(0)))
			}
		}
	}
	return broken
}

// playLasting runs a work item that lasts on one of fourteen executors. Beside it come jobs of which one in twenty can never be done. Then the item that lasts
// fails once. LOST: it doesn't run for 3 s although there is room, from 6 s after its last run, when the 3 s and the 4 s before them are calm.
func playLasting(w *world, trouble bool) string {
	const lasting = "00000000000000bb"
	if !w.submit(0, "/recon/"+lasting, jobBody("serve:1", `"Count":1,"Cpu":4000,"MemMb":8000,"EstimateMs":1000,"LongRunning":true`)) {
		return ""
	}
	time.Sleep(3 * time.Second)
	next := 0
	// batch hands in 20 jobs within a second; with poison, the last one can't be done.
	batch := func(poison bool) {
		for n := range 20 {
			body := jobBody("done:20000", `"Count":1,"Cpu":4000,"MemMb":8000,"EstimateMs":20000`)
			if n == 19 && poison {
				body = jobBody("failed:100", `"Count":28,"Cpu":4000,"MemMb":8000,"EstimateMs":6000,"AntiAffinity":2`)
			}
			w.submit(next%hostCount, "/forecast/"+jobID(next), body)
			next++
			time.Sleep(20 * time.Millisecond)
		}
	}
	began := time.Now()
	at := func(s float64) { time.Sleep(time.Until(began.Add(time.Duration(s * float64(time.Second))))) }
	for _, s := range []float64{0, 2, 8} {
		at(s)
		batch(trouble)
	}
	at(14)
	w.log("the work item that lasts fails")
	failed := time.Now()
	w.failServing()
	calm := failed
	for end := failed.Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		runs := w.history.of(lasting)
		last := runs[len(runs)-1]
		if last.to.IsZero() {
			if last.number > 1 {
				w.log("the work item that lasts runs again")
				return ""
			}
			continue
		}
		for _, r := range w.history.all() {
			if r.how == "failed" && r.to.After(calm) && strings.HasPrefix(r.task, "5c0e") {
				calm = r.to // the end of the newest run that can't be done
			}
		}
		now := time.Now()
		if now.Sub(last.to) > lastingGrace+lastingSpan && now.Sub(calm) > lastingSpan+calmBefore {
			return fmt.Sprintf("LOST: the work item that lasts ended %.1f s ago and doesn't run; at most %d of %d cores are in use", now.Sub(last.to).Seconds(), w.coresInUse(), cores*len(w.executors))
		}
	}
	return ""
}

// coresInUse returns an upper bound of the cores that runs use: no work item of the cases in which it is used takes more than four.
func (w *world) coresInUse() int {
	n := 0
	for _, e := range w.executors {
		e.mu.Lock()
		n += 4 * len(e.runs)
		e.mu.Unlock()
	}
	return n
}

// playCrashes hands in one job that takes 5 s. Two of the fourteen executors crash, each 100 ms after it began the job's only work item.
// LOST: the job is shown as failed although none of its runs has ended as failed.
func playCrashes(w *world, trouble bool) string {
	const job = "00000000000000cc"
	if trouble {
		var mu sync.Mutex
		crashes := 0
		w.onStart = func(e *executor, o order) {
			mu.Lock()
			defer mu.Unlock()
			if strings.HasPrefix(o.Task, job) && crashes < 2 {
				crashes++
				time.AfterFunc(100*time.Millisecond, e.crash)
			}
		}
	}
	if !w.submit(0, "/recon/"+job, jobBody("done:5000", `"Count":1,"Cpu":15000,"MemMb":44000,"Gpu":1,"EstimateMs":5000`)) {
		return ""
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, body := w.call(0, http.MethodGet, "/recon/"+job, "")
		w.log("client: GET: %d %s", status, body)
		if strings.Contains(body, "completed") {
			return ""
		}
		if strings.Contains(body, "failed") {
			for _, r := range w.history.of(job) {
				if r.how == "failed" {
					return ""
				}
			}
			return "LOST: the job is shown as failed, and none of its runs has ended as failed"
		}
	}
	return ""
}
