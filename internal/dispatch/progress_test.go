package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
	"samphirewell/internal/waitcost"
)

// Guards against a job that waits for its last task behind all newer jobs once it has missed its objective, so that the work done for it earns nothing.
func TestNearlyFinishedJobIsNotPutBehindNewJobs(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	s.run(2 * testStep)
	small := batch.Resources{MilliCores: 1000, Accelerators: 1}
	s.submit(simpleJob("old", "batch", 2, 17, small))
	s.run(4 * time.Second) // 8 tasks at a time
	s.submit(simpleJob("urgent", "urgent", 0, 1, batch.Resources{MilliCores: 1000, Accelerators: 8}))
	s.run(2 * testStep)
	s.fleet.setRunTime("urgent", 4*time.Second)
	for n := range 10 {
		for i := range 8 {
			s.submit(simpleJob(fmt.Sprintf("new-%d-%d", n, i), "batch", 2, 1, small))
		}
		s.run(2 * time.Second)
	}
	s.mustHaveNoViolations()
	must.Eq(t, batch.Completed, s.state("old"))
}

// Guards against a job of several steps that is judged late by its present step alone, and against run times of later steps that are left out.
func TestWorthOfTheRestOfAJob(t *testing.T) {
	const run = 2 * time.Second
	s := newSystem(t, 1, 1, 1)
	c := s.leaders[0].core
	j := simpleJob("j", "batch", 2, 4, smallNeed) // objective: 3 x 4 s
	j.Steps = append(j.Steps, batch.Step{Tasks: 4, Need: smallNeed, Estimate: run, After: []int{0}})
	for _, x := range []struct {
		age      time.Duration
		done     int // tasks of the first step
		step     int
		expected float64
	}{
		{0, 0, 0, 1},
		{8 * time.Second, 0, 0, 1},
		{9 * time.Second, 0, 0, waitcost.Late},
		{9 * time.Second, 2, 0, waitcost.Late * 8 / 6},
		{10 * time.Second, 4, 1, 2},
		{11 * time.Second, 4, 1, 2 * waitcost.Late},
		{32 * time.Second, 0, 0, waitcost.Late},
		{33 * time.Second, 0, 0, 0},
	} {
		j.ID = fmt.Sprint(x)
		c.AddJob(j, s.fleet.now)
		n := c.jobs[j.ID]
		n.acceptedAt = s.fleet.now - x.age
		for i := range x.done {
			c.setPhase(n.occurrences[0].steps[0].groups[i].tasks[0], done)
		}
		rest := occurrenceRest{core: c, job: n, occurrence: n.occurrences[0], now: s.fleet.now}
		w := rest.waitingJob(x.step, smallNeed)
		must.Eq(t, x.expected, w.Value(), must.Sprint(x))
	}
}

// Guards against occurrences of a scheduled job that seem late from the start because the job was accepted long before they were due.
func TestAgeOfAnOccurrenceCountsFromItsDueTime(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	c := s.leaders[0].core
	j := simpleJob("j", "batch", 2, 1, smallNeed)
	j.Schedule = &batch.Schedule{Count: 2, FirstMS: 60_000, IntervalMS: 60_000}
	c.AddJob(j, 0)
	c.Tick(2*time.Minute, 125_000)
	must.Eq(t, 65*time.Second, c.age(c.jobs["j"], 0, 2*time.Minute))
	must.Eq(t, 5*time.Second, c.age(c.jobs["j"], 1, 2*time.Minute))
	must.Eq(t, 2*time.Minute, c.age(&job{Job: simpleJob("k", "batch", 2, 1, smallNeed)}, 0, 2*time.Minute))
}

// Guards against a job that is served last because only tasks without needs are left, and against a panic on a job without steps.
func TestWorthOfJobsWithoutRemainingWork(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	c := s.leaders[0].core
	j := simpleJob("j", "batch", 2, 1, smallNeed)
	j.Steps = append(j.Steps, batch.Step{Tasks: 1, Estimate: time.Second, After: []int{0}})
	c.AddJob(j, s.fleet.now)
	c.setPhase(c.jobs["j"].occurrences[0].steps[0].groups[0].tasks[0], done)
	rest := occurrenceRest{core: c, job: c.jobs["j"], occurrence: c.jobs["j"].occurrences[0], now: s.fleet.now}
	w := rest.waitingJob(1, smallNeed)
	must.Eq(t, 100, w.Value())
	must.Zero(t, c.objective(&job{}))
}
