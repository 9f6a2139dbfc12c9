package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// reportedRun returns a core with one run, and a function that reports its progress.
func reportedRun(t *testing.T) (*system, *Core, func(percent int)) {
	s := newSystem(t, 1, 1, 1)
	s.run(2 * testStep)
	s.submit(simpleJob("j", "batch", 2, 1, smallNeed))
	s.run(2 * testStep)
	s.leaders[0].frozen = true
	c := s.leaders[0].core
	must.Eq(t, running, c.task("j.0.0.0").phase)
	return s, c, func(percent int) {
		w := s.fleet.workers["w0-0"]
		r := RunReport{Task: "j.0.0.0", Run: 1, Percent: percent}
		c.OnReport(w.ID, WorkerReport{Incarnation: w.Incarnation, Clock: w.clock(), Running: []RunReport{r}}, s.fleet.now, s.fleet.now)
	}
}

// Guards against runs that are given up for lack of progress because their worker was silent, for example behind a cut of the network.
func TestRunOnASilentWorkerIsNotGivenUpForLackOfProgress(t *testing.T) {
	s, c, report := reportedRun(t)
	report(10)
	s.fleet.now += testStep
	report(10)
	c.TakeOrders()
	s.fleet.now += hangTimeout + time.Second
	c.Tick(s.fleet.now, 0)
	must.SliceEmpty(t, c.TakeOrders(), must.Sprint("stopped while nothing is known of it"))
	report(60)
	c.Tick(s.fleet.now, 0)
	must.SliceEmpty(t, c.TakeOrders())
}

// Guards against runs that hang for longer than necessary because the next report comes late.
func TestHangingRunIsMovedAsSoonAsReportsShowIt(t *testing.T) {
	s, c, report := reportedRun(t)
	report(10)
	c.TakeOrders()
	begin := s.fleet.now
	for s.fleet.now < begin+time.Minute {
		r, ok := c.NextRenewal("w0-0", s.fleet.now)
		must.True(t, ok)
		s.fleet.now += r.Wait + time.Millisecond
		report(10)
		c.Tick(s.fleet.now, 0)
		if orders := c.TakeOrders(); len(orders) > 0 {
			must.True(t, orders[0].Stop)
			must.LessEq(t, hangTimeout+2*minRenewalWait, s.fleet.now-begin)
			return
		}
	}
	t.Fatal("the run was not moved")
}

// holdLease keeps the lease of the only worker from expiring.
func holdLease(c *Core) { c.workers["w0-0"].leaseEnd = 1 << 60 }

// Guards against sound tasks that are stopped again and again because their progress isn't reported often enough: one of 20 minutes advances by less than one
// percent in 4.5 s, and was stopped each 4.7 s, for ever. Tasks have all lengths, their workers slow down at any time, and estimates are wrong.
func TestSoundRunsOfAnyLengthAreNotMoved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		length := time.Duration(math.Exp(rapid.Float64Range(0, math.Log(86_400)).Draw(rt, "log of the length, s")) * float64(time.Second))
		s, c, report := reportedRun(t)
		g := c.jobs["j"].occurrences[0].steps[0].groups[0]
		switch rapid.IntRange(0, 2).Draw(rt, "known from") {
		case 0:
			g.job.Steps[0].Estimate = time.Duration(rapid.Float64Range(1.0/estimateError, 5).Draw(rt, "estimate") * float64(length))
		case 1:
			c.runTimes.AddSample("batch", length, 0)
		case 2:
			g.job.Steps[0].Estimate, length = 0, min(length, unknownRunTime)
		}
		holdLease(c)
		c.TakeOrders()
		for percent := range 99 {
			slowdown := rapid.Float64Range(1, maxSlowdown).Draw(rt, "slowdown")
			late := time.Duration(rapid.IntRange(1, int(renewalWait)).Draw(rt, "delay of the report"))
			s.fleet.now += time.Duration(slowdown*float64(length)/100) + late - 1
			report(percent)
			c.Tick(s.fleet.now, 0)
			if len(c.TakeOrders()) > 0 {
				rt.Fatalf("stopped at %d%% of %v, slowed down %.1f times, bound %v", percent, length, slowdown, c.hangBound(g.tasks[0]))
			}
			s.fleet.now++
			report(percent + 1)
		}
	})
}

// Guards against a task that is stopped although its checkpoints show progress, where nothing else tells how long it takes.
func TestNewCheckpointsAreProgress(t *testing.T) {
	s, c, _ := reportedRun(t)
	c.jobs["j"].occurrences[0].steps[0].groups[0].job.Steps[0].Estimate = time.Second
	holdLease(c)
	c.TakeOrders()
	w := s.fleet.workers["w0-0"]
	for second := range 3600 {
		s.fleet.now += time.Second
		r := RunReport{Task: "j.0.0.0", Run: 1, Checkpoint: fmt.Sprint(second / 2)}
		c.OnReport(w.ID, WorkerReport{Incarnation: w.Incarnation, Clock: w.clock(), Running: []RunReport{r}}, s.fleet.now, s.fleet.now)
		c.Tick(s.fleet.now, 0)
		must.SliceEmpty(t, c.TakeOrders(), must.Sprintf("stopped after %d s", second))
	}
}

// Guards against a long task whose length nobody knows and that is stopped for ever, each time after the same few seconds: the bound doubles with each try.
func TestTaskOfUnexpectedLengthRunsToItsEnd(t *testing.T) {
	for _, length := range []time.Duration{time.Minute, 20 * time.Minute, 24 * time.Hour} {
		tries := 0
		for hangBound(3*time.Second/100, tries) < length/100+renewalWait {
			tries++
		}
		must.LessEq(t, 8, tries, must.Sprint(length))
	}
}

// Guards against runs that hang and are moved late: the bound for the lengths that were planned with, and for long ones a part of their length.
func TestHangingRunsAreMovedWithinTheBound(t *testing.T) {
	for expected, bound := range map[time.Duration]time.Duration{time.Second: hangTimeout, 11 * time.Second: hangTimeout, 20 * time.Minute: 2*time.Minute + hangReportDelay,
		24 * time.Hour: 144*time.Minute + hangReportDelay} {
		must.Eq(t, bound, hangBound(expected/100, 0))
	}
	s, c, report := reportedRun(t)
	c.jobs["j"].occurrences[0].steps[0].groups[0].job.Steps[0].Estimate = 20 * time.Minute
	holdLease(c)
	for percent := range 30 {
		s.fleet.now += 12 * time.Second
		report(percent)
		c.Tick(s.fleet.now, 0)
	}
	must.Eq(t, 0, c.jobs["j"].occurrences[0].steps[0].groups[0].hangs)
	c.TakeOrders()
	for begin := s.fleet.now; ; s.fleet.now += time.Second {
		report(29)
		c.Tick(s.fleet.now, 0)
		if len(c.TakeOrders()) > 0 {
			must.Between(t, 100*time.Second, s.fleet.now-begin, 130*time.Second)
			break
		}
		must.Less(t, 5*time.Minute, s.fleet.now-begin)
	}
}
