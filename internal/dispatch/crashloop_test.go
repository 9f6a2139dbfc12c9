package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
	"samphirewell/internal/rowstore"
)

// failsForever returns a job with long-running tasks, each of which fails right after each start.
func failsForever(s *system, tasks int) batch.Job {
	j := simpleJob("crash-loop", "normal", 1, tasks, batch.Resources{MilliCores: 1000})
	j.Steps[0].LongRunning = true
	s.fleet.failingJobs[j.ID] = true
	return j
}

// Guards against a row that grows with each failure of a long-running task until the table refuses it: nothing was stored any more then, by any leader, and no
// job of any team ran.
func TestRowsOfFailingLongRunningTasksStayShort(t *testing.T) {
	s := newSystem(t, 1, 1, 4)
	s.fleet.noFaults = false
	s.submit(failsForever(s, tasksPerRow))
	c := s.leaders[0].core
	s.run(2 * testStep)
	g := c.jobs["crash-loop"].occurrences[0].steps[0].groups
	size := 0
	for run := range 5000 {
		for _, g := range g {
			g.run = run + 1
			c.countFailure(g.tasks[0], g.run, fmt.Sprint("w", run), s.fleet.now)
		}
		value, ok := c.encode(g[0].tasks[0].row())
		must.True(t, ok)
		size = max(size, len(value))
	}
	must.Less(t, rowstore.MinRowBytes/4, size)
}

// Guards against a task that fails at each start and takes the leader, the table and the workers hundreds of starts a second; and against a task that isn't
// restarted in time.
func TestLongRunningTaskThatFailsAtOnceRestartsAtIntervals(t *testing.T) {
	s := newSystem(t, 1, 1, 4)
	s.fleet.noFaults = false
	s.submit(failsForever(s, 1))
	s.run(2 * time.Second)
	g := s.leaders[0].core.jobs["crash-loop"].occurrences[0].steps[0].groups[0]
	s.run(time.Minute)
	begin := g.run
	s.run(time.Minute)
	must.Between(t, 20, g.run-begin, 40, must.Sprint("one start each 2 s, and the time of the runs"))
	s.submit(simpleJob("other", "normal", 1, 4, smallNeed))
	s.run(8 * time.Second)
	must.Eq(t, batch.Completed, s.state("other"))
}
