package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// victimSet is a set of victims whose preemption or migration releases enough resources for a gang.
type victimSet struct {
	workers       []int32 // candidate workers
	victims       []int32
	lastResort    int     // number of victims that were already preempted MaxPreemptions times
	lostWork      float64 // in accelerator seconds
	leftoverParts int     // number of further parts that fit on the candidate workers
}

func (v *victimSet) better(o *victimSet) bool {
	if v.lastResort != o.lastResort {
		return v.lastResort < o.lastResort
	}
	if v.lostWork != o.lostWork {
		return v.lostWork < o.lostWork
	}
	return v.leftoverParts < o.leftoverParts
}

// fitByPreempting frees uncommitted resources for the query by preempting the borrowing gangs that lose the least work, and returns the workers.
// The cost for each candidate rack (or worker) is O(its gangs x their parts).
func (s *state) fitByPreempting(q *query, forJob string) ([]int32, bool) {
	var best *victimSet
	for _, set := range s.candidateSets(q, (*worker).uncommitted) {
		if v := s.chooseVictims(q, set); v != nil && (best == nil || v.better(best)) {
			best = v
		}
	}
	if best == nil {
		return nil, false
	}
	for _, g := range best.victims {
		s.preempt(g, Reason{Code: ReclaimedBy, OtherJob: forJob})
	}
	out, ok := s.fitOnWorkers(&query{shape: q.shape, excluded: q.excluded, avail: freeUncommitted}, best.workers)
	return slices.Clone(out), ok
}

// freeUncommitted returns the resources that are free and belong to no footprint.
func freeUncommitted(w *worker) Resources { return w.uncommitted().componentMin(w.free()) }

// chooseVictims returns victims on the workers of the set that together release enough resources for the query, or nil. It adds victims in the
// order of victimCandidates until the gang fits, and then removes each one that is not needed, the costliest first.
func (s *state) chooseVictims(q *query, set []int32) *victimSet {
	trial := s.newTrial(q, set)
	defer trial.reset()
	v := &victimSet{workers: set}
	for _, g := range s.victimCandidates(q, set) {
		if q.exempt != nil && q.exempt(&s.gangs[g]) {
			continue
		}
		if trial.total >= q.shape.Parts {
			break
		}
		trial.addFreed(g, 1)
		v.victims = append(v.victims, g)
	}
	if trial.total < q.shape.Parts {
		return nil
	}
	for i := len(v.victims) - 1; i >= 0; i-- {
		trial.addFreed(v.victims[i], -1)
		if trial.total >= q.shape.Parts {
			v.victims = slices.Delete(v.victims, i, i+1)
			continue
		}
		trial.addFreed(v.victims[i], 1)
	}
	for _, g := range v.victims {
		v.lastResort += s.gangs[g].lastResort()
		v.lostWork += s.gangs[g].lostWork
	}
	v.leftoverParts = trial.total - q.shape.Parts
	return v
}

// victimCandidates returns the gangs that may be preempted or, for includeMovable, migrated from the workers, in the order in which they are chosen.
func (s *state) victimCandidates(q *query, set []int32) []int32 {
	out := s.borrowersOn(set)
	if !q.includeMovable {
		return out
	}
	for _, w := range set {
		for _, g := range s.workers[w].guaranteedGangs {
			if s.movableWithFootprint(&s.gangs[g]) && !slices.Contains(out, g) {
				out = append(out, g)
			}
		}
	}
	slices.SortFunc(out, func(a, b int32) int {
		return cmp.Or(cmp.Compare(s.gangs[a].lostWork, s.gangs[b].lostWork), cmp.Compare(s.gangs[a].ID, s.gangs[b].ID))
	})
	return out
}

// borrowersOn returns the borrowing gangs with parts on the workers, in the order of preemption.
func (s *state) borrowersOn(set []int32) []int32 {
	var out []int32
	for _, w := range set {
		for _, g := range s.workers[w].borrowingGangs {
			if gg := &s.gangs[g]; !gg.removed && !gg.visited {
				gg.visited = true
				out = append(out, g)
			}
		}
	}
	for _, g := range out {
		s.gangs[g].visited = false
	}
	slices.SortFunc(out, func(a, b int32) int { return cmp.Compare(s.gangs[a].victimRank, s.gangs[b].victimRank) })
	return out
}

// trial counts how many parts of a query fit on a set of workers while the resources of gangs are tentatively released.
type trial struct {
	s       *state
	q       *query
	workers []int32
	touched []int32 // workers with tentatively released resources, with duplicates
	total   int
}

func (s *state) newTrial(q *query, set []int32) *trial {
	if s.trialFreed == nil {
		s.trialFreed = make([]Resources, len(s.workers))
		s.trialParts = make([]int, len(s.workers))
	}
	t := &trial{s: s, q: q, workers: set}
	for _, w := range set {
		if !slices.Contains(q.excluded, w) {
			n := t.count(w)
			s.trialParts[w] = n + 1
			t.total += n
		}
	}
	return t
}

// count returns the number of parts that fit on the worker.
func (t *trial) count(w int32) int {
	wk := &t.s.workers[w]
	avail := wk.unreserved().plus(t.s.trialFreed[w])
	if t.q.uncommittedOnly {
		avail = avail.componentMin(wk.uncommitted())
	}
	return avail.count(t.q.shape.Part)
}

// addFreed adds (sign 1) or subtracts (sign -1) the resources of a gang to the tentatively released ones.
func (t *trial) addFreed(g int32, sign int) {
	gg := &t.s.gangs[g]
	for _, w := range gg.workers {
		if w < 0 {
			continue
		}
		if sign > 0 {
			t.touched = append(t.touched, w)
		}
		t.s.trialFreed[w] = t.s.trialFreed[w].plus(gg.Shape.Part.times(sign))
		if t.s.trialParts[w] > 0 {
			n := t.count(w)
			t.total += n - (t.s.trialParts[w] - 1)
			t.s.trialParts[w] = n + 1
		}
	}
}

func (t *trial) reset() {
	for _, w := range t.workers {
		t.s.trialParts[w] = 0
	}
	for _, w := range t.touched {
		t.s.trialFreed[w] = Resources{}
	}
}

// preempt records the preemption of a borrowing gang.
func (s *state) preempt(i int32, r Reason) {
	g := &s.gangs[i]
	g.removed = true
	s.addUsage(i, -1)
	r.After = g.CheckpointAge.Round(time.Second)
	s.appendAction(Action{Kind: Preempt, JobID: g.ID, Slot: NoSlot, Reason: r})
}

// preemptOn preempts borrowing gangs on the listed workers until the parts of the job fit; the list has one entry per part.
func (s *state) preemptOn(p *pending, workers []int32) {
	for i, w := range workers {
		if slices.Contains(workers[:i], w) {
			continue
		}
		n := 0
		for _, o := range workers {
			if o == w {
				n++
			}
		}
		need := p.Shape.Part.times(n)
		for _, g := range s.borrowersOn([]int32{w}) {
			if s.workers[w].free().contains(need) {
				break
			}
			s.preempt(g, Reason{Code: ReclaimedBy, OtherJob: p.ID})
		}
	}
}

// candidateSets returns the sets of workers (one worker, one rack or the domain, by adjacency) in whose resources, as given by avail, the gang fits.
func (s *state) candidateSets(q *query, avail func(*worker) Resources) [][]int32 {
	var sets [][]int32
	switch {
	case q.shape.Parts == 1 || q.shape.Adjacency == SameWorker:
		for i := range s.usableWorkers {
			sets = append(sets, s.usableWorkers[i:i+1])
		}
	case q.shape.Adjacency == SameRack:
		for r := range s.racks {
			sets = append(sets, s.racks[r].workers)
		}
	default:
		sets = append(sets, s.usableWorkers)
	}
	return slices.DeleteFunc(sets, func(set []int32) bool {
		n := 0
		for _, w := range set {
			if !slices.Contains(q.excluded, w) {
				n += avail(&s.workers[w]).count(q.shape.Part)
			}
		}
		return n < q.shape.Parts
	})
}
