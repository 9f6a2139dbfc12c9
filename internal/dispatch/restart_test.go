package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// wholeWorker is the need of a task that fills a worker.
var wholeWorker = batch.Resources{MilliCores: 8000, Accelerators: 8}

// Guards against two runs of a task: an idle worker restarts under its id, carries out a start that was meant for its earlier incarnation, and its
// next report makes the leader believe that this run has ended.
func TestRunThatTheNewIncarnationOfAWorkerStartedIsKept(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSystem(t, seed, 1, 3)
			gang := simpleJob("gang", "normal", 1, 2, wholeWorker)
			gang.Steps[0].Gang = true
			s.run(time.Second)
			s.fleet.noFaults, s.fleet.slowStops = false, true
			for _, id := range s.fleet.ids() {
				s.fleet.crash(id)
			}
			s.submit(gang)
			s.submit(simpleJob("single", "normal", 1, 1, wholeWorker))
			s.run(15 * time.Second)
			s.mustHaveNoViolations()
			must.Eq(t, batch.Completed, s.state("gang"))
			must.Eq(t, batch.Completed, s.state("single"))
		})
	}
}
