package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/batch"
	"samphirewell/internal/rowstore"
)

// smallestHostMemory is the least memory of an entry host, bytes.
const smallestHostMemory = 184 << 20

func scheduledJob(id string, tasks, count int, first, interval time.Duration) batch.Job {
	j := simpleJob(id, "normal", 1, tasks, batch.Resources{MilliCores: 1000})
	j.Schedule = &batch.Schedule{Count: count, FirstMS: first.Milliseconds(), IntervalMS: interval.Milliseconds()}
	return j
}

func heapBytes() int {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// Guards against a leader that keeps state for each occurrence of a schedule: 70 jobs that run every minute for a month took each leader in turn above its
// memory limit, so that no accepted job ran.
func TestScheduledJobsTakeNoMemoryForOccurrencesInTheFuture(t *testing.T) {
	for _, x := range []struct {
		name                       string
		jobs, tasks, count, stages int
		interval                   time.Duration
	}{
		{"every minute for 30 days", 70, 1, 30 * 24 * 60, 1, time.Minute},
		{"the longest schedules", 300, 1, batch.MaxOccurrences, 1, time.Second},
		{"several steps", 300, 5, batch.MaxOccurrences / 4, 4, time.Hour},
	} {
		t.Run(x.name, func(t *testing.T) {
			var jobs []batch.Job
			for n := range x.jobs {
				j := scheduledJob(fmt.Sprint(n), x.tasks, x.count, time.Hour, x.interval)
				for s := 1; s < x.stages; s++ {
					j.Steps = append(j.Steps, batch.Step{Tasks: x.tasks, After: []int{s - 1}})
				}
				must.Eq(t, "", j.Check())
				jobs = append(jobs, j)
			}
			before := heapBytes()
			c := New(1, testPolicy(), testBounds, discardLog())
			for _, j := range jobs {
				c.AddJob(j, 0)
			}
			c.Tick(time.Second, 1000)
			must.Less(t, smallestHostMemory/100, heapBytes()-before, must.Sprint("after submission"))
			next := New(2, testPolicy(), testBounds, discardLog())
			next.Restore(jobs, nil, nil, time.Second, 1000)
			must.Less(t, smallestHostMemory/50, heapBytes()-before, must.Sprint("after a takeover"))
			runtime.KeepAlive(c)
			runtime.KeepAlive(next)
		})
	}
}

// Guards against occurrences that all become due at once, after an outage or with a short interval, and take the memory of the leader then. Each of them
// has to run in the end.
func TestOverdueOccurrencesAreOpenedInTurn(t *testing.T) {
	for _, tasks := range []int{1, 7, 3000} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			c := New(1, testPolicy(), testBounds, discardLog())
			j := scheduledJob("j", tasks, batch.MaxOccurrences, time.Second, 0)
			c.AddJob(j, 0)
			c.Tick(2*time.Second, 2000)
			open := 0
			for _, o := range c.jobs["j"].occurrences {
				open += len(o.steps[0].groups)
			}
			must.Positive(t, open)
			must.LessEq(t, max(maxOpenTasks, tasks), open)
		})
	}
	s := newSystem(t, 1, 1, 4)
	s.submit(scheduledJob("j", 40, 120, 0, 0))
	s.run(2 * time.Minute)
	s.mustHaveNoViolations()
	must.Eq(t, batch.Completed, s.state("j"))
	must.MapLen(t, 40*120, s.fleet.everDone)
}

// taskRowsOf returns the number of stored rows of tasks of a job.
func (s *system) taskRowsOf(job string) int {
	rows, _, err := rowstore.ScanAll(context.Background(), s.store, TableTasks, []string{Partition})
	must.NoError(s.t, err)
	n := 0
	for _, r := range rows {
		if strings.HasPrefix(r.Key.Key, job+"/") {
			n++
		}
	}
	return n
}

// Guards against rows and memory that grow with the number of occurrences that are complete, so that each takeover takes longer than the one before.
func TestCompleteOccurrencesAreDropped(t *testing.T) {
	s := newSystem(t, 3, 1, 4)
	s.submit(scheduledJob("j", 30, 100, time.Second, time.Second))
	for range 4 {
		s.run(20 * time.Second)
		must.Less(t, 40, s.taskRowsOf("j"), must.Sprint("two rows for each of the occurrences of the last seconds"))
		must.Less(t, 20, len(s.leaders[len(s.leaders)-1].core.jobs["j"].occurrences))
		s.leaders[len(s.leaders)-1].frozen = true
		s.elect()
	}
	s.run(60 * time.Second)
	s.mustHaveNoViolations()
	must.Eq(t, batch.Completed, s.state("j"))
	must.Eq(t, 0, s.taskRowsOf("j"))
	must.MapLen(t, 30*100, s.fleet.everDone)
}

// Guards against an occurrence that runs for long and keeps later ones from being opened or dropped.
func TestLaterOccurrencesGoOnBesideALongOne(t *testing.T) {
	s := newSystem(t, 4, 1, 4)
	s.submit(scheduledJob("j", 1, 60, time.Second, time.Second))
	s.run(1100 * time.Millisecond)
	for _, w := range s.fleet.workers {
		for _, r := range w.running {
			r.work, r.left = 70*time.Second, 70*time.Second
		}
	}
	s.run(40 * time.Second)
	s.elect()
	s.run(5 * time.Second)
	must.Greater(t, 38, len(s.fleet.everDone))
	must.Less(t, 10, s.taskRowsOf("j"))
	s.run(60 * time.Second)
	s.mustHaveNoViolations()
	must.Eq(t, batch.Completed, s.state("j"))
	must.MapLen(t, 60, s.fleet.everDone)
}

// Guards against occurrences that run twice, too early or not at all, with all shapes of schedules and with faults of workers, of the table and of leaders
// in between.
func TestEachOccurrenceRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t, rapid.Uint64().Draw(t, "seed"), 2, 2)
		s.fleet.noFaults = false
		rng := rand.New(rand.NewPCG(s.fleet.rng.Uint64(), 2))
		tasks := 0
		for n := range rapid.IntRange(1, 3).Draw(t, "jobs") {
			j := scheduledJob(fmt.Sprint("j", n), rapid.IntRange(1, 30).Draw(t, "tasks"), rapid.IntRange(1, 12).Draw(t, "count"),
				time.Duration(rapid.IntRange(0, 8000).Draw(t, "first"))*time.Millisecond, time.Duration(rapid.IntRange(0, 4000).Draw(t, "interval"))*time.Millisecond)
			j.Queue.Attempts = 100
			tasks += j.Steps[0].Tasks * j.Schedule.Count
			if rapid.Bool().Draw(t, "two steps") {
				j.Steps = append(j.Steps, batch.Step{Tasks: 2, Need: smallNeed, Gang: true, After: []int{0}})
				tasks += j.Schedule.Count // one end represents the gang
			}
			s.submit(j)
		}
		for range 12 {
			s.run(time.Duration(rng.IntN(3000)) * time.Millisecond)
			switch rng.IntN(5) {
			case 0:
				s.elect()
			case 1:
				s.leaders[len(s.leaders)-1].frozen = true
				s.elect()
			case 2:
				s.fleet.crash(s.fleet.ids()[rng.IntN(4)])
			case 3:
				s.outage = !s.outage
			}
		}
		s.outage = false
		for _, w := range s.fleet.workers {
			w.up = true
		}
		s.elect()
		s.run(3 * time.Minute)
		s.mustHaveNoViolations()
		for _, j := range s.jobs {
			must.Eq(t, batch.Completed, s.state(j.ID), must.Sprint(j.ID))
			must.Eq(t, 0, s.taskRowsOf(j.ID))
		}
		must.MapLen(t, tasks, s.fleet.everDone)
	})
}
