package scheduler

import (
	"cmp"
	"slices"
)

// The reclaim check maintains a footprint for each guaranteed slot; see slot. It never reports that a guarantee can be met when it cannot, because
// the footprints prove it. It packs greedily, so it may not find a packing that exists. Starting a job on the existing footprint costs O(parts).
// Moving a footprint costs O(workers of the candidate racks) plus O(racks) per displaced footprint. Rebuilding all S footprints costs
// O(S x workers).

// slotRef identifies a slot by the indices of its team and of the slot in the team.
type slotRef struct{ team, slot int32 }

func (s *state) slotAt(r slotRef) *slot { return &s.teams[r.team].slots[r.slot] }

// addCommitted adds (sign 1) or subtracts (sign -1) the resources of the slot's footprint or, if it has none, of its gangs.
func (s *state) addCommitted(sl *slot, sign int) {
	if sl.footprint != nil {
		for _, w := range sl.footprint {
			s.workers[w].committed = s.workers[w].committed.plus(sl.shape.Part.times(sign))
		}
		return
	}
	for _, t := range sl.usedParts {
		if t.worker >= 0 {
			s.workers[t.worker].committed = s.workers[t.worker].committed.plus(t.resources.times(sign))
		}
	}
}

// setFootprint replaces the footprint of a slot; nil removes it.
func (s *state) setFootprint(sl *slot, footprint []int32) {
	s.addCommitted(sl, -1)
	sl.footprint = footprint
	s.addCommitted(sl, 1)
}

// trySetFootprint sets the footprint if it is valid and fits next to the other footprints. It reports whether it did.
func (s *state) trySetFootprint(sl *slot, footprint []int32) bool {
	if !s.validFootprint(sl, footprint) {
		return false
	}
	old := sl.footprint
	s.setFootprint(sl, footprint)
	for _, w := range footprint {
		if wk := &s.workers[w]; !wk.total.contains(wk.committed) {
			s.setFootprint(sl, old)
			return false
		}
	}
	return true
}

// validFootprint reports whether all workers of the footprint are usable, it satisfies the adjacency of the slot, and it contains the slot's gangs.
func (s *state) validFootprint(sl *slot, footprint []int32) bool {
	if len(footprint) != sl.shape.Parts {
		return false
	}
	for _, w := range footprint {
		if w < 0 || !s.workers[w].usable || !s.adjacent(sl.shape.Adjacency, footprint[0], w) {
			return false
		}
	}
	rest := slices.Clone(footprint)
	for _, t := range sl.usedParts {
		i := slices.Index(rest, t.worker)
		if i < 0 {
			return false
		}
		rest = slices.Delete(rest, i, i+1)
	}
	return true
}

func (s *state) adjacent(adj Adjacency, a, b int32) bool {
	switch adj {
	case SameWorker:
		return a == b
	case SameRack:
		return s.workers[a].rack == s.workers[b].rack
	}
	return true
}

// buildFootprints keeps the footprints of the previous cycle that are still valid and finds new ones for the other slots. If a slot remains
// without a footprint, all slots that are not in use are packed again, large shapes first. If that fails too, they are packed by team, larger
// weight first and then by id, and the last teams lose guarantees. Slots in use always come first, because guaranteed gangs are not preempted.
func (s *state) buildFootprints() {
	refs := s.slotRefs()
	for _, r := range refs {
		s.addCommitted(s.slotAt(r), 1)
	}
	s.restoreFootprints()
	s.buildUsedFootprints(refs)
	if s.packSlots(refs) {
		return
	}
	s.dropUnusedFootprints(refs)
	if s.packSlots(refs) {
		return
	}
	s.dropUnusedFootprints(refs)
	s.sortByTeam(refs)
	s.packSlots(refs)
	s.reportLost(refs)
}

// slotRefs returns all slots, large shapes first.
func (s *state) slotRefs() []slotRef {
	var refs []slotRef
	for t := range s.teams {
		for i := range s.teams[t].slots {
			refs = append(refs, slotRef{int32(t), int32(i)})
		}
	}
	slices.SortStableFunc(refs, func(a, b slotRef) int {
		x, y := s.slotAt(a).shape, s.slotAt(b).shape
		return cmp.Or(
			-cmp.Compare(x.Accelerators(), y.Accelerators()),
			-cmp.Compare(x.Parts*x.Part.Cores, y.Parts*y.Part.Cores),
			cmp.Compare(x.Adjacency, y.Adjacency),
		)
	})
	return refs
}

func (s *state) sortByTeam(refs []slotRef) {
	slices.SortStableFunc(refs, func(a, b slotRef) int {
		x, y := s.teams[a.team], s.teams[b.team]
		return cmp.Or(-cmp.Compare(x.Weight, y.Weight), cmp.Compare(x.ID, y.ID))
	})
}

// restoreFootprints sets the footprints of the previous cycle, first those of slots in use.
func (s *state) restoreFootprints() {
	for _, inUse := range []bool{true, false} {
		for i := range s.snap.Footprints {
			h := &s.snap.Footprints[i]
			t, ok := s.teamIndex[h.Team]
			if !ok || h.Slot < 0 || h.Slot >= len(s.teams[t].slots) {
				continue
			}
			sl := &s.teams[t].slots[h.Slot]
			if (len(sl.usedParts) > 0) == inUse && sl.footprint == nil {
				s.trySetFootprint(sl, s.workerIndices(h.Workers))
			}
		}
	}
}

// buildUsedFootprints gives each slot that is in use but has no footprint one that contains its gangs.
func (s *state) buildUsedFootprints(refs []slotRef) {
	for _, r := range refs {
		sl := s.slotAt(r)
		if sl.footprint != nil || len(sl.usedParts) == 0 {
			continue
		}
		var footprint []int32
		for _, t := range sl.usedParts {
			footprint = append(footprint, t.worker)
		}
		if len(footprint) < sl.shape.Parts {
			footprint = s.extendFootprint(sl, footprint)
		}
		s.trySetFootprint(sl, footprint)
	}
}

// extendFootprint adds workers, adjacent to the first one, until the footprint has a worker for each part of the slot or no more fit.
func (s *state) extendFootprint(sl *slot, footprint []int32) []int32 {
	if footprint[0] < 0 {
		return footprint
	}
	near := s.usableWorkers
	switch sl.shape.Adjacency {
	case SameWorker:
		near = footprint[:1]
	case SameRack:
		near = s.racks[s.workers[footprint[0]].rack].workers
	}
	for _, w := range slices.Clone(near) {
		for n := s.workers[w].uncommitted().count(sl.shape.Part); n > 0 && len(footprint) < sl.shape.Parts; n-- {
			footprint = append(footprint, w)
		}
	}
	return footprint
}

// packSlots finds a footprint for each slot that has none and is not in use. It reports whether all slots have one.
func (s *state) packSlots(refs []slotRef) bool {
	complete := true
	for _, r := range refs {
		sl := s.slotAt(r)
		if sl.footprint == nil {
			complete = len(sl.usedParts) == 0 && s.packSlot(sl) && complete
		}
	}
	return complete
}

// packSlot finds a footprint for a slot that is not in use and reports whether there is one.
func (s *state) packSlot(sl *slot) bool {
	footprint, ok := s.fit(&query{shape: sl.shape, avail: (*worker).uncommitted})
	if ok {
		s.setFootprint(sl, slices.Clone(footprint))
	}
	return ok
}

func (s *state) dropUnusedFootprints(refs []slotRef) {
	for _, r := range refs {
		if sl := s.slotAt(r); len(sl.usedParts) == 0 {
			s.setFootprint(sl, nil)
		}
	}
}

func (s *state) reportLost(refs []slotRef) {
	code := PlansExceedCapacity
	if len(s.usableWorkers) < len(s.workers) {
		code = WorkersMissing
	}
	for _, r := range refs {
		if s.slotAt(r).footprint == nil {
			s.decision.LostGuarantees = append(s.decision.LostGuarantees, LostGuarantee{s.teams[r.team].ID, int(r.slot), Reason{Code: code}})
		}
	}
}

// footprints returns all footprints, for the next cycle.
func (s *state) footprints() []Footprint {
	var out []Footprint
	for t := range s.teams {
		for i := range s.teams[t].slots {
			if footprint := s.teams[t].slots[i].footprint; footprint != nil {
				out = append(out, Footprint{s.teams[t].ID, i, s.workerIDs(footprint)})
			}
		}
	}
	return out
}

func (s *state) workerIDs(workers []int32) []string {
	out := make([]string, len(workers))
	for i, w := range workers {
		out[i] = s.workers[w].id
	}
	return out
}

func (s *state) workerIndices(ids []string) []int32 {
	out := make([]int32, len(ids))
	for i, id := range ids {
		w, ok := s.workerIndex[id]
		if !ok {
			w = -1
		}
		out[i] = w
	}
	return out
}
