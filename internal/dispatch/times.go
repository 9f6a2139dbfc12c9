package dispatch

import (
	"time"

	"samphirewell/internal/batch"
)

// sampleWeight is the weight of a new sample in the mean run time.
const sampleWeight = 0.2

// maxSampleStartPercent is the progress, in percent, up to which a run may have resumed from a checkpoint and still be a sample. The time of
// a run that resumed later is a poor estimate of the time of a whole task.
const maxSampleStartPercent = 50

// runTimeEstimates holds the mean run time of whole tasks by queue.
type runTimeEstimates map[string]time.Duration

// addSample updates the estimate with a finished run, unless the run resumed above maxSampleStartPercent.
func (r runTimeEstimates) addSample(j *job, took time.Duration, startPercent int) {
	if took <= 0 || startPercent > maxSampleStartPercent {
		return
	}
	old, ok := r[j.Queue.Name]
	if !ok {
		r[j.Queue.Name] = took
		return
	}
	r[j.Queue.Name] = old + time.Duration(sampleWeight*float64(took-old))
}

// expect returns the expected run time of a task of a step.
func (r runTimeEstimates) expect(j *batch.Job, step int) time.Duration {
	if t, ok := r[j.Queue.Name]; ok {
		return t
	}
	return j.Steps[step].Estimate
}
