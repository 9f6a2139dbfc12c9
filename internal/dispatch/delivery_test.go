package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"samphirewell/internal/batch"
)

// responses returns an attempt that gets the responses in turn, and the number of calls so far.
func responses(rs ...Result) (func(Order) Result, *int) {
	calls := 0
	return func(Order) Result { calls++; return rs[calls-1] }, &calls
}

// Guards against a refusal of a later copy that counts as the refusal of all copies: an earlier copy without a response may still be carried out.
func TestRefusalAfterALostCopyOfAStartIsNoResult(t *testing.T) {
	conclusive := map[Result]bool{Accepted: true, Deposed: true, Superseded: true}
	for r := Accepted; r <= Unknown; r++ {
		for lost := range orderAttempts {
			want := r
			if lost > 0 && !conclusive[r] || r == NotSent { // the copies after one that was not sent get no response here
				want = Unknown
			}
			attempt, _ := responses(append([]Result{Unknown, Unknown, Unknown}[:lost:lost], r, Unknown, Unknown)...)
			must.Eq(t, want, Deliver(Order{}, attempt).Result, must.Sprintf("%v after %d copies without a response", r, lost))
		}
	}
}

// Guards against stops that are never confirmed: a copy of a stop that is carried out late stops no later run, so that each response is the result.
func TestResponseToAStopIsItsResult(t *testing.T) {
	for r := Accepted; r < NotSent; r++ {
		for lost := range orderAttempts {
			attempt, _ := responses(append([]Result{Unknown, Unknown}[:lost:lost], r)...)
			must.Eq(t, Delivery{Result: r, Response: r, UnansweredCopies: lost}, Deliver(Order{Stop: true}, attempt), must.Sprintf("%v after %d lost copies", r, lost))
		}
	}
}

// Guards against copies that are sent after a response, and against orders that are repeated without end.
func TestOrderIsRepeatedOnlyWithoutAResponse(t *testing.T) {
	attempt, calls := responses(Unknown, Unhealthy)
	d := Deliver(Order{}, attempt)
	must.Eq(t, 2, *calls)
	must.Eq(t, Unhealthy, d.Response)
	must.Eq(t, 1, d.UnansweredCopies)
	attempt, calls = responses(Unknown, Unknown, Unknown)
	must.Eq(t, Delivery{Result: Unknown, Response: Unknown, UnansweredCopies: 3}, Deliver(Order{}, attempt))
	must.Eq(t, 3, *calls)
}

// Guards against two runs of a task at the same time: a copy of a start got no response and was carried out seconds later, the next one was refused by
// the unhealthy worker, and the task started elsewhere at once.
func TestTaskDoesNotRunTwiceIfALostCopyOfItsStartIsCarriedOutLate(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSystem(t, seed, 2, 3)
			s.fleet.noFaults = false
			s.fleet.delayShare = 0.3
			for _, w := range s.fleet.workers {
				w.refuseShare = 0.6
			}
			for n := range 8 {
				s.submit(simpleJob(fmt.Sprintf("j%d", n), "normal", 1, 4, smallNeed))
			}
			s.run(20 * time.Second)
			clearFaults(s)
			s.run(30 * time.Second)
			s.mustHaveNoViolations()
			for _, j := range s.jobs {
				must.Eq(t, batch.Completed, s.state(j.ID), must.Sprint(j.ID))
			}
		})
	}
}

// lossyWorkers is a WorkerAPI whose orders get the responses in turn.
type lossyWorkers struct {
	WorkerAPI
	attempt func(Order) Result
}

func (w lossyWorkers) Order(_ context.Context, o Order) Result { return w.attempt(o) }

// orderedStart returns a runner with one ordered start, and its log.
func orderedStart(t *testing.T, rs ...Result) (*Runner, Order, *logtest.Hook) {
	log, hook := logtest.NewNullLogger()
	core := New(1, testPolicy(), testBounds, log)
	attempt, _ := responses(rs...)
	r := NewRunner(core, nil, lossyWorkers{attempt: attempt}, realClock{time.Now()}, noMetrics{}, log)
	w := batch.Worker{ID: "w", Service: "svc", Address: "a:1", Incarnation: 1, Capacity: batch.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 8}}
	r.Do(func(c *Core, now time.Duration) {
		c.SetWorkers([]batch.Worker{w}, now)
		c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Second}, now, now)
		c.AddJob(simpleJob("j", "normal", 1, 1, smallNeed), now)
		c.Plan(now)
		c.OnStored(c.TakeCommit(), now)
	})
	orders := core.TakeOrders()
	must.SliceLen(t, 1, orders)
	return r, orders[0], hook
}

// Guards against a runner that takes the response to the last copy of a start for its result: the run must be stopped before the task starts again.
func TestRunnerStopsARunWhoseStartIsUncertain(t *testing.T) {
	r, o, _ := orderedStart(t, Unknown, Unhealthy)
	r.send(context.Background(), o)
	orders := r.core.TakeOrders()
	must.SliceLen(t, 1, orders)
	must.True(t, orders[0].Stop)
	must.Eq(t, 1, orders[0].Run)
}

// Guards against a log that doesn't tell a refused start from one of which an earlier copy may still be carried out.
func TestLogTellsOfLostCopiesOfAStart(t *testing.T) {
	for _, c := range []struct {
		responses        []Result
		result, response string
		lost             int
	}{
		{[]Result{Unhealthy}, "unhealthy", "unhealthy", 0},
		{[]Result{Unknown, InsufficientCapacity}, "unknown", "no_room", 1},
		{[]Result{Unknown, Unknown, Unknown}, "unknown", "unknown", 3},
	} {
		r, o, hook := orderedStart(t, c.responses...)
		hook.Reset()
		r.send(context.Background(), o)
		line := hook.Entries[c.lost] // after a line for each lost copy
		must.Eq(t, "start not confirmed", line.Message)
		for field, want := range (logrus.Fields{"result": c.result, "response": c.response, "unanswered_copies": c.lost}) {
			must.Eq(t, want, line.Data[field], must.Sprintf("%s after %v", field, c.responses))
		}
	}
}

// Guards against a log that doesn't show that a submission took effect long after a host had received it.
func TestLogTellsTheAgeOfASubmission(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	core := New(1, testPolicy(), testBounds, log)
	core.Tick(0, 9000)
	j := simpleJob("j", "normal", 1, 1, smallNeed)
	j.AcceptedMS = 3000
	core.AddJob(j, 0)
	must.Eq(t, "job queued", hook.LastEntry().Message)
	must.Eq(t, int64(6000), hook.LastEntry().Data["age_ms"].(int64))
}

// Guards against a log that doesn't tell a late copy of a start from one that was sent again.
func TestLogTellsOfEachCopyOfAStart(t *testing.T) {
	r, o, hook := orderedStart(t, Unknown, Unknown)
	hook.Reset()
	r.workers = lossyWorkers{attempt: func(Order) Result {
		r.core.bounds.Evacuation = time.Second
		r.operatorAge = func() time.Duration { return time.Minute }
		return Unknown
	}}
	r.send(context.Background(), o)
	var lines []string
	for _, e := range hook.AllEntries()[:2] {
		must.Eq(t, o.Task, e.Data["task"].(string))
		must.Eq(t, o.Run, e.Data["run"].(int))
		must.Eq(t, "start", e.Data["kind"].(string))
		lines = append(lines, fmt.Sprint(e.Message, e.Data["reason"]))
	}
	must.Eq(t, []string{"copy of an order got no response<nil>", "copy of an order withheldoperator_table_stale"}, lines)
}

// Guards against a worker that gets no new work for ever: a renewal that waited for the end of a run failed after the worker's last run was closed.
func TestWorkerIsRenewedUntilItRespondsEvenWithoutRuns(t *testing.T) {
	r, o, _ := orderedStart(t, Unhealthy)
	_, ok := r.core.NextRenewal("w", time.Second) // due since the worker is registered
	must.True(t, ok)
	waiting, ok := r.core.NextRenewal("w", time.Second)
	must.True(t, ok)
	must.Eq(t, renewalWait, waiting.Wait)
	r.send(context.Background(), o)
	r.core.OnRenewalFailed("w", 2*time.Second)
	_, ok = r.core.NextRenewal("w", 2*time.Second)
	must.True(t, ok, must.Sprint("the worker is unresponsive and isn't asked again"))
}

// Guards against a process that was paused and then sends a start, or another copy of one, on an authority that has run out meanwhile.
func TestNoCopyOfAStartIsSentWithoutAuthority(t *testing.T) {
	attempt, calls := responses(Unknown, Unknown, Unknown)
	copies := 0
	o := Order{StillAllowed: func() bool { copies++; return copies == 1 }}
	must.Eq(t, Delivery{Result: Unknown, Response: TooLate, UnansweredCopies: 1}, Deliver(o, attempt), must.Sprint("the first copy may still be carried out"))
	must.Eq(t, 1, *calls)

	r, start, _ := orderedStart(t, Accepted)
	r.sentAt.Store(int64(r.clock.SinceBoot() - lapsedWriteAge))
	r.send(context.Background(), start)
	must.Eq(t, waiting, r.core.task(start.Task).phase, must.Sprint("the start was withdrawn and nothing was sent"))
}

// lapsedWriteAge is the age of the last write of a leader whose authority has run out.
const lapsedWriteAge = authorityAfterCommit + time.Second

// Guards against a task that waits for a lease on a worker that can't have started it, because no connection to it could be opened.
func TestTaskStartsElsewhereAtOnceIfItsOrderWasNotSent(t *testing.T) {
	r, start, _ := orderedStart(t, NotSent, NotSent, NotSent)
	r.send(context.Background(), start)
	must.Eq(t, waiting, r.core.task(start.Task).phase)
	must.SliceEmpty(t, r.core.TakeOrders(), must.Sprint("there is nothing to stop"))
	r, start, _ = orderedStart(t, Unknown, NotSent, NotSent)
	r.send(context.Background(), start)
	must.Eq(t, stopping, r.core.task(start.Task).phase, must.Sprint("the first copy may still be carried out"))
	r, start, _ = orderedStart(t, NotSent, Accepted)
	r.send(context.Background(), start)
	must.Eq(t, running, r.core.task(start.Task).phase, must.Sprint("one lost packet must not break a gang"))
}

// Guards against workers that are closed to new work, and against runs that are taken for lost, because the leader itself has no descriptors left.
func TestLackOfConnectionsIsNoFailureOfTheWorker(t *testing.T) {
	r, start, _ := orderedStart(t, NoConnection)
	now := r.clock.SinceBoot()
	for range 5 {
		r.core.OnRenewalNotSent("w")
		r.core.OnStart(start, Delivery{Result: NoConnection, Response: NoConnection}, now)
		must.Eq(t, waiting, r.core.task(start.Task).phase)
		r.core.Plan(now)
		must.SliceEmpty(t, r.core.TakeOrders(), must.Sprint("there is nothing to stop, and a start that follows at once fails too"))
		now += fullWorkerPause
		r.core.Plan(now)
		r.core.OnStored(r.core.TakeCommit(), now)
		orders := r.core.TakeOrders()
		must.SliceLen(t, 1, orders, must.Sprint("the worker gets starts again"))
		start = orders[0]
	}
	must.False(t, r.core.workers["w"].unresponsive)
	must.True(t, r.core.workers["w"].renewalDue)

	r, start, _ = orderedStart(t, Unknown, NoConnection)
	r.send(context.Background(), start)
	must.Eq(t, stopping, r.core.task(start.Task).phase, must.Sprint("the first copy may still be carried out"))
}
