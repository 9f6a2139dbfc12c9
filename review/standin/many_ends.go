package main

import (
	"time"
)

func init() { scenarios["many-ends"] = manyEnds }

// manyEnds: an executor with many small work items is cut off for some seconds, in which more than 500 of them end.
func manyEnds(e *env) (broken, ran bool) {
	const jobs, width = 40, 60
	e.fleet.behave = func(r *run) plan {
		if r.spec.Requires != "" {
			return plan{6*time.Second + time.Duration(len(e.fleet.runs)*7919%3000)*time.Millisecond, "done"} // 6 to 9 s
		}
		return plan{100 * time.Millisecond, "done"}
	}
	if !e.deploy(2, 6, 8) { // the cut affects one of eight executors
		return false, false
	}
	var ids []string
	for n := range jobs {
		ids = append(ids, jobID(0xabc0+n))
		if _, ok := e.submit(1, callerKey, ids[n], &jobSpec{Spec: "stock-recon", Steps: []stepSpec{{Count: width, CPU: 100, MemMb: 100, EstimateMs: 8000, Requires: "a"}}}); !ok {
			return false, false
		}
	}
	for end := time.Now().Add(12 * time.Second); e.doneTotal(ids) < 40 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	w := e.fleet.busiest()
	e.logf("executor %s runs %d work items", w.id, w.count())
	if e.trouble {
		w.setCut(true)
	}
	time.Sleep(3200 * time.Millisecond)
	if e.trouble {
		w.setCut(false)
	}
	for end := time.Now().Add(20 * time.Second); e.doneTotal(ids) < jobs*width && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	return e.startedAfterDone(ids), true
}

// doneTotal returns how many work items of some jobs have ended done.
func (e *env) doneTotal(ids []string) int {
	n := 0
	for _, id := range ids {
		n += e.doneItems(id)
	}
	return n
}

// count returns the number of runs on the executor.
func (w *worker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// busiest returns the executor with the most runs.
func (f *fleet) busiest() *worker {
	var best *worker
	most := -1
	for _, w := range f.workers {
		if n := w.count(); n > most {
			best, most = w, n
		}
	}
	return best
}

// startedAfterDone reports whether a work item was started after a run of it had ended done, where that end was taken note of then or later, and the lease of
// the executor of that run did not lapse between the two.
func (e *env) startedAfterDone(jobs []string) bool {
	var runs []*run
	for _, id := range jobs {
		runs = append(runs, e.fleet.runsOf(id)...)
	}
	done := map[string]*run{}
	for _, r := range runs {
		if r.how == "done" && r.noted && (done[r.task] == nil || r.ended.Before(done[r.task].ended)) {
			done[r.task] = r
		}
	}
	n, excused := 0, 0
	for _, r := range runs {
		d := done[r.task]
		if d == nil || r == d || !r.began.After(d.ended) {
			continue
		}
		if e.fleet.lapsedBetween(d.worker, d.ended, r.began) {
			excused++
			continue
		}
		if n++; n <= 20 {
			e.logf("TWICE: %s run %d ended done on %s at %.3f and that was taken note of; run %d starts on %s at %.3f", r.task, d.number, d.worker, d.ended.Sub(e.began).Seconds(),
				r.number, r.worker, r.began.Sub(e.began).Seconds())
		}
	}
	e.logf("%d starts after a run of the same work item had ended done; %d more are excused, since the lease lapsed in between", n, excused)
	return n > 0
}

// lapsedBetween reports whether the lease of an executor lapsed between two times.
func (f *fleet) lapsedBetween(id string, from, to time.Time) bool {
	for _, w := range f.workers {
		if w.id != id {
			continue
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, at := range w.lapses {
			if at.After(from) && at.Before(to) {
				return true
			}
		}
	}
	return false
}
