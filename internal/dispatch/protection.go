package dispatch

import (
	"cmp"
	"slices"
)

// protection bounds the accelerators that long-running tasks hold which may not be stopped, because their step bounds how many of its tasks may be
// unavailable. What teams are guaranteed has to be free, or to be freed by stopping runs, at any time.
type protection struct {
	room  int // accelerators that such tasks may still take
	spare int // accelerators that may be taken in any case, since less than half of all are in use; work has to run then
}

// addStoppable selects the tasks of a step that may be stopped for more urgent work: as many as may be unavailable beyond those that are, for any cause. They are
// chosen worker by worker, so that they make way for tasks that need much of a worker.
func (in *planInput) addStoppable(s *stepState) {
	spec := s.groups[0].spec()
	if spec.MaxUnavailable == 0 {
		return
	}
	left := spec.MaxUnavailable - s.unavailable()
	if left <= 0 {
		return
	}
	onWorker := map[string]int{}
	var atWork []*taskGroup
	for _, g := range s.groups {
		if !g.gang && g.allInPhase(running) {
			atWork = append(atWork, g)
			onWorker[g.tasks[0].worker]++
		}
	}
	slices.SortStableFunc(atWork, func(a, b *taskGroup) int {
		x, y := a.tasks[0].worker, b.tasks[0].worker
		return cmp.Or(-cmp.Compare(onWorker[x], onWorker[y]), cmp.Compare(x, y))
	})
	for _, g := range atWork[:min(left, len(atWork))] {
		in.stoppable[g] = true
	}
}

// isProtected reports whether the tasks of a group may not be stopped without limit for a more urgent request.
func (g *taskGroup) isProtected() bool {
	return g.spec().LongRunning && g.spec().MaxUnavailable > 0 && g.spec().Need.Accelerators > 0
}

// protect computes the protection of a cycle.
func (c *Core) protect(in *planInput, guaranteed map[*job]bool) {
	total, used := 0, 0
	for i := range in.Workers {
		if w := &in.Workers[i]; w.Usable || w.Suspected {
			total += w.Capacity.Accelerators
			used += w.Capacity.Accelerators - w.Free.Accelerators
		}
	}
	in.protection.spare = (total+1)/2 - used
	in.protection.room = total
	for _, t := range c.policy.Teams {
		in.protection.room -= t.GuaranteedAccelerators
	}
	for _, j := range c.liveJobs {
		if guaranteed[j] || j.ending() || c.serviceOf(j) != in.service {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.active > 0 && s.groups[0].isProtected() {
					in.protection.room -= s.protectedAccelerators()
				}
			}
		}
	}
}

// protectedAccelerators returns the accelerators of the running tasks of a step that may not be stopped now.
func (s *stepState) protectedAccelerators() int {
	spec := s.groups[0].spec()
	return max(0, s.active-max(0, spec.MaxUnavailable-s.waiting)) * spec.Need.Accelerators
}

// heldTasks returns how many of the tasks of a request may not start now, because they couldn't be stopped when a team claims its guarantee.
func (in *planInput) heldTasks(g *taskGroup, count int, withinGuarantee bool) int {
	if withinGuarantee || !g.isProtected() {
		return 0
	}
	spec, p := g.spec(), &in.protection
	each := spec.Need.Accelerators
	room := p.room + g.state.protectedAccelerators() // for all tasks of the step
	allowed := count
	if (spec.Tasks-spec.MaxUnavailable)*each > room {
		allowed = min(count, max(room/each-g.state.active, p.spare/each, 0))
	}
	if g.gang && allowed < count {
		allowed = 0
	}
	p.room -= allowed * each
	p.spare -= allowed * each
	return count - allowed
}
