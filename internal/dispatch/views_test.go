package dispatch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
	"samphirewell/internal/placement"
)

// checkDerivedState checks that what the core keeps between plans equals what it would compute now.
func checkDerivedState(t must.T, c *Core) {
	must.Len(t, len(c.workers), c.byID)
	must.True(t, slices.IsSortedFunc(c.byID, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) }))
	for _, w := range c.byID {
		must.True(t, c.workers[w.ID] == w)
		if w.view != nil && *w.computeView() != *w.view {
			must.Eq(t, *w.computeView(), *w.view, must.Sprint(w.ID))
		}
	}
	for _, j := range c.liveJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				checkCounts(t, j, s)
			}
		}
	}
}

func checkCounts(t must.T, j *job, s *stepState) {
	waitingTasks, activeTasks := 0, 0
	for _, g := range s.groups {
		for _, task := range g.tasks {
			switch {
			case task.phase == waiting:
				waitingTasks++
			case task.phase != done:
				activeTasks++
			}
		}
	}
	if waitingTasks != s.waiting || activeTasks != s.active {
		must.Eq(t, [2]int{waitingTasks, activeTasks}, [2]int{s.waiting, s.active}, must.Sprint(j.ID))
	}
}

// preparedPlan returns a system with a worker, and a plan to start a task with the given need there that isn't applied yet.
func preparedPlan(t *testing.T, need batch.Resources) (*system, *CyclePlan) {
	s := newSystem(t, 1, 1, 1)
	s.run(200 * time.Millisecond)
	s.submit(simpleJob("j", "normal", 1, 1, need))
	p := s.leaders[0].core.PreparePlan(s.fleet.now)
	p.Decide()
	must.SliceLen(t, 1, p.services)
	must.SliceLen(t, 1, p.services[0].decision.Placements)
	return s, p
}

// Guards against starts that were decided on a state that has changed meanwhile.
func TestOutdatedDecisionsAreNotCarriedOut(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(s *system, c *Core)
	}{
		{"job cancelled", func(s *system, _ *Core) { s.cancel("j") }},
		{"worker restarted", func(s *system, c *Core) { c.setIncarnation(c.workers["w0-0"], 1<<40, s.fleet.now) }},
		{"worker restarted and responded", func(s *system, c *Core) {
			w := s.fleet.workers["w0-0"]
			w.Incarnation = 1 << 40
			c.SetWorkers(s.fleet.list(), s.fleet.now)
			c.OnReport(w.ID, WorkerReport{Incarnation: w.Incarnation, Clock: w.clock()}, s.fleet.now, s.fleet.now)
		}},
		{"worker stopped responding", func(s *system, c *Core) { c.OnRenewalFailed("w0-0", s.fleet.now) }},
		{"worker left", func(s *system, c *Core) { c.SetWorkers(nil, s.fleet.now) }},
		{"capacity shrank", func(s *system, c *Core) {
			s.fleet.workers["w0-0"].Capacity = batch.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1}
			c.SetWorkers(s.fleet.list(), s.fleet.now)
		}},
		{"starts disabled", func(_ *system, c *Core) { c.StopStarting() }},
	} {
		s, p := preparedPlan(t, batch.Resources{MilliCores: 2000, Accelerators: 8})
		core := s.leaders[0].core
		c.change(s, core)
		core.ApplyPlan(p, s.fleet.now)
		must.Eq(t, 0, len(core.workers["w0-0"].allocs), must.Sprint(c.name))
	}
	s, p := preparedPlan(t, batch.Resources{MilliCores: 2000, Accelerators: 8})
	s.leaders[0].core.ApplyPlan(p, s.fleet.now)
	must.MapLen(t, 1, s.leaders[0].core.workers["w0-0"].allocs)
}

// Guards against a preemption that was decided for an earlier run of a task.
func TestOutdatedPreemptionSparesANewRun(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	s.submit(simpleJob("low", "batch", 2, 1, batch.Resources{MilliCores: 2000, Accelerators: 8}))
	s.run(300 * time.Millisecond)
	core := s.leaders[0].core
	core.preemptionBudget = func(*taskGroup, bool, time.Duration) float64 { return 1e9 }
	s.submit(simpleJob("urgent", "urgent", 0, 1, batch.Resources{MilliCores: 2000, Accelerators: 8}))
	p := core.PreparePlan(s.fleet.now)
	p.Decide()
	must.Eq(t, []int{0}, p.services[0].decision.Preempted)
	low := core.task("low.0.0.0")
	low.group.run++
	core.ApplyPlan(p, s.fleet.now)
	must.NotEq(t, stopping, low.phase)
}

// silentWorkers is a WorkerAPI without responses.
type silentWorkers struct{ WorkerAPI }

func (silentWorkers) Renew(ctx context.Context, _ Renewal) (WorkerReport, error) {
	<-ctx.Done()
	return WorkerReport{}, ctx.Err()
}

// Guards against reports and queries that wait until a scheduling cycle has been decided.
func TestReportsDontWaitForAPlan(t *testing.T) {
	r := runnerWithUnstoredEnd(t)
	r.workers, r.lastPlan = silentWorkers{}, -planInterval
	deciding, finish := make(chan struct{}), make(chan struct{})
	r.Do(func(c *Core, now time.Duration) {
		c.AddJob(simpleJob("k", "urgent", 0, 1, batch.Resources{MilliCores: 1, Accelerators: 1}), now)
		c.SetPlanner(func(placement.Input) placement.Decision {
			close(deciding)
			<-finish
			return placement.Decision{}
		})
	})
	done := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		defer close(done)
		r.step(ctx, &group)
	}()
	<-deciding
	r.Do(func(c *Core, _ time.Duration) { must.Eq(t, batch.Pending, c.JobState("k").State) })
	_ = r.Overview()
	close(finish)
	<-done
}

// Guards against cycles that look at all runs again: what a plan needs to know of a worker is kept until the worker or its runs change.
func TestPlansKeepWhatHasNotChanged(t *testing.T) {
	s := newSystem(t, 1, 2, 4)
	s.submit(longJob("filling", "batch", 2, 64, accelerator))
	waits := simpleJob("waiting", "normal", 1, 1, accelerator)
	waits.Steps[0].Requires = "label of no worker"
	s.submit(waits)
	s.run(2 * time.Second)
	core := s.leaders[0].core
	before := map[string]*workerView{}
	for _, w := range core.byID {
		before[w.ID] = w.currentView()
	}
	for range 3 {
		core.Replan()
		core.Plan(s.fleet.now)
	}
	for _, w := range core.byID {
		must.True(t, before[w.ID] == w.view, must.Sprint(w.ID))
	}
}
