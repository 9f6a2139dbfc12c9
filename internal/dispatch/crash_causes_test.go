package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// Guards against a job that a new leader gives up because of a failure that was no crash.
func TestNewLeaderFailsNoJobForAnUncertainCrash(t *testing.T) {
	s := newSystem(t, 1, 1, 3)
	s.fleet.noFaults = false
	s.run(time.Second)
	j := simpleJob("j", "normal", 1, 1, smallNeed)
	j.Steps[0].LongRunning = true
	s.submit(j)
	s.run(100 * time.Millisecond)
	first := s.fleet.runsOf("j")
	must.SliceLen(t, 1, first)
	s.fleet.loseWorker(first[0]) // a crash with another cause
	g := s.leaders[0].core.task("j.0.0.0").group
	for g.run < 2 || len(s.fleet.runsOf("j")) == 0 {
		s.run(testStep)
		must.Less(t, 20*time.Second, s.fleet.now)
	}
	second := s.fleet.runsOf("j")
	must.SliceLen(t, 1, second)
	s.fleet.workers[second[0]].unreachable = true // for one step: its connections are reset
	l := s.leaders[0]
	l.core.OnRenewalFailed(second[0], s.fleet.now)
	s.commit(l)
	s.fleet.workers[second[0]].unreachable = false
	l.frozen = true
	s.elect()
	s.run(2 * time.Second)
	must.NotEq(t, batch.Failed, s.state("j"), must.Sprint("only one worker has crashed"))
}

// Guards against starts beside a suspected one that were placed apart but are ordered together, because the table was slow.
func TestSuspectedTaskStartsApartIfRowsAreStoredLate(t *testing.T) {
	c := New(1, testPolicy(), testBounds, discardLog())
	c.SetWorkers([]batch.Worker{incarnationOf(1, "a")}, 0)
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute}, 0, 0)
	c.AddJob(simpleJob("suspect", "normal", 1, 1, smallNeed), 0)
	suspect := c.task("suspect.0.0.0").group
	suspect.suspectedRun = 1
	now := time.Second
	suspect.readySince = now
	c.Plan(now)
	must.True(t, suspect.active())
	c.AddJob(simpleJob("fresh", "normal", 1, 1, smallNeed), now)
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: 2 * time.Minute}, now+1, now+2)
	later := now + 2*crashWindow
	c.Plan(later) // the rows of the first placement aren't stored yet
	c.OnStored(c.TakeCommit(), later+time.Millisecond)
	starts := c.TakeOrders()
	must.Len(t, 1, starts)
}

// Guards against the blame of a task that was suspected before for the crash by a task that is new: after 1.5 s both may start together.
func TestSuspectedTaskIsNotBlamedForANewOneBesideIt(t *testing.T) {
	c := New(1, testPolicy(), testBounds, discardLog())
	c.SetWorkers([]batch.Worker{incarnationOf(1, "a")}, 0)
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute}, 0, 0)
	c.AddJob(simpleJob("innocent", "normal", 1, 1, smallNeed), 0)
	innocent := c.task("innocent.0.0.0").group
	innocent.suspectedRun = 1
	c.suspectedStartAt = 2 * time.Second
	now := 2 * time.Second
	innocent.readySince = now - separateStartWait - time.Millisecond
	c.AddJob(simpleJob("deadly", "urgent", 0, 1, smallNeed), now)
	w := c.workers["w"]
	c.placeGroup(c.task("deadly.0.0.0").group, []*worker{w}, now)
	for _, o := range startsAfterPlan(c, now+time.Millisecond) {
		c.OnStart(o, accepted, now+5*time.Millisecond)
	}
	must.True(t, innocent.active())
	c.OnRenewalFailed("w", now+10*time.Millisecond)
	c.SetWorkers(nil, now+time.Second)
	c.Tick(now+20*time.Second, 0)
	must.SliceEmpty(t, innocent.tasks[0].crashes)
}

// Guards against a count for a task that the next incarnation has started: the earlier one had crashed before, unnoticed, as it ran nothing.
func TestRunThatTheNextIncarnationStartedIsNoCauseOfACrash(t *testing.T) {
	c, o := restartedDuringStart(t, false)
	c.OnRenewalFailed("w", 20*time.Millisecond) // sent over a connection to the earlier incarnation
	c.OnStart(o, Delivery{Result: Accepted, Response: Accepted, UnansweredCopies: 1}, 30*time.Millisecond)
	c.OnReport("w", WorkerReport{Incarnation: 2, Clock: time.Second, Running: []RunReport{{Task: o.Task, Run: o.Run}}}, 420*time.Millisecond, 421*time.Millisecond)
	must.SliceEmpty(t, c.task(o.Task).group.tasks[0].crashes)
}

// Guards against suspected tasks that keep more urgent ones from a worker that both need.
func TestUrgentTaskStartsBeforeSuspectedOnes(t *testing.T) {
	c := New(1, testPolicy(), testBounds, discardLog())
	c.SetWorkers([]batch.Worker{incarnationOf(1, "a")}, 0)
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute}, 0, 0)
	tiny := batch.Resources{MilliCores: 10}
	for n := range 30 {
		id := fmt.Sprintf("s%d", n)
		c.AddJob(simpleJob(id, "batch", 2, 1, tiny), 0)
		c.task(id + ".0.0.0").group.suspectedRun = 1
		c.task(id + ".0.0.0").group.run = 1
	}
	urgentAt := time.Duration(-1)
	for now := time.Duration(0); now < 40*time.Second; now += 50 * time.Millisecond {
		if now == 5*time.Second {
			c.AddJob(simpleJob("urgent", "urgent", 0, 1, tiny), now)
		}
		c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute + now}, now-1, now)
		c.Replan()
		for _, o := range startsAfterPlan(c, now) {
			c.OnStart(o, accepted, now)
			if o.Task == "urgent.0.0.0" {
				urgentAt = now
			}
			a := c.workers["w"].appliedEnd + 1
			c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute + now, Ended: []EndReport{{N: a, Task: o.Task, Run: o.Run, Kind: EndDone}}}, now, now+1)
		}
	}
	must.Less(t, 8*time.Second, urgentAt)
}
