package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	lateTime    = 5400 * time.Millisecond // of one spell in which executors leave orders unanswered
	latePause   = 100 * time.Millisecond  // between two such spells
	lateBy      = 2500 * time.Millisecond // after which these orders are carried out
	silentFor   = 6300 * time.Millisecond // of the first executor, from the first hold that gets no answer
	spellAhead  = 600 * time.Millisecond  // of the first spell before the job is handed in
	notedBefore = time.Second             // TWICE: a start later than this after an end was taken note of
)

// lateOrders decides which orders get no answer in the case "copies".
type lateOrders struct {
	mu         sync.Mutex
	w          *world
	job        string
	began      time.Time // of the first spell; zero before
	first      *executor // of run 1
	firstLost  time.Time // when the first hold got no answer
	starts     int       // orders to start a later run
	unanswered int
	total      int
}

// late reports whether a spell is on.
func (l *lateOrders) late(now time.Time) bool {
	since := now.Sub(l.began)
	return !l.began.IsZero() && (since < lateTime || since > lateTime+latePause && since < 2*lateTime+latePause)
}

func (l *lateOrders) conduct(e *executor, kind string, o order) conduct {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.late(now) {
		return conduct{}
	}
	l.total++
	ofJob := strings.HasPrefix(o.Task, l.job)
	lost := false
	switch {
	case ofJob && kind == "run-start" && o.Run > 1:
		l.starts++
		lost = l.starts < 3
	case ofJob && kind == "run-stop":
		lost = true
	case e == l.first && (kind == "hold" || kind == "run-stop"):
		if l.firstLost.IsZero() {
			l.firstLost = now
		}
		lost = now.Sub(l.firstLost) < silentFor
	}
	if !lost {
		return conduct{}
	}
	l.unanswered++
	return conduct{late: lateBy}
}

// playCopies runs a job of one work item, 3 s long, on one of two executors of its kind. This executor leaves the holds unanswered until the host that leads
// counts its leases as over; the work item has ended as done by then, and nothing runs there. The first two copies of the order to start it elsewhere
// get no answer either.
// TWICE: a start over a second after the end of an earlier run as done was taken note of.
func playCopies(w *world, trouble bool) string {
	const job, other = "00000000000000dd", "00000000000000e"
	for n := range 8 {
		w.submit(n%hostCount, "/forecast/"+jobID(n), jobBody("done:30000", `"Count":1,"Cpu":11000,"MemMb":33000,"Gpu":1,"EstimateMs":30000,"Requires":"a"`))
	}
	time.Sleep(time.Second)
	began := time.Now()
	for n := range 2 { // each takes more than half of an executor
		w.submit(0, fmt.Sprintf("/recon/%s%d", other, n), jobBody("done:9400", `"Count":1,"Cpu":77000,"MemMb":44000,"EstimateMs":9000,"Requires":"b"`))
	}
	orders := &lateOrders{w: w, job: job}
	w.onStart = func(e *executor, o order) {
		if strings.HasPrefix(o.Task, job) && o.Run == 1 {
			orders.mu.Lock()
			defer orders.mu.Unlock()
			orders.first = e
		}
	}
	w.setConduct(orders.conduct)
	// The executors answer a hold of theirs every 2 s; the job comes shortly before the next answer.
	time.Sleep(time.Until(began.Add(3800*time.Millisecond - spellAhead)))
	if trouble {
		orders.mu.Lock()
		orders.began = time.Now()
		orders.mu.Unlock()
		w.log("executors leave a part of their orders unanswered and carry them out %v late", lateBy)
	}
	time.Sleep(spellAhead)
	if !w.submit(0, "/recon/"+job, jobBody("done:3000", `"Count":1,"Cpu":11000,"MemMb":33000,"Gpu":1,"EstimateMs":3000,"Requires":"b"`)) {
		return ""
	}
	time.Sleep(14 * time.Second)
	orders.mu.Lock()
	w.log("orders that got no answer: %d of %d in the two spells", orders.unanswered, orders.total)
	orders.mu.Unlock()
	runs := w.history.of(job)
	for _, earlier := range runs {
		for _, r := range runs {
			if earlier.how == "done" && !earlier.noted.IsZero() && r.number > earlier.number && r.from.Sub(earlier.noted) > notedBefore {
				return fmt.Sprintf("TWICE: run %d of %s began on %s %.2f s after the end of run %d as done was taken note of", r.number, r.task, r.executor, r.from.Sub(earlier.noted).Seconds(), earlier.number)
			}
		}
	}
	return ""
}
