package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// longestGap runs the system for a time and returns how long fewer than n tasks of a job ran without a break.
func (s *system) longestGap(job string, n int, d time.Duration) time.Duration {
	gap, longest := time.Duration(0), time.Duration(0)
	for end := s.fleet.now + d; s.fleet.now < end; {
		s.run(testStep)
		gap += testStep
		if len(s.fleet.runsOf(job)) >= n {
			gap = 0
		}
		longest = max(longest, gap)
	}
	return longest
}

// Guards against long-running work that stands still until the leases of a worker have expired that said that it leaves (review/10, review/15).
func TestLongRunningTasksMoveBeforeADrainingWorkerLeaves(t *testing.T) {
	const remaining = 4 * time.Second
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprint("gang=", gang), func(t *testing.T) {
			s := newSystem(t, 1, 1, 4)
			s.fleet.noFaults = false
			j := longJob("j", "batch", 2, 2, wholeWorker)
			j.Steps[0].Gang = gang
			s.submit(j)
			s.run(2 * time.Second)
			runs := s.fleet.runsOf("j")
			must.SliceLen(t, 2, runs)
			leaving := s.fleet.workers[runs[0]]
			leaving.Draining, leaving.Remaining = true, remaining
			s.run(remaining - drainReserve - testBounds.StopMax - 2*testStep)
			must.MapLen(t, 1, leaving.running, must.Sprint("the task works for as long as it can"))
			gap := s.longestGap("j", 2, drainReserve+testBounds.StopMax+2*testStep)
			must.MapEmpty(t, leaving.running)
			s.fleet.removeWorker(leaving.ID)
			must.LessEq(t, time.Second, max(gap, s.longestGap("j", 2, 12*time.Second)))
			s.mustHaveNoViolations()
		})
	}
}

// Guards against runs that are stopped long before a draining worker leaves, because the time that has passed is taken off a remaining time that the worker
// has updated since.
func TestRemainingTimeOfADrainingWorkerIsThatOfItsNewestEntry(t *testing.T) {
	s := newSystem(t, 1, 1, 2)
	s.submit(longJob("j", "batch", 2, 1, wholeWorker))
	s.run(time.Second)
	leaving := s.fleet.workers[s.fleet.runsOf("j")[0]]
	leaving.Draining = true
	for left := 6 * time.Second; left > time.Second; left -= time.Second {
		leaving.Remaining = left
		s.run(time.Second)
		must.MapLen(t, 1, leaving.running, must.Sprint(left-time.Second, " left"))
	}
	leaving.Remaining = time.Second
	s.run(time.Second)
	must.MapEmpty(t, leaving.running)
	s.mustHaveNoViolations()
}
