package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// Plan returns the decision for one scheduling cycle. It does not change the snapshot.
func Plan(snap Snapshot) Decision {
	s := newState(&snap)
	s.buildFootprints()
	waiting := s.admit()
	waiting = s.placeClaims(waiting)
	waiting = s.serveReservation(waiting)
	s.placeBorrowers(waiting)
	s.defragment()
	s.decision.Footprints = s.footprints()
	return s.decision
}

// pending is a waiting job that can run.
type pending struct {
	*Waiting
	team     int32
	excluded []int32
	score    float64
}

// admit refuses the jobs that can never run and returns the others in the order of the queue: by class, score, time of submission and id.
func (s *state) admit() []pending {
	out := make([]pending, 0, len(s.snap.Waiting))
	for i := range s.snap.Waiting {
		w := &s.snap.Waiting[i]
		if reason, refused := s.neverRuns(w); refused {
			s.appendAction(Action{Kind: Refuse, JobID: w.ID, Slot: NoSlot, Reason: reason})
			continue
		}
		p := pending{Waiting: w, team: s.teamIndex[w.Team], score: s.score(w)}
		if len(w.FailedWorkers) > 0 {
			p.excluded = s.workerIndices(w.FailedWorkers)
		}
		out = append(out, p)
	}
	slices.SortFunc(s.decision.Actions, func(a, b Action) int { return cmp.Compare(a.JobID, b.JobID) })
	slices.SortFunc(out, func(a, b pending) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.score, b.score),
			a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func (s *state) appendAction(a Action) { s.decision.Actions = append(s.decision.Actions, a) }

// placeClaims starts the jobs that can claim a guaranteed slot of their team and returns the other jobs.
func (s *state) placeClaims(waiting []pending) []pending {
	rest := waiting[:0]
	for _, p := range waiting {
		if !s.placeClaim(&p) {
			rest = append(rest, p)
		}
	}
	return rest
}

func (s *state) placeClaim(p *pending) bool {
	t := &s.teams[p.team]
	i := t.findSlot(p.Shape)
	if i < 0 || t.slots[i].footprint == nil {
		return false
	}
	if t.overLimit(p.Shape) && !s.preemptWithinTeam(p) {
		return false
	}
	sl := &t.slots[i]
	if sl.matchesExactly(p.Shape) {
		return s.claimWholeSlot(p, sl, i)
	}
	return s.claimPartOfSlot(p, sl, i)
}

// preemptWithinTeam preempts less urgent borrowing gangs of the job's own team, those that lose the least work first, until the job is within the
// accelerator limit of the team. If that cannot be reached, it preempts nothing and returns false.
func (s *state) preemptWithinTeam(p *pending) bool {
	t := &s.teams[p.team]
	missing := t.acceleratorsInUse + p.Shape.Accelerators() - t.AcceleratorLimit
	var own []int32
	for i := range s.gangs {
		if g := &s.gangs[i]; g.team == p.team && g.borrows && !g.removed && g.Class > p.Class && g.Shape.Accelerators() > 0 {
			own = append(own, int32(i))
		}
	}
	slices.SortStableFunc(own, func(a, b int32) int { return cmp.Compare(s.gangs[a].lostWork, s.gangs[b].lostWork) })
	for n, i := range own {
		if missing -= s.gangs[i].Shape.Accelerators(); missing > 0 {
			continue
		}
		for _, victim := range own[:n+1] {
			s.preempt(victim, Reason{Code: ReclaimedBy, OtherJob: p.ID})
		}
		return true
	}
	return false
}

// claimWholeSlot starts a job that fills its slot. It moves the footprint to free resources if possible, else to where preemption loses the least
// work.
func (s *state) claimWholeSlot(p *pending, sl *slot, i int) bool {
	s.addCommitted(sl, -1)
	q := query{shape: sl.shape, excluded: p.excluded, avail: freeUncommitted, uncommittedOnly: true}
	workers, ok := s.fit(&q)
	if ok {
		workers = slices.Clone(workers)
	} else if workers, ok = s.fitByPreempting(&q, p.ID); !ok {
		s.addCommitted(sl, 1)
		return false
	}
	sl.footprint = workers
	s.addCommitted(sl, 1)
	s.start(p, workers, i, Reason{Code: WithinGuarantee})
	return true
}

// claimPartOfSlot starts a job that is smaller than its slot on unused parts of the footprint. If the fragmentation weight exceeds the completion
// weight and the job fits into free resources, the job borrows instead: the slot stays available for a job that fills it, and the workers of its
// footprint are not fragmented.
func (s *state) claimPartOfSlot(p *pending, sl *slot, i int) bool {
	if s.snap.Weights.favourPacking() {
		if _, ok := s.fit(&query{shape: p.Shape, excluded: p.excluded, avail: (*worker).free}); ok {
			return false
		}
	}
	parts := sl.unusedParts()
	parts = slices.DeleteFunc(parts, func(w int32) bool { return slices.Contains(p.excluded, w) })
	if len(parts) < p.Shape.Parts {
		return false
	}
	slices.SortStableFunc(parts, func(a, b int32) int {
		return -compareBool(s.workers[a].free().contains(p.Shape.Part), s.workers[b].free().contains(p.Shape.Part))
	})
	parts = parts[:p.Shape.Parts]
	if !s.partsFit(parts, p.Shape.Part) {
		s.preemptOn(p, parts)
	}
	s.start(p, parts, i, Reason{Code: WithinGuarantee})
	return true
}

// partsFit reports whether each worker has enough free resources for its parts; the list has one entry per part.
func (s *state) partsFit(workers []int32, part Resources) bool {
	for _, w := range workers {
		n := 0
		for _, o := range workers {
			if o == w {
				n++
			}
		}
		if !s.workers[w].free().contains(part.times(n)) {
			return false
		}
	}
	return true
}

func (s *state) keepWaiting(p *pending, r Reason) {
	s.appendAction(Action{Kind: KeepWaiting, JobID: p.ID, Slot: NoSlot, Reason: r})
}

// overLimit reports whether another gang of the shape would exceed the accelerator limit of the team.
func (t *team) overLimit(shape Shape) bool {
	return t.AcceleratorLimit != Unlimited && t.acceleratorsInUse+shape.Accelerators() > t.AcceleratorLimit
}

// start records a placement and allocates its resources.
func (s *state) start(p *pending, workers []int32, slot int, r Reason) {
	run := &Running{Job: p.Job, Slot: slot, Started: s.snap.Now}
	s.gangs = append(s.gangs, gang{victimRank: int32(len(s.gangs)), Running: run, team: p.team, workers: workers,
		borrows: slot == NoSlot, slot: int32(slot)})
	i := int32(len(s.gangs) - 1)
	s.addUsage(i, 1)
	if slot != NoSlot {
		s.teams[p.team].slots[slot].addUsedParts(workers, p.Shape.Part)
	}
	s.appendAction(Action{Kind: Place, JobID: p.ID, Workers: s.workerIDs(workers), Slot: slot, Reason: r})
}

// score orders the jobs of a class, lowest first. To shorten completion times, jobs with the least expected work come first; to reduce
// fragmentation, the largest gangs come first.
func (s *state) score(w *Waiting) float64 {
	units := float64(workUnits(w.Shape))
	left := s.snap.Estimates.Remaining(&w.Job, w.Progress, medianQuantile).Seconds()
	c := s.snap.Weights.completionShare()
	return c*math.Log(max(left, 1)*units) - (1-c)*math.Log(units)
}

// favourPacking reports whether the fragmentation weight exceeds the completion weight.
func (w Weights) favourPacking() bool { return w.Fragmentation > w.Completion }

// completionShare returns the completion weight as a fraction of the sum of both weights, or 1 if the sum is not positive.
func (w Weights) completionShare() float64 {
	if w.Completion+w.Fragmentation <= 0 {
		return 1
	}
	return w.Completion / (w.Completion + w.Fragmentation)
}
