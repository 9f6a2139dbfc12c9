package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
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
