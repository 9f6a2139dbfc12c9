package scheduler

import (
	"slices"
	"time"
)

// The oldest waiting large job gets a reservation. Other borrowing jobs may use its workers only if they leave its resources free or are estimated
// to end before its start. At the deadline the job starts by preempting borrowing gangs that were submitted after it, so a wrong estimate delays it
// by at most MaxReservationTime. Jobs submitted before it are never preempted for it.
//
// The longest wait of a large job with k large jobs ahead of it is MaxReservationWait, plus (k+1) x MaxReservationTime, plus the run times of the k
// jobs, plus the time during which it cannot be placed because of guaranteed gangs, older gangs or the limit of its team.

// serveReservation starts the large jobs that can start, oldest first, keeps or creates the reservation of the first one that cannot, and returns
// the other jobs.
func (s *state) serveReservation(waiting []pending) []pending {
	rest := slices.Clone(waiting)
	for {
		i := s.oldestLarge(rest)
		if i < 0 {
			return rest
		}
		p := rest[i]
		rest = slices.Delete(rest, i, i+1)
		r := s.reservationOf(&p)
		if workers, ok := s.startNow(&p, r); ok {
			s.start(&p, workers, NoSlot, Reason{Code: ReservationStart})
			continue
		}
		if r == nil {
			s.keepWaiting(&p, Reason{Code: InsufficientCapacity})
			continue
		}
		s.reserve(&p, r)
		return rest
	}
}

// oldestLarge returns the index of the oldest job that may get a reservation and is within the limit of its team, or -1.
func (s *state) oldestLarge(waiting []pending) int {
	best := -1
	for i := range waiting {
		p := &waiting[i]
		if !s.mayReserve(p) || s.teams[p.team].overLimit(p.Shape) {
			continue
		}
		if best < 0 || older(&p.Job, &waiting[best].Job) {
			best = i
		}
	}
	return best
}

func older(a, b *Job) bool {
	if c := a.Submitted.Compare(b.Submitted); c != 0 {
		return c < 0
	}
	return a.ID < b.ID
}

func (s *state) mayReserve(p *pending) bool {
	waited := s.snap.Now.Sub(p.Submitted)
	if waited >= StarvationThreshold {
		return true
	}
	return s.isLargeShape(p.Shape) && waited >= s.reservationWait(p)
}

// reservationWait returns the wait after which a large job may get a reservation.
func (s *state) reservationWait(p *pending) time.Duration {
	run := s.snap.Estimates.Remaining(&p.Job, p.Progress, medianQuantile)
	return time.Duration(s.snap.Weights.completionShare() * float64(min(reservationWaitRuns*run, MaxReservationWait)))
}

// isLargeShape reports whether the shape needs at least 1/LargeDivisor of the largest rack, in accelerators or, if it has none, in cores.
func (s *state) isLargeShape(shape Shape) bool {
	if s.largestRack == (Resources{}) {
		for r := range s.racks {
			var sum Resources
			for _, w := range s.racks[r].workers {
				sum = sum.plus(s.workers[w].total)
			}
			s.largestRack.Cores, s.largestRack.Accelerators = max(s.largestRack.Cores, sum.Cores), max(s.largestRack.Accelerators, sum.Accelerators)
		}
	}
	if a := shape.Accelerators(); a > 0 {
		return a*LargeDivisor >= s.largestRack.Accelerators
	}
	return shape.Parts*shape.Part.Cores*LargeDivisor >= s.largestRack.Cores
}

// reservationOf returns the reservation of the previous cycle if it is for the job and still valid, else a new one, or nil if guaranteed and older
// gangs leave insufficient capacity for the job. A new one never has a later deadline than the job's previous reservation.
func (s *state) reservationOf(p *pending) *Reservation {
	old := s.snap.Reservation
	if old != nil && old.JobID == p.ID {
		workers := s.workerIndices(old.Workers)
		usable := !slices.ContainsFunc(workers, func(w int32) bool { return w < 0 || !s.workers[w].usable })
		if usable && s.canFreeWorkers(p, workers) {
			return old
		}
	}
	r := s.newReservation(p)
	if r != nil && old != nil && old.JobID == p.ID && old.Deadline.Before(r.Deadline) {
		r.Deadline = old.Deadline
		r.Created = old.Created
	}
	return r
}

// reservationQuery returns the query for workers on which the job can start at the deadline of its reservation: gangs of older jobs are not victims.
func reservationQuery(p *pending) *query {
	return &query{shape: p.Shape, excluded: p.excluded, exempt: func(g *gang) bool { return older(&g.Job, &p.Job) }}
}

// canFreeWorkers reports whether the job fits on the workers if all borrowing gangs of younger jobs are preempted.
func (s *state) canFreeWorkers(p *pending, workers []int32) bool {
	set := slices.Clone(workers)
	slices.Sort(set)
	return s.chooseVictims(reservationQuery(p), slices.Compact(set)) != nil
}

// newReservation chooses the rack (or worker, or the domain) in which enough borrowing gangs are estimated to end first.
func (s *state) newReservation(p *pending) *Reservation {
	q := reservationQuery(p)
	var best []int32
	var bestEnd time.Duration
	for _, set := range s.candidateSets(q, func(w *worker) Resources { return w.total.minus(w.used) }) {
		if s.chooseVictims(q, set) == nil {
			continue
		}
		if workers, end, ok := s.earliestFree(q, set); ok && (best == nil || end < bestEnd) {
			best, bestEnd = workers, end
		}
	}
	if best == nil {
		return nil
	}
	return &Reservation{
		JobID: p.ID, Workers: s.workerIDs(best), Created: s.snap.Now, Start: s.snap.Now.Add(bestEnd),
		Deadline: s.snap.Now.Add(min(time.Duration(float64(bestEnd)*backfillMargin), MaxReservationTime)),
	}
}

// earliestFree returns the workers of the set on which the query is estimated to fit first as borrowing gangs end, and the time until then.
func (s *state) earliestFree(q *query, set []int32) ([]int32, time.Duration, bool) {
	gangs := s.borrowersOn(set)
	ends := make(map[int32]time.Duration, len(gangs))
	for _, g := range gangs {
		ends[g] = s.remaining(&s.gangs[g])
	}
	slices.SortStableFunc(gangs, func(a, b int32) int { return int(ends[a]/time.Millisecond - ends[b]/time.Millisecond) })
	trial := s.newTrial(q, set)
	defer trial.reset()
	end := time.Duration(0)
	for _, g := range gangs {
		if trial.total >= q.shape.Parts {
			break
		}
		trial.addFreed(g, 1)
		end = ends[g]
	}
	if trial.total < q.shape.Parts {
		return nil, 0, false
	}
	workers, ok := s.fitOnWorkers(&query{shape: q.shape, excluded: q.excluded, avail: func(w *worker) Resources {
		return w.unreserved().plus(s.trialFreed[s.workerIndex[w.id]])
	}}, set)
	return slices.Clone(workers), end, ok
}

// remaining returns the median estimate of the gang's remaining run time.
func (s *state) remaining(g *gang) time.Duration {
	ran := max(0, s.snap.Now.Sub(g.Started)) + g.Progress
	return s.snap.Estimates.Remaining(&g.Job, ran, medianQuantile)
}

// startNow returns workers with free resources for the job. From the deadline of its reservation on, it preempts gangs on the reserved workers if
// necessary.
func (s *state) startNow(p *pending, r *Reservation) ([]int32, bool) {
	if workers, ok := s.fit(&query{shape: p.Shape, excluded: p.excluded, avail: (*worker).free}); ok {
		return slices.Clone(workers), true
	}
	if r == nil || s.snap.Now.Before(r.Deadline) {
		return nil, false
	}
	set := s.workerIndices(r.Workers)
	slices.Sort(set)
	set = slices.Compact(set)
	q := reservationQuery(p)
	v := s.chooseVictims(q, set)
	if v == nil {
		return nil, false
	}
	for _, g := range v.victims {
		s.preempt(g, Reason{Code: ReservationDue, OtherJob: p.ID})
	}
	workers, ok := s.fitOnWorkers(&query{shape: p.Shape, excluded: p.excluded, avail: (*worker).free}, set)
	return slices.Clone(workers), ok
}

// reserve records the reservation and reserves its resources.
func (s *state) reserve(p *pending, r *Reservation) {
	s.decision.Reservation = r
	start := r.Start
	if r.Deadline.Before(start) {
		start = r.Deadline
	}
	s.reserveResources(s.workerIndices(r.Workers), p.Shape.Part, start)
	s.appendAction(Action{Kind: Reserve, JobID: p.ID, Workers: r.Workers, Slot: NoSlot,
		Reason: Reason{Code: OldestLarge, After: r.Start.Sub(s.snap.Now).Round(time.Second)}})
}
