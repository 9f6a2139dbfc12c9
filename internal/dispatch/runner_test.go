package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
	"samphirewell/internal/lead"
	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

type noMetrics struct{}

func (noMetrics) Committed(int, time.Duration)         {}
func (noMetrics) Planned(time.Duration)                {}
func (noMetrics) Locked(time.Duration)                 {}
func (noMetrics) RowsWaited(time.Duration)             {}
func (noMetrics) Ordered(Order, Result, time.Duration) {}
func (noMetrics) CopySent(Order, Result)               {}
func (noMetrics) CopyWithheld(Order, string)           {}
func (noMetrics) Counted(Counts)                       {}

type realClock struct{ start time.Time }

func (c realClock) SinceBoot() time.Duration { return time.Since(c.start) }
func (realClock) WallMS() int64              { return time.Now().UnixMilli() }

// runnerWithUnstoredEnd returns a runner with a job whose only task has ended, but whose end isn't stored yet.
func runnerWithUnstoredEnd(t *testing.T) *Runner {
	store := memstore.New()
	session, err := lead.Claim(context.Background(), store, testKey, rowstore.Row{}, lead.Row{Host: "h", Incarnation: "a"})
	must.NoError(t, err)
	core := New(session.Epoch(), testPolicy(), testBounds, discardLog())
	r := NewRunner(core, session, nil, realClock{time.Now()}, noMetrics{}, discardLog())
	w := batch.Worker{ID: "w", Service: "svc", Address: "a:1", Incarnation: 1, Capacity: batch.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 8}}
	r.Do(func(c *Core, now time.Duration) {
		c.SetWorkers([]batch.Worker{w}, now)
		c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Second}, now, now)
		c.AddJob(simpleJob("j", "urgent", 0, 1, batch.Resources{MilliCores: 1, Accelerators: 1}), now)
		c.Plan(now)
	})
	must.NoError(t, r.commit(context.Background(), false))
	r.Do(func(c *Core, now time.Duration) {
		orders := c.TakeOrders()
		must.SliceLen(t, 1, orders)
		c.OnStart(orders[0], Delivery{Result: Accepted, Response: Accepted}, now)
		c.OnReport("w", WorkerReport{Incarnation: 1, Clock: 2 * time.Second, Ended: []EndReport{{N: 1, Task: orders[0].Task, Run: 1, Kind: EndDone}}}, now, now)
	})
	return r
}

// Guards against reporting a job as running while its end is being stored: the caller queries again 250 ms later, so that urgent jobs that had ended
// in time were late.
func TestStateWaitsForAnEndThatIsBeingStored(t *testing.T) {
	r := runnerWithUnstoredEnd(t)
	states := make(chan JobState, 1)
	go func() { states <- r.JobState(context.Background(), "j") }()
	select {
	case s := <-states:
		t.Fatalf("reported %v before the end was stored", s)
	case <-time.After(20 * time.Millisecond):
	}
	must.NoError(t, r.commit(context.Background(), false))
	must.Eq(t, JobState{Tracked: true, Queue: "urgent", State: batch.Completed}, <-states)
}

// Guards against reporting an end that isn't stored: during an outage of the table the worker with the only record of the end left, and the next
// leader ran the task again although the job had been reported as completed. It also guards against a caller that waits too long for the table.
func TestEndIsNotReportedBeforeItIsStored(t *testing.T) {
	r := runnerWithUnstoredEnd(t)
	for range 2 {
		began := time.Now()
		must.Eq(t, JobState{Tracked: true, Queue: "urgent", State: batch.Running, Storing: true}, r.JobState(context.Background(), "j"))
		must.Between(t, storeWaitLimit, time.Since(began), 10*storeWaitLimit)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	must.Eq(t, batch.Running, r.JobState(ctx, "j").State, must.Sprint("the caller gives up first"))
}

// Guards against renewals that follow each other without a pause, thousands in some seconds, while a worker's address refuses connections.
func TestFailedRenewalsAreSentAtIntervals(t *testing.T) {
	core := New(1, testPolicy(), testBounds, discardLog())
	core.SetWorkers([]batch.Worker{incarnationOf(1, "a")}, 0)
	core.TakePollWakeups()
	_, due := core.NextRenewal("w", 0)
	must.True(t, due)
	core.OnRenewalFailed("w", 0)
	must.SliceEmpty(t, core.TakePollWakeups(), must.Sprint("a wake-up ends the pause after a failed renewal"))
	_, due = core.NextRenewal("w", renewalRetryPause)
	must.True(t, due)
}
