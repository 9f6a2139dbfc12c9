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
			s.fleet.noFaults, s.fleet.stopTime = false, testBounds.StopMax
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

// Guards against results that are lost: the first renewal after a restart acknowledged ends of the new incarnation by the numbers of earlier ones, so
// that the worker forgot them before it had reported them, and the tasks ran again.
func TestEndsOfANewIncarnationAreReportedBeforeTheyAreAcknowledged(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	s.fleet.noFaults = false
	s.submit(simpleJob("before", "normal", 1, 3, smallNeed))
	s.run(6 * time.Second)
	must.Eq(t, batch.Completed, s.state("before"))
	w := s.fleet.workers["w0-0"]
	s.submit(simpleJob("after", "normal", 1, 1, smallNeed))
	c := s.leaders[0].core
	c.Plan(s.fleet.now)
	s.commit(s.leaders[0])
	orders := c.TakeOrders()
	must.Len(t, 1, orders)
	s.fleet.crash(w.ID)
	w.listedFrom = s.fleet.now + time.Minute
	c.OnStart(orders[0], Deliver(orders[0], s.fleet.order), s.fleet.now)
	w.running["after.0.0.0"].left = testStep
	s.fleet.advance(2 * testStep)
	must.SliceNotEmpty(t, w.endReports)
	s.run(5 * time.Second)
	s.mustHaveNoViolations()
	must.Eq(t, batch.Completed, s.state("after"))
}
