package applier

import (
	"context"
	"sync/atomic"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/scheduler"
)

const (
	// unusableAfterFailures is the number of consecutive unanswered commands after which a worker receives no new work.
	unusableAfterFailures = 2
	// unlistedRetention is the time for which an unlisted worker is still tracked, so that its leases can be stopped.
	unlistedRetention = 10 * time.Minute
)

// worker is the tracked state of a worker.
type worker struct {
	entry       api.HostEntry
	lastListed  time.Time // step that last found the worker in the list
	lastContact time.Time // when the newest command with a response was sent; zero if none
	lastReport  time.Time // when the newest received report was requested; zero if none
	nextReport  time.Time
	failures    int              // consecutive unanswered commands
	outstanding atomic.Int32     // unanswered commands in flight
	probeLease  string           // lease id of the current probe; empty if none
	probeStart  time.Time        // start of the probe
	orphans     []api.TaskReport // active and succeeded leases that are not part of the tracked placement of their job
}

func (w *worker) recordOutcome(err error, sent time.Time) {
	switch {
	case err == nil:
		w.failures, w.lastContact = 0, sent
	case err != errNotSent: //nolint:errorlint // own sentinel, never wrapped
		w.failures++
	}
}

// syncWorkers updates the tracked workers from the list and drops those that were unlisted for longer than unlistedRetention.
func (c *Controller) syncWorkers() {
	for _, e := range c.deps.Workers() {
		w := c.workers[e.ID]
		if w == nil {
			w = &worker{}
			c.workers[e.ID] = w
		}
		if w.entry.Incarnation != e.Incarnation {
			w.lastReport, w.nextReport = time.Time{}, time.Time{}
		}
		w.entry, w.lastListed = e, c.stepStart
	}
	for id, w := range c.workers {
		if c.stepStart.Sub(w.lastListed) > unlistedRetention {
			delete(c.workers, id)
		}
	}
}

func (c *Controller) listed(w *worker) bool { return w.lastListed.Equal(c.stepStart) }

// usable reports whether the worker may receive new work.
func (c *Controller) usable(w *worker) bool {
	return c.listed(w) && !w.entry.Leaving && !w.lastReport.IsZero() && w.failures < unusableAfterFailures &&
		!c.quarantined(w.entry.ID)
}

func capacityOf(e api.HostEntry) scheduler.Resources {
	return scheduler.Resources{Cores: e.Cores, MemoryGB: e.MemoryGb, Accelerators: e.Accelerators}
}

// collectReports requests the reports that are due.
func (c *Controller) collectReports(ctx context.Context) {
	next := c.stepStart.Add(c.cfg.ReportPeriod)
	switch authorityEnd := c.formerAuthorityEnd(); { // after a change of leadership, placements wait for reports
	case !c.stepStart.After(authorityEnd):
		next = authorityEnd.Add(1)
	case !c.formerLeasesExpired():
		next = c.stepStart.Add(min(c.cfg.ReportPeriod, c.cfg.RenewPeriod))
	}
	c.indexParts()
	var cmds []command[api.WorkerReport]
	for _, w := range c.workers {
		if c.stepStart.Before(w.nextReport) {
			continue
		}
		w.nextReport = next
		cmds = append(cmds, command[api.WorkerReport]{
			to: w, send: c.deps.Client.Report,
			handle: func(r response[api.WorkerReport]) {
				if r.err == nil {
					c.handleReport(w, r.value, r.sent)
				}
			},
		})
	}
	sendAll(ctx, c, cmds, true)
}

// handleReport updates the parts and orphans on the worker. A part that the report lacks has no lease there any more.
func (c *Controller) handleReport(w *worker, r api.WorkerReport, sent time.Time) {
	if sent.Before(w.lastReport) {
		return
	}
	w.lastReport = sent
	w.orphans = nil
	tasks := make(map[string]api.TaskReport, len(r.Tasks))
	for _, t := range r.Tasks {
		tasks[t.LeaseID] = t
		j := c.jobs[t.JobID]
		if (j == nil || j.partOf(t.LeaseID) == nil) && (activeTask(t) || t.State == api.TaskReportStateSucceeded) {
			w.orphans = append(w.orphans, t)
		}
	}
	c.evaluateProbe(w, tasks, sent)
	c.trackOverUse(w, &r, sent)
	for _, at := range c.partsByWorker[w.entry.ID] {
		if sent.Before(at.job.trackedSince) {
			continue
		}
		p := &at.job.parts[at.part]
		t, ok := tasks[p.LeaseID]
		if !ok {
			t.State = api.TaskReportStateNone
		}
		p.recordResult(api.LeaseResultState(t.State), t.ProgressMS, t.Checkpoint, sent)
	}
}

// partRef refers to one part of a job by its index.
type partRef struct {
	job  *job
	part int
}

// indexParts builds partsByWorker, which is valid for reports that are handled before placements change again.
func (c *Controller) indexParts() {
	c.partsByWorker = make(map[string][]partRef, len(c.workers))
	for _, j := range c.jobs {
		for i := range j.parts {
			id := j.parts[i].WorkerID
			c.partsByWorker[id] = append(c.partsByWorker[id], partRef{j, i})
		}
	}
}

func (j *job) partOf(leaseID string) *part {
	for i := range j.parts {
		if j.parts[i].LeaseID == leaseID {
			return &j.parts[i]
		}
	}
	return nil
}

func activeTask(t api.TaskReport) bool {
	return t.State == api.TaskReportStateRunning || t.State == api.TaskReportStateReserved
}

// orphanTokens returns, by job id, the highest token of the active orphans.
func (c *Controller) orphanTokens() map[string]int {
	out := map[string]int{}
	for _, w := range c.workers {
		for _, t := range w.orphans {
			if activeTask(t) {
				out[t.JobID] = max(out[t.JobID], t.Token)
			}
		}
	}
	return out
}
