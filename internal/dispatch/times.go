package dispatch

import "time"

// learnWeight is the weight of a new observation in the mean run time.
const learnWeight = 0.2

// runTimes holds the mean run time of whole tasks by queue.
type runTimes map[string]time.Duration

// learn takes a run into account that began from nothing.
func (r runTimes) learn(j *job, step int, took time.Duration, startPercent int) {
	if took <= 0 || startPercent > 50 {
		return
	}
	old, ok := r[j.Queue.Name]
	if !ok {
		r[j.Queue.Name] = took
		return
	}
	r[j.Queue.Name] = old + time.Duration(learnWeight*float64(took-old))
	_ = step
}

// expect returns the expected run time of a task of a step.
func (r runTimes) expect(j *job, step int) time.Duration {
	if t, ok := r[j.Queue.Name]; ok {
		return t
	}
	return j.Steps[step].Estimate
}
