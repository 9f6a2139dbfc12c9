package dispatch

import (
	"time"

	"samphirewell/internal/batch"
)

// learnWeight is the weight of a new observation in the mean run time.
const learnWeight = 0.2

// halfDone is the progress, in percent, beyond which a run that went on from a checkpoint says little about a whole one.
const halfDone = 50

// runTimes holds the mean run time of whole tasks by queue.
type runTimes map[string]time.Duration

// learn takes a finished run into account, unless it went on from far along.
func (r runTimes) learn(j *job, took time.Duration, startPercent int) {
	if took <= 0 || startPercent > halfDone {
		return
	}
	old, ok := r[j.Queue.Name]
	if !ok {
		r[j.Queue.Name] = took
		return
	}
	r[j.Queue.Name] = old + time.Duration(learnWeight*float64(took-old))
}

// expect returns the expected run time of a task of a step.
func (r runTimes) expect(j *batch.Job, step int) time.Duration {
	if t, ok := r[j.Queue.Name]; ok {
		return t
	}
	return j.Steps[step].Estimate
}
