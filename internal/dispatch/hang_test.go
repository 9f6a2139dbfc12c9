package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
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
