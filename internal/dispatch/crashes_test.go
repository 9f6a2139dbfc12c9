package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// crashReturnTime is the time after which a crashed worker is back.
const crashReturnTime = 3 * time.Second

// crashByTask crashes a worker on which a task runs that crashes workers.
func (f *fakeFleet) crashByTask(id string) {
	w := f.workers[id]
	for name, r := range w.running {
		if !w.up || !f.crashingTasks[name] || f.now <= r.startedAt {
			continue
		}
		f.crashes[name]++
		f.loseWorker(id)
		return
	}
}

// loseWorker crashes a worker, which returns after crashReturnTime.
func (f *fakeFleet) loseWorker(id string) {
	w := f.workers[id]
	f.removeWorker(id)
	w.keepListed = true
	f.returnsAt[id] = f.now + crashReturnTime
}

// returnWorker brings a crashed worker back when it is time.
func (f *fakeFleet) returnWorker(id string) {
	at, ok := f.returnsAt[id]
	if !ok || f.now < at {
		return
	}
	delete(f.returnsAt, id)
	if f.restartsUnderID {
		f.crash(id)
		f.workers[id].up, f.workers[id].keepListed = true, false
		return
	}
	f.replaceWorker(id)
	f.workers[id].keepListed = false
}

// crashCase is a deployment whose crashed workers return under their ids or under new ones.
type crashCase struct {
	seed   uint64
	sameID bool
}

func (k crashCase) String() string { return fmt.Sprintf("seed=%d,sameID=%v", k.seed, k.sameID) }

func forCrashCases(t *testing.T, seeds uint64, test func(t *testing.T, s *system)) {
	for seed := range seeds {
		for _, sameID := range []bool{false, true} {
			k := crashCase{seed, sameID}
			t.Run(k.String(), func(t *testing.T) {
				s := newSystem(t, k.seed, 2, 6)
				s.fleet.noFaults, s.fleet.stopTime, s.fleet.restartsUnderID = false, testBounds.StopMax, k.sameID
				test(t, s)
			})
		}
	}
}

// Guards against a task that crashes worker after worker, and against other jobs that fail with it.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	forCrashCases(t, 20, func(t *testing.T, s *system) {
		for n := range 6 {
			id := fmt.Sprintf("bad%d", n)
			s.fleet.crashingTasks[id+".0.0.0"] = true
			s.submit(simpleJob(id, "normal", 1, 4, smallNeed))
			s.submit(simpleJob(fmt.Sprintf("good%d", n), "normal", 1, 6, smallNeed))
			s.run(500 * time.Millisecond)
		}
		s.run(60 * time.Second)
		s.mustHaveNoViolations()
		for n := range 6 {
			bad := fmt.Sprintf("bad%d", n)
			must.Eq(t, batch.Failed, s.state(bad), must.Sprint(bad))
			must.GreaterEq(t, 2, s.fleet.crashes[bad+".0.0.0"], must.Sprint("a job may fail after two crashes"))
			must.Eq(t, batch.Completed, s.state(fmt.Sprintf("good%d", n)))
		}
	})
}

// Guards against a count of crashes that a change of the leader resets.
func TestCrashesAreCountedAcrossTakeovers(t *testing.T) {
	forCrashCases(t, 20, func(t *testing.T, s *system) {
		s.fleet.crashingTasks["bad.0.0.0"] = true
		s.submit(simpleJob("bad", "normal", 1, 4, smallNeed))
		for range 12 {
			s.run(5 * time.Second)
			s.elect()
		}
		s.mustHaveNoViolations()
		must.Eq(t, batch.Failed, s.state("bad"))
	})
}

// Guards against a gang that crashes workers without an end because each crash ends the runs of all its members.
func TestGangWithATaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	forCrashCases(t, 20, func(t *testing.T, s *system) {
		s.fleet.crashingTasks["bad.0.0.1"] = true
		bad := simpleJob("bad", "normal", 1, 3, wholeWorker)
		bad.Steps[0].Gang = true
		s.submit(bad)
		for n := range 10 {
			s.submit(simpleJob(fmt.Sprintf("good%d", n), "batch", 2, 4, smallNeed))
			s.run(500 * time.Millisecond)
		}
		s.run(60 * time.Second)
		s.mustHaveNoViolations()
		must.Eq(t, batch.Failed, s.state("bad"))
		for n := range 10 {
			must.Eq(t, batch.Completed, s.state(fmt.Sprintf("good%d", n)))
		}
	})
}

// Guards against jobs that fail because racks of workers crash again and again while they run.
func TestCrashesOfManyWorkersFailNoJob(t *testing.T) {
	forCrashCases(t, 20, func(t *testing.T, s *system) {
		for n := range 30 {
			s.submit(simpleJob(fmt.Sprintf("j%d", n), "normal", 1, 2, smallNeed))
			s.run(500 * time.Millisecond)
			if n%8 != 7 {
				continue
			}
			for i, id := range s.fleet.ids() {
				if i%2 == n/8%2 && s.fleet.workers[id].up {
					s.fleet.loseWorker(id)
				}
			}
		}
		s.run(60 * time.Second)
		s.mustHaveNoViolations()
		for n := range 30 {
			must.Eq(t, batch.Completed, s.state(fmt.Sprintf("j%d", n)))
		}
	})
}

// Guards against a crash that isn't counted because the worker was announced to leave after it had stopped responding.
func TestCrashOfAWorkerThatIsAnnouncedToLeaveCounts(t *testing.T) {
	s := newSystem(t, 1, 1, 4)
	s.fleet.noFaults = false
	s.fleet.crashingTasks["bad.0.0.0"] = true
	s.submit(simpleJob("bad", "normal", 1, 1, smallNeed))
	for range 4 * int(time.Second/testStep) {
		s.run(testStep)
		for id := range s.fleet.returnsAt {
			s.fleet.workers[id].Draining = true
		}
	}
	s.run(10 * time.Second)
	must.Eq(t, batch.Failed, s.state("bad"))
	must.Eq(t, 2, s.fleet.crashes["bad.0.0.0"])
}

// Guards against a suspicion that remains after the task has run, so that a later crash of its worker ends its job.
func TestSuspicionEndsOnceTheTaskRuns(t *testing.T) {
	s := newSystem(t, 1, 1, 3)
	s.fleet.noFaults = false
	j := simpleJob("j", "normal", 1, 1, smallNeed)
	j.Steps[0].LongRunning = true
	s.submit(j)
	for range 4 {
		s.run(100 * time.Millisecond)
		for _, id := range s.fleet.runsOf("j") {
			s.fleet.loseWorker(id)
		}
		s.run(6 * time.Second)
		must.SliceLen(t, 1, s.fleet.runsOf("j"))
		must.False(t, s.leaders[0].core.task("j.0.0.0").group.suspected())
	}
	s.mustHaveNoViolations()
}

// Guards against the suspicion of a task that was ordered on a worker which had crashed before without being noticed, as it ran nothing.
func TestStartOnACrashedWorkerIsNoCauseOfTheCrash(t *testing.T) {
	s := newSystem(t, 1, 1, 3)
	s.fleet.noFaults = false
	s.run(time.Second)
	for _, id := range s.fleet.ids() {
		s.fleet.loseWorker(id)
	}
	s.submit(simpleJob("j", "normal", 1, 3, wholeWorker))
	s.run(crashReturnTime + 200*time.Millisecond)
	for _, g := range s.leaders[0].core.jobs["j"].occurrences[0].steps[0].groups {
		must.False(t, g.suspected())
	}
	s.run(10 * time.Second)
	must.Eq(t, batch.Completed, s.state("j"))
	s.mustHaveNoViolations()
}

// Guards against counts that depend on the order or the number of events: each run counts once, and only if it was the only possible cause.
func TestCrashesOfATaskAreCountedOnce(t *testing.T) {
	g := &taskGroup{}
	first, second := &task{group: g}, &task{group: g}
	g.tasks = []*task{first, second}
	first.addCrash(3, "v", false)
	must.Eq(t, 3, g.suspectedRun)
	must.Eq(t, 0, g.crashes())
	first.addCrash(4, "w", true)
	first.addCrash(4, "w", true)
	second.addCrash(5, "x", true)
	must.Eq(t, 1, g.crashes(), must.Sprint("two tasks, each with one crash"))
	first.addCrash(6, "x", true)
	must.Eq(t, 2, g.crashes())
	first.clearCrash(6)
	must.SliceLen(t, 1, first.crashes)
	must.Eq(t, 4, first.crashes[0].run)
	first.withdrawCrash(4)
	must.True(t, g.suspected())
	first.clearCrash(3)
	must.False(t, g.suspected())
}

// Guards against a crash that counts for one of several tasks that may have caused it, or for none although only one was suspected before.
func TestOnlyCauseOfACrash(t *testing.T) {
	group := func(suspected bool) crashSuspect {
		g := &taskGroup{}
		if suspected {
			g.suspectedRun, g.startedApart = 1, true
		}
		return crashSuspect{task: &task{group: g}}
	}
	fresh, other, suspect, second := group(false), group(false), group(true), group(true)
	must.Nil(t, onlyCause(nil))
	must.Eq(t, fresh.task.group, onlyCause([]crashSuspect{fresh}))
	must.Nil(t, onlyCause([]crashSuspect{fresh, other}))
	must.True(t, suspect.task.group == onlyCause([]crashSuspect{fresh, suspect, other}))
	must.Nil(t, onlyCause([]crashSuspect{suspect, second}))
}
