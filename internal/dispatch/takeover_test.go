package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// Guards against a new leader that regards all stored jobs as new and first serves those whose results no longer have any worth.
func TestNewLeaderKnowsTheAgeOfJobs(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	s.leaders[0].frozen = true
	job := func(id string) batch.Job {
		j := simpleJob(id, "normal", 1, 1, batch.Resources{MilliCores: 1000, Accelerators: 8})
		j.Steps[0].Estimate = 2 * time.Second
		return j
	}
	for n := range 8 {
		s.submit(job(fmt.Sprintf("worthless-%d", n)))
	}
	s.run(time.Minute)
	s.submit(job("fresh"))
	s.run(time.Second)
	s.elect()
	s.run(5 * time.Second)
	s.mustHaveNoViolations()
	must.Eq(t, batch.Completed, s.state("fresh"), must.Sprint("8 jobs past three times their objective were served before it"))
}

// Guards against run-time samples from runs whose start a new leader hasn't seen: they had a few milliseconds each, so that every job seemed late.
func TestInheritedRunsAreNoRunTimeSamples(t *testing.T) {
	s := newSystem(t, 1, 1, 2)
	for _, id := range []string{"a", "b"} {
		s.submit(simpleJob(id, "normal", 1, 1, batch.Resources{MilliCores: 1000, Accelerators: 8}))
	}
	s.run(400 * time.Millisecond)
	s.elect()
	s.run(5 * time.Second)
	s.mustHaveNoViolations()
	must.Eq(t, batch.Completed, s.state("a"))
	must.Eq(t, batch.Completed, s.state("b"))
	estimate, samples := s.leaders[1].core.runTimes.Mean("normal")
	must.Eq(t, 0, samples, must.Sprintf("estimate %v from runs that its predecessor started", estimate))
	s.submit(simpleJob("c", "normal", 1, 1, batch.Resources{MilliCores: 1000, Accelerators: 8}))
	s.run(5 * time.Second)
	_, samples = s.leaders[1].core.runTimes.Mean("normal")
	must.Positive(t, samples, must.Sprint("its own runs update the estimate"))
}

// Guards against a new leader that regards all running work as just started, and stops runs that are nearly done.
func TestRunsNearTheirEndSurviveATakeover(t *testing.T) {
	const length = 10 * time.Second
	s := newSystem(t, 1, 1, 2)
	submit := func(id, queue string, priority int) {
		j := simpleJob(id, queue, priority, 1, batch.Resources{MilliCores: 1000, Accelerators: 8})
		j.Steps[0].Estimate = length
		s.submit(j)
		s.run(200 * time.Millisecond)
		for _, w := range s.fleet.workers {
			for name, r := range w.running {
				if name == id+".0.0.0" {
					r.work, r.left = length, length
				}
			}
		}
	}
	submit("nearly-done", "normal", 1)
	s.run(6 * time.Second)
	submit("begun", "normal", 1)
	s.run(time.Second)
	s.elect()
	s.run(time.Second)
	submit("urgent", "urgent", 0)
	s.run(2 * time.Second)
	s.mustHaveNoViolations()
	must.MapContainsKey(t, s.fleet.firstStart, "urgent")
	must.Eq(t, batch.Completed, s.state("nearly-done"))
}

// Guards against wait times that restart with each leader, so that urgent work within a guarantee is late and no workers are reserved for gangs.
func TestWaitTimesContinueAcrossATakeover(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	need := batch.Resources{MilliCores: 1000, Accelerators: 8}
	s.submit(simpleJob("runs", "normal", 1, 1, need))
	s.run(200 * time.Millisecond)
	s.submit(simpleJob("waits", "normal", 1, 1, need))
	s.run(300 * time.Millisecond)
	s.elect()
	waited := func(id string) time.Duration {
		return s.fleet.now - s.leaders[1].core.jobs[id].occurrences[0].steps[0].groups[0].readySince
	}
	must.Eq(t, 300*time.Millisecond, waited("waits"))
	must.Eq(t, 0, waited("runs"))
}
