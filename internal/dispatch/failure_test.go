package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// Guards against a failure that isn't counted because the run was closed, when its leases expired, before the worker could report its end.
func TestFailureOfAClosedRunIsCounted(t *testing.T) {
	c := New(1, testPolicy(), testBounds, discardLog())
	c.SetWorkers([]batch.Worker{incarnationOf(1, "a")}, 0)
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute}, 0, 0)
	j := simpleJob("j", "normal", 1, 1, smallNeed)
	j.Queue.Attempts = 1
	c.AddJob(j, 0)
	start := startsAfterPlan(c, 0)[0]
	c.OnStart(start, Delivery{Result: Accepted, Response: Accepted}, 0)
	now := 2 * testBounds.LeaseMax
	c.Tick(now, now.Milliseconds())
	must.Eq(t, waiting, c.task(start.Task).phase)
	end := EndReport{N: 1, Task: start.Task, Run: start.Run, Kind: EndFailed}
	c.OnReport("w", WorkerReport{Incarnation: 1, Clock: time.Minute + now, Ended: []EndReport{end}}, now, now)
	must.Eq(t, batch.Failed, c.jobs["j"].state)
}
