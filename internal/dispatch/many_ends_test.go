package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// Guards against tasks that start again although they are done: a worker that was cut off lists the ends of its runs in several parts, and a run that isn't
// in the first part is not missing. Ends, and the parts of a list, come before and after a change of the leader.
func TestEndsThatComeInPartsAreNotMissingRuns(t *testing.T) {
	for _, x := range []struct {
		tasks, endsPerReport int
		takeover             bool
	}{{60, 1, false}, {60, 7, false}, {60, 7, true}, {300, 100, true}, {300, 300, true}, {2400, 500, false}, {2400, 500, true}} {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			s := newSystem(t, 1, 1, 3)
			s.fleet.endsPerReport = x.endsPerReport
			for _, w := range s.fleet.workers {
				w.Capacity = batch.Resources{MilliCores: 1_000_000, MemoryMB: 64000}
			}
			s.run(2 * testStep)
			s.submit(simpleJob("j", "normal", 1, x.tasks, batch.Resources{MilliCores: 1000}))
			for begin := s.fleet.now; len(s.fleet.everDone) < x.tasks/50 && s.fleet.now < begin+10*time.Second; {
				s.run(testStep)
			}
			for _, w := range s.fleet.workers {
				w.unreachable = true
			}
			s.run(3200 * time.Millisecond)
			for _, w := range s.fleet.workers {
				w.unreachable = false
			}
			if x.takeover {
				s.run(3 * testStep)
				s.leaders[0].frozen = true
				s.elect()
			}
			s.run(60 * time.Second)
			s.mustHaveNoViolations()
			must.Eq(t, batch.Completed, s.state("j"))
			for _, l := range s.leaders {
				must.Zero(t, l.core.counts.Ends[string(outcomeMissing)])
			}
			must.MapLen(t, x.tasks, s.fleet.everDone)
		})
	}
}

// Guards against a run that is given up for lack of progress, and a worker that is suspected for it, although the run is done and its end is in a later part of
// the worker's list.
func TestRunWhoseEndIsNotListedYetDoesNotHang(t *testing.T) {
	s, c, report := reportedRun(t)
	w := s.fleet.workers["w0-0"]
	report(90)
	for begin := s.fleet.now; s.fleet.now < begin+2*hangTimeout; {
		_, renewed := c.NextRenewal(w.ID, s.fleet.now)
		must.True(t, renewed)
		s.fleet.now += 500 * time.Millisecond
		c.OnReport(w.ID, WorkerReport{Incarnation: w.Incarnation, Clock: w.clock(), Incomplete: true}, s.fleet.now, s.fleet.now)
		c.Tick(s.fleet.now, 0)
		for _, o := range c.TakeOrders() {
			t.Fatalf("stop of %s ordered after %v", o.Task, s.fleet.now-begin)
		}
	}
	must.Zero(t, c.workers[w.ID].health.suspicion)
	must.Eq(t, running, c.task("j.0.0.0").phase)
}
