package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// replaceWorkers replaces all workers of a core by new ones whose ids begin with the prefix.
func replaceWorkers(c *Core, prefix string, n int, now time.Duration) {
	var list []batch.Worker
	for i := range n {
		list = append(list, batch.Worker{ID: fmt.Sprintf("%s-%d", prefix, i), Service: "svc", Address: "a:1", Rack: "r", Incarnation: 1,
			Capacity: batch.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 8}})
	}
	c.SetWorkers(list, now)
	for _, w := range list {
		c.OnReport(w.ID, WorkerReport{Incarnation: 1, Clock: now}, now, now)
	}
	c.Tick(now, 0)
}

// Guards against a leader whose memory grows with each worker that a waiting step has asked for, also with those that have left.
func TestAdviceOnWorkersThatHaveLeftIsForgotten(t *testing.T) {
	const fleetSize = 200
	c := coreWithAdvice(t, 1, batch.AdvicePolicy{PerRequest: time.Millisecond, PerWorker: time.Millisecond})
	var remembered int
	for g := range 20 {
		now := time.Duration(g+1) * time.Minute
		replaceWorkers(c, fmt.Sprint("g", g), fleetSize, now)
		for range 2 * 3 * fleetSize / batch.MinAdviceWorkers {
			req, ok := c.NextAdviceRequest(now, []string{""})
			if !ok {
				break
			}
			c.OnAdvice(req, &Advice{Tickets: map[string]string{}}, now, now)
			remembered = max(remembered, len(req.step.advice.refused))
		}
	}
	must.Eq(t, fleetSize, len(c.workers))
	must.Between(t, minRemembered/2, remembered, minRemembered+fleetSize)
}

// Guards against a leader that keeps an entry for each host that has ever sent a request to the adviser.
func TestHostsThatHaveLeftAreForgottenAsAdviceRequesters(t *testing.T) {
	c := coreWithAdvice(t, 8, batch.AdvicePolicy{PerRequest: time.Millisecond, PerWorker: time.Millisecond})
	for i := range 50 {
		now := time.Duration(i) * time.Minute
		requesters := []string{"", fmt.Sprintf("10.0.0.%d:1", i)}
		for range 3 {
			if req, ok := c.NextAdviceRequest(now, requesters); ok {
				c.OnAdvice(req, nil, now, now)
			}
		}
	}
	must.LessEq(t, 3, len(c.nextAdviceAt))
}

// Guards against a task that starts again on a worker on which it failed, because the other workers on which it failed have left.
func TestWorkersThatHaveLeftDoNotEndTheAvoidanceOfOthers(t *testing.T) {
	c := coreWithAdvice(t, 6, batch.AdvicePolicy{})
	g := &taskGroup{avoidedWorkers: map[string]bool{"w00": true, "left-1": true, "left-2": true, "left-3": true}}
	in := &planInput{service: "svc", workers: c.byID, workerIndex: map[string]int{}}
	for i, w := range c.byID {
		in.workerIndex[w.ID] = i
	}
	must.Eq(t, map[int]bool{0: true}, c.avoidedWorkers(in, g))
	for _, id := range []string{"w01", "w02", "w03"} {
		g.avoidedWorkers[id] = true
	}
	must.MapEmpty(t, c.avoidedWorkers(in, g))
}
