package applier

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/jobs"
	"samphirewell/internal/scheduler"
)

// reasonStaleToken is the reason with which a worker refuses a command because it has recorded a higher token for the job.
const reasonStaleToken = "stale_token"

// gangStart is the state of the start of one gang: reserve all parts, write the row, commit all parts.
type gangStart struct {
	job       *job
	rec       api.JobRecord
	reason    scheduler.Reason
	reserved  int // parts with a reservation
	committed int // parts whose commit was confirmed
}

// newGangStart prepares the start of the job as decided, or returns nil if the job cannot be started now.
func (c *Controller) newGangStart(j *job, a scheduler.Action) *gangStart {
	if j.holdsWorkers() || jobs.Ended(j.rec.Phase) || j.fence != nil {
		return nil
	}
	token, ok := c.tokens.issue(j.rec.Token)
	if !ok {
		return nil
	}
	s := &gangStart{job: j, rec: j.rec, reason: a.Reason}
	s.rec.Phase, s.rec.Reason, s.rec.Token, s.rec.Slot = api.JobRecordPhaseStarting, string(a.Reason.Code), token, a.Slot
	s.rec.StartedMS = int(c.now().UnixMilli())
	s.rec.Placements = make([]api.Placement, 0, len(a.Workers))
	for i, w := range a.Workers {
		s.rec.Placements = append(s.rec.Placements, api.Placement{Part: i, WorkerID: w, LeaseID: leaseID(j.rec.ID, token, i)})
	}
	return s
}

func leaseID(job string, token, part int) string { return fmt.Sprintf("%s-%d-%d", job, token, part) }

// startGangs starts the gangs together: it reserves all parts, writes the rows and commits all parts, with one command to each worker for
// reserving and one for committing.
func (c *Controller) startGangs(ctx context.Context, starts []*gangStart) {
	if len(starts) == 0 || !c.hasAuthority() || c.newLeaseTTL(c.now()) <= 0 {
		return
	}
	starts = c.withinWriteBudget(starts)
	c.reserveAll(ctx, starts)
	starts = c.keepOrRelease(ctx, starts, func(s *gangStart) bool { return s.reserved == len(s.rec.Placements) })
	starts = c.keepOrRelease(ctx, starts, c.recordStarts(ctx, starts))
	c.commitAll(ctx, starts)
	for _, s := range starts {
		if s.committed == len(s.rec.Placements) {
			s.job.set(api.JobRecordPhaseRunning, s.rec.Reason)
			s.job.deferrable = true
			c.reportJobEvent(s.job, api.EventKindGangStarted, s.rec.Reason)
			c.histories.record(s.job.rec.ID, c.now(), "running", s.reason.String())
		} else {
			c.beginFence(s.job, reasonNotStarted, api.EventKindGangRestarted)
		}
	}
}

// withinWriteBudget returns the starts whose rows can be written within the write budget, urgent ones first. The others wait for a later step.
func (c *Controller) withinWriteBudget(starts []*gangStart) []*gangStart {
	if c.outage {
		return starts
	}
	slices.SortStableFunc(starts, func(a, b *gangStart) int {
		return cmp.Compare(classOf(a.rec.Spec.Class), classOf(b.rec.Spec.Class))
	})
	n := 0
	for n < len(starts) && c.writes.take(c.now()) {
		n += maxTxnChanges
	}
	return starts[:min(n, len(starts))]
}

func (c *Controller) reserveAll(ctx context.Context, starts []*gangStart) {
	type entry struct {
		s   *gangStart
		req api.ReserveRequest
	}
	byWorker := map[string][]entry{}
	for _, s := range starts {
		for _, p := range s.rec.Placements {
			byWorker[p.WorkerID] = append(byWorker[p.WorkerID], entry{s, c.reserveRequest(&s.rec, p)})
		}
	}
	var cmds []command[api.LeaseResponse]
	for id, entries := range byWorker {
		w := c.workers[id]
		reqs := make([]api.ReserveRequest, 0, len(entries))
		for _, e := range entries {
			reqs = append(reqs, e.req)
		}
		cmds = append(cmds, command[api.LeaseResponse]{
			to: w,
			send: func(ctx context.Context, h api.HostEntry) (api.LeaseResponse, error) {
				return c.deps.Client.Reserve(ctx, h, reqs)
			},
			handle: func(r response[api.LeaseResponse]) {
				if r.err != nil || len(r.value.Results) != len(entries) {
					return
				}
				for i, e := range entries {
					c.handleReservation(e.s, r.value.Results[i])
				}
			},
		})
	}
	sendAll(ctx, c, cmds, false)
}

func (c *Controller) handleReservation(s *gangStart, r api.LeaseResult) {
	switch {
	case r.Ok:
		s.reserved++
	case r.Reason == reasonStaleToken:
		c.tokens.requireAbove(s.rec.Token)
		s.job.rowUncertain = true
	}
}

func (c *Controller) reserveRequest(rec *api.JobRecord, p api.Placement) api.ReserveRequest {
	return api.ReserveRequest{
		LeaseID: p.LeaseID, JobID: rec.ID, Token: rec.Token, Part: p.Part,
		Cores: rec.Spec.Cores, MemoryGb: rec.Spec.MemoryGb, Accelerators: rec.Spec.Accelerators,
		RunMS: max(0, rec.Spec.DeclaredRunMS-rec.CheckpointProgressMS), TtlMS: int(c.cfg.ReservationTTL.Milliseconds()),
	}
}

// keepOrRelease returns the starts for which pass returns true. It releases the reservations of the others, whose parts were never committed.
func (c *Controller) keepOrRelease(ctx context.Context, starts []*gangStart, pass func(*gangStart) bool) []*gangStart {
	var kept []*gangStart
	b := newLeaseBatches()
	for _, s := range starts {
		if pass(s) {
			kept = append(kept, s)
			continue
		}
		c.histories.record(s.job.rec.ID, c.now(), "waiting", reasonNotStarted)
		for _, p := range s.rec.Placements {
			b.add(p.WorkerID, 0, api.LeaseRef{LeaseID: p.LeaseID, JobID: s.rec.ID, Token: s.rec.Token})
		}
	}
	c.sendBatches(ctx, b, c.deps.Client.Stop, func(api.LeaseRef, api.LeaseResult, time.Time) {}, false)
	return kept
}

// recordStarts writes the rows and returns a function that reports whether a start may be committed. During a table outage all may be, because
// blockReason has checked the conditions for placements without a row; their rows are written later.
func (c *Controller) recordStarts(ctx context.Context, starts []*gangStart) func(*gangStart) bool {
	if !c.hasAuthority() {
		return func(*gangStart) bool { return false }
	}
	before := make(map[*gangStart]job, len(starts))
	list := make([]*job, 0, len(starts))
	now := c.now()
	for _, s := range starts {
		before[s] = *s.job
		s.job.rec, s.job.dirty, s.job.deferrable = s.rec, true, false
		s.job.initParts(now.Add(1)) // so that reports requested before the start are ignored
		list = append(list, s.job)
	}
	if c.outage {
		return func(*gangStart) bool { return true }
	}
	c.write(ctx, list)
	var uncertain []*job
	for _, j := range list {
		if j.rowUncertain {
			uncertain = append(uncertain, j)
		}
	}
	if len(uncertain) > 0 && c.hasAuthority() {
		c.readCurrent(ctx, uncertain)
	}
	return func(s *gangStart) bool {
		if s.job.row.Token == s.rec.Token {
			return true
		}
		c.rollBack(s, before[s])
		return false
	}
}

// rollBack restores the record of a job whose start was not written to the row. If the outcome of the write is unknown, the row is read again
// before the job changes, and a placement that is found in it later is fenced like any other.
func (c *Controller) rollBack(s *gangStart, before job) {
	if s.job.rec.Token != s.rec.Token {
		return // the job has adopted the row of another controller
	}
	before.rec.CancelRequested = before.rec.CancelRequested || s.job.rec.CancelRequested
	s.job.rec, s.job.dirty, s.job.deferrable = before.rec, before.dirty, before.deferrable
	s.job.initParts(c.now())
}

// newLeaseTTL returns the time to live of a lease that is committed now. It is zero or negative if the horizon is too close or has passed.
func (c *Controller) newLeaseTTL(now time.Time) time.Duration {
	return c.horizon.cap(c.cfg.LeaseTTL, now, c.cfg.ReservationTTL)
}

func (c *Controller) commitAll(ctx context.Context, starts []*gangStart) {
	b := newLeaseBatches()
	byID := make(map[string]*gangStart, len(starts))
	now := c.now()
	ttl := c.newLeaseTTL(now)
	for _, s := range starts {
		byID[s.rec.ID] = s
		s.job.lastLeaseSent, s.job.nextRenewal = c.latestSendTime(), now.Add(c.cfg.RenewPeriod)
		c.reportJobEvent(s.job, api.EventKindGangPlaced, s.rec.Reason)
		if ttl <= 0 {
			continue
		}
		for _, p := range s.rec.Placements {
			b.add(p.WorkerID, ttl, api.LeaseRef{LeaseID: p.LeaseID, JobID: s.rec.ID, Token: s.rec.Token})
		}
	}
	c.sendBatches(ctx, b, c.deps.Client.Commit, func(ref api.LeaseRef, r api.LeaseResult, sent time.Time) {
		s := byID[ref.JobID]
		if p := s.job.partOf(ref.LeaseID); p != nil {
			p.recordResult(r.State, r.ProgressMS, r.Checkpoint, sent)
			if r.Ok {
				s.committed++
			}
		}
	}, false)
}
