package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// Guards against work of a worker that was only silent for a while and that is started again elsewhere or given up: the leases outlast the silence.
func TestSilentWorkerKeepsItsRuns(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, testBounds.LeaseMax - 2*time.Second} {
		s := newSystem(t, 7, 1, 3)
		gang := simpleJob("gang", "normal", 1, 2, batch.Resources{MilliCores: 8000, Accelerators: 8})
		gang.Steps[0].Gang, gang.Steps[0].LongRunning = true, true
		s.submit(gang)
		s.submit(longJob("single", "batch", 2, 3, batch.Resources{MilliCores: 1000}))
		s.run(3 * time.Second)
		for _, w := range s.fleet.workers {
			w.unreachable = true
		}
		s.run(silence)
		for _, w := range s.fleet.workers {
			w.unreachable = false
		}
		s.run(10 * time.Second)
		core := s.leaders[0].core
		for _, job := range []string{"gang", "single"} {
			for _, g := range core.jobs[job].occurrences[0].steps[0].groups {
				must.Eq(t, 1, g.run, must.Sprintf("%s after %v of silence", g.id, silence))
				must.True(t, g.allInPhase(running))
			}
		}
		s.mustHaveNoViolations()
	}
}

// Guards against reports that are only late: a report that was requested long before it arrives must not close runs that started meanwhile.
func TestLateReportClosesNoNewerRun(t *testing.T) {
	c := New(1, testPolicy(), testBounds, discardLog())
	c.SetWorkers([]batch.Worker{incarnationOf(1, "a")}, 0)
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute}, 0, 0)
	c.AddJob(simpleJob("j", "normal", 1, 1, smallNeed), 0)
	start := startsAfterPlan(c, 0)[0]
	c.OnStart(start, Delivery{Result: Accepted, Response: Accepted}, 2*time.Second)
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute}, time.Second, 3*time.Second)
	must.Eq(t, running, c.task("j.0.0.0").phase)
}
