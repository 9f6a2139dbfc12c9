package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/batch"
)

const (
	// testHeartbeat is the longest time after which the entry of a worker shows a change.
	testHeartbeat = time.Second
	// shrinkGrace is the time from which a capacity that has shrunk bounds the starts on the worker.
	shrinkGrace = 3*time.Second + testHeartbeat
)

var fullCapacity = batch.Resources{MilliCores: 64000, MemoryMB: 64000, Accelerators: 8}

// capacityChange is a change of a worker's capacity.
type capacityChange struct {
	at            time.Duration
	before, after batch.Resources
}

// setCapacity changes the capacity of a worker. Its entry shows the change after the registry's delay.
func (w *fakeWorker) setCapacity(r batch.Resources) {
	w.capacityChanges = append(w.capacityChanges, capacityChange{w.fleet.now, w.Capacity, r})
	w.Capacity = r
}

// entry returns the worker as the registry shows it.
func (w *fakeWorker) entry() batch.Worker {
	e := w.Worker
	for _, c := range slices.Backward(w.capacityChanges) {
		if w.fleet.now-c.at >= w.fleet.registryDelay {
			break
		}
		e.Capacity = c.before
	}
	return e
}

// capacityLimits returns the capacities of which at least one has to hold a new start with what runs on the worker.
func (w *fakeWorker) capacityLimits() []batch.Resources {
	limits := []batch.Resources{w.Capacity}
	for _, c := range slices.Backward(w.capacityChanges) {
		if w.fleet.now-c.at > shrinkGrace {
			break
		}
		limits = append(limits, c.before)
	}
	return limits
}

// checkCapacity checks that a start doesn't bring a worker that doesn't enforce its capacity over it. Runs that are being stopped count.
func (w *fakeWorker) checkCapacity(o Order, need batch.Resources) {
	used := w.used().Plus(need)
	for _, limit := range w.capacityLimits() {
		if used.fitsWhereNeeded(need, limit) {
			return
		}
	}
	w.fleet.addViolation("start of %s run %d on %s brings it to %v, its capacity is %v", o.Task, o.Run, w.ID, used, w.Capacity)
}

// fitsWhereNeeded reports whether the amounts of the needed resources are within the capacity.
func (r fakeResources) fitsWhereNeeded(need, capacity batch.Resources) bool {
	return (need.MilliCores == 0 || r.MilliCores <= capacity.MilliCores) && (need.MemoryMB == 0 || r.MemoryMB <= capacity.MemoryMB) &&
		(need.Accelerators == 0 || r.Accelerators <= capacity.Accelerators)
}

// beginStop begins to stop a run. The run counts until its end.
func (w *fakeWorker) beginStop(name string, r *fakeRun) {
	switch {
	case w.fleet.stopTime == 0:
		w.end(name, EndStopped)
	case r.stopsAt == 0:
		r.stopsAt = w.fleet.now + w.fleet.stopTime
	}
}

// drawCapacityModel draws whether workers enforce their capacity, how late their entries show it and how long stops take.
func drawCapacityModel(t *rapid.T, f *fakeFleet) {
	f.ignoresCapacity = rapid.Bool().Draw(t, "ignores capacity")
	f.registryDelay = rapid.SampledFrom([]time.Duration{0, 250 * time.Millisecond, testHeartbeat}).Draw(t, "registry delay")
	f.stopTime = rapid.SampledFrom([]time.Duration{0, testStep, testBounds.StopMax}).Draw(t, "stop time")
}

func drawCapacity(t *rapid.T) batch.Resources {
	n := rapid.IntRange(0, 8).Draw(t, "capacity in eighths")
	return batch.Resources{MilliCores: n * 8000, MemoryMB: n * 8000, Accelerators: n}
}

// newCapacitySystem returns a system of one rack whose workers start whatever they are told, and list what they stop until StopMax.
func newCapacitySystem(t must.T, workers int) *system {
	s := newSystem(t, 1, 1, workers)
	s.fleet.ignoresCapacity, s.fleet.registryDelay, s.fleet.stopTime = true, testHeartbeat, testBounds.StopMax
	return s
}

// longJob returns a job of single tasks that run until they are stopped.
func longJob(id, queue string, priority, tasks int, need batch.Resources) batch.Job {
	j := simpleJob(id, queue, priority, tasks, need)
	j.Steps[0].LongRunning = true
	return j
}

var accelerator = batch.Resources{MilliCores: 1000, Accelerators: 1}

// runningTasks returns the number of runs on a worker.
func (s *system) runningTasks(worker string) int { return len(s.fleet.workers[worker].running) }

// Guards against starts beyond a capacity that has shrunk, and against capacity that stays unused after it has grown again.
func TestStartsFollowTheCapacityOfAWorker(t *testing.T) {
	s := newCapacitySystem(t, 1)
	w := s.fleet.workers["w0-0"]
	s.submit(longJob("first", "normal", 1, 6, accelerator))
	s.run(time.Second)
	must.Eq(t, 6, s.runningTasks("w0-0"))
	w.setCapacity(batch.Resources{MilliCores: 32000, MemoryMB: 32000, Accelerators: 4})
	s.run(5 * time.Second)
	s.submit(longJob("second", "normal", 1, 4, accelerator))
	s.run(5 * time.Second)
	must.Eq(t, 6, s.runningTasks("w0-0"), must.Sprint("runs stay when the capacity shrinks, and none is added"))
	w.setCapacity(fullCapacity)
	s.run(testHeartbeat + time.Second)
	must.Eq(t, 8, s.runningTasks("w0-0"))
	s.cancel("first")
	s.run(2 * time.Second)
	must.Eq(t, 4, s.runningTasks("w0-0"))
	s.mustHaveNoViolations()
}

// Guards against a preemption on a worker that runs more than its capacity: the urgent task must not start before enough runs have ended, and not
// beside runs that are being stopped.
func TestPreemptionOnAnOverfullWorkerWaitsForTheEnds(t *testing.T) {
	s := newCapacitySystem(t, 1)
	s.submit(longJob("first", "batch", 2, 8, accelerator))
	s.run(time.Second)
	s.fleet.workers["w0-0"].setCapacity(batch.Resources{MilliCores: 32000, MemoryMB: 32000, Accelerators: 4})
	s.run(shrinkGrace + time.Second)
	s.submit(longJob("urgent", "urgent", 0, 1, batch.Resources{MilliCores: 1000, Accelerators: 2}))
	s.run(3 * time.Second)
	must.MapContainsKey(t, s.fleet.firstStart, "urgent")
	s.mustHaveNoViolations()
}

// Guards against a start whose assignment was stored late, after the capacity of its worker had shrunk.
func TestAssignmentThatNoLongerFitsIsWithdrawn(t *testing.T) {
	s := newCapacitySystem(t, 1)
	s.run(time.Second)
	c := s.leaders[0].core
	s.submit(longJob("first", "normal", 1, 6, accelerator))
	c.Plan(s.fleet.now)
	cm := c.TakeCommit()
	list := s.fleet.list()
	list[0].Capacity = batch.Resources{MilliCores: 32000, MemoryMB: 32000, Accelerators: 4}
	c.SetWorkers(list, s.fleet.now+time.Second)
	c.OnStored(cm, s.fleet.now+2*time.Second)
	must.Len(t, 4, c.TakeOrders(), must.Sprint("starts on a worker with room for 4"))
}

// Guards against a new leader that starts tasks beside the runs of a cancelled job whose stop takes time: such a run is unknown to it.
func TestRunsOfEndedJobsCountUntilTheyEnd(t *testing.T) {
	s := newCapacitySystem(t, 1)
	s.submit(longJob("first", "normal", 1, 8, accelerator))
	s.run(time.Second)
	s.submit(longJob("second", "normal", 1, 8, accelerator))
	s.run(time.Second)
	s.cancel("first")
	s.run(testStep)
	s.leaders[0].frozen = true
	s.elect()
	s.run(2 * time.Second)
	must.Eq(t, 8, s.runningTasks("w0-0"))
	s.mustHaveNoViolations()
}

// Guards against starts on workers that don't enforce their capacity while their entries can't be read, and against a pause of the others.
func TestStaleCapacitiesPauseStartsWhereNotEnforced(t *testing.T) {
	for _, enforced := range []bool{false, true} {
		s := newCapacitySystem(t, 1)
		s.run(time.Second)
		c, p := s.leaders[0].core, testPolicy()
		p.Version, p.Services[0].EnforcesCapacity = 2, enforced
		c.SetPolicy(p)
		s.submit(longJob("first", "normal", 1, 2, accelerator))
		c.Plan(s.fleet.now)
		cm := c.TakeCommit()
		s.submit(longJob("second", "normal", 1, 2, accelerator))
		c.SetWorkersStale(true)
		c.OnStored(cm, s.fleet.now)
		s.run(time.Second)
		must.Eq(t, enforced, s.runningTasks("w0-0") == 4)
		must.Eq(t, !enforced, s.runningTasks("w0-0") == 0)
		c.SetWorkersStale(false)
		s.run(time.Second)
		must.Eq(t, 4, s.runningTasks("w0-0"))
		s.mustHaveNoViolations()
	}
}

// Guards against the start of another task in the place of one whose start got no response and is carried out late.
func TestStartsWithUnknownOutcomeCount(t *testing.T) {
	for seed := range uint64(20) {
		s := newSystem(t, seed, 1, 2)
		s.fleet.noFaults, s.fleet.ignoresCapacity, s.fleet.stopTime, s.fleet.delayShare = false, true, testBounds.StopMax, 0.4
		for _, id := range []string{"a", "b", "c"} {
			s.submit(simpleJob(id, "normal", 1, 12, accelerator))
			s.run(700 * time.Millisecond)
		}
		s.run(20 * time.Second)
		s.mustHaveNoViolations()
	}
}

// Guards against a start beyond a worker's capacity under any sequence of changes of capacities, leaders and jobs, on workers that are full.
func TestCapacityHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t, rapid.Uint64().Draw(t, "seed"), 1, 2)
		s.fleet.noFaults = false
		drawCapacityModel(t, s.fleet)
		jobs := 0
		for range rapid.IntRange(10, 60).Draw(t, "length") {
			drawCapacityAction(t, s, &jobs)
			s.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "steps")) * testStep)
		}
		s.mustHaveNoViolations()
	})
}

// drawCapacityAction applies one randomly drawn change that affects which runs are present on a worker, or the capacity of a worker.
func drawCapacityAction(t *rapid.T, s *system, jobs *int) {
	w := s.fleet.workers[rapid.SampledFrom(s.fleet.ids()).Draw(t, "worker")]
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1, 2:
		*jobs++
		s.submit(drawJob(t, fmt.Sprintf("j%d", *jobs)))
	case 3, 4:
		w.setCapacity(drawCapacity(t))
	case 5:
		w.setCapacity(fullCapacity)
	case 6:
		if *jobs > 0 {
			s.cancel(fmt.Sprintf("j%d", rapid.IntRange(1, *jobs).Draw(t, "cancelled")))
		}
	case 7:
		s.leaders[len(s.leaders)-1].frozen = rapid.Bool().Draw(t, "frozen")
		s.elect()
	case 8:
		s.fleet.delayShare = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "delayed")
		s.fleet.responseLossShare = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss")
	case 9:
		s.outage = !s.outage
	}
}
