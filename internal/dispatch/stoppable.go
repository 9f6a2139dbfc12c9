package dispatch

import (
	"cmp"
	"slices"
)

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
