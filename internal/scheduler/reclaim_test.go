package scheduler

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// fitsByBruteForce reports whether all shapes can be placed together, by trying every placement.
func fitsByBruteForce(racks []string, free []Resources, shapes []Shape) bool {
	if len(shapes) == 0 {
		return true
	}
	sh := shapes[0]
	var place func(part, from, first int) bool
	place = func(part, from, first int) bool {
		if part == sh.Parts {
			return fitsByBruteForce(racks, free, shapes[1:])
		}
		for w := from; w < len(free); w++ {
			if first >= 0 && (sh.Adjacency == SameWorker && w != first || sh.Adjacency == SameRack && racks[w] != racks[first]) {
				continue
			}
			if !free[w].contains(sh.Part) {
				continue
			}
			free[w] = free[w].minus(sh.Part)
			start := first
			if start < 0 {
				start = w
			}
			ok := place(part+1, w, start)
			free[w] = free[w].plus(sh.Part)
			if ok {
				return true
			}
		}
		return false
	}
	return place(0, 0, -1)
}

// reclaimable reports whether the unused slots that are not reported as lost fit next to the guaranteed gangs.
func (c *cluster) reclaimable(lost []LostGuarantee) bool {
	var racks []string
	var free []Resources
	index := map[string]int{}
	for _, w := range c.snap.Workers {
		if w.Usable {
			index[w.ID] = len(free)
			racks, free = append(racks, w.Rack), append(free, w.Capacity)
		}
	}
	used := map[string][]int{}
	for _, r := range c.snap.Running {
		if r.Slot == NoSlot {
			continue
		}
		used[r.Team] = append(used[r.Team], r.Slot)
		for _, id := range r.Workers {
			free[index[id]] = free[index[id]].minus(r.Shape.Part)
		}
	}
	var shapes []Shape
	for i := range c.snap.Teams {
		team := &c.snap.Teams[i]
		for n, sl := range newSlots(team) {
			isLost := slices.ContainsFunc(lost, func(l LostGuarantee) bool { return l.Team == team.ID && l.Slot == n })
			if !isLost && !slices.Contains(used[team.ID], n) {
				shapes = append(shapes, sl.shape)
			}
		}
	}
	return fitsByBruteForce(racks, free, shapes)
}

// Guards against a reclaim check that reports a guarantee as placeable when it is not, against jobs within a guarantee that do not start
// immediately, and against decisions that depend on the order of the input.
func TestGuaranteesStayReclaimable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCluster(t)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "submissions") {
				c.submit(t)
			}
			if rapid.Bool().Draw(t, "end") {
				c.endGang(t)
			}
			if rapid.IntRange(0, 5).Draw(t, "flip") == 0 {
				c.toggleWorker(t)
			}
			c.corruptFootprints(t)
			other := c.shuffled(rapid.Uint64().Draw(t, "seed"))
			d := c.step(t)
			must.Eq(t, d, Plan(other), must.Sprint("the decision depends on the order of the input"))
			must.True(t, c.reclaimable(d.LostGuarantees), must.Sprint("a guarantee that is not reported as lost cannot be reclaimed"))
			checkClaims(t, c, d)
		}
	})
}

// corruptFootprints removes the footprints, as when another host takes over, or moves them to another worker, as after a change of the lists.
func (c *cluster) corruptFootprints(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "holds") {
	case 0:
		c.snap.Footprints = nil
	case 1:
		for i := range c.snap.Footprints {
			for j := range c.snap.Footprints[i].Workers {
				c.snap.Footprints[i].Workers[j] = c.snap.Workers[0].ID
			}
		}
	}
}

// checkClaims fails the test if a job still waits although it fills an unused slot that has a footprint.
func checkClaims(t must.T, c *cluster, d Decision) {
	unusedSlots := map[string][]Shape{}
	for i := range c.snap.Teams {
		team := &c.snap.Teams[i]
		for n, sl := range newSlots(team) {
			used := slices.ContainsFunc(c.snap.Running, func(r Running) bool { return r.Team == team.ID && r.Slot == n })
			hasFootprint := slices.ContainsFunc(d.Footprints, func(h Footprint) bool { return h.Team == team.ID && h.Slot == n })
			if !used && hasFootprint {
				unusedSlots[team.ID] = append(unusedSlots[team.ID], sl.shape)
			}
		}
	}
	for _, w := range c.snap.Waiting {
		if slices.ContainsFunc(d.Actions, func(a Action) bool { return a.JobID == w.ID && a.Kind == Preempt }) {
			continue
		}
		if slices.ContainsFunc(d.Actions, func(a Action) bool { return a.JobID == w.ID && a.Reason.Code == OverLimit }) {
			continue
		}
		must.False(t, slices.Contains(unusedSlots[w.Team], w.Shape), must.Sprintf("claim %s was not started", w.ID))
	}
}
