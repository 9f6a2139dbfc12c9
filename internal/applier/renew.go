package applier

import (
	"context"
	"time"

	"samphirewell/internal/api"
)

// ttlGranularity is the unit to which renewal times are rounded down. Leases of one worker with equal times to live share a command.
const ttlGranularity = 250 * time.Millisecond

// renew renews the leases of the gangs whose parts are all alive. The new leases end Settings.LeaseTTL after the last time at which all parts
// were alive, so that no part outlives another by more than that.
func (c *Controller) renew(ctx context.Context) {
	batches := newLeaseBatches()
	for _, j := range c.sortedJobs() {
		ttl := c.renewalTTL(j)
		if ttl <= 0 {
			continue
		}
		j.nextRenewal, j.lastLeaseSent = c.stepStart.Add(c.cfg.RenewPeriod), c.latestSendTime()
		for i := range j.parts {
			if p := &j.parts[i]; p.active() {
				batches.add(p.WorkerID, ttl, j.ref(p, j.rec.Token))
			}
		}
	}
	c.sendBatches(ctx, batches, c.deps.Client.Renew, c.handleLeaseResult, true)
}

// renewalTTL returns the time to live of the gang's next renewal, or 0 if none is due.
func (c *Controller) renewalTTL(j *job) time.Duration {
	if j.fence != nil || !j.holdsWorkers() || c.stepStart.Before(j.nextRenewal) || j.allParts(api.LeaseResultStateSucceeded) {
		return 0
	}
	for i := range j.parts {
		if s := j.parts[i].state; s != api.LeaseResultStateRunning && s != api.LeaseResultStateSucceeded {
			return 0
		}
	}
	now := c.now()
	return c.horizon.cap(c.cfg.LeaseTTL-now.Sub(j.oldestAlive(now)), now, c.cfg.ReservationTTL).Truncate(ttlGranularity)
}

func (c *Controller) handleLeaseResult(ref api.LeaseRef, r api.LeaseResult, sent time.Time) {
	j := c.jobs[ref.JobID]
	if j == nil {
		return
	}
	p := j.partOf(ref.LeaseID)
	switch {
	case p == nil:
	case r.Ok, !activeState(r.State):
		p.recordResult(r.State, r.ProgressMS, r.Checkpoint, sent)
	default:
		j.rowUncertain = true // another controller gave the job a higher token
	}
}

func activeState(s api.LeaseResultState) bool {
	return s == api.LeaseResultStateRunning || s == api.LeaseResultStateReserved
}

// batchKey is one command: leases of one worker with the same time to live.
type batchKey struct {
	worker string
	ttl    time.Duration
}

// leaseBatches groups lease references by command, in the order in which the commands were first used.
type leaseBatches struct {
	order []batchKey
	refs  map[batchKey][]api.LeaseRef
}

func newLeaseBatches() *leaseBatches { return &leaseBatches{refs: map[batchKey][]api.LeaseRef{}} }

func (b *leaseBatches) add(worker string, ttl time.Duration, ref api.LeaseRef) {
	key := batchKey{worker, ttl}
	if b.refs[key] == nil {
		b.order = append(b.order, key)
	}
	b.refs[key] = append(b.refs[key], ref)
}

type leaseCall func(context.Context, api.HostEntry, api.LeaseCommand) (api.LeaseResponse, error)

// sendBatches sends one command for each batch and calls handleResult for each result. References to workers that are not tracked are left out.
func (c *Controller) sendBatches(ctx context.Context, b *leaseBatches, call leaseCall,
	handleResult func(api.LeaseRef, api.LeaseResult, time.Time), keepLate bool) {
	cmds := make([]command[api.LeaseResponse], 0, len(b.order))
	for _, key := range b.order {
		w := c.workers[key.worker]
		if w == nil {
			continue
		}
		refs := b.refs[key]
		built := c.now()
		cmds = append(cmds, command[api.LeaseResponse]{
			to: w,
			send: func(ctx context.Context, e api.HostEntry) (api.LeaseResponse, error) {
				ttl := key.ttl - c.now().Sub(built) // the command may have waited for a slot
				if key.ttl > 0 && ttl <= 0 {
					return api.LeaseResponse{}, errNotSent
				}
				ttl = max(ttl, 0)
				return call(ctx, e, api.LeaseCommand{Leases: refs, TtlMS: int(ttl.Milliseconds())})
			},
			handle: func(r response[api.LeaseResponse]) {
				if r.err != nil || len(r.value.Results) != len(refs) {
					return
				}
				for i, ref := range refs {
					if r.value.Results[i].LeaseID == ref.LeaseID {
						handleResult(ref, r.value.Results[i], r.sent)
					}
				}
			},
		})
	}
	sendAll(ctx, c, cmds, keepLate)
}
