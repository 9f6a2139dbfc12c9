package dispatch

import "samphirewell/internal/batch"

// workerView holds what plans need to know of a worker's runs. It is computed again only after a change of the worker or its runs.
type workerView struct {
	free             batch.Resources
	futureFree       batch.Resources // free plus what the runs that are being stopped will release
	eventuallyFree   batch.Resources // capacity minus what long-running tasks use
	latencySensitive bool
	bestEffortTasks  int
	hasAssigned      bool            // has runs whose start isn't ordered yet
	mayHaveRuns      bool            // a run may exist on it; one that is only assigned does not exist yet
	urgentUse        batch.Resources // of urgent tasks
}

// currentView returns the view of the worker.
func (w *worker) currentView() *workerView {
	if w.view == nil {
		w.view = w.computeView()
	}
	return w.view
}

func (c *Core) invalidateView(worker string) {
	if w := c.workers[worker]; w != nil {
		w.view = nil
	}
}

func (w *worker) computeView() *workerView {
	v := &workerView{}
	var used, ending, lasting batch.Resources
	unknown := false
	for _, a := range w.allocs {
		used = used.Plus(a.need)
		unknown = unknown || a.needUnknown
		if a.task == nil || a.task.phase != assigned {
			v.mayHaveRuns = true
		}
		if a.task == nil || a.task.phase == stopping {
			ending = ending.Plus(a.need)
		}
		if a.task == nil {
			continue
		}
		spec := a.task.group.spec()
		if spec.LongRunning && a.task.phase != stopping {
			lasting = lasting.Plus(a.need)
		}
		if a.task.phase != stopping {
			v.latencySensitive = v.latencySensitive || spec.LatencyTarget > 0
			if spec.BestEffort {
				v.bestEffortTasks++
			}
		}
		v.hasAssigned = v.hasAssigned || a.task.phase == assigned
		if a.task.group.job.Queue.Priority == 0 {
			v.urgentUse = v.urgentUse.Plus(a.need)
		}
	}
	v.free = w.Capacity.Minus(used)
	v.futureFree, v.eventuallyFree = v.free.Plus(ending), w.Capacity.Minus(lasting)
	if unknown {
		v.free = batch.Resources{MilliCores: min(0, v.free.MilliCores), MemoryMB: min(0, v.free.MemoryMB), Accelerators: min(0, v.free.Accelerators)}
	}
	return v
}

// free returns the capacity that new runs may use. There is none beside a run whose need is unknown.
func (w *worker) free() batch.Resources { return w.currentView().free }
