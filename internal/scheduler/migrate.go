package scheduler

import (
	"slices"
	"time"
)

// migration is a set of gangs whose migration frees resources of a rack for the largest guaranteed shape.
type migration struct {
	vacated    []int32 // workers of the rack that have resources for parts of the shape once the gangs have left
	gangs      []int32
	placements [][]int32 // new workers of each gang
	gain       float64   // in accelerator seconds
}

// defragment migrates gangs out of one rack if the gain outweighs the lost work. The gain is the number of free accelerators that become usable for
// the largest guaranteed shape. It starts one such migration per migrateInterval. The cost is O(racks x gangs of a rack x workers).
func (s *state) defragment() {
	weight := 1 - s.snap.Weights.completionShare()
	target, ok := s.largestGuaranteedShape()
	if weight == 0 || !ok || s.snap.Now.Sub(s.snap.LastMigration) < migrateInterval || s.preempted() {
		return
	}
	var best *migration
	for r := range s.racks {
		if s.racks[r].freeAccelerators == 0 || !s.canFitShape(r, target) {
			continue
		}
		if m := s.bestMigration(r, target, weight); m != nil && (best == nil || m.gain > best.gain) {
			best = m
		}
	}
	if best != nil {
		s.migrate(best, target)
	}
}

// preempted reports whether this plan preempts gangs. If so, no gang is migrated, because the resources may still be in use.
func (s *state) preempted() bool {
	return slices.ContainsFunc(s.decision.Actions, func(a Action) bool { return a.Kind == Preempt })
}

// largestGuaranteedShape returns the guaranteed shape with the most accelerators. It returns false if no guarantee has accelerators or if the parts
// of the shape may be anywhere in the failure domain.
func (s *state) largestGuaranteedShape() (Shape, bool) {
	var best Shape
	for t := range s.teams {
		for i := range s.teams[t].slots {
			if f := s.teams[t].slots[i].shape; f.Accelerators() > best.Accelerators() {
				best = f
			}
		}
	}
	return best, best.Accelerators() > 0 && best.Adjacency != SameDomain
}

// freeForShape returns the number of free accelerators of the rack that parts of the shape can use, or 0 if the whole gang does not fit.
func (s *state) freeForShape(r int, target Shape) int {
	parts := 0
	for _, w := range s.racks[r].workers {
		parts += s.workers[w].free().count(target.Part)
	}
	if parts < target.Parts {
		return 0
	}
	return parts * target.Part.Accelerators
}

// canFitShape reports whether the shape would fit into the rack if all borrowing gangs left it.
func (s *state) canFitShape(r int, target Shape) bool {
	parts := 0
	for _, w := range s.racks[r].workers {
		parts += s.workers[w].total.minus(s.workers[w].used).count(target.Part)
	}
	return parts >= target.Parts
}

// freeForShapeInAllRacks returns the sum of freeForShape over all racks.
func (s *state) freeForShapeInAllRacks(target Shape) int {
	sum := 0
	for r := range s.racks {
		sum += s.freeForShape(r, target)
	}
	return sum
}

// bestMigration returns the migration out of the rack with the highest gain, or nil if no gain exceeds its cost. It tries to make the rack hold
// one and then two more parts of the shape than now, but at least the whole shape.
func (s *state) bestMigration(r int, target Shape, weight float64) *migration {
	var best *migration
	current := s.freeForShape(r, target) / target.Part.Accelerators
	for parts := max(target.Parts, current+1); parts <= max(target.Parts, current+2); parts++ {
		enlarged := target
		enlarged.Parts = parts
		v := s.chooseVictims(&query{shape: enlarged, exempt: s.pinned, includeMovable: true}, s.racks[r].workers)
		if v == nil || len(v.victims) == 0 {
			continue
		}
		if m := s.evaluateMigration(s.vacatedWorkers(r, v.victims, target), v.victims, target, weight); m != nil && (best == nil || m.gain > best.gain) {
			best = m
		}
	}
	return best
}

// vacatedWorkers returns the workers of the rack on which parts of the shape fit once the gangs have left.
func (s *state) vacatedWorkers(r int, gangs []int32, target Shape) []int32 {
	var out []int32
	for _, w := range s.racks[r].workers {
		avail := s.workers[w].unreserved()
		for _, g := range gangs {
			for _, o := range s.gangs[g].workers {
				if o == w {
					avail = avail.plus(s.gangs[g].Shape.Part)
				}
			}
		}
		if avail.count(target.Part) > 0 {
			out = append(out, w)
		}
	}
	return out
}

// pinned reports whether the gang must not be migrated: it started in this plan, or it would lose more run time than migrateHorizon.
func (s *state) pinned(g *gang) bool {
	return !g.Started.Before(s.snap.Now) || g.CheckpointAge > migrateHorizon
}

// movableWithFootprint reports whether a guaranteed gang is the only one in its slot and fills it, so that the footprint can move with the gang.
func (s *state) movableWithFootprint(g *gang) bool {
	if g.borrows || g.removed || g.team < 0 {
		return false
	}
	sl := &s.teams[g.team].slots[g.slot]
	return sl.footprint != nil && len(sl.usedParts) == sl.shape.Parts && g.Shape.Parts == sl.shape.Parts && g.Shape.Part == sl.shape.Part
}

// evaluateMigration places the gangs elsewhere tentatively and returns the migration if its gain outweighs its cost, else nil.
func (s *state) evaluateMigration(vacated, gangs []int32, target Shape, weight float64) *migration {
	before := s.freeForShapeInAllRacks(target)
	m := &migration{vacated: vacated, gangs: gangs}
	cost, gainTime, allPlaced := 0.0, migrateHorizon, true
	var undo []func()
	for _, g := range gangs {
		gg := &s.gangs[g]
		workers, restore := s.relocate(g, vacated)
		undo = append(undo, restore)
		if allPlaced = workers != nil; !allPlaced {
			break
		}
		m.placements = append(m.placements, workers)
		cost += gg.lostWork + migrateOverhead.Seconds()*float64(workUnits(gg.Shape))
		gainTime = min(gainTime, s.remaining(gg))
	}
	after := s.freeForShapeInAllRacks(target)
	for _, restore := range slices.Backward(undo) {
		restore()
	}
	m.gain = weight*float64(after-before)*gainTime.Seconds() - (1-weight)*cost
	if !allPlaced || after <= before || m.gain <= 0 {
		return nil
	}
	return m
}

// relocate moves a gang, and its footprint if it is guaranteed, to workers other than the vacated ones. It returns the new workers, or nil if the
// gang does not fit anywhere else, and a function that reverts the change.
func (s *state) relocate(i int32, vacated []int32) ([]int32, func()) {
	g := &s.gangs[i]
	avail, shape := (*worker).unreserved, g.Shape
	var sl *slot
	if !g.borrows {
		sl = &s.teams[g.team].slots[g.slot]
		avail, shape = freeUncommitted, sl.shape
		s.addCommitted(sl, -1)
	}
	s.addUsage(i, -1)
	workers, ok := s.fit(&query{shape: shape, avail: avail, excluded: vacated})
	workers = slices.Clone(workers)
	if !ok {
		workers = nil
	}
	s.addPlacement(g, sl, workers, 1)
	return workers, func() {
		s.addPlacement(g, sl, workers, -1)
		s.restoreUsage(i)
		if sl != nil {
			s.addCommitted(sl, 1)
		}
	}
}

// addPlacement adds (sign 1) or subtracts (sign -1) the resources of a gang, and of its slot if it has one, on workers that are not listed in the
// gang.
func (s *state) addPlacement(g *gang, sl *slot, workers []int32, sign int) {
	for _, w := range workers {
		wk := &s.workers[w]
		part := g.Shape.Part.times(sign)
		if sl != nil {
			wk.used = wk.used.plus(part)
			wk.committed = wk.committed.plus(sl.shape.Part.times(sign))
		} else {
			wk.borrowed = wk.borrowed.plus(part)
		}
		s.racks[wk.rack].freeAccelerators -= part.Accelerators
	}
}

// restoreUsage reverts addUsage with sign -1.
func (s *state) restoreUsage(i int32) {
	g := &s.gangs[i]
	s.addUsage(i, 1)
	for _, w := range g.workers { // addUsage added the gang to the list of the worker a second time
		if w < 0 {
			continue
		}
		if wk := &s.workers[w]; g.borrows {
			wk.borrowingGangs = wk.borrowingGangs[:len(wk.borrowingGangs)-1]
		} else {
			wk.guaranteedGangs = wk.guaranteedGangs[:len(wk.guaranteedGangs)-1]
		}
	}
}

// migrate records the migration of the gangs, in the order in which evaluateMigration placed them.
func (s *state) migrate(m *migration, target Shape) {
	for i, g := range m.gangs {
		gg := &s.gangs[g]
		workers, _ := s.relocate(g, m.vacated)
		gg.removed = true
		slotIndex := NoSlot
		if !gg.borrows {
			sl := &s.teams[gg.team].slots[gg.slot]
			sl.footprint, sl.usedParts = workers, nil
			sl.addUsedParts(workers, gg.Shape.Part)
			slotIndex = int(gg.slot)
		}
		s.appendAction(Action{Kind: Migrate, JobID: gg.ID, Workers: s.workerIDs(m.placements[i]), Slot: slotIndex,
			Reason: Reason{Code: Defragment, Have: target.Accelerators(), After: gg.CheckpointAge.Round(time.Second)}})
	}
}
