package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"samphirewell/internal/rowstore"
)

const (
	drainTime = 6 * time.Second // from the report that an executor drains to its exit
	lossTime  = 5 * time.Second // for which orders to the API for machines get no answer
)

// playLeaving runs a work item that lasts. Its executor, one of fourteen, reports that it drains, and leaves 6 s later.
// LOST: the work item doesn't run for 3 s although there is room, from 6 s after its last run, when the 3 s and the 4 s before them are calm.
func playLeaving(w *world, trouble bool) string {
	const lasting = "00000000000000bb"
	if !w.submit(0, "/recon/"+lasting, jobBody("serve:0", `"Count":1,"Cpu":4000,"MemMb":8000,"EstimateMs":1000,"LongRunning":true`)) {
		return ""
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, e := range w.executors {
			for _, r := range w.history.of(lasting) {
				if r.executor == e.id {
					e.leave(drainTime)
				}
			}
		}
	}
	for end := time.Now().Add(drainTime + 20*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		runs := w.history.of(lasting)
		last := runs[len(runs)-1]
		if last.to.IsZero() {
			if last.number > 1 {
				w.log("the work item that lasts runs again")
				return ""
			}
			continue
		}
		if still := time.Since(last.to); still > lastingGrace+lastingSpan {
			return fmt.Sprintf("LOST: the work item that lasts ended with its executor %.1f s ago and doesn't run; at most %d of %d cores are in use", still.Seconds(), w.coresInUse(), cores*(len(w.executors)-1))
		}
	}
	return ""
}

// playWaves requests two waves of upkeep that have one machine in common, while the calls that order upkeep get no answer for 5 s.
// MIXED: a wave is said to be completed, and a machine of it hasn't begun its upkeep.
func playWaves(w *world, trouble bool) string {
	if trouble {
		w.cloud.setLost(true)
		time.AfterFunc(lossTime, func() { w.cloud.setLost(false) })
	}
	waves := []int{1, 2}
	w.cloud.request(1, []string{machineOf(0), machineOf(1)})
	w.cloud.request(2, []string{machineOf(0), machineOf(2)})
	open := len(waves)
	reported := map[int]bool{}
	for end := time.Now().Add(60 * time.Second); open > 0 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range waves {
			if reported[n] || !strings.Contains(w.status(n), "completed") {
				continue
			}
			reported[n] = true
			open--
			missing := w.cloud.missing(n)
			w.log("operator: status/wave/%d is completed; machines without upkeep: %v", n, missing)
			if len(missing) > 0 {
				return fmt.Sprintf("MIXED: wave %d is said to be completed, and the upkeep of %v hasn't begun", n, missing)
			}
		}
	}
	return ""
}

// status returns what the system says of a wave.
func (w *world) status(wave int) string {
	r, err := w.store.Scan(context.Background(), "status", "", rowstore.Range{From: fmt.Sprintf("wave/%d", wave)})
	if err != nil || len(r.Rows) == 0 || r.Rows[0].Key.Key != fmt.Sprintf("wave/%d", wave) {
		return ""
	}
	return string(r.Rows[0].Value)
}
