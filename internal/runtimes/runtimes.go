// Package runtimes estimates how long tasks run, from the run times that callers declare and from those of earlier tasks of the same queue. It does no I/O
// and reads no clock.
package runtimes

import (
	"math"
	"time"
)

const (
	// minSampleWeight is the least weight of a new sample, so that the estimates follow the last 20 runs or so.
	minSampleWeight = 0.05
	// initialVariance is the assumed variance of the logarithm of run times, and of their ratios to the declared ones, before any sample, and
	// initialSamples the number of samples that it counts for.
	initialVariance = 0.25
	initialSamples  = 4
	// maxDeviation bounds the deviation of a sample in the variances: a few tasks take many times as long as the others of their queue, whatever is declared.
	maxDeviation = 1.0
	// minVariance bounds the trust in either source.
	minVariance = 0.01
)

// Estimates holds the estimates by queue. It isn't safe for concurrent use.
type Estimates struct{ queues map[string]*queue }

// New returns estimates without samples.
func New() *Estimates { return &Estimates{queues: map[string]*queue{}} }

// queue is what the finished tasks of a queue show.
type queue struct {
	samples  int
	mean     time.Duration
	logTime  moments // of the logarithm of the run time in seconds
	logRatio moments // of the logarithm of the ratio of the run time to the declared one
}

// moments are a running mean and variance.
type moments struct {
	samples        int
	mean, variance float64
}

func (m *moments) add(x float64) {
	if m.samples == 0 {
		m.mean, m.variance = x, initialVariance
	}
	m.samples++
	deviation := max(-maxDeviation, min(maxDeviation, x-m.mean))
	m.mean += max(minSampleWeight, 1/float64(m.samples)) * deviation
	m.variance += max(minSampleWeight, 1/float64(m.samples+initialSamples)) * (deviation*deviation - m.variance)
}

// AddSample records the run time of a finished task on the mean worker. declared is the run time that its caller has declared, 0 if none.
func (e *Estimates) AddSample(name string, took, declared time.Duration) {
	if took <= 0 {
		return
	}
	q := e.queues[name]
	if q == nil {
		q = &queue{}
		e.queues[name] = q
	}
	q.samples++
	q.mean += time.Duration(max(minSampleWeight, 1/float64(q.samples)) * float64(took-q.mean))
	q.logTime.add(math.Log(took.Seconds()))
	if declared > 0 {
		q.logRatio.add(math.Log(took.Seconds() / declared.Seconds()))
	}
}

// Mean returns the mean run time of the tasks of a queue and the number of samples; 0 if there is none.
func (e *Estimates) Mean(name string) (mean time.Duration, samples int) {
	if q := e.queues[name]; q != nil {
		return q.mean, q.samples
	}
	return 0, 0
}

// Expect returns the expected run time of a task on the mean worker. It weighs the mean of the queue and the declared run time, corrected by the usual error
// of declared ones, by the inverse of their variances in the logarithm.
func (e *Estimates) Expect(name string, declared time.Duration) time.Duration {
	q := e.queues[name]
	switch {
	case q == nil:
		return declared
	case declared <= 0 || q.logRatio.samples == 0:
		return q.mean
	}
	byQueue, byCaller := max(minVariance, q.logTime.variance), max(minVariance, q.logRatio.variance)
	weight := byQueue / (byQueue + byCaller)
	corrected := math.Log(declared.Seconds()) + q.logRatio.mean
	return time.Duration(math.Exp(weight*corrected+(1-weight)*math.Log(q.mean.Seconds())) * float64(time.Second))
}
