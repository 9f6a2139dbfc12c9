package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

const (
	// startLimit is the users' bound for the start of a job that could run while less than half of the capacity is in use.
	startLimit = 3 * time.Second
	// roomFactor is how many times over the job has to fit for that bound to hold.
	roomFactor = 2
)

var (
	poolWorker = batch.Resources{MilliCores: 32000, MemoryMB: 65536, Accelerators: 8}
	// wideNeed fits at most once on a worker of poolWorker, and only on an empty one.
	wideNeed = batch.Resources{MilliCores: 13000, MemoryMB: 34000, Accelerators: 8}
	// smallTask is the need of the tasks that keep workers partly occupied.
	smallTask = batch.Resources{MilliCores: 2800, MemoryMB: 5700, Accelerators: 1}
)

// newPool returns a system whose workers all have the capacity of poolWorker.
func newPool(t must.T, racks, perRack int) *system {
	s := newSystem(t, 1, racks, perRack)
	for _, w := range s.fleet.workers {
		w.Capacity = poolWorker
	}
	s.run(2 * testStep) // the leader contacts the workers
	return s
}

// isMostlyFree reports whether less than half of each resource is in use on the workers that are up.
func (f *fakeFleet) isMostlyFree() bool {
	var used fakeResources
	var total batch.Resources
	for _, w := range f.workers {
		if w.up {
			used, total = used.Plus(batch.Resources(w.used())), total.Plus(w.Capacity)
		}
	}
	return 2*used.MilliCores < total.MilliCores && 2*used.MemoryMB < total.MemoryMB && 2*used.Accelerators < total.Accelerators
}

// slots returns how many tasks of a step fit on the workers now, whatever their racks.
func (f *fakeFleet) slots(step batch.Step) int {
	n := 0
	for _, w := range f.workers {
		if !w.up || w.unreachable || !w.HasLabel(step.Requires) {
			continue
		}
		limit := step.Tasks * roomFactor
		if step.MaxPerWorker > 0 {
			limit = step.MaxPerWorker
		}
		n += w.Capacity.Minus(batch.Resources(w.used())).FitCount(step.Need, limit)
	}
	return n
}

// hasRuns reports whether a worker runs a task of the job.
func (f *fakeFleet) hasRuns(job string) bool {
	for _, w := range f.workers {
		for name := range w.running {
			if id, _ := batch.ParseTaskID(name); id.Job == job {
				return true
			}
		}
	}
	return false
}

// couldRun reports whether the users expect the first step of a job to start: there is room for it roomFactor times over, and most of the fleet is
// free.
func (f *fakeFleet) couldRun(job string) bool {
	step := f.jobs[job].Steps[0]
	atOnce := 1
	if step.Gang {
		atOnce = step.Tasks
	}
	return f.isMostlyFree() && f.slots(step) >= roomFactor*atOnce
}

// mustStartWhileMostlyFree runs the system until the job starts. It fails if the job could have run for startLimit on end. each is called before every
// step.
func (s *system) mustStartWhileMostlyFree(job string, limit time.Duration, each func()) {
	idle := time.Duration(0)
	for end := s.fleet.now + limit; s.fleet.now < end; {
		each()
		s.run(testStep)
		s.mustHaveNoViolations()
		if s.fleet.hasRuns(job) {
			return
		}
		idle += testStep
		if !s.fleet.couldRun(job) {
			idle = 0
		}
		must.LessEq(s.t, startLimit, idle, must.Sprintf("%s doesn't start at %v: %d tasks fit, %d are needed", job, s.fleet.now,
			s.fleet.slots(s.fleet.jobs[job].Steps[0]), s.fleet.jobs[job].Steps[0].Tasks))
	}
	must.Unreachable(s.t, must.Sprintf("%s neither started nor could run for long enough", job))
}

// setRunTime sets the run time of all present runs.
func (f *fakeFleet) setRunTime(d time.Duration) {
	for _, w := range f.workers {
		for _, r := range w.running {
			r.left += d - r.work
			r.work = d
		}
	}
}

// smallTasksNearData returns a job of small tasks, one a worker, whose data is on a rack.
func smallTasksNearData(id string, tasks, rack int) batch.Job {
	j := simpleJob(id, "batch", 2, tasks, smallTask)
	j.Steps[0].MaxPerWorker, j.Steps[0].DataRack = 1, fmt.Sprintf("rack-%d", rack)
	return j
}

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
		s.fleet.setRunTime(smallTaskTime)
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
	s.fleet.setRunTime(smallTaskTime)
	gang := simpleJob("gang", "normal", 1, 10, wideNeed)
	gang.Steps[0].Gang, gang.Steps[0].SameRack = true, true
	s.submit(gang)
	s.mustStartWhileMostlyFree("gang", time.Minute, arrivals)
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
			s.fleet.setRunTime(time.Minute)
			j := simpleJob("near-data", "normal", 1, 2, wideNeed)
			j.Steps[0].Gang, j.Steps[0].DataRack = gang, "rack-0"
			s.submit(j)
			s.mustStartWhileMostlyFree("near-data", time.Minute, func() {})
		})
	}
}
