package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// flap makes a worker go down and up by turns, for some periods.
func (s *system) flap(id string, periods int, down, up time.Duration) {
	for range periods {
		s.fleet.loseWorker(id)
		s.fleet.returnsAt[id] = s.fleet.now + down
		s.run(down + up)
	}
}

func longRunningJob(id string, tasks int) batch.Job {
	j := simpleJob(id, "batch", 2, tasks, wholeWorker)
	j.Steps[0].LongRunning = true
	return j
}

// Guards against a long-running job that is ended as failed, with all its tasks on sound workers, because one worker goes down and up.
func TestFlappingWorkerEndsNoLongRunningJob(t *testing.T) {
	for seed := range uint64(20) {
		s := newSystem(t, seed, 2, 5)
		s.fleet.noFaults, s.fleet.restartsUnderID = false, true
		s.submit(longRunningJob("j", 10))
		s.run(3 * time.Second)
		must.SliceLen(t, 10, s.fleet.runsOf("j"))
		s.flap(s.fleet.ids()[0], 5, 1150*time.Millisecond, 250*time.Millisecond)
		s.run(10 * time.Second)
		must.Eq(t, batch.Running, s.state("j"))
		must.SliceLen(t, 10, s.fleet.runsOf("j"))
		s.mustHaveNoViolations()
	}
}

// Guards against a job that is ended as failed because the only worker with room for it goes down and up whenever it has just started there.
func TestFlappingWorkerEndsNoJob(t *testing.T) {
	for seed := range uint64(20) {
		s := newSystem(t, seed, 2, 5)
		s.fleet.noFaults, s.fleet.restartsUnderID = false, true
		s.submit(longRunningJob("others", 9))
		s.run(3 * time.Second)
		s.submit(simpleJob("j", "normal", 1, 1, wholeWorker))
		for range 6 {
			s.run(150 * time.Millisecond)
			for _, id := range s.fleet.ids() {
				if w := s.fleet.workers[id]; w.up && len(w.running) == 0 {
					s.flap(id, 1, 1150*time.Millisecond, 50*time.Millisecond)
				}
			}
			for _, id := range s.fleet.runsOf("j") {
				s.flap(id, 1, 1150*time.Millisecond, 50*time.Millisecond)
			}
		}
		s.run(20 * time.Second)
		must.Eq(t, batch.Completed, s.state("j"))
		s.mustHaveNoViolations()
	}
}

// Guards against both errors about crashes at once: a sound job that is ended for those of flapping workers or of whole racks, and a job whose task crashes
// its workers and is never ended, also when leaders change.
func TestCrashesProveTheRightCause(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			s := newSystem(t, seed, 4, 6)
			s.fleet.noFaults, s.fleet.stopTime, s.fleet.restartsUnderID = false, testBounds.StopMax, rng.IntN(2) == 0
			s.submit(longRunningJob("lasting", 6))
			flapping := s.fleet.ids()[rng.IntN(24)]
			for n := range 20 {
				s.submit(simpleJob(fmt.Sprintf("good%d", n), "normal", 1, 1+rng.IntN(4), smallNeed))
				if n%5 == 0 {
					bad := fmt.Sprintf("bad%d", n)
					s.fleet.crashingTasks[bad+".0.0.0"] = true
					s.submit(simpleJob(bad, "normal", 1, 2, smallNeed))
				}
				switch {
				case n < 10 && s.fleet.restartsUnderID:
					s.flap(flapping, 1, 1150*time.Millisecond, 250*time.Millisecond)
				case n == 12:
					for i, id := range s.fleet.ids() {
						if i < 6 && s.fleet.workers[id].up {
							s.fleet.loseWorker(id)
						}
					}
				case n%7 == 6:
					s.elect()
				}
				s.run(time.Duration(200+rng.IntN(800)) * time.Millisecond)
			}
			s.run(60 * time.Second)
			s.mustHaveNoViolations()
			must.Eq(t, batch.Running, s.state("lasting"))
			for n := range 20 {
				must.Eq(t, batch.Completed, s.state(fmt.Sprintf("good%d", n)), must.Sprint(n))
				if n%5 == 0 {
					must.Eq(t, batch.Failed, s.state(fmt.Sprintf("bad%d", n)), must.Sprint(n))
				}
			}
		})
	}
}
