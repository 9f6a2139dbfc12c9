package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
	"samphirewell/internal/rowstore"
)

// incarnationOf returns the registry entry of an incarnation of worker "w", which has the given label.
func incarnationOf(n int64, label string) batch.Worker {
	return batch.Worker{ID: "w", Service: "svc", Address: "w:1", Rack: "rack-0", Labels: []string{label, "rack-0"}, Incarnation: n,
		Capacity: batch.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 8}}
}

// startsAfterPlan runs a scheduling cycle, stores its rows and returns the orders.
func startsAfterPlan(c *Core, now time.Duration) []Order {
	c.Plan(now)
	if cm := c.TakeCommit(); cm != nil {
		c.OnStored(cm, now)
	}
	return c.TakeOrders()
}

// Guards against starts on a restarted worker according to the labels and the capacity of its earlier incarnation, which the registry still lists.
func TestEntryOfAnEarlierIncarnationIsNotUsedForPlacement(t *testing.T) {
	c := New(1, testPolicy(), testBounds, discardLog())
	c.SetWorkers([]batch.Worker{incarnationOf(1, "a")}, 0)
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute}, 0, 0)
	now := time.Second
	c.OnReport("w", WorkerReport{Incarnation: 2, Clock: time.Millisecond}, now, now)
	c.SetWorkers([]batch.Worker{incarnationOf(1, "a")}, now)
	j := simpleJob("needs-a", "normal", 1, 1, smallNeed)
	j.Steps[0].Requires = "a"
	c.AddJob(j, now)
	must.SliceEmpty(t, startsAfterPlan(c, now), must.Sprint("the new incarnation isn't described yet"))

	c.SetWorkers([]batch.Worker{incarnationOf(2, "b")}, now)
	must.SliceEmpty(t, startsAfterPlan(c, now), must.Sprint("the new incarnation is of another kind"))
	c.AddJob(simpleJob("any", "normal", 1, 1, smallNeed), now)
	must.Len(t, 1, startsAfterPlan(c, now))
}

// Guards against a new leader that takes a worker for restarted, and closes its runs, because an older row names an earlier incarnation of it.
func TestTakeoverKeepsRunsOfTheNewestStoredIncarnation(t *testing.T) {
	c := New(2, testPolicy(), testBounds, discardLog())
	row := func(job string, incarnation int64) rowstore.Row {
		return rowstore.Row{Key: rowID{kind: taskRows, job: job}.key(), Value: mustEncode([]taskValue{{Active: true, Run: 1, Worker: "w", Incarnation: incarnation}})}
	}
	jobs := []batch.Job{simpleJob("before", "normal", 1, 1, smallNeed), simpleJob("running", "normal", 1, 1, smallNeed)}
	c.Restore(jobs, nil, []rowstore.Row{row("before", 1), row("running", 2)}, 0, 0)
	c.SetWorkers([]batch.Worker{incarnationOf(2, "a")}, 0)
	must.Eq(t, running, c.task("running.0.0.0").phase)
	now := time.Second
	c.OnReport("w", WorkerReport{Incarnation: 2, Clock: time.Second, Running: []RunReport{{Task: "running.0.0.0", Run: 1}}}, now, now)
	must.Eq(t, running, c.task("running.0.0.0").phase)
	must.Eq(t, waiting, c.task("before.0.0.0").phase)
}

// Guards against an acknowledgement that is sent again after it was received, when it may reach a new incarnation, or never sent again after it was lost.
func TestAcknowledgementIsRepeatedOnlyUntilItIsReceived(t *testing.T) {
	c := New(1, testPolicy(), testBounds, discardLog())
	c.SetWorkers([]batch.Worker{incarnationOf(1, "a")}, 0)
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute}, 0, 0)
	c.AddJob(simpleJob("first", "normal", 1, 1, smallNeed), 0)
	start := startsAfterPlan(c, 0)[0]
	c.OnStart(start, Delivery{Result: Accepted, Response: Accepted}, 0)
	ended := WorkerReport{Incarnation: 1, Clock: time.Minute, Ended: []EndReport{{N: 1, Task: start.Task, Run: start.Run, Kind: EndDone}}}
	c.OnReport("w", ended, 1, 1)
	c.OnStored(c.TakeCommit(), 1)
	renewal, due := c.NextRenewal("w", 1)
	must.True(t, due)
	must.Eq(t, 1, renewal.AckedEnds)
	c.OnRenewalFailed("w", 1)
	renewal, _ = c.NextRenewal("w", 1)
	must.Eq(t, 0, renewal.AckedEnds, must.Sprint("the worker may have restarted"))
	c.OnReport("w", ended, 2, 2)
	renewal, due = c.NextRenewal("w", 2)
	must.True(t, due)
	must.Eq(t, 1, renewal.AckedEnds, must.Sprint("an acknowledgement without a response is repeated"))
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute}, 2, 2)

	// The worker restarts. Its new incarnation carries out the next start and receives the next renewal.
	c.AddJob(simpleJob("second", "normal", 1, 1, smallNeed), 3)
	must.Len(t, 1, startsAfterPlan(c, 3))
	renewal, due = c.NextRenewal("w", 3)
	must.True(t, due)
	must.Eq(t, 0, renewal.AckedEnds)
}

// Guards against a worker that is never used again because it restarted with an earlier start time, after its time of day went back: its reports were ignored
// as those of an earlier incarnation. A report that was requested before the newest known incarnation responded is still ignored.
func TestWorkerThatRestartsWithAnEarlierStartTimeIsUsed(t *testing.T) {
	c := New(1, testPolicy(), testBounds, discardLog())
	c.SetWorkers([]batch.Worker{incarnationOf(5, "a")}, 0)
	c.OnReport("w", WorkerReport{Incarnation: 5, Clock: time.Minute}, 0, 10)
	c.AddJob(simpleJob("j", "normal", 1, 1, smallNeed), 10)
	start := startsAfterPlan(c, 10)[0]
	c.OnStart(start, Delivery{Result: Accepted, Response: Accepted}, 11)
	running := WorkerReport{Incarnation: 5, Clock: time.Minute, Running: []RunReport{{Task: start.Task, Run: 1}}}
	c.OnReport("w", running, 12, 13)

	c.OnReport("w", WorkerReport{Incarnation: 4, Clock: time.Millisecond}, 11, 14)
	must.MapLen(t, 1, c.workers["w"].allocs, must.Sprint("a late response of an earlier incarnation"))

	c.OnReport("w", WorkerReport{Incarnation: 4, Clock: time.Millisecond}, 15, 16)
	c.OnReport("w", WorkerReport{Incarnation: 4, Clock: time.Millisecond}, 17, 18)
	must.MapLen(t, 0, c.workers["w"].allocs, must.Sprint("the run ended with its incarnation"))
	c.SetWorkers([]batch.Worker{incarnationOf(4, "a")}, 20)
	must.SliceLen(t, 1, startsAfterPlan(c, time.Second), must.Sprint("the task starts again"))
}

// Guards against a worker that is never used again because its entry with an earlier start time and another address is ignored.
func TestEntryWithAnEarlierStartTimeReplacesALostIncarnation(t *testing.T) {
	c := New(1, testPolicy(), testBounds, discardLog())
	c.SetWorkers([]batch.Worker{incarnationOf(5, "a")}, 0)
	c.OnReport("w", WorkerReport{Incarnation: 5, Clock: time.Minute}, 0, 10)
	c.OnRenewalFailed("w", 20)
	moved := incarnationOf(4, "a")
	moved.Address = "elsewhere:1"
	c.SetWorkers([]batch.Worker{moved}, 30)
	must.Eq(t, "w:1", c.workers["w"].Address, must.Sprint("the known incarnation may still run"))
	later := 30 * time.Second
	c.SetWorkers([]batch.Worker{moved}, later)
	must.Eq(t, "elsewhere:1", c.workers["w"].Address)
}

// Guards against a run that is closed, and started elsewhere, because an incomplete report lacks it.
func TestRunMissingFromAnIncompleteReportIsKept(t *testing.T) {
	c := New(1, testPolicy(), testBounds, discardLog())
	c.SetWorkers([]batch.Worker{incarnationOf(1, "a")}, 0)
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute}, 0, 0)
	c.AddJob(simpleJob("j", "normal", 1, 1, smallNeed), 0)
	start := startsAfterPlan(c, 0)[0]
	c.OnStart(start, Delivery{Result: Accepted, Response: Accepted}, 1)
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute, Incomplete: true}, 2, 3)
	must.Eq(t, running, c.task("j.0.0.0").phase)
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute}, 4, 5)
	must.Eq(t, waiting, c.task("j.0.0.0").phase)
}
