package lease

import (
	"time"

	"samphirewell/internal/api"
)

// task is a lease with the simulated run of its part.
type task struct {
	req     api.ReserveRequest
	order   uint64 // position in the reports
	state   api.LeaseResultState
	expires time.Time // end of the reservation or lease

	accelerators []int         // ids of the accelerators, held while the lease is active
	asOf         time.Time     // time at which completed and rate were set
	completed    time.Duration // run time that was completed at asOf
	rate         float64       // run time completed per unit of time; 0 while paused
	throttled    bool
	failAt       time.Duration // run time at which the task fails; negative if it does not fail
	runIndex     int           // index in StateMachine.history; valid once the task has started

	savedProgress   time.Duration // run time that the newest checkpoint covers
	checkpointCount int
	checkpointEvery time.Duration
	started, ended  time.Time
}

func (t *task) active() bool {
	return t.state == api.LeaseResultStateReserved || t.state == api.LeaseResultStateRunning
}

// runLength returns the run time after which the task finishes or fails.
func (t *task) runLength() time.Duration {
	if t.failAt >= 0 {
		return min(t.failAt, milliseconds(t.req.RunMS))
	}
	return milliseconds(t.req.RunMS)
}

// progress returns the run time that is completed at the given time.
func (t *task) progress(at time.Time) time.Duration {
	completed := t.completed + time.Duration(float64(at.Sub(t.asOf))*t.rate)
	return max(t.completed, min(completed, t.runLength()))
}

// endsAt returns the time at which the task finishes or fails; ok is false while it makes no progress.
func (t *task) endsAt() (at time.Time, ok bool) {
	if t.state != api.LeaseResultStateRunning || t.rate <= 0 {
		return time.Time{}, false
	}
	return t.asOf.Add(time.Duration(float64(t.runLength()-t.completed) / t.rate)), true
}

// unpausedRate returns the rate of the task while the worker is not paused.
func (t *task) unpausedRate() float64 {
	if t.throttled {
		return throttledRate
	}
	return 1
}

func (t *task) setRate(now time.Time, rate float64) {
	if t.state == api.LeaseResultStateRunning {
		t.completed, t.asOf, t.rate = t.progress(now), now, rate
	}
}

func (t *task) renewIfSet(now time.Time, ttl time.Duration) {
	if ttl > 0 {
		t.expires = now.Add(ttl)
	}
}

func (t *task) saveProgress(progress time.Duration) {
	if progress > t.savedProgress {
		t.savedProgress = progress
		t.checkpointCount++
	}
}

// makeDueCheckpoints makes the newest automatic checkpoint that is due at the given time.
func (t *task) makeDueCheckpoints(at time.Time) {
	if t.checkpointEvery > 0 && !t.started.IsZero() {
		t.saveProgress(t.progress(at).Truncate(t.checkpointEvery))
	}
}

func (t *task) checkpointName() string {
	if t.checkpointCount == 0 {
		return ""
	}
	return checkpointName(t.req, t.checkpointCount)
}

func (t *task) okResult() api.LeaseResult {
	r := t.refusedResult("")
	r.Ok = true
	return r
}

func (t *task) refusedResult(reason string) api.LeaseResult {
	return api.LeaseResult{
		LeaseID: t.req.LeaseID, Reason: reason, State: t.state,
		Checkpoint: t.checkpointName(), ProgressMS: int(t.savedProgress.Milliseconds()),
	}
}

// refusedResultOrNone returns a refusal with the state of the lease, or with the state none if t is nil because the worker has no such lease.
func (t *task) refusedResultOrNone(leaseID, reason string) api.LeaseResult {
	if t == nil {
		return refusal(leaseID, reason)
	}
	return t.refusedResult(reason)
}
