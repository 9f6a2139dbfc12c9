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

// accepted is the delivery of a start whose first copy was accepted.
var accepted = Delivery{Result: Accepted, Response: Accepted}

// restartedDuringStart returns a core, and a start of "j" that is still in flight while worker "w" restarts.
func restartedDuringStart(t *testing.T, spare bool) (*Core, Order) {
	c := New(1, testPolicy(), testBounds, discardLog())
	c.SetWorkers([]batch.Worker{incarnationOf(1, "a")}, 0)
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute}, 0, 0)
	c.AddJob(simpleJob("j", "normal", 1, 1, smallNeed), 0)
	orders := startsAfterPlan(c, 0)
	must.Len(t, 1, orders)
	if spare {
		v := incarnationOf(1, "a")
		v.ID, v.Address = "v", "v:1"
		c.SetWorkers([]batch.Worker{incarnationOf(1, "a"), v}, 1)
		c.OnReport("v", WorkerReport{Incarnation: 1, Clock: time.Minute}, 1, 1)
	}
	return c, orders[0]
}

// Guards against two runs: the first copy of a start was carried out and listed by one incarnation, a later copy by the next one.
func TestRunIsKeptIfALaterCopyStartedItAfterARestart(t *testing.T) {
	c, o := restartedDuringStart(t, true)
	run := []RunReport{{Task: o.Task, Run: o.Run}}
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute, Running: run}, 1, 2) // copy 1 was carried out; its response is lost
	now := 700 * time.Millisecond
	c.OnReport("w", WorkerReport{Incarnation: 2, Clock: time.Millisecond, Running: run}, now, now+1) // copy 2 was carried out
	for _, other := range startsAfterPlan(c, now+2) {
		must.False(t, !other.Stop && other.Task == o.Task, must.Sprintf("run %d is ordered on %s while run %d is listed on w", other.Run, other.Worker.ID, o.Run))
	}
}

// Guards against two runs: the next incarnation, not contacted yet, accepts a late copy, whose lease begins then.
func TestLeaseOfAStartThatAnUncontactedIncarnationAccepted(t *testing.T) {
	c, o := restartedDuringStart(t, false)
	c.SetWorkers([]batch.Worker{incarnationOf(2, "a")}, 10*time.Millisecond)
	acceptedAt := 1500 * time.Millisecond
	c.OnStart(o, accepted, acceptedAt)
	c.OnRenewalFailed("w", acceptedAt)
	now := acceptedAt + testBounds.LeaseMax
	c.Tick(now, 0)
	must.True(t, c.task(o.Task).phase.mayBeRunning(), must.Sprint("the lease that the start got lasts until now"))
}

// Guards against two runs: as above, but the run is being stopped when the response arrives, after the first report of the incarnation.
func TestLeaseOfAStoppedStartThatTheNextIncarnationAccepted(t *testing.T) {
	c, o := restartedDuringStart(t, false)
	c.OnReport("w", WorkerReport{Incarnation: 2, Clock: time.Millisecond}, 10*time.Millisecond, 10*time.Millisecond)
	c.stopGroup(c.task(o.Task).group, 20*time.Millisecond, "test")
	acceptedAt := 1500 * time.Millisecond
	c.OnStart(o, accepted, acceptedAt)
	c.OnRenewalFailed("w", acceptedAt)
	c.Tick(acceptedAt+testBounds.LeaseMax, 0)
	must.True(t, c.task(o.Task).phase.mayBeRunning(), must.Sprint("the lease that the start got lasts until now"))
}
