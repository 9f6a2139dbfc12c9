package applier

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
	"samphirewell/internal/jobs"
	"samphirewell/internal/platform"
)

// rereadAfter is the time after which the current row of a job that is missing from the scans is read. Scans may return stale rows for a while.
const rereadAfter = 5 * time.Second

// maxScanAge is the assumed upper bound on the age of rows that a scan returns.
const maxScanAge = 5 * time.Second

// maxTxnChanges is the maximum number of job changes in one transaction, as in package jobs.
const maxTxnChanges = 32

// readRows scans the live rows of the domain.
func (c *Controller) readRows(ctx context.Context) {
	if c.stepStart.Before(c.nextScan) {
		return
	}
	c.nextScan = c.stepStart.Add(c.cfg.ScanPeriod)
	rows, err := c.deps.Store.LiveChanged(ctx, c.deps.Domain, func(key string, version int) bool {
		j := c.jobs[jobs.IDFromKey(key)]
		return j != nil && j.row.Key == key && j.row.Version >= version
	})
	c.recordTableResult(err)
	if err != nil {
		return
	}
	now := c.now()
	for _, row := range rows {
		id := jobs.IDFromKey(row.Key)
		j := c.jobs[id]
		if j == nil {
			j = newJob(row, now)
			c.jobs[id] = j
			c.restoreFailures(j)
		}
		j.lastSeen = now
		if row.ID != "" {
			j.adopt(row, now)
		}
	}
	for _, j := range c.jobs {
		if now.Sub(j.lastSeen) > rereadAfter {
			j.rowUncertain = true
		}
	}
	c.invalidateSorted()
	c.lastScan = c.stepStart
	if c.completeScanAt.IsZero() && !c.leaderSince.IsZero() && c.stepStart.After(c.formerAuthorityEnd().Add(maxScanAge)) {
		c.completeScanAt = now
	}
}

// outageReportDelay is the duration from which a table outage is reported. A single lost response is not reported.
const outageReportDelay = 2 * time.Second

// recordTableResult records whether the table is available and reports the start and end of outages.
func (c *Controller) recordTableResult(err error) {
	failed := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain)
	switch now := c.now(); {
	case failed && !c.outage:
		c.outage, c.outageSince = true, now
	case failed && !c.outageReported && now.Sub(c.outageSince) >= outageReportDelay:
		c.reportTableState(true)
	case !failed && c.outageReported:
		c.reportTableState(false)
	}
	c.outage = failed
}

func (c *Controller) reportTableState(outage bool) {
	c.outageReported = outage
	kind := api.EventKindTableRestored
	if outage {
		kind = api.EventKindTableOutage
	}
	logrus.WithFields(logrus.Fields{"domain": c.deps.Domain, "outage": outage}).Info("table state changed")
	c.reportEvent(api.Event{Kind: kind})
}

// refreshUncertainRows reads the current rows of up to maxTxnChanges jobs whose row may have changed.
func (c *Controller) refreshUncertainRows(ctx context.Context) {
	var list []*job
	for _, j := range c.sortedJobs() {
		if j.rowUncertain && len(list) < maxTxnChanges {
			list = append(list, j)
		}
	}
	if len(list) > 0 && !c.outage {
		c.readCurrent(ctx, list)
	}
}

// readCurrent reads the current rows of the jobs and drops the jobs that no longer belong to the domain. It reports
// whether the table responded.
func (c *Controller) readCurrent(ctx context.Context, list []*job) bool {
	keys := make([]string, 0, len(list))
	for _, j := range list {
		keys = append(keys, j.row.Key)
	}
	rows, err := c.deps.Store.Current(ctx, keys...)
	c.recordTableResult(err)
	if err != nil {
		return false
	}
	now := c.now()
	for i, j := range list {
		j.rowUncertain = false
		if rows[i].ID == "" {
			c.dropJob(j)
			continue
		}
		j.lastSeen = now
		j.adopt(rows[i], now)
	}
	return true
}

// dropJob removes a job that has ended, or that ended elsewhere or moved to another domain. Its leases are no longer renewed.
func (c *Controller) dropJob(j *job) {
	delete(c.jobs, j.rec.ID)
	c.invalidateSorted()
}

// invalidateSorted clears the cache of sortedJobs after jobs were added, replaced or dropped.
func (c *Controller) invalidateSorted() { c.sortedCache = nil }

// flush writes changed records in groups within the write budget: ended jobs first, deferrable writes last,
// and more urgent jobs first among equals.
func (c *Controller) flush(ctx context.Context) {
	if c.outage {
		return
	}
	var dirty []*job
	for _, j := range c.sortedJobs() {
		if j.dirty && !j.rowUncertain {
			dirty = append(dirty, j)
		}
	}
	slices.SortStableFunc(dirty, func(a, b *job) int { return cmp.Compare(a.writeRank(), b.writeRank()) })
	for len(dirty) > 0 && c.hasAuthority() && c.writes.take(c.now()) {
		n := min(maxTxnChanges, len(dirty))
		if !c.write(ctx, dirty[:n]) {
			return
		}
		dirty = dirty[n:]
	}
}

func (j *job) writeRank() int {
	rank := int(classOf(j.rec.Spec.Class))
	if j.deferrable {
		rank += 8
	}
	if !jobs.Ended(j.rec.Phase) {
		rank += 4
	}
	return rank
}

// write writes the records of the jobs. It marks the rows of jobs as uncertain whose write was in conflict or has an unknown outcome, and reports
// whether the table responded.
func (c *Controller) write(ctx context.Context, list []*job) bool {
	changes := make([]jobs.Change, 0, len(list))
	for _, j := range list {
		changes = append(changes, jobs.Change{From: j.row, To: j.rec})
	}
	results, err := c.deps.Store.Update(ctx, changes)
	c.vars.Add("rows_written", int64(len(results)))
	c.recordTableResult(err)
	for i, j := range list {
		switch {
		case i >= len(results):
			j.rowUncertain = j.rowUncertain || !errors.Is(err, platform.ErrUnavailable)
		case results[i].Err != nil:
			j.rowUncertain = true
		default:
			c.recordWritten(j, results[i].Stored)
		}
	}
	return err == nil
}

func (c *Controller) recordWritten(j *job, s jobs.StoredJob) {
	j.row, j.dirty, j.lastSeen = s, false, c.now()
	if jobs.Ended(s.Phase) {
		c.reportEnd(j)
		c.dropJob(j)
	}
}

// sortedJobs returns the jobs in the order of their ids. The caller must not change the slice.
func (c *Controller) sortedJobs() []*job {
	if c.sortedCache != nil {
		return c.sortedCache
	}
	out := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.rec.ID, b.rec.ID) })
	c.sortedCache = out
	return out
}
