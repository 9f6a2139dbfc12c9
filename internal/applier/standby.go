package applier

import (
	"cmp"
	"context"
	"slices"

	"samphirewell/internal/api"
)

// standBy keeps rows, token block and horizon in memory while another host is preferred, so that this host can continue if it becomes
// preferred during a table outage.
func (c *Controller) standBy(ctx context.Context) {
	if c.stepStart.Before(c.nextScan) {
		return
	}
	c.readRows(ctx)
	c.nextScan = c.stepStart.Add(c.cfg.StandbyPeriod)
	if c.outage {
		return
	}
	for _, j := range c.sortedJobs() {
		if j.rowUncertain {
			c.dropJob(j) // missing from the scans; a later scan adds it again if the job has not ended
		}
	}
	c.readHorizon(ctx)
	if c.tokens.end == 0 {
		c.reserveTokens(ctx)
	}
}

// adoptOrphans adopts gangs, including ones that have succeeded, that a former preferred host placed without a row during a table outage.
func (c *Controller) adoptOrphans() {
	orphans := map[string][]orphan{}
	for id, w := range c.workers {
		for _, t := range w.orphans {
			orphans[t.JobID] = append(orphans[t.JobID], orphan{t, id, w})
		}
	}
	for _, j := range c.sortedJobs() {
		if found := newestPlacement(orphans[j.rec.ID]); j.rec.Phase == api.JobRecordPhaseWaiting && !j.rowUncertain && j.formsWholeGang(found) {
			c.adoptGang(j, found)
		}
	}
}

// orphan is a lease that is not part of the tracked placement of its job.
type orphan struct {
	api.TaskReport
	workerID string
	worker   *worker
}

// newestPlacement returns the orphans with the highest token, which belong to the newest placement.
func newestPlacement(found []orphan) []orphan {
	token := 0
	for _, t := range found {
		token = max(token, t.Token)
	}
	return slices.DeleteFunc(found, func(t orphan) bool { return t.Token != token })
}

// formsWholeGang sorts the orphans by part. It reports whether they are all parts of a placement that is newer than the job's record and
// whether all of them run or have succeeded.
func (j *job) formsWholeGang(found []orphan) bool {
	slices.SortFunc(found, func(a, b orphan) int { return cmp.Compare(a.Part, b.Part) })
	for i, t := range found {
		alive := t.State == api.TaskReportStateRunning || t.State == api.TaskReportStateSucceeded
		if t.Part != i || !alive {
			return false
		}
	}
	return len(found) == j.rec.Spec.Parts && found[0].Token > j.rec.Token
}

func (c *Controller) adoptGang(j *job, found []orphan) {
	j.rec.Placements = make([]api.Placement, 0, len(found))
	for _, t := range found {
		j.rec.Placements = append(j.rec.Placements, api.Placement{Part: t.Part, WorkerID: t.workerID, LeaseID: t.LeaseID})
	}
	j.rec.Token = found[0].Token
	if j.rec.StartedMS == 0 {
		j.rec.StartedMS = int(c.now().UnixMilli())
	}
	j.set(api.JobRecordPhaseRunning, j.rec.Reason)
	j.initParts(c.now())
	for i, t := range found {
		j.parts[i].recordResult(api.LeaseResultState(t.State), t.ProgressMS, t.Checkpoint, t.worker.lastReport)
	}
	c.histories.record(j.rec.ID, c.now(), "running", "found running without a row")
}
