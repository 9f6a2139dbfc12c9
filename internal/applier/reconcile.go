package applier

import (
	"slices"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/jobs"
	"samphirewell/internal/scheduler"
)

// Reasons of phases that package applier sets itself.
const (
	reasonCancelled          = "cancelled"
	reasonSucceeded          = "succeeded"
	reasonTaskFailed         = "task_failed"
	reasonPartLost           = "part_lost"
	reasonWorkerUnresponsive = "worker_silent"
	reasonNotStarted         = "not_started"
	reasonInterrupted        = "start_interrupted"
)

// reconcile compares each job with the state of its parts and starts fences or ends jobs accordingly.
func (c *Controller) reconcile() {
	for _, j := range c.sortedJobs() {
		if j.fence != nil || jobs.Ended(j.rec.Phase) {
			continue
		}
		if len(j.rec.Placements) == 0 {
			c.reconcileWaiting(j)
		} else {
			c.reconcilePlaced(j)
		}
	}
}

func (c *Controller) reconcileWaiting(j *job) {
	if j.rec.CancelRequested {
		c.end(j, api.JobRecordPhaseCancelled, reasonCancelled)
	}
}

func (c *Controller) reconcilePlaced(j *job) {
	switch {
	case j.allParts(api.LeaseResultStateSucceeded):
		c.succeed(j)
	case j.rec.CancelRequested:
		c.beginFence(j, reasonCancelled, api.EventKindJobCancelled)
	case j.rec.Phase == api.JobRecordPhaseStopping:
		c.beginFence(j, j.rec.Reason, api.EventKindGangRestarted)
	case j.anyPart(api.LeaseResultStateFailed):
		c.recordFailures(j)
		c.beginFence(j, reasonTaskFailed, api.EventKindGangRestarted)
	case j.anyPart(api.LeaseResultStateLapsed):
		c.emitExpiredLeases(j)
		c.beginFence(j, reasonPartLost, api.EventKindGangRestarted)
	case j.anyPart(api.LeaseResultStateStopped), j.anyPart(api.LeaseResultStateNone):
		c.beginFence(j, reasonPartLost, api.EventKindGangRestarted)
	case c.partUnresponsive(j):
		c.beginFence(j, reasonWorkerUnresponsive, api.EventKindGangRestarted)
	case j.rec.Phase == api.JobRecordPhaseStarting && j.allPartsStarted():
		j.set(api.JobRecordPhaseRunning, j.rec.Reason)
		j.deferrable = true
	}
}

func (j *job) anyPart(state api.LeaseResultState) bool {
	return slices.ContainsFunc(j.parts, func(p part) bool { return p.state == state })
}

func (j *job) allPartsStarted() bool {
	return !slices.ContainsFunc(j.parts, func(p part) bool {
		return p.state != api.LeaseResultStateRunning && p.state != api.LeaseResultStateSucceeded
	})
}

// partUnresponsive reports whether a part has not been reported alive for so long that its lease has expired unless another host renews it.
func (c *Controller) partUnresponsive(j *job) bool {
	now := c.now()
	lastAlive := j.oldestAlive(now)
	if lastAlive.Before(j.trackedSince) {
		lastAlive = j.trackedSince
	}
	return now.Sub(lastAlive) > withClockDrift(c.cfg.LeaseTTL)
}

func (c *Controller) emitExpiredLeases(j *job) {
	for i := range j.parts {
		if p := &j.parts[i]; p.state == api.LeaseResultStateLapsed {
			c.reportEvent(api.Event{
				Kind: api.EventKindLeaseLapsed, JobID: j.rec.ID, Team: j.rec.Spec.Team, WorkerID: p.WorkerID, Subject: p.LeaseID,
				Reason: reasonPartLost,
			})
		}
	}
}

// succeed ends a job whose parts have all succeeded.
func (c *Controller) succeed(j *job) {
	run := time.Duration(j.rec.CheckpointProgressMS)*time.Millisecond + c.now().Sub(unixMS(j.rec.StartedMS))
	c.estimates.RecordRun(j.rec.Spec.Team, j.rec.Spec.Kind, run)
	if c.deps.Health != nil {
		c.deps.Health.Succeeded(j.rec.ID, j.workers())
	}
	c.end(j, api.JobRecordPhaseSucceeded, reasonSucceeded)
}

// end sets the final phase of the job. The job stays in memory until its row is written.
func (c *Controller) end(j *job, phase api.JobRecordPhase, reason string) {
	j.fence = nil
	j.set(phase, reason)
	j.rec.FinishedMS = int(c.now().UnixMilli())
	c.histories.record(j.rec.ID, c.now(), string(phase), reason)
}

// reportEnd reports the end of a job once its row is written.
func (c *Controller) reportEnd(j *job) {
	kind := api.EventKindGangEnded
	switch j.rec.Phase {
	case api.JobRecordPhaseCancelled:
		kind = api.EventKindJobCancelled
		if c.deps.Health != nil {
			c.deps.Health.Forget(j.rec.ID)
		}
	case api.JobRecordPhaseRefused:
		kind = api.EventKindJobRefused
	}
	c.reportJobEvent(j, kind, j.rec.Reason)
}

func unixMS(ms int) time.Time { return time.UnixMilli(int64(ms)) }

func (c *Controller) reportJobEvent(j *job, kind api.EventKind, reason string) {
	c.reportEvent(api.Event{Kind: kind, JobID: j.rec.ID, Team: j.rec.Spec.Team, Reason: reason})
}

// failedOnTooManyWorkers reports whether the job failed on so many workers that it is expected to fail everywhere, or equally often on the only
// workers that it fits on.
func failedOnTooManyWorkers(j *job) bool {
	return j.endsAsFailed || len(j.rec.FailedWorkers) >= scheduler.MaxFailedWorkers ||
		j.mayReuseFailedWorkers && j.rec.Failures >= scheduler.MaxFailedWorkers
}
