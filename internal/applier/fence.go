package applier

import (
	"context"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/scheduler"
)

// fence stops a placement. It is complete when every worker has confirmed the stop of its parts, or when all leases
// are certain to have expired.
type fence struct {
	reason       string
	event        api.EventKind // reported when the fence is complete and the job waits again
	token        int           // fencing token of the stop commands; 0 until issued
	stopped      []bool        // by part: whether the stop is confirmed
	nextAttempt  time.Time
	stopsSent    bool
	rowWrittenAt time.Time // start of the fence if the row was in phase stopping by then, so that no other controller renews; else zero
}

// stopPeriod is the time between attempts to stop parts whose stop is not confirmed.
const stopPeriod = time.Second

func (c *Controller) beginFence(j *job, reason string, event api.EventKind) {
	j.fence = &fence{reason: reason, event: event, stopped: make([]bool, len(j.parts))}
	if j.row.Phase == api.JobRecordPhaseStopping && j.row.Token == j.rec.Token {
		j.fence.rowWrittenAt = c.now()
	}
	c.histories.record(j.rec.ID, c.now(), "stopping", reason)
}

// runFences sends the stops that are due and completes the fences.
func (c *Controller) runFences(ctx context.Context) {
	b := newLeaseBatches()
	var open []*job
	orphanTokens := c.orphanTokens()
	for _, j := range c.sortedJobs() {
		f := j.fence
		if f == nil {
			continue
		}
		open = append(open, j)
		if !c.stepStart.Before(f.nextAttempt) {
			f.nextAttempt = c.stepStart.Add(stopPeriod)
			c.addStops(b, j, orphanTokens[j.rec.ID])
		}
	}
	c.sendBatches(ctx, b, c.deps.Client.Stop, c.handleStopResult, true)
	for _, j := range open {
		c.evaluateFence(j)
	}
}

func (c *Controller) addStops(b *leaseBatches, j *job, orphanToken int) {
	f := j.fence
	if f.token == 0 {
		// Without a token block, the stop carries the placement's own token: it ends the leases, and a later attempt has a higher token.
		token, ok := c.tokens.issue(max(j.rec.Token, orphanToken))
		if !ok {
			token = j.rec.Token
		} else {
			f.token = token
		}
		f.stopsSent = true
		c.stopParts(b, j, token)
		return
	}
	f.stopsSent = true
	c.stopParts(b, j, f.token)
}

func (c *Controller) stopParts(b *leaseBatches, j *job, token int) {
	for i := range j.parts {
		if !j.fence.stopped[i] {
			b.add(j.parts[i].WorkerID, 0, j.ref(&j.parts[i], token))
		}
	}
}

// handleStopResult applies the result of a stop. A refusal because of a higher token also confirms the stop if the lease has ended.
func (c *Controller) handleStopResult(ref api.LeaseRef, r api.LeaseResult, sent time.Time) {
	j := c.jobs[ref.JobID]
	if j == nil || j.fence == nil {
		return
	}
	for i := range j.parts {
		p := &j.parts[i]
		if p.LeaseID != ref.LeaseID {
			continue
		}
		p.recordResult(r.State, r.ProgressMS, r.Checkpoint, sent)
		if activeState(r.State) {
			j.fence.token, j.fence.nextAttempt = 0, time.Time{}
			j.rowUncertain = true
			c.tokens.requireAbove(ref.Token)
			continue
		}
		j.fence.stopped[i] = true
	}
}

func (c *Controller) evaluateFence(j *job) {
	f := j.fence
	if f == nil {
		return
	}
	confirmed := true
	for _, ok := range f.stopped {
		confirmed = confirmed && ok
	}
	switch {
	case confirmed:
		c.completeFence(j)
	case c.allLeasesExpired(j):
		c.reportJobEvent(j, api.EventKindLeaseFenced, f.reason)
		c.completeFence(j)
	case f.stopsSent && f.rowWrittenAt.IsZero() && j.rec.Phase != api.JobRecordPhaseStopping:
		// Phase stopping in the row keeps other controllers from renewing the leases.
		j.set(api.JobRecordPhaseStopping, f.reason)
	}
}

// allLeasesExpired reports whether all leases are certain to have expired without a confirmed stop: the last renewals that this and other
// controllers may have sent are long enough ago. While the table is available, the row must show the fence to the other controllers.
func (c *Controller) allLeasesExpired(j *job) bool {
	last := c.formerAuthorityEnd()
	if othersStopped := j.fence.rowWrittenAt.Add(c.cfg.maxFormerAuthority()); !j.fence.rowWrittenAt.IsZero() {
		last = later(last, othersStopped)
	} else if c.cfg.RequireRow || !c.outage || !c.formerLeasesExpired() {
		return false
	}
	return c.now().After(later(last, j.lastLeaseSent).Add(c.cfg.leaseExpiryBound()))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// completeFence ends the job or makes it wait again once none of its parts runs.
func (c *Controller) completeFence(j *job) {
	f := j.fence
	if j.allParts(api.LeaseResultStateSucceeded) {
		c.succeed(j) // all parts ended before the stop
		return
	}
	j.rec.CheckpointProgressMS, j.rec.Checkpoint = j.progress()
	j.rec.Token = max(j.rec.Token, f.token)
	j.rec.Placements, j.rec.Slot = []api.Placement{}, scheduler.NoSlot
	j.parts, j.fence, j.trackedSince = nil, nil, c.now()
	switch {
	case j.rec.CancelRequested:
		c.end(j, api.JobRecordPhaseCancelled, reasonCancelled)
	case failedOnTooManyWorkers(j):
		c.end(j, api.JobRecordPhaseFailed, string(scheduler.FailedOnWorkers))
	default:
		j.set(api.JobRecordPhaseWaiting, f.reason)
		c.reportJobEvent(j, f.event, f.reason)
		c.histories.record(j.rec.ID, c.now(), "waiting", f.reason)
		c.nextPlan = time.Time{}
	}
}
