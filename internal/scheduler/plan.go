package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// Plan decides one cycle. It does not change the snapshot.
func Plan(snap Snapshot) Decision {
	s := newState(&snap)
	s.buildFootprints()
	waiting := s.admit()
	waiting = s.placeClaims(waiting)
	waiting = s.serveReservation(waiting)
	s.placeBorrowers(waiting)
	s.defragment()
	s.out.Holds = s.holds()
	return s.out
}

// pending is a waiting job in the order of the queue.
type pending struct {
	*Waiting
	team  int32
	skip  []int32
	score float64
}

// admit refuses the jobs that can never run and returns the others: urgent first, then by score, time and id.
func (s *state) admit() []pending {
	out := make([]pending, 0, len(s.snap.Waiting))
	for i := range s.snap.Waiting {
		w := &s.snap.Waiting[i]
		if reason, refused := s.neverRuns(w); refused {
			s.act(Action{Kind: Refuse, JobID: w.ID, Slot: NoSlot, Reason: reason})
			continue
		}
		p := pending{Waiting: w, team: s.teamIdx[w.Team], score: s.score(w)}
		if len(w.FailedWorkers) > 0 {
			p.skip = s.indices(w.FailedWorkers)
		}
		out = append(out, p)
	}
	slices.SortFunc(s.out.Actions, func(a, b Action) int { return cmp.Compare(a.JobID, b.JobID) })
	slices.SortFunc(out, func(a, b pending) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.score, b.score),
			a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func (s *state) act(a Action) { s.out.Actions = append(s.out.Actions, a) }

// placeClaims starts the jobs within their team's guarantees and returns the other jobs.
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
	if i < 0 || t.slots[i].foot == nil {
		return false
	}
	if t.overLimit(p.Shape) && !s.freeLimit(p) {
		return false
	}
	sl := &t.slots[i]
	if sl.exact(p.Shape) {
		return s.claimExact(p, sl, i)
	}
	return s.claimInside(p, sl, i)
}

// freeLimit stops less urgent gangs of the claim's own team that borrow, those with the least lost work first, until the team's limit leaves room
// for the claim. It reports false and stops nothing if that is not enough.
func (s *state) freeLimit(p *pending) bool {
	t := &s.teams[p.team]
	missing := t.inUse + p.Shape.Accelerators() - t.AcceleratorLimit
	var own []int32
	for i := range s.gangs {
		if g := &s.gangs[i]; g.team == p.team && g.borrows && !g.gone && g.Class > p.Class && g.Shape.Accelerators() > 0 {
			own = append(own, int32(i))
		}
	}
	slices.SortStableFunc(own, func(a, b int32) int { return cmp.Compare(s.gangs[a].lost, s.gangs[b].lost) })
	for n, i := range own {
		if missing -= s.gangs[i].Shape.Accelerators(); missing > 0 {
			continue
		}
		for _, victim := range own[:n+1] {
			s.preempt(victim, Reason{Code: ReclaimedBy, Other: p.ID})
		}
		return true
	}
	return false
}

// claimExact moves the footprint to free room if there is any, else to the room with the cheapest victims.
func (s *state) claimExact(p *pending, sl *slot, i int) bool {
	s.commit(sl, -1)
	q := query{shape: sl.form, skip: p.skip, avail: claimable, claims: true}
	workers, ok := s.fit(&q)
	if ok {
		workers = slices.Clone(workers)
	} else if workers, ok = s.fitByPreempting(&q, p.ID); !ok {
		s.commit(sl, 1)
		return false
	}
	sl.foot = workers
	s.commit(sl, 1)
	s.start(p, workers, i, Reason{Code: WithinGuarantee})
	return true
}

// claimInside places a job that is smaller than its slot on unused parts of the footprint. If
// fragmentation weighs more than completion, it borrows instead while there is free room: that keeps the slot whole for
// a job that fills it, and the footprint's workers unbroken.
func (s *state) claimInside(p *pending, sl *slot, i int) bool {
	if s.snap.Weights.favourPacking() {
		if _, ok := s.fit(&query{shape: p.Shape, skip: p.skip, avail: (*worker).free}); ok {
			return false
		}
	}
	parts := sl.unusedParts()
	parts = slices.DeleteFunc(parts, func(w int32) bool { return slices.Contains(p.skip, w) })
	if len(parts) < p.Shape.Parts {
		return false
	}
	slices.SortStableFunc(parts, func(a, b int32) int {
		return -compareBool(s.workers[a].free().contains(p.Shape.Part), s.workers[b].free().contains(p.Shape.Part))
	})
	parts = parts[:p.Shape.Parts]
	if !s.roomFor(parts, p.Shape.Part) {
		s.preemptOn(p, parts)
	}
	s.start(p, parts, i, Reason{Code: WithinGuarantee})
	return true
}

// roomFor reports whether each listed worker has free room for its parts.
func (s *state) roomFor(parts []int32, room Resources) bool {
	for _, w := range parts {
		n := 0
		for _, o := range parts {
			if o == w {
				n++
			}
		}
		if !s.workers[w].free().contains(room.times(n)) {
			return false
		}
	}
	return true
}

func (s *state) keep(p *pending, r Reason) {
	s.act(Action{Kind: Keep, JobID: p.ID, Slot: NoSlot, Reason: r})
}

// overLimit reports whether another gang of the shape would exceed the limit of the team.
func (t *team) overLimit(shape Shape) bool {
	return t.AcceleratorLimit != Unlimited && t.inUse+shape.Accelerators() > t.AcceleratorLimit
}

// start records a placement and occupies its room.
func (s *state) start(p *pending, workers []int32, slot int, r Reason) {
	run := &Running{Job: p.Job, Slot: slot, Started: s.snap.Now}
	s.gangs = append(s.gangs, gang{rank: int32(len(s.gangs)), Running: run, team: p.team, workers: workers, borrows: slot == NoSlot, slot: int32(slot)})
	i := int32(len(s.gangs) - 1)
	s.occupy(i, 1)
	if slot != NoSlot {
		s.teams[p.team].slots[slot].take(workers, p.Shape.Part)
	}
	s.act(Action{Kind: Place, JobID: p.ID, Workers: s.names(workers), Slot: slot, Reason: r})
}

// score orders the jobs of a class, smallest first. Short completion times ask for the least expected work first, low
// fragmentation for the largest gang first.
func (s *state) score(w *Waiting) float64 {
	units := float64(workUnits(w.Shape))
	left := s.snap.Estimates.Remaining(&w.Job, w.Progress, medianQuantile).Seconds()
	c := s.snap.Weights.completionShare()
	return c*math.Log(max(left, 1)*units) - (1-c)*math.Log(units)
}

// favourPacking reports whether fragmentation weighs more than completion.
func (w Weights) favourPacking() bool { return w.Fragmentation > w.Completion }

// completionShare returns the weight of completion as a share of both weights.
func (w Weights) completionShare() float64 {
	if w.Completion+w.Fragmentation <= 0 {
		return 1
	}
	return w.Completion / (w.Completion + w.Fragmentation)
}
