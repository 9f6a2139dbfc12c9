package applier

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
)

// Health distinguishes failing jobs from failing workers. The controller calls it from Step only.
type Health interface {
	// Failed records that a part of the job failed on the worker. It returns whether the job must end as failed and whether the worker was
	// quarantined because of it.
	Failed(jobID, workerID string, now time.Time) (jobFailed, quarantined bool)
	// Succeeded records that the job succeeded on the workers.
	Succeeded(jobID string, workerIDs []string)
	// Forget drops the record of a cancelled job.
	Forget(jobID string)
	// FailedWorkers returns the distinct workers that count against the job.
	FailedWorkers(jobID string) []string
	// Quarantined reports whether the worker must not receive work.
	Quarantined(workerID string) bool
	// ProbesDue returns the quarantined workers to probe now.
	ProbesDue(now time.Time) []string
	// Probed records the outcome of a probe.
	Probed(workerID string, ok bool, now time.Time)
}

const (
	probeRunTime = time.Second // run time of a probe task
	// probeJobPrefix starts the job id of a probe. Ids of jobs are hexadecimal and never start with it.
	probeJobPrefix = "probe-"
)

// restoreFailures copies the failures from the row of a job to Health if it has none for the job, as after a restart of the host.
func (c *Controller) restoreFailures(j *job) {
	if c.deps.Health == nil || len(c.deps.Health.FailedWorkers(j.rec.ID)) > 0 {
		return
	}
	for _, w := range j.rec.FailedWorkers {
		c.deps.Health.Failed(j.rec.ID, w, c.now())
	}
}

// recordFailures adds the workers on which a part failed to the record of the job and reports them to Health.
func (c *Controller) recordFailures(j *job) {
	j.rec.Failures++
	failed := slices.Clone(j.rec.FailedWorkers)
	for i := range j.parts {
		p := &j.parts[i]
		if p.state != api.LeaseResultStateFailed || slices.Contains(failed, p.WorkerID) {
			continue
		}
		failed = append(failed, p.WorkerID)
		if c.deps.Health != nil {
			c.recordWorkerFailure(j, p.WorkerID)
		}
	}
	if c.deps.Health != nil && !j.endsAsFailed {
		failed = c.deps.Health.FailedWorkers(j.rec.ID)
	}
	j.rec.FailedWorkers = failed
}

func (c *Controller) recordWorkerFailure(j *job, worker string) {
	jobFailed, quarantined := c.deps.Health.Failed(j.rec.ID, worker, c.now())
	j.endsAsFailed = j.endsAsFailed || jobFailed
	if quarantined {
		logrus.WithField("worker", worker).Warn("worker quarantined")
		c.reportEvent(api.Event{Kind: api.EventKindWorkerQuarantined, WorkerID: worker, JobID: j.rec.ID, Reason: reasonTaskFailed})
	}
}

func (c *Controller) quarantined(worker string) bool {
	return c.deps.Health != nil && c.deps.Health.Quarantined(worker)
}

// startProbes starts a short task that reserves no resources on each quarantined worker whose probe is due.
func (c *Controller) startProbes(ctx context.Context) {
	if c.deps.Health == nil || c.newLeaseTTL(c.now()) <= 0 {
		return
	}
	for _, id := range c.deps.Health.ProbesDue(c.now()) {
		w := c.workers[id]
		if w == nil || w.probeLease != "" {
			continue
		}
		if token, ok := c.tokens.issue(0); ok {
			c.startProbe(ctx, w, token)
		}
	}
}

func (c *Controller) startProbe(ctx context.Context, w *worker, token int) {
	job := probeJobPrefix + w.entry.ID
	w.probeLease, w.probeStart = fmt.Sprintf("%s-%d", job, token), c.now()
	req := api.ReserveRequest{
		LeaseID: w.probeLease, JobID: job, Token: token, RunMS: int(probeRunTime.Milliseconds()),
		TtlMS: int(c.cfg.ReservationTTL.Milliseconds()),
	}
	ref := api.LeaseRef{LeaseID: w.probeLease, JobID: job, Token: token}
	sendAll(ctx, c, []command[api.LeaseResponse]{{
		to: w,
		send: func(ctx context.Context, h api.HostEntry) (api.LeaseResponse, error) {
			if r, err := c.deps.Client.Reserve(ctx, h, []api.ReserveRequest{req}); err != nil || !c.hasAuthority() {
				return r, cmp.Or(err, errNotSent)
			}
			return c.deps.Client.Commit(ctx, h, api.LeaseCommand{Leases: []api.LeaseRef{ref}, TtlMS: int(c.newLeaseTTL(c.now()).Milliseconds())})
		},
		handle: func(response[api.LeaseResponse]) {},
	}}, false)
}

// evaluateProbe completes a probe with the report of its worker. A probe that the report lacks did not start and counts as failed.
func (c *Controller) evaluateProbe(w *worker, tasks map[string]api.TaskReport, sent time.Time) {
	if w.probeLease == "" || !sent.After(w.probeStart) {
		return
	}
	state := tasks[w.probeLease].State
	if activeState(api.LeaseResultState(state)) {
		return
	}
	ok := state == api.TaskReportStateSucceeded
	w.probeLease = ""
	c.deps.Health.Probed(w.entry.ID, ok, c.now())
	if ok {
		logrus.WithField("worker", w.entry.ID).Info("worker restored")
		c.reportEvent(api.Event{Kind: api.EventKindWorkerRestored, WorkerID: w.entry.ID})
	}
}
