package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// endRun reports the end of the current run of the only task.
func endRun(s *system, c *Core, kind EndKind, checkpoint string) {
	w, t := s.fleet.workers["w0-0"], c.task("j.0.0.0")
	w.endCount++
	end := EndReport{N: w.endCount, Task: t.name, Run: t.group.run, Kind: kind, Checkpoint: checkpoint}
	c.OnReport(w.ID, WorkerReport{Incarnation: w.Incarnation, Clock: w.clock(), Ended: []EndReport{end}}, s.fleet.now, s.fleet.now)
}

// Guards against run-time estimates that leave out short tasks, because their first report shows that half of them is done.
func TestTasksThatAreNearlyDoneAtTheirFirstReportAreRunTimeSamples(t *testing.T) {
	s, c, report := reportedRun(t)
	begin := c.task("j.0.0.0").startedAt
	s.fleet.now = begin + 2*time.Second
	report(62)
	s.fleet.now = begin + 3*time.Second
	endRun(s, c, EndDone, "")
	mean, samples := c.runTimes.Mean("batch")
	must.Eq(t, 3*time.Second, mean)
	must.Eq(t, 1, samples)
}

// Guards against run-time estimates of some milliseconds from tasks that had only a small part left to do.
func TestResumedRunsAreNoRunTimeSamples(t *testing.T) {
	s, c, report := reportedRun(t)
	report(90)
	endRun(s, c, EndStopped, "checkpoint")
	s.leaders[0].frozen = false
	s.run(2 * testStep)
	s.leaders[0].frozen = true
	run := c.task("j.0.0.0")
	must.Eq(t, running, run.phase)
	must.True(t, run.resumed)
	s.fleet.now = run.startedAt + 500*time.Millisecond
	endRun(s, c, EndDone, "")
	_, samples := c.runTimes.Mean("batch")
	must.Eq(t, 0, samples)
}

// Guards against run-time estimates that are several times too long because of runs away from the rack that their step prefers.
func TestRunsAwayFromTheirRackAreNoRunTimeSamples(t *testing.T) {
	s := newSystem(t, 1, 2, 1)
	c := s.leaders[0].core
	s.run(2 * testStep)
	s.submit(simpleJob("j", "batch", 2, 2, smallNeed))
	g := c.jobs["j"].occurrences[0].steps[0].groups[0]
	other := c.jobs["j"].occurrences[0].steps[0].groups[1].tasks[0]
	g.tasks = append(g.tasks, other)
	g.tasks[0].worker, other.worker = "w0-0", "w1-0"
	must.True(t, c.isRunTimeSample(other))
	g.spec().SameRack = true
	must.False(t, c.isRunTimeSample(g.tasks[0]))
	other.worker = "w0-0"
	must.True(t, c.isRunTimeSample(g.tasks[0]))
	g.spec().DataRack = "rack-1"
	must.False(t, c.isRunTimeSample(g.tasks[0]))
}
