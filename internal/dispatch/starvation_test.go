package dispatch

import (
	"fmt"
	"testing"
	"time"

	"samphirewell/internal/batch"
)

// Guards against a gang that waits for one rack without limit while small tasks keep some workers of each rack occupied.
func TestGangOnOneRackStartsWhileHalfOfTheFleetIsFree(t *testing.T) {
	const (
		racks, perRack  = 3, 20
		partlyOccupied  = 12 // workers of each rack
		smallTaskTime   = 6 * time.Second
		arrivalInterval = 4 * time.Second
	)
	s := newPool(t, racks, perRack)
	var nextArrival time.Duration
	arrivals := func() {
		s.fleet.setRunTime("small", smallTaskTime)
		if s.fleet.now < nextArrival {
			return
		}
		nextArrival = s.fleet.now + arrivalInterval
		for rack := range racks {
			s.submit(smallTasksNearData(fmt.Sprintf("small-%d-%d", rack, nextArrival.Milliseconds()), partlyOccupied, rack))
		}
	}
	arrivals()
	s.run(2 * testStep)
	s.fleet.setRunTime("small", smallTaskTime)
	gang := simpleJob("gang", "normal", 1, 10, wideNeed)
	gang.Steps[0].Gang, gang.Steps[0].SameRack = true, true
	s.submit(gang)
	(&waitCheck{system: s, job: "gang", each: []func(){arrivals}}).mustStart(time.Minute)
}

// Guards against tasks that wait for the rack of their data without limit while it is full and the other racks are free.
func TestTasksStartWhileOnlyTheRackOfTheirDataIsFull(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang=%t", gang), func(t *testing.T) {
			s := newPool(t, 3, 4)
			for range poolWorker.Accelerators {
				s.submit(smallTasksNearData(fmt.Sprintf("full-%d", len(s.jobs)), 4, 0))
			}
			s.run(2 * testStep)
			s.fleet.setRunTime("full", time.Minute)
			j := simpleJob("near-data", "normal", 1, 2, wideNeed)
			j.Steps[0].Gang, j.Steps[0].DataRack = gang, "rack-0"
			s.submit(j)
			(&waitCheck{system: s, job: "near-data"}).mustStart(time.Minute)
		})
	}
}

// Guards against tasks of one step that all wait because no rack has room for all of them, though each may start alone.
func TestTasksStartOneByOneWhileNoRackFitsAll(t *testing.T) {
	s := newPool(t, 3, 2)
	j := simpleJob("tasks", "normal", 1, 2, wideNeed)
	j.Steps[0].SameRack = true
	for rack := range 3 {
		s.submit(smallTasksNearData(fmt.Sprintf("small-%d", rack), 1, rack))
	}
	s.run(2 * testStep)
	s.fleet.setRunTime("small", time.Minute)
	s.submit(j)
	(&waitCheck{system: s, job: "tasks"}).mustStart(time.Minute)
}

// Guards against free workers that are kept for urgent work whose victims are too expensive to stop.
func TestLaterJobsStartWhileUrgentWorkIsTooExpensive(t *testing.T) {
	s := newPool(t, 1, 4)
	s.leaders[0].core.preemptionBudget = func(*taskGroup, bool, time.Duration) float64 { return 0 }
	s.submit(simpleJob("small", "normal", 1, 1, smallTask))
	s.run(2 * testStep)
	s.fleet.setRunTime("small", time.Minute)
	claim := simpleJob("claim", "urgent", 0, 4, wideNeed)
	claim.Steps[0].Gang = true
	s.submit(claim)
	s.submit(simpleJob("later", "normal", 1, 1, wideNeed))
	(&waitCheck{system: s, job: "later"}).mustStart(time.Minute)
}

// Guards against a task that never starts again because it failed on all workers that have its label.
func TestFailedTaskStartsAgainOnTheOnlyWorkerWithItsLabel(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang=%t", gang), func(t *testing.T) {
			s := newPool(t, 1, 4)
			s.fleet.workers["w0-0"].Labels = []string{"fast"}
			j := simpleJob("fails-once", "normal", 1, 1, smallTask)
			j.Steps[0].Requires, j.Steps[0].Gang = "fast", gang
			s.fleet.failingJobs[j.ID] = true
			s.submit(j)
			failedOnce := func() {
				s.fleet.failingJobs[j.ID] = len(s.leaders[0].core.jobs[j.ID].occurrences[0].steps[0].groups[0].failedRuns) == 0
			}
			(&waitCheck{system: s, job: j.ID, each: []func(){failedOnce}}).mustStart(time.Minute)
		})
	}
}

// Guards against a gang that gets no more advice because the tasks that may not share a worker are counted as fitting on one.
func TestAdviceIsRequestedUntilTasksThatMayNotShareAWorkerFit(t *testing.T) {
	const workers = 3 * batch.MinAdviceWorkers
	s := newPool(t, 1, workers)
	p := testPolicy()
	p.Version = 2
	p.Queues[1].Advice = &batch.AdvicePolicy{PerRequest: 10 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	s.leaders[0].core.SetPolicy(p.Index())
	j := simpleJob("apart", "normal", 1, batch.MinAdviceWorkers, smallTask)
	j.Steps[0].Gang, j.Steps[0].MaxPerWorker = true, 1
	c := &waitCheck{system: s, job: j.ID, allowed: map[string]bool{}}
	for i, id := range s.fleet.ids() {
		c.allowed[id] = i%3 > 0
	}
	c.each = append(c.each, c.advise)
	s.submit(j)
	c.mustStart(time.Minute)
}

// Guards against a gang that waits for one rack without limit because the adviser was asked for no more workers than it needs.
func TestGangWithTicketsLeavesItsRack(t *testing.T) {
	s := newPool(t, 3, 20)
	p := testPolicy()
	p.Version = 2
	p.Queues[1].Advice = &batch.AdvicePolicy{PerRequest: 10 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	s.leaders[0].core.SetPolicy(p.Index())
	for rack := range 3 {
		s.submit(smallTasksNearData(fmt.Sprintf("small-%d", rack), 12, rack))
	}
	s.run(2 * testStep)
	s.fleet.setRunTime("small", 10*time.Minute)
	gang := simpleJob("gang", "normal", 1, 10, wideNeed)
	gang.Steps[0].Gang, gang.Steps[0].SameRack = true, true
	c := &waitCheck{system: s, job: "gang", allowed: map[string]bool{}}
	for _, id := range s.fleet.ids() {
		c.allowed[id] = true
	}
	c.each = append(c.each, c.advise)
	s.submit(gang)
	c.mustStart(time.Minute)
}

// adviceValid is the validity of the tickets of the test's adviser.
const adviceValid = 10 * time.Second

// advise answers the requests of the leader to the adviser, which allows the workers in allowed.
func (c *waitCheck) advise() {
	core := c.core()
	for {
		req, ok := core.NextAdviceRequest(c.fleet.now, []string{""})
		if !ok {
			return
		}
		a := &Advice{Tickets: map[string]string{}, Valid: adviceValid}
		for _, id := range req.Workers {
			if c.allowed[id] {
				a.Tickets[id] = "ticket"
			}
		}
		core.OnAdvice(req, a, c.fleet.now, c.fleet.now)
	}
}

// Guards against a task that waits for the end of the quarantine of all workers that have its label, with nothing else to run on.
func TestTaskStartsWhileAllWorkersWithItsLabelAreSuspected(t *testing.T) {
	s := newPool(t, 1, 4)
	s.fleet.workers["w0-0"].Labels = []string{"fast"}
	s.fleet.noFaults = false
	for i := range 2 { // two tasks that fail by their own fault
		j := simpleJob(fmt.Sprintf("bad-%d", i), "normal", 1, 1, smallTask)
		j.Queue.Attempts, j.Steps[0].Requires = 1, "fast"
		s.fleet.failingJobs[j.ID] = true
		s.submit(j)
	}
	s.run(time.Second)
	j := simpleJob("good", "normal", 1, 1, smallTask)
	j.Steps[0].Requires = "fast"
	s.submit(j)
	(&waitCheck{system: s, job: j.ID, suspectedToo: true}).mustStart(time.Minute)
}

// settleTime is the time after a fault after which the users expect jobs to start within startLimit again.
const settleTime = 4 * time.Second

// Guards against a job that waits although all workers respond again, because they are in quarantine after a long cut of the network.
func TestJobStartsAfterAllWorkersWereUnreachable(t *testing.T) {
	for _, cut := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second} {
		t.Run(cut.String(), func(t *testing.T) {
			const workers = 4
			s := newPool(t, 1, workers)
			s.fleet.noFaults = false
			s.submit(smallTasksNearData("small", workers, 0)) // the leader polls workers that have runs
			s.run(2 * testStep)
			s.fleet.setRunTime("small", time.Minute)
			for _, w := range s.fleet.workers {
				w.unreachable = true
			}
			s.run(cut)
			for _, w := range s.fleet.workers {
				w.unreachable = false
			}
			j := simpleJob("waiting", "normal", 1, 1, smallTask)
			j.Steps[0].LongRunning = true
			s.submit(j)
			s.run(settleTime)
			(&waitCheck{system: s, job: j.ID, suspectedToo: true}).mustStart(time.Minute)
		})
	}
}

// Guards against latency-sensitive and best-effort tasks that wait without limit for a worker on which the other kind doesn't run, when there is none.
func TestServingAndBestEffortTasksStartWhileAllWorkersRunTheOtherKind(t *testing.T) {
	for _, serves := range []bool{false, true} {
		t.Run(fmt.Sprintf("serves=%t", serves), func(t *testing.T) {
			s := newPool(t, 1, 4)
			setKind := func(j batch.Job, serves bool) batch.Job {
				step := &j.Steps[0]
				step.LongRunning, step.BestEffort = serves, !serves
				if serves {
					step.LatencyTarget = 100 * time.Millisecond
				}
				return j
			}
			present := setKind(simpleJob("present", "batch", 2, 4, smallTask), !serves)
			present.Steps[0].MaxPerWorker = 1
			s.submit(present)
			s.run(2 * testStep)
			s.fleet.setRunTime("present", time.Minute)
			s.submit(setKind(simpleJob("waiting", "normal", 1, 1, smallTask), serves))
			(&waitCheck{system: s, job: "waiting"}).mustStart(time.Minute)
		})
	}
}

// Guards against workers that are reserved for a gang because many workers are suspected, while less than half of the fleet is in use.
func TestNothingIsReservedWhileIdleWorkersAreSuspected(t *testing.T) {
	const workers, suspected, occupied = 10, 5, 4
	s := newPool(t, 1, workers)
	core := s.leaders[0].core
	full := simpleJob("full", "batch", 2, occupied, wideNeed)
	s.submit(full)
	s.run(2 * testStep)
	s.fleet.setRunTime("full", time.Minute)
	left := suspected
	for _, w := range core.byID {
		if len(w.allocs) == 0 && left > 0 {
			w.health.addFailure(s.fleet.now, quarantineThreshold)
			w.health.quarantinedUntil = s.fleet.now + quarantineMax
			left--
		}
	}
	gang := simpleJob("gang", "normal", 1, 5, wideNeed)
	gang.Steps[0].Gang = true
	s.submit(gang)
	s.run(reservationWait)
	s.submit(simpleJob("later", "batch", 2, 1, smallTask))
	(&waitCheck{system: s, job: "later"}).mustStart(time.Minute)
}

// reservationWait is longer than the wait after which the planner reserves workers for a gang.
const reservationWait = 2500 * time.Millisecond
