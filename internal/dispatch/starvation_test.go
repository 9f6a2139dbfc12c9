package dispatch

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

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

// waitCheck checks that a job starts in time.
type waitCheck struct {
	*system
	job     string
	allowed map[string]bool // workers that may run the job; nil means all
	each    []func()        // called before every step of the system
	// suspectedToo means that the job has to start even if only workers in quarantine are left.
	suspectedToo bool
}

// core returns the core of the newest leader.
func (c *waitCheck) core() *Core { return c.leaders[len(c.leaders)-1].core }

// step returns the last step of the job, which is the one that has to start.
func (c *waitCheck) step() (int, batch.Step) {
	steps := c.fleet.jobs[c.job].Steps
	if len(steps) == 0 { // not submitted yet
		return 0, batch.Step{}
	}
	return len(steps) - 1, steps[len(steps)-1]
}

// slots returns how many tasks of a step fit now on the workers that the leader may use, whatever their racks.
func (c *waitCheck) slots(step batch.Step) int {
	n, core := 0, c.core()
	for _, w := range c.fleet.workers {
		known := core.workers[w.ID]
		if !w.up || w.unreachable || !w.HasLabel(step.Requires) || known == nil || c.allowed != nil && !c.allowed[w.ID] ||
			!core.usable(known, c.fleet.now) && !c.suspectedToo {
			continue
		}
		limit := step.Tasks * roomFactor
		if step.MaxPerWorker > 0 {
			limit = step.MaxPerWorker - c.tasksOn(w)
		}
		n += max(0, w.Capacity.Minus(batch.Resources(w.used())).FitCount(step.Need, limit))
	}
	return n
}

// hasStarted reports whether workers run a task of the job's last step, or all its tasks if they are long-running.
func (c *waitCheck) hasStarted() bool {
	_, step := c.step()
	n := 0
	for _, w := range c.fleet.workers {
		n += c.tasksOn(w)
	}
	if step.LongRunning {
		return n == step.Tasks
	}
	return n > 0
}

// tasksOn returns how many tasks of the job's last step run on a worker.
func (c *waitCheck) tasksOn(w *fakeWorker) int {
	step, _ := c.step()
	n := 0
	for name := range w.running {
		if id, _ := batch.ParseTaskID(name); id.Job == c.job && id.Step == step {
			n++
		}
	}
	return n
}

// couldRun reports whether the users expect the last step of the job to start: there is room for it roomFactor times over, and most of the fleet is
// free.
func (c *waitCheck) couldRun() bool {
	_, step := c.step()
	for _, a := range step.After {
		for i := range c.fleet.jobs[c.job].Steps[a].Tasks {
			if !c.fleet.everDone[c.fleet.groupOf(batch.TaskID{Job: c.job, Step: a, Index: i})] {
				return false
			}
		}
	}
	return c.fleet.isMostlyFree() && c.slots(step) >= roomFactor*atOnce(step)
}

// atOnce returns how many tasks of the step have to start at the same time.
func atOnce(step batch.Step) int {
	if step.Gang {
		return step.Tasks
	}
	return 1
}

// mustStart runs the system until the job starts. The check fails if it doesn't, or if the job could have run for startLimit on end.
func (c *waitCheck) mustStart(limit time.Duration) {
	must.True(c.t, c.startsInTime(limit), must.Sprintf("%s neither started nor could run for long enough", c.job))
}

// startsInTime runs the system until the job starts and doesn't fail, and reports whether it did. The check fails if the job could have run for
// startLimit on end.
func (c *waitCheck) startsInTime(limit time.Duration) bool {
	idle := time.Duration(0)
	for end := c.fleet.now + limit; c.fleet.now < end; {
		for _, each := range c.each {
			each()
		}
		c.run(testStep)
		c.mustHaveNoViolations()
		started := c.hasStarted()
		if started && !c.fleet.failingJobs[c.job] {
			return true
		}
		idle += testStep
		if started || !c.couldRun() {
			idle = 0
		}
		_, step := c.step()
		must.LessEq(c.t, startLimit, idle, must.Sprintf("%s doesn't start at %v: %d tasks fit, %d start at once", c.job, c.fleet.now, c.slots(step), atOnce(step)))
	}
	return false
}

// setRunTime sets the run time of the present runs of all jobs whose id has the prefix.
func (f *fakeFleet) setRunTime(prefix string, d time.Duration) {
	for _, w := range f.workers {
		for name, r := range w.running {
			if strings.HasPrefix(name, prefix) {
				r.left += d - r.work
				r.work = d
			}
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
				s.fleet.failingJobs[j.ID] = len(s.leaders[0].core.jobs[j.ID].steps[0][0].groups[0].failedRuns) == 0
			}
			(&waitCheck{system: s, job: j.ID, each: []func(){failedOnce}}).mustStart(time.Minute)
		})
	}
}

// Guards against a gang that gets no more advice because the tasks that may not share a worker are counted as fitting on one.
func TestAdviceIsRequestedUntilTasksThatMayNotShareAWorkerFit(t *testing.T) {
	const workers = 3 * minAdviceWorkers
	s := newPool(t, 1, workers)
	p := testPolicy()
	p.Version = 2
	p.Queues[1].Advice = &batch.AdvicePolicy{PerRequest: 10 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	s.leaders[0].core.SetPolicy(p.Index())
	j := simpleJob("apart", "normal", 1, minAdviceWorkers, smallTask)
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
	for _, w := range core.sortedWorkers() {
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

// occupiedTime is the run time of the tasks that occupy the workers; it exceeds the time of a check.
const occupiedTime = 5 * time.Minute

// drawPool returns a system with racks of different sizes. Each worker has its id as a label, and some have the label fast.
func drawPool(t *rapid.T) *system {
	s := newSystem(t, 1, 0, 0)
	for r := range rapid.IntRange(2, 6).Draw(t, "racks") {
		for i := range rapid.IntRange(1, 5).Draw(t, "workers of the rack") {
			id := fmt.Sprintf("w%d-%d", r, i)
			s.fleet.addWorker(id, fmt.Sprintf("rack-%d", r))
			w := s.fleet.workers[id]
			w.Capacity, w.Labels = poolWorker, append(w.Labels, id)
			if rapid.Bool().Draw(t, "fast") {
				w.Labels = append(w.Labels, "fast")
			}
		}
	}
	s.run(2 * testStep)
	return s
}

// drawOccupied starts tasks on drawn workers that use less than half of each resource together.
func drawOccupied(t *rapid.T, s *system) {
	var used, total batch.Resources
	for _, w := range s.fleet.workers {
		total = total.Plus(w.Capacity)
	}
	for _, id := range s.fleet.ids() {
		need := rapid.SampledFrom([]batch.Resources{smallTask, {MilliCores: 10000, MemoryMB: 10000}, {MilliCores: 1000, MemoryMB: 30000}, {Accelerators: 4}}).Draw(t, "need")
		n := rapid.IntRange(0, 3).Draw(t, "occupying tasks")
		all := used
		for range n {
			all = all.Plus(need)
		}
		if n == 0 || 2*all.MilliCores >= total.MilliCores || 2*all.MemoryMB >= total.MemoryMB || 2*all.Accelerators >= total.Accelerators {
			continue
		}
		used = all
		prio := rapid.IntRange(1, 2).Draw(t, "priority of the occupying tasks")
		j := simpleJob("on-"+id, []string{"urgent", "normal", "batch"}[prio], prio, n, need)
		j.Steps[0].Requires, j.Steps[0].LongRunning = id, rapid.Bool().Draw(t, "occupied for good")
		s.submit(j)
	}
	s.run(3 * testStep)
	s.fleet.setRunTime("on-", occupiedTime)
}

// checkTime is the time after which a check ends in which the job never could run for startLimit on end.
const checkTime = 15 * time.Second

// locality is the racks that a drawn job prefers.
type locality string

const (
	anyRack  locality = "any rack"
	sameRack locality = "one rack"
	dataRack locality = "the rack of its data"
)

// drawWaiting returns a job of any kind; drawTasks sets its number of tasks.
func drawWaiting(t *rapid.T, s *waitCheck, prefers locality) batch.Job {
	prio := rapid.IntRange(0, 2).Draw(t, "priority")
	need := rapid.SampledFrom([]batch.Resources{wideNeed, smallTask, {MilliCores: 30000}, {MemoryMB: 40000, Accelerators: 1}, {Accelerators: 5}}).Draw(t, "waiting need")
	j := simpleJob(s.job, []string{"urgent", "normal", "batch"}[prio], prio, 1, need)
	step := &j.Steps[0]
	step.Gang = rapid.Bool().Draw(t, "gang")
	step.MaxPerWorker = rapid.SampledFrom([]int{0, 1, 2}).Draw(t, "most per worker")
	step.Requires = rapid.SampledFrom([]string{"", "fast"}).Draw(t, "label")
	step.Checkpoints = rapid.Bool().Draw(t, "checkpoints")
	step.LongRunning = rapid.Bool().Draw(t, "long-running")
	switch prefers {
	case sameRack:
		step.SameRack = true
	case dataRack:
		step.DataRack = s.fleet.workers[rapid.SampledFrom(s.fleet.ids()).Draw(t, "data")].Rack
	}
	return j
}

// maxWaitingTasks is the largest number of tasks of a drawn job.
const maxWaitingTasks = 20

// drawTasks sets the number of tasks of the last step so that there is room for it roomFactor times over. It returns false if there is too little room
// for one task.
func drawTasks(t *rapid.T, s *waitCheck, j *batch.Job) bool {
	step := &j.Steps[len(j.Steps)-1]
	step.Tasks = len(s.fleet.workers) * poolWorker.Accelerators // so that all slots are counted
	most := s.slots(*step) / roomFactor
	if most == 0 {
		return false
	}
	step.Tasks = rapid.IntRange(1, min(most, maxWaitingTasks)).Draw(t, "waiting tasks")
	return true
}

// circumstances are the conditions in which a job waits. Each changes the check or the job before the job is submitted.
var circumstances = []struct {
	name    string
	prepare func(t *rapid.T, s *waitCheck, j *batch.Job)
}{
	{"nothing else", func(*rapid.T, *waitCheck, *batch.Job) {}},
	{"after urgent work", prepareUrgentDemand},
	{"behind a gang that does not fit", prepareBlockedGang},
	{"behind urgent work that is too expensive", prepareExpensiveClaim},
	{"after failures", prepareFailures},
	{"beside suspected workers", prepareSuspicion},
	{"second step", prepareSecondStep},
	{"on advice", prepareAdvice},
	{"after a takeover", prepareTakeover},
	{"after workers were away", prepareAbsence},
	{"several together", prepareSeveral},
}

// prepareUrgentDemand lets urgent work end that used some workers until now, so that headroom is kept for it.
func prepareUrgentDemand(t *rapid.T, s *waitCheck, _ *batch.Job) {
	s.submit(simpleJob("burst", "urgent", 0, rapid.IntRange(1, 2*len(s.fleet.workers)).Draw(t, "urgent tasks"), smallTask))
	s.run(2 * testStep)
	s.fleet.setRunTime("burst", 5*time.Second)
	s.run(5 * time.Second)
}

// unfitGang returns a gang that is one task too wide for the free workers; false if there is none.
func unfitGang(s *waitCheck, id, queue string, prio int) (batch.Job, bool) {
	j := simpleJob(id, queue, prio, len(s.fleet.workers), wideNeed)
	n := s.slots(j.Steps[0])
	if n == len(s.fleet.workers) {
		return j, false
	}
	j.Steps[0].Tasks, j.Steps[0].Gang = n+1, true
	return j, true
}

func prepareBlockedGang(t *rapid.T, s *waitCheck, _ *batch.Job) {
	for i := range rapid.IntRange(1, 3).Draw(t, "gangs ahead") {
		if j, ok := unfitGang(s, fmt.Sprintf("ahead-%d", i), "normal", 1); ok {
			j.Steps[0].SameRack = rapid.Bool().Draw(t, "one rack ahead")
			s.submit(j)
		}
	}
	s.run(3 * time.Second)
}

func prepareExpensiveClaim(t *rapid.T, s *waitCheck, _ *batch.Job) {
	s.core().preemptionBudget = func(*taskGroup, bool, time.Duration) float64 { return 0 }
	if j, ok := unfitGang(s, "claim", "urgent", 0); ok {
		s.submit(j)
	}
	s.run(time.Duration(rapid.IntRange(0, 3).Draw(t, "claim waits")) * time.Second)
}

// prepareFailures lets the first attempts of the job fail.
func prepareFailures(t *rapid.T, s *waitCheck, j *batch.Job) {
	failures := rapid.IntRange(1, 2).Draw(t, "failures")
	s.fleet.noFaults = false
	s.each = append(s.each, func() {
		s.fleet.failingJobs[j.ID] = s.core().jobs[j.ID] != nil && s.core().failuresOf(j.ID) < failures
	})
}

// failuresOf returns the most failures of a task group of the job's first step.
func (c *Core) failuresOf(job string) int {
	n := 0
	for _, g := range c.jobs[job].steps[0][0].groups {
		n = max(n, len(g.failedRuns))
	}
	return n
}

func prepareSuspicion(t *rapid.T, s *waitCheck, _ *batch.Job) {
	for _, id := range s.fleet.ids() {
		for range rapid.IntRange(0, 2).Draw(t, "suspicion") {
			if w := s.core().workers[id]; w != nil {
				w.health.addFailure(s.fleet.now, 1)
			}
		}
	}
}

// prepareSecondStep puts a short step before the job's step.
func prepareSecondStep(_ *rapid.T, _ *waitCheck, j *batch.Job) {
	second := j.Steps[0]
	second.After = []int{0}
	j.Steps = []batch.Step{{Tasks: 1, Need: batch.Resources{MilliCores: 100}}, second}
}

// prepareAdvice lets an adviser decide which workers may run the job.
func prepareAdvice(t *rapid.T, s *waitCheck, j *batch.Job) {
	p := testPolicy()
	p.Version = 2
	for i := range p.Queues {
		p.Queues[i].Advice = &batch.AdvicePolicy{PerRequest: 10 * time.Millisecond, PerWorker: 5 * time.Millisecond}
		if p.Queues[i].Name == j.Queue.Name {
			j.Queue.Advice = p.Queues[i].Advice
		}
	}
	s.core().SetPolicy(p.Index())
	s.allowed = map[string]bool{}
	for _, id := range s.fleet.ids() {
		s.allowed[id] = rapid.IntRange(0, 3).Draw(t, "advised") > 0
	}
	s.each = append(s.each, s.advise)
}

// prepareTakeover lets another host take over some time later; the old leader continues until it is deposed or does nothing more.
func prepareTakeover(t *rapid.T, s *waitCheck, _ *batch.Job) {
	at := s.fleet.now + time.Duration(rapid.IntRange(0, 10).Draw(t, "steps to the takeover"))*testStep
	frozen := rapid.Bool().Draw(t, "frozen")
	old := len(s.leaders)
	s.each = append(s.each, func() {
		if len(s.leaders) == old && s.fleet.now >= at {
			s.leaders[old-1].frozen = frozen
			s.elect()
		}
	})
}

// prepareAbsence lets workers leave and come back, some of them as a new incarnation.
func prepareAbsence(t *rapid.T, s *waitCheck, _ *batch.Job) {
	s.fleet.noFaults = false
	for _, id := range s.fleet.ids() {
		w := s.fleet.workers[id]
		switch rapid.IntRange(0, 4).Draw(t, "absence") {
		case 0:
			s.fleet.removeWorker(id)
		case 1:
			w.unreachable = true
		case 2:
			s.fleet.crash(id)
		}
	}
	s.run(time.Duration(rapid.IntRange(1, 120).Draw(t, "steps away")) * testStep)
	for _, id := range s.fleet.ids() {
		w := s.fleet.workers[id]
		w.unreachable = false
		if !w.up {
			w.up = true
			s.fleet.crash(id)
		}
	}
}

// prepareSeveral combines several of the other circumstances.
func prepareSeveral(t *rapid.T, s *waitCheck, j *batch.Job) {
	for _, prepare := range []func(*rapid.T, *waitCheck, *batch.Job){prepareAbsence, prepareUrgentDemand, prepareBlockedGang, prepareSuspicion, prepareSecondStep, prepareTakeover} {
		if rapid.Bool().Draw(t, "combined") {
			prepare(t, s, j)
		}
	}
}

// setRapidDefault sets a flag of rapid for a test unless the command line sets it.
func setRapidDefault(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	must.NoError(t, f.Value.Set(value))
	t.Cleanup(func() { must.NoError(t, f.Value.Set(f.DefValue)) })
}

// Guards against jobs of any kind that wait without limit while there is room for them twice over and most of the fleet is free.
func TestNoJobStarvesWhileMostOfTheFleetIsFree(t *testing.T) {
	// Many subtests may fail together, and CI runs them all.
	setRapidDefault(t, "rapid.shrinktime", "500ms")
	setRapidDefault(t, "rapid.checks", "20")
	for _, prefers := range []locality{anyRack, sameRack, dataRack} {
		for _, c := range circumstances {
			t.Run(string(prefers)+"/"+c.name, func(t *testing.T) {
				started := 0
				rapid.Check(t, func(t *rapid.T) {
					s := &waitCheck{system: drawPool(t), job: "waiting"}
					drawOccupied(t, s.system)
					j := drawWaiting(t, s, prefers)
					c.prepare(t, s, &j)
					if !drawTasks(t, s, &j) {
						return
					}
					s.submit(j)
					if s.startsInTime(checkTime) {
						started++
					}
				})
				must.Positive(t, started)
				t.Logf("%d drawn jobs started in time", started)
			})
		}
	}
}
