package dispatch

import (
	"time"

	"samphirewell/internal/batch"
)

// minSampleWeight is the least weight of a new sample in the mean run time, so that the mean follows the last 20 runs or so.
const minSampleWeight = 0.05

// runTimeEstimate is the mean run time of whole tasks on the mean worker.
type runTimeEstimate struct {
	mean    time.Duration
	samples int
}

// runTimeEstimates holds the estimates by queue.
type runTimeEstimates map[string]runTimeEstimate

// addSample updates the estimate of a queue with a finished run.
func (r runTimeEstimates) addSample(queue string, took time.Duration) {
	if took <= 0 {
		return
	}
	e := r[queue]
	e.samples++
	e.mean += time.Duration(max(minSampleWeight, 1/float64(e.samples)) * float64(took-e.mean))
	r[queue] = e
}

// expect returns the expected run time of a task of a step on the mean worker.
func (r runTimeEstimates) expect(j *batch.Job, step int) time.Duration {
	if e, ok := r[j.Queue.Name]; ok {
		return e.mean
	}
	return j.Steps[step].Estimate
}

// isRunTimeSample reports whether a finished run shows how long a whole task takes: it started from the beginning, under this leader, and its workers were
// on the rack that its step prefers.
func (c *Core) isRunTimeSample(t *task) bool {
	return !t.inherited && !t.resumed && c.onPreferredRack(t.group)
}

// onPreferredRack reports whether the workers of a group are on the rack that its step prefers.
func (c *Core) onPreferredRack(g *taskGroup) bool {
	spec, rack := g.spec(), ""
	for _, t := range g.tasks {
		w := c.workers[t.worker]
		switch {
		case w == nil, spec.DataRack != "" && w.Rack != spec.DataRack, spec.SameRack && rack != "" && w.Rack != rack:
			return false
		}
		rack = w.Rack
	}
	return true
}
