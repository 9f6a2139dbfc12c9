package dispatch

import (
	"fmt"
	"strings"
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
