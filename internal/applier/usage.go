package applier

import (
	"context"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/scheduler"
)

// Limits for tasks that use far more than they declared. The controller acts only if others are affected: the worker runs guaranteed work of
// another job or is nearly full. Guaranteed work itself is throttled but not checkpointed or stopped, because its resources are guaranteed.
const (
	overUseFactor   = 1.5              // use above this multiple of the declared cores or memory is over-use
	nearlyFullShare = 0.9              // share of a worker's cores or memory in use above which other tasks are assumed to be affected
	overUseGrace    = 5 * time.Second  // duration of over-use before a task is throttled; covers the delay of reports
	overUseStep     = 10 * time.Second // time between throttling, checkpoint and stop
)

// Reasons of the steps against over-use, in their order.
const (
	reasonOverUseThrottled  = "over_use_throttled"
	reasonOverUseCheckpoint = "over_use_checkpointed"
	reasonOverUseStopped    = "over_use_stopped"
)

// overUseState tracks the over-use of one part and the steps taken against it.
type overUseState struct {
	since      time.Time // start of the over-use; zero if there is none
	stepsTaken int       // 1: throttled, 2: checkpointed as well
	lastStep   time.Time
}

func exceedsDeclared(t *api.TaskReport) bool {
	return t.UsedCores > overUseFactor*float64(t.Cores) || t.UsedMemoryGb > overUseFactor*float64(t.MemoryGb)
}

// trackOverUse records which parts use too much. Over-use is ignored on a worker that is not nearly full and runs no guaranteed work of
// another job.
func (c *Controller) trackOverUse(w *worker, r *api.WorkerReport, sent time.Time) {
	var cores, memory float64
	guaranteed := map[string]bool{}
	for _, t := range r.Tasks {
		cores, memory = cores+t.UsedCores, memory+t.UsedMemoryGb
		if j := c.jobs[t.JobID]; j != nil && j.rec.Slot != scheduler.NoSlot {
			guaranteed[t.JobID] = true
		}
	}
	nearlyFull := cores > nearlyFullShare*float64(w.entry.Cores) || memory > nearlyFullShare*float64(w.entry.MemoryGb)
	for i := range r.Tasks {
		t := &r.Tasks[i]
		j := c.jobs[t.JobID]
		if j == nil {
			continue
		}
		p := j.partOf(t.LeaseID)
		if p == nil {
			continue
		}
		others := len(guaranteed)
		if guaranteed[t.JobID] {
			others--
		}
		switch harmful := exceedsDeclared(t) && (nearlyFull || others > 0); {
		case !harmful:
			p.overUse.since = time.Time{}
		case p.overUse.since.IsZero():
			p.overUse.since = sent
		}
	}
}

// actOnOverUse executes the next step, if due, against each part that uses too much.
func (c *Controller) actOnOverUse(ctx context.Context) {
	throttle, checkpoint := newLeaseBatches(), newLeaseBatches()
	now := c.now()
	for _, j := range c.sortedJobs() {
		for i := range j.parts {
			p := &j.parts[i]
			if j.fence != nil || !p.overUse.stepDue(now) || p.state != api.LeaseResultStateRunning {
				continue
			}
			switch step := p.overUse.stepsTaken; {
			case step == 0:
				throttle.add(p.WorkerID, 0, j.ref(p, j.rec.Token))
				c.histories.record(j.rec.ID, now, "running", reasonOverUseThrottled)
			case j.rec.Slot != scheduler.NoSlot:
				continue
			case step == 1:
				checkpoint.add(p.WorkerID, 0, j.ref(p, j.rec.Token))
				c.histories.record(j.rec.ID, now, "running", reasonOverUseCheckpoint)
			default:
				j.rec.Preemptions++
				c.beginFence(j, reasonOverUseStopped, api.EventKindGangPreempted)
			}
			p.overUse.stepsTaken, p.overUse.lastStep = p.overUse.stepsTaken+1, now
		}
	}
	c.sendBatches(ctx, throttle, c.deps.Client.Throttle, c.handleLeaseResult, true)
	c.sendBatches(ctx, checkpoint, c.deps.Client.Checkpoint, c.handleLeaseResult, true)
}

func (u *overUseState) stepDue(now time.Time) bool {
	if u.since.IsZero() {
		return false
	}
	if u.stepsTaken == 0 {
		return now.Sub(u.since) >= overUseGrace
	}
	return now.Sub(u.lastStep) >= overUseStep
}
