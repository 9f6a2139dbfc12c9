package scheduler

import (
	"cmp"
	"slices"
)

// slot is the guarantee for one gang of a team. Its footprint names workers for the whole shape and satisfies the adjacency. All footprints fit on
// the usable workers together, which proves that every slot with a footprint can be claimed by preempting borrowing gangs only. Gangs that use the
// slot run inside its footprint, so the whole slot can be claimed again once they end.
type slot struct {
	shape     Shape
	footprint []int32    // worker of each part; nil if there are not enough resources for the slot
	usedParts []usedPart // parts that running gangs use
}

// usedPart is one part of a guaranteed gang, which uses one part of its slot.
type usedPart struct {
	worker    int32 // -1 if the worker is not in the snapshot
	resources Resources
}

func newSlots(t *Team) []slot {
	var out []slot
	for _, g := range t.Guarantees {
		for range g.Count {
			if g.Shape.valid() {
				out = append(out, slot{shape: g.Shape})
			}
		}
	}
	return out
}

// unusedCount returns the number of parts of the slot that no gang uses.
func (sl *slot) unusedCount() int { return sl.shape.Parts - len(sl.usedParts) }

// covers reports whether a gang of the shape fits into the unused parts of the slot.
func (sl *slot) covers(shape Shape) bool {
	return shape.Parts <= sl.unusedCount() && sl.shape.Part.contains(shape.Part) &&
		(shape.Parts == 1 || sl.shape.Adjacency <= shape.Adjacency)
}

// matchesExactly reports whether the slot is unused and a gang of the shape fills it completely.
func (sl *slot) matchesExactly(shape Shape) bool {
	return len(sl.usedParts) == 0 && shape.Parts == sl.shape.Parts && shape.Part == sl.shape.Part
}

func (sl *slot) addUsedParts(workers []int32, part Resources) {
	for _, w := range workers {
		sl.usedParts = append(sl.usedParts, usedPart{w, part})
	}
}

// unusedParts returns the worker of each part of the footprint that no gang uses.
func (sl *slot) unusedParts() []int32 {
	out := slices.Clone(sl.footprint)
	for _, t := range sl.usedParts {
		if i := slices.Index(out, t.worker); i >= 0 {
			out = slices.Delete(out, i, i+1)
		}
	}
	return out
}

// findSlot returns the index of the slot for a gang of the shape, or -1 if no slot covers it. It prefers slots with a footprint, then a slot that
// the gang fills completely, then the smallest slot.
func (t *team) findSlot(shape Shape) int {
	best := -1
	for i := range t.slots {
		sl := &t.slots[i]
		if !sl.covers(shape) {
			continue
		}
		if best < 0 || compareSlots(sl, &t.slots[best], shape) < 0 {
			best = i
		}
	}
	return best
}

func compareSlots(a, b *slot, shape Shape) int {
	return cmp.Or(
		-compareBool(a.footprint != nil, b.footprint != nil),
		-compareBool(a.matchesExactly(shape), b.matchesExactly(shape)),
		cmp.Compare(a.shape.Part.Accelerators, b.shape.Part.Accelerators),
		cmp.Compare(a.shape.Part.Cores, b.shape.Part.Cores),
		cmp.Compare(a.unusedCount(), b.unusedCount()),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
