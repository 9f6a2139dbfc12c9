package dispatch

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/batch"
	"samphirewell/internal/rowstore/memstore"
)

// drawJob makes a job of any kind that fits the test fleet.
func drawJob(t *rapid.T, id string) batch.Job {
	prio := rapid.IntRange(0, 2).Draw(t, "priority")
	accelerators := rapid.SampledFrom([]int{0, 1, 2, 4, 8}).Draw(t, "accelerators")
	j := simpleJob(id, []string{"urgent", "normal", "batch"}[prio], prio, rapid.IntRange(1, 5).Draw(t, "tasks"),
		batch.Resources{MilliCores: 4000, MemoryMB: 1000, Accelerators: accelerators})
	j.Team = rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")
	s := &j.Steps[0]
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0, 1:
		s.Gang, s.SameRack = true, rapid.Bool().Draw(t, "rack")
	case 2:
		s.MaxPerWorker = rapid.IntRange(1, 2).Draw(t, "apart")
	case 3:
		j.Steps = append(j.Steps, batch.Step{Tasks: rapid.IntRange(1, 3).Draw(t, "second"), Need: smallNeed, After: []int{0}})
	}
	return j
}

// drawAction applies one randomly drawn fault or request. The store applies lost transactions late.
func drawAction(t *rapid.T, s *system, jobs *int) {
	ids := s.fleet.ids()
	id := rapid.SampledFrom(ids).Draw(t, "worker")
	w := s.fleet.workers[id]
	switch rapid.IntRange(0, 17).Draw(t, "action") {
	case 0, 1, 2, 3:
		*jobs++
		s.submit(drawJob(t, fmt.Sprintf("j%d", *jobs)))
	case 4:
		s.fleet.crash(id)
	case 5:
		w.unreachable = !w.unreachable
	case 6:
		w.failsRuns = !w.failsRuns
	case 7:
		s.fleet.responseLossShare = rapid.SampledFrom([]float64{0, 0.1, 0.4, 0.7}).Draw(t, "loss")
	case 8:
		s.fleet.delayShare = rapid.SampledFrom([]float64{0, 0.05, 0.3, 0.7}).Draw(t, "delayed")
	case 9:
		s.elect()
	case 10:
		l := s.leaders[len(s.leaders)-1]
		l.frozen = true
		s.elect()
		for _, old := range s.leaders[:len(s.leaders)-1] {
			old.frozen = rapid.Bool().Draw(t, "frozen")
		}
	case 11:
		if *jobs > 0 {
			s.cancel(fmt.Sprintf("j%d", rapid.IntRange(1, *jobs).Draw(t, "cancelled")))
		}
	case 12:
		// A commit is retried until its outcome is known, so most calls have to succeed.
		faults := rapid.SampledFrom([]memstore.Fault{memstore.None, memstore.LoseResponse, memstore.Delay, memstore.LoseRequest}).Draw(t, "store")
		var n atomic.Int64
		s.store.SetFault(func(call string) memstore.Fault {
			if call == "commit" && n.Add(1)%4 == 1 {
				return faults
			}
			return memstore.None
		})
	case 13:
		if w.up {
			s.fleet.replaceWorker(id)
			w.keepListed = rapid.Bool().Draw(t, "listed")
		}
	case 14:
		s.fleet.restartElsewhere(id)
	case 15:
		w.refuseShare = rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(t, "refused")
	case 16:
		w.setCapacity(drawCapacity(t))
	case 17:
		s.store.ApplyDelayed()
	}
}

// clearFaults ends all faults.
func clearFaults(s *system) {
	s.store.SetFault(nil)
	s.fleet.responseLossShare, s.fleet.delayShare = 0, 0
	for _, w := range s.fleet.workers {
		w.unreachable, w.failsRuns, w.keepListed, w.refuseShare = false, false, false, 0
		w.setCapacity(fullCapacity)
	}
	for _, l := range s.leaders {
		l.frozen = false
	}
}

// Guards against violations on workers under any sequence of faults: two runs of a task, a start after an acknowledged end or beyond the allowed
// attempts, a start before its predecessors, too many tasks of a step on a worker, a start beyond the capacity of a worker that doesn't enforce it; and
// against jobs that never end after the faults.
func TestPromisesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t, rapid.Uint64().Draw(t, "seed"), 2, 3)
		s.fleet.noFaults = false
		s.stalePlans = rapid.Bool().Draw(t, "stale plans")
		drawCapacityModel(t, s.fleet)
		jobs := 0
		for range rapid.IntRange(5, 40).Draw(t, "length") {
			drawAction(t, s, &jobs)
			s.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "steps")) * testStep)
		}
		clearFaults(s)
		s.elect()
		s.run(90 * time.Second)
		s.store.ApplyDelayed()
		s.mustHaveNoViolations()
		for i := range jobs {
			id := fmt.Sprintf("j%d", i+1)
			must.True(t, s.state(id).Terminal(), must.Sprintf("%s is %q and never ends", id, s.state(id)))
		}
	})
}
