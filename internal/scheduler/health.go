package scheduler

import (
	"slices"
	"time"
)

// Health distinguishes failing jobs from failing workers by the outcomes of gangs. A job that failed on MaxFailedWorkers distinct workers ends as
// failed. A worker on which MaxFailedJobs distinct jobs failed is quarantined and probed. Failures on quarantined workers do not count against
// jobs, and failures of jobs that ended as failed do not count against workers. If one failure makes both counts reach their limits, the larger
// count decides, and on a tie the worker is quarantined: a probe reverts a wrong quarantine, whereas a job that ended as failed cannot be revived.
// Health is not safe for concurrent use.
type Health struct {
	jobs    map[string][]string // by waiting or running job: distinct workers whose failures count against it
	workers map[string]*workerHealth
}

type workerHealth struct {
	jobs        []string // distinct jobs whose failures count against the worker, oldest first
	quarantined bool
	probeAt     time.Time
	probeDelay  time.Duration
}

// Delays until a quarantined worker is probed. Each failed probe doubles the delay, up to LongestProbeDelay.
const (
	FirstProbeDelay   = time.Minute
	LongestProbeDelay = time.Hour
)

// Verdict is the consequence of a failure.
type Verdict struct {
	JobFailed   bool // the job ends as failed
	Quarantined bool // the worker is quarantined: it gets no work until a probe succeeds
}

// NewHealth returns a Health without recorded outcomes.
func NewHealth() *Health {
	return &Health{jobs: map[string][]string{}, workers: map[string]*workerHealth{}}
}

// Failed records that a part of the job failed on the worker although the worker itself was alive.
func (h *Health) Failed(job, worker string, now time.Time) Verdict {
	w := h.worker(worker)
	if w.quarantined {
		return Verdict{}
	}
	h.jobs[job] = addOnce(h.jobs[job], worker)
	w.jobs = addOnce(w.jobs, job)
	workerCount, jobCount := len(h.jobs[job]), len(w.jobs)
	switch {
	case jobCount >= MaxFailedJobs && (workerCount < MaxFailedWorkers || jobCount >= workerCount):
		h.quarantine(worker, now)
		return Verdict{Quarantined: true}
	case workerCount >= MaxFailedWorkers:
		h.endFailed(job)
		return Verdict{JobFailed: true}
	}
	return Verdict{}
}

// Succeeded records that the job succeeded on the workers. It removes the oldest failure that counts against each of them.
func (h *Health) Succeeded(job string, workers []string) {
	delete(h.jobs, job)
	for i, id := range workers {
		if w := h.workers[id]; w != nil && len(w.jobs) > 0 && !slices.Contains(workers[:i], id) {
			w.jobs = w.jobs[1:]
		}
	}
}

// Forget removes the failures of a job that was cancelled.
func (h *Health) Forget(job string) { delete(h.jobs, job) }

// FailedWorkers returns the distinct workers whose failures count against the job, in the order of the failures.
func (h *Health) FailedWorkers(job string) []string { return slices.Clone(h.jobs[job]) }

// Quarantined reports whether the worker is quarantined.
func (h *Health) Quarantined(worker string) bool {
	w := h.workers[worker]
	return w != nil && w.quarantined
}

// ProbesDue returns the quarantined workers whose probe is due, sorted by id.
func (h *Health) ProbesDue(now time.Time) []string {
	var due []string
	for id, w := range h.workers {
		if w.quarantined && !w.probeAt.After(now) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// Probed records the outcome of a probe. A successful probe ends the quarantine.
func (h *Health) Probed(worker string, ok bool, now time.Time) {
	w := h.worker(worker)
	if ok {
		w.quarantined = false
		return
	}
	w.probeDelay = min(2*w.probeDelay, LongestProbeDelay)
	w.probeAt = now.Add(w.probeDelay)
}

func (h *Health) worker(id string) *workerHealth {
	w := h.workers[id]
	if w == nil {
		w = &workerHealth{}
		h.workers[id] = w
	}
	return w
}

func (h *Health) quarantine(worker string, now time.Time) {
	w := h.workers[worker]
	for _, job := range w.jobs {
		h.jobs[job] = remove(h.jobs[job], worker)
	}
	w.jobs = nil
	w.quarantined = true
	w.probeDelay = FirstProbeDelay
	w.probeAt = now.Add(FirstProbeDelay)
}

func (h *Health) endFailed(job string) {
	for _, id := range h.jobs[job] {
		if w := h.workers[id]; w != nil {
			w.jobs = remove(w.jobs, job)
		}
	}
	delete(h.jobs, job)
}

func addOnce(list []string, id string) []string {
	if slices.Contains(list, id) {
		return list
	}
	return append(list, id)
}

func remove(list []string, id string) []string {
	return slices.DeleteFunc(list, func(s string) bool { return s == id })
}
