package scheduler

import (
	"math"
	"time"
)

// placeBorrowers places the remaining jobs on free resources: urgent before normal before batch, and within a class the team with the smallest
// weighted dominant share of borrowed resources first.
func (s *state) placeBorrowers(waiting []pending) {
	s.noFitUnreserved, s.noFitFree, s.noFitByYielding = map[Shape]bool{}, map[Shape]bool{}, map[Shape]bool{}
	for len(waiting) > 0 {
		n := 0
		for n < len(waiting) && waiting[n].Class == waiting[0].Class {
			n++
		}
		s.placeClass(waiting[:n])
		waiting = waiting[n:]
	}
}

// placeClass serves the jobs of one class. The jobs are in the order of the queue.
func (s *state) placeClass(jobs []pending) {
	queues := make([][]*pending, len(s.teams))
	for i := range jobs {
		t := jobs[i].team
		queues[t] = append(queues[t], &jobs[i])
	}
	steps := make([]int, len(s.teams))
	for t := range steps {
		steps[t] = s.shareSteps(int32(t))
	}
	for range jobs {
		best := -1
		for t := range queues {
			if len(queues[t]) == 0 {
				continue
			}
			if best < 0 || steps[t] < steps[best] || steps[t] == steps[best] && before(queues[t][0], queues[best][0]) {
				best = t
			}
		}
		s.placeBorrower(queues[best][0])
		queues[best] = queues[best][1:]
		steps[best] = s.shareSteps(int32(best))
	}
}

func before(a, b *pending) bool {
	if a.score != b.score {
		return a.score < b.score
	}
	return older(&a.Job, &b.Job)
}

// shareSteps returns the dominant share of the team's borrowed resources divided by its weight, rounded down to steps of shareStep.
func (s *state) shareSteps(t int32) int {
	team := &s.teams[t]
	share := max(ratio(team.borrowed.Cores, s.totalCapacity.Cores), ratio(team.borrowed.MemoryGB, s.totalCapacity.MemoryGB),
		ratio(team.borrowed.Accelerators, s.totalCapacity.Accelerators))
	if team.Weight <= 0 {
		return math.MaxInt32
	}
	return int(share / team.Weight / shareStep)
}

func ratio(a, b int) float64 { return float64(a) / float64(max(1, b)) }

func (s *state) placeBorrower(p *pending) {
	t := &s.teams[p.team]
	if t.overLimit(p.Shape) {
		s.keepWaiting(p, Reason{Code: OverLimit, Need: t.acceleratorsInUse + p.Shape.Accelerators(), Have: t.AcceleratorLimit})
		return
	}
	workers, reason, ok := s.borrow(p)
	if ok {
		s.start(p, append([]int32(nil), workers...), NoSlot, reason)
		return
	}
	if workers, ok := s.fitByYielding(p); ok {
		s.start(p, workers, NoSlot, Reason{Code: Borrowed})
		return
	}
	s.keepWaiting(p, Reason{Code: InsufficientCapacity})
}

// borrow finds unreserved resources, or reserved ones if the job is estimated to end before the reservation starts (backfill).
func (s *state) borrow(p *pending) ([]int32, Reason, bool) {
	if !s.noFitUnreserved[p.Shape] {
		if workers, ok := s.fit(&query{shape: p.Shape, excluded: p.excluded, avail: (*worker).unreserved}); ok {
			return workers, Reason{Code: Borrowed}, true
		}
		s.noFitUnreserved[p.Shape] = len(p.excluded) == 0
	}
	if s.reservationStart.IsZero() || s.noFitFree[p.Shape] || !s.endsBefore(p, s.reservationStart) {
		return nil, Reason{}, false
	}
	workers, ok := s.fit(&query{shape: p.Shape, excluded: p.excluded, avail: (*worker).free})
	s.noFitFree[p.Shape] = !ok && len(p.excluded) == 0
	return workers, Reason{Code: Backfilled, After: s.reservationStart.Sub(s.snap.Now).Round(time.Second)}, ok
}

// reserveResources reserves the resources of one part on each listed worker. The reservation starts at start.
func (s *state) reserveResources(workers []int32, part Resources, start time.Time) {
	for _, w := range workers {
		s.workers[w].reserved = s.workers[w].reserved.plus(part)
	}
	if s.reservationStart.IsZero() || start.Before(s.reservationStart) {
		s.reservationStart = start
	}
}

// endsBefore reports whether the job, if started now, ends by the given time according to a conservative estimate.
func (s *state) endsBefore(p *pending, at time.Time) bool {
	left := s.snap.Estimates.Remaining(&p.Job, p.Progress, backfillQuantile)
	return !s.snap.Now.Add(time.Duration(float64(left) * backfillMargin)).After(at)
}

// unreserved returns the free resources that are not kept for the reservation.
func (w *worker) unreserved() Resources { return w.free().minus(w.reserved) }
