package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

func coreWithAdvice(t *testing.T, workers int, cost batch.AdvicePolicy) *Core {
	queue := batch.Queue{Name: "q", Service: "svc", Attempts: 3, Advice: &cost}
	p := (&batch.Policy{Version: 1, Queues: []batch.Queue{queue}}).Index()
	c := New(1, p, Bounds{LeaseMax: 6 * time.Second}, discardLog())
	var list []batch.Worker
	for i := range workers {
		list = append(list, batch.Worker{ID: fmt.Sprintf("w%02d", i), Service: "svc", Address: "a:1", Rack: fmt.Sprintf("r%d", i/8), Incarnation: 1,
			Capacity: batch.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 8}})
	}
	c.SetWorkers(list, 0)
	for _, w := range list {
		c.OnReport(w.ID, WorkerReport{Incarnation: 1, Clock: time.Second}, 0, 0)
	}
	for i := range 3 {
		j := batch.Job{ID: fmt.Sprintf("job%d", i), Queue: queue, Steps: []batch.Step{{Tasks: 1, Need: batch.Resources{MilliCores: 1, Accelerators: 1}}}}
		must.Eq(t, "", j.Check())
		c.AddJob(j, 0)
	}
	return c
}

// Guards against advice requests whose number of workers doesn't follow from the adviser's costs: with 300 ms a request and 1 ms a worker, two
// requests of 30 workers took twice the time of one of 48, and urgent jobs waited longer than their bound.
func TestAdviceRequestSizeFollowsFromItsCost(t *testing.T) {
	for _, c := range []struct {
		cost    batch.AdvicePolicy
		workers int
	}{{batch.AdvicePolicy{PerRequest: 300 * time.Millisecond, PerWorker: time.Millisecond}, 48}, {batch.AdvicePolicy{PerRequest: 300 * time.Millisecond, PerWorker: 10 * time.Millisecond}, 30},
		{batch.AdvicePolicy{PerRequest: time.Millisecond, PerWorker: 10 * time.Millisecond}, batch.MinAdviceWorkers}, {batch.AdvicePolicy{PerRequest: time.Second}, 48}} {
		req, ok := coreWithAdvice(t, 48, c.cost).NextAdviceRequest(0, []string{""})
		must.True(t, ok)
		must.Eq(t, c.workers, len(req.Workers), must.Sprintf("%+v", c.cost))
	}
}

// Guards against steps that wait for the adviser one after another although several hosts may send requests at the same time.
func TestEachHostRequestsAdviceOnAnotherStep(t *testing.T) {
	c := coreWithAdvice(t, 8, batch.AdvicePolicy{PerRequest: 300 * time.Millisecond, PerWorker: time.Millisecond})
	must.True(t, c.NeedsAdvice())
	steps := map[string]string{}
	requesters := []string{"", "b:1", "c:1"}
	for {
		req, ok := c.NextAdviceRequest(0, requesters)
		if !ok {
			break
		}
		steps[req.Step] = req.Via
	}
	must.Eq(t, map[string]string{"job0.0.0": "", "job1.0.0": "b:1", "job2.0.0": "c:1"}, steps)
}
