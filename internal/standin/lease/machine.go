// Package lease is the lease state machine of a simulated worker. It starts no goroutines and does no I/O; time comes from an injected clock.
// Expired leases and tasks that have ended are processed at the next call of any method, and recorded with the time at which they expired or ended.
package lease

import (
	"fmt"
	"sync"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
)

const (
	// endedRetention is how long an ended lease stays in the reports.
	endedRetention = 10 * time.Minute
	// usageLag is the time from the start of a task until the reports show its resource usage.
	usageLag = time.Second
	// usageShare is the share of its reserved cores and memory that a simulated task uses.
	usageShare = 0.75
	// throttledRate is the progress of a throttled task per unit of time, relative to an unthrottled one.
	throttledRate = 0.5
)

// Reasons of a refusal, sent in api.LeaseResult.Reason.
const (
	ReasonNoCapacity   = "no_room"
	ReasonStaleToken   = "stale_token"
	ReasonUnknownLease = "unknown_lease"
	ReasonQuarantined  = "quarantined"
	ReasonFailed       = "failed"
)

// Config is the identity and capacity of a worker.
type Config struct {
	WorkerID        string
	Incarnation     string // changes with each restart
	Cores           int
	MemoryGB        int
	Accelerators    int
	CheckpointEvery time.Duration // run time between automatic checkpoints; 0 means none
}

// Faults are the faults to inject into a worker. The zero value means none.
type Faults struct {
	FailTasks   bool          // every task that starts fails after FailAfter
	FailAfter   time.Duration // run time after which such a task fails
	Quarantined bool          // every reservation is refused
}

// StateMachine is the lease state machine of one worker: it grants leases on the worker's resources. It is safe for concurrent use.
type StateMachine struct {
	cfg   Config
	clock clock.Clock

	mu                sync.Mutex
	faults            Faults
	paused            bool
	leases            map[string]*task
	tokens            map[string]int // highest fencing token seen, by job
	acceleratorOwners []string       // id of the lease that holds each accelerator; empty if free
	history           []Run
	leaseCount        uint64 // leases added so far; numbers them, so that reports have a stable order
}

// New returns the state machine of a worker without leases.
func New(cfg Config, c clock.Clock) *StateMachine {
	return &StateMachine{
		cfg: cfg, clock: c, leases: map[string]*task{}, tokens: map[string]int{},
		acceleratorOwners: make([]string, cfg.Accelerators),
	}
}

// SetFaults replaces the faults. Tasks that are already running are not affected.
func (m *StateMachine) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Reserve reserves resources for one part. Repeating a request that succeeded succeeds again and extends the reservation.
func (m *StateMachine) Reserve(req api.ReserveRequest) api.LeaseResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.sweep()
	stale := !m.acceptToken(req.JobID, req.Token)
	if t := m.leases[req.LeaseID]; t != nil {
		return m.reserveAgain(t, req, stale, now)
	}
	switch {
	case stale || m.partHeld(req):
		return refusal(req.LeaseID, ReasonStaleToken)
	case m.faults.Quarantined:
		return refusal(req.LeaseID, ReasonQuarantined)
	case !m.fits(req):
		return refusal(req.LeaseID, ReasonNoCapacity)
	}
	return m.grant(req, now).okResult()
}

func (m *StateMachine) reserveAgain(t *task, req api.ReserveRequest, stale bool, now time.Time) api.LeaseResult {
	switch {
	case stale || t.req.JobID != req.JobID || t.req.Token != req.Token || t.req.Part != req.Part:
		return t.refusedResult(ReasonStaleToken)
	case !t.active():
		return t.refusedResult(ReasonUnknownLease)
	}
	if t.state == api.LeaseResultStateReserved {
		t.expires = now.Add(milliseconds(req.TtlMS))
	}
	return t.okResult()
}

// Commit starts the reserved part and sets the time to live of its lease. Older placements of the job on this worker are stopped.
// Repeating a commit that succeeded renews the lease.
func (m *StateMachine) Commit(ref api.LeaseRef, ttl time.Duration) api.LeaseResult {
	return m.command(ref, func(t *task, now time.Time) api.LeaseResult {
		if t.state == api.LeaseResultStateReserved {
			m.stopOlderPlacements(t, now)
			m.startTask(t, now)
		}
		t.expires = now.Add(ttl)
		m.endIfDue(t, now) // a task with the fault FailTasks may fail immediately
		return t.okResult()
	})
}

// Renew sets the time to live of an active lease, counted from now.
func (m *StateMachine) Renew(ref api.LeaseRef, ttl time.Duration) api.LeaseResult {
	return m.command(ref, func(t *task, now time.Time) api.LeaseResult {
		t.expires = now.Add(ttl)
		return t.okResult()
	})
}

// Checkpoint saves the progress of a running part. A positive ttl also renews the lease.
func (m *StateMachine) Checkpoint(ref api.LeaseRef, ttl time.Duration) api.LeaseResult {
	return m.command(ref, func(t *task, now time.Time) api.LeaseResult {
		t.renewIfSet(now, ttl)
		if t.state == api.LeaseResultStateRunning {
			t.saveProgress(t.progress(now))
		}
		return t.okResult()
	})
}

// Throttle slows a running part down. A positive ttl also renews the lease.
func (m *StateMachine) Throttle(ref api.LeaseRef, ttl time.Duration) api.LeaseResult {
	return m.command(ref, func(t *task, now time.Time) api.LeaseResult {
		t.renewIfSet(now, ttl)
		t.throttled = true
		t.setRate(now, throttledRate)
		return t.okResult()
	})
}

// Stop ends a lease. Stopping an unknown lease succeeds and records the lease and the token, so that delayed commands of the stopped placement
// and of older ones are refused.
func (m *StateMachine) Stop(ref api.LeaseRef) api.LeaseResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.sweep()
	t := m.leases[ref.LeaseID]
	if t != nil && t.req.JobID != ref.JobID {
		return refusal(ref.LeaseID, ReasonUnknownLease)
	}
	if !m.acceptToken(ref.JobID, ref.Token) || (t != nil && ref.Token < t.req.Token) {
		return t.refusedResultOrNone(ref.LeaseID, ReasonStaleToken)
	}
	if t == nil {
		m.recordStopped(ref, now)
		return api.LeaseResult{LeaseID: ref.LeaseID, Ok: true, State: api.LeaseResultStateNone}
	}
	m.end(t, api.LeaseResultStateStopped, now)
	return t.okResult()
}

// recordStopped adds an entry for a lease that was stopped before its reservation arrived.
func (m *StateMachine) recordStopped(ref api.LeaseRef, now time.Time) {
	t := m.addLease(api.ReserveRequest{LeaseID: ref.LeaseID, JobID: ref.JobID, Token: ref.Token})
	t.state, t.ended = api.LeaseResultStateStopped, now
}

// command checks the token of ref and calls f with the lease if it is active.
func (m *StateMachine) command(ref api.LeaseRef, f func(*task, time.Time) api.LeaseResult) api.LeaseResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.sweep()
	t := m.leases[ref.LeaseID]
	switch {
	case !m.acceptToken(ref.JobID, ref.Token):
		return t.refusedResultOrNone(ref.LeaseID, ReasonStaleToken)
	case t == nil || t.req.JobID != ref.JobID:
		return refusal(ref.LeaseID, ReasonUnknownLease)
	case t.req.Token != ref.Token:
		return t.refusedResult(ReasonStaleToken)
	case t.state == api.LeaseResultStateFailed:
		return t.refusedResult(ReasonFailed)
	case !t.active():
		return t.refusedResult(ReasonUnknownLease)
	}
	return f(t, now)
}

// acceptToken records a fencing token and returns true, unless a higher one was seen for the job.
func (m *StateMachine) acceptToken(job string, token int) bool {
	if token < m.tokens[job] {
		return false
	}
	m.tokens[job] = token
	return true
}

// partHeld reports whether an active lease of the same placement holds the part.
func (m *StateMachine) partHeld(req api.ReserveRequest) bool {
	for _, t := range m.leases {
		if t.active() && t.req.JobID == req.JobID && t.req.Token == req.Token && t.req.Part == req.Part {
			return true
		}
	}
	return false
}

func (m *StateMachine) stopOlderPlacements(newer *task, now time.Time) {
	for _, t := range m.leases {
		if t.active() && t.req.JobID == newer.req.JobID && t.req.Token < newer.req.Token {
			m.end(t, api.LeaseResultStateStopped, now)
		}
	}
}

// Pause simulates a paused worker process: tasks make no progress, while leases still expire. The caller must delay commands until Resume.
func (m *StateMachine) Pause() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.sweep()
	m.paused = true
	for _, t := range m.leases {
		t.setRate(now, 0)
	}
}

// Resume continues after Pause. Leases that expired during the pause end before any command is handled.
func (m *StateMachine) Resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.sweep()
	m.paused = false
	for _, t := range m.leases {
		t.setRate(now, t.unpausedRate())
	}
}

// Restart simulates a restart of the worker: all leases end, and the fencing tokens are cleared. The history stays.
func (m *StateMachine) Restart(incarnation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.sweep()
	for _, t := range m.leases {
		if t.active() {
			m.end(t, api.LeaseResultStateLapsed, now)
		}
	}
	m.cfg.Incarnation, m.paused = incarnation, false
	m.leases, m.tokens = map[string]*task{}, map[string]int{}
}

func refusal(leaseID, reason string) api.LeaseResult {
	return api.LeaseResult{LeaseID: leaseID, Reason: reason, State: api.LeaseResultStateNone}
}

func checkpointName(req api.ReserveRequest, number int) string {
	return fmt.Sprintf("checkpoints/%s/%d/%d/%d", req.JobID, req.Token, req.Part, number)
}

func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
