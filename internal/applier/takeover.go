package applier

import (
	"context"
	"encoding/json"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/jobs"
	"samphirewell/internal/platform"
	"samphirewell/internal/scheduler"
)

// LostDomain is another failure domain in which no host responds.
type LostDomain struct {
	Domain          string
	UnresponsiveFor time.Duration // since the last response of a host of the domain
	Listed          bool          // whether the platform still lists a host of the domain
}

const (
	// repeatableTakeoverAfter is the time without a response after which repeatable jobs of an unlisted domain are taken over.
	repeatableTakeoverAfter = time.Minute
	// takeoverPeriod is the time between checks for lost domains.
	takeoverPeriod   = 5 * time.Second
	reasonDomainLost = "domain_lost"
)

// takeOverDomains moves the jobs of lost domains to this one: all jobs after the horizon of the lost domain, and repeatable jobs of an
// unlisted domain already after repeatableTakeoverAfter.
func (c *Controller) takeOverDomains(ctx context.Context) {
	if c.deps.LostDomains == nil || c.outage || c.stepStart.Before(c.nextTakeover) {
		return
	}
	c.nextTakeover = c.stepStart.Add(takeoverPeriod)
	for _, lost := range c.deps.LostDomains() {
		if lost.Domain != c.deps.Domain && c.hasAuthority() && c.writes.take(c.now()) {
			c.takeOverDomain(ctx, lost)
		}
	}
}

func (c *Controller) takeOverDomain(ctx context.Context, lost LostDomain) {
	key := domainPrefix + lost.Domain
	current, err := platform.ReadCurrent(ctx, c.deps.Table, key)
	c.recordTableResult(err)
	if err != nil {
		return
	}
	row := current.Rows[0]
	var h horizonRow
	_ = json.Unmarshal([]byte(row.Value), &h) // without a row, no lease was granted
	expired := current.NowMS > h.UntilMS
	if early := lost.UnresponsiveFor >= repeatableTakeoverAfter && !lost.Listed; !expired && !early {
		return
	}
	list, err := c.deps.Store.Live(ctx, lost.Domain)
	c.recordTableResult(err)
	if err != nil || len(list) == 0 {
		return
	}
	version := row.Version
	if h.TakenBy == "" || row.Version == 0 {
		if version, err = c.markTaken(ctx, key, row.Version, h); err != nil || version == 0 {
			return
		}
	}
	c.moveJobs(ctx, list, expired, api.TableCondition{Key: key, Version: version})
}

// markTaken records the takeover in the row of the lost domain. A host of that domain that returns then reads the rows of its jobs again
// before it grants leases past the old horizon. It returns the new version of the row, or 0 if the row changed in the meantime.
func (c *Controller) markTaken(ctx context.Context, key string, version int, h horizonRow) (int, error) {
	h.TakenBy = c.deps.Domain
	value, _ := json.Marshal(h) // cannot fail for this type
	resp, err := c.deps.Table.Txn(ctx, api.TxnRequest{
		Conditions: []api.TableCondition{{Key: key, Version: version}},
		Writes:     []api.TableWrite{{Key: key, Value: string(value)}},
	})
	c.recordTableResult(err)
	if err != nil || !resp.Committed {
		return 0, err
	}
	return resp.Rows[0].Version, nil
}

// moveJobs moves the rows while the condition on the row of the lost domain holds and the write budget allows it.
func (c *Controller) moveJobs(ctx context.Context, list []jobs.StoredJob, expired bool, condition api.TableCondition) {
	var changes []jobs.Change
	for _, s := range list {
		if !expired && !s.Spec.Repeatable {
			continue
		}
		to := s.JobRecord
		to.FailureDomain, to.Phase, to.Reason = c.deps.Domain, api.JobRecordPhaseWaiting, reasonDomainLost
		to.Placements, to.Slot = []api.Placement{}, scheduler.NoSlot
		changes = append(changes, jobs.Change{From: s, To: to})
	}
	for len(changes) > 0 && c.hasAuthority() && c.writes.take(c.now()) {
		n := min(maxTxnChanges, len(changes))
		results, err := c.deps.Store.Update(ctx, changes[:n], condition)
		c.recordTableResult(err)
		for _, r := range results {
			if r.Err == nil {
				c.reportEvent(api.Event{Kind: api.EventKindJobMoved, JobID: r.Stored.ID, Team: r.Stored.Spec.Team, Reason: reasonDomainLost})
			}
		}
		if err != nil {
			return
		}
		changes = changes[n:]
	}
}
