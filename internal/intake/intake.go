package intake

import (
	"context"
	"encoding/json"
	"fmt"
	"path"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/clock"
	"samphirewell/internal/rowstore"
)

const (
	// attemptTimeout bounds one call to the table; it exceeds the time of a transaction on a store that is slowed 60 times (0.5 s), with others waiting.
	attemptTimeout = 1600 * time.Millisecond
	// retryPause is the pause between two attempts of a transaction whose result is not known.
	retryPause = 50 * time.Millisecond
	// responseReserve is the time before the caller's deadline that is reserved for sending the response.
	responseReserve = 150 * time.Millisecond
	// storeRetryAfter is the time after which a caller may repeat a request that failed because the table refused a call. Outages last seconds, and the
	// table may serve another host meanwhile.
	storeRetryAfter = time.Second
	// liveJobsRetryAfter is the time after which a submission may be repeated that would have made too many jobs live. They end within seconds at the earliest.
	liveJobsRetryAfter = 5 * time.Second
)

// Code is the result of a caller's request.
type Code uint8

// Results of requests.
const (
	OK          Code = iota + 1
	Malformed        // invalid, and repeating the request doesn't help
	UnknownKey       // the key belongs to no team
	NoQueue          // no queue under this address
	NoJob            // no such job
	Unavailable      // not accepted, and certainly without effect; the caller may repeat the request
	Uncertain        // it is not known whether the request took effect; the caller may repeat the same request
)

// String returns the name for logs and metrics.
func (c Code) String() string {
	return [...]string{"", "ok", "malformed", "unknown_key", "no_queue", "no_job", "not_now", "uncertain"}[c]
}

// Reply is the response to a caller.
type Reply struct {
	Code       Code
	Reason     string
	State      batch.State // of a job
	Waiting    int         // number of waiting jobs of a queue
	RetryAfter time.Duration
}

// Call holds what all requests of callers have in common: address, key and deadline.
type Call struct {
	Host, Path, Key string
	Deadline        time.Time
}

// Intake handles the requests of callers. It is safe for concurrent use.
type Intake struct {
	store     rowstore.Store
	maxRow    int // longest value of a row that the store takes, bytes
	policy    atomic.Pointer[batch.Policy]
	policyAge func() time.Duration
	states    *stateCache
	leader    Leader
	log       logrus.FieldLogger
	now       func() time.Time
	sinceBoot func() time.Duration // see dispatch.Clock
	markers   markerBudget
}

// maxPolicyAge is the time since the last confirmation of the configuration after which it is no longer used: keys may have been revoked since. It is
// shorter than the time within which a change has to be in force on a host that the table refuses while it serves others (7 s).
const maxPolicyAge = 6 * time.Second

// Leader requests the newest states of jobs from the leader.
type Leader interface {
	// QueryState returns the queue and the state of a job; false if the leader doesn't respond or doesn't have the job.
	QueryState(ctx context.Context, id string) (queue string, s batch.State, ok bool)
}

// New returns an intake without a configuration. policyAge returns the time since the configuration was last confirmed.
func New(s rowstore.Store, policyAge func() time.Duration, l Leader, log logrus.FieldLogger) *Intake {
	return &Intake{store: s, maxRow: rowstore.MinRowBytes, policyAge: policyAge, leader: l, states: newStateCache(), log: log, now: time.Now,
		sinceBoot: clock.Boot{}.SinceBoot, markers: markerBudget{byTeam: map[string]int{}}}
}

// SetMaxRowBytes sets the longest value of a row that the store takes. It must be called before the first request.
func (in *Intake) SetMaxRowBytes(n int) { in.maxRow = n }

// States returns the handler that applies changes of the states table to the cache.
func (in *Intake) States() rowstore.Handler { return in.states }

// SetPolicy puts a configuration into force, unless the same or a newer version is in force.
func (in *Intake) SetPolicy(p *batch.Policy) {
	for {
		old := in.policy.Load()
		if old != nil && old.Version >= p.Version {
			return
		}
		if in.policy.CompareAndSwap(old, p) {
			return
		}
	}
}

// Policy returns the configuration in force, or nil.
func (in *Intake) Policy() *batch.Policy { return in.policy.Load() }

// target is what a call refers to, with the policy by which that was found.
type target struct {
	policy *batch.Policy
	queue  batch.Queue
	team   string
	id     string // of the job; empty for the queue itself
}

// resolve finds the queue and the team of a call.
func (in *Intake) resolve(c Call) (target, *Reply) {
	p := in.policy.Load()
	// While the queue is not known, the last element of the path is used as the id, which it most likely is. It is only logged.
	t := target{policy: p, id: path.Base(c.Path)}
	if p == nil || in.policyAge() > maxPolicyAge {
		return t, &Reply{Code: Unavailable, Reason: "no_current_configuration", RetryAfter: storeRetryAfter}
	}
	q, ok := p.Route(c.Host, c.Path)
	if !ok {
		return t, &Reply{Code: NoQueue, Reason: "no_queue"}
	}
	t.queue, t.id = q, strings.TrimPrefix(c.Path, q.Prefix)
	t.team, ok = p.TeamByKey(c.Key)
	if !ok && !q.Public {
		return t, &Reply{Code: UnknownKey, Reason: "unknown_key"}
	}
	return t, nil
}

// logReply logs a reply and returns it. The key of the caller is never logged.
func (in *Intake) logReply(c Call, action string, t target, r Reply) Reply {
	fields := logrus.Fields{"action": action, "job": t.id, "queue": t.queue.Name, "team": t.team, "reason": r.Reason}
	if p := t.policy; p != nil {
		fields["policy_version"] = p.Version
	}
	entry := in.log.WithFields(fields)
	switch r.Code {
	case OK:
		entry.Info("request accepted")
	default:
		entry.WithFields(logrus.Fields{"policy_age_ms": min(in.policyAge(), time.Hour).Milliseconds(), "left_ms": time.Until(c.Deadline).Milliseconds()}).
			Info("request not accepted")
	}
	return r
}

// MaxBody returns the largest size of a submission in bytes; 0 without a configuration.
func (in *Intake) MaxBody() int {
	if p := in.policy.Load(); p != nil {
		return p.MaxBodyBytes
	}
	return 0
}

// Submit accepts a job. decode decodes the body of the request into a job; its error describes what is wrong with the body.
func (in *Intake) Submit(ctx context.Context, c Call, decode func() (batch.Job, error)) Reply {
	arrived := in.sinceBoot()
	t, refused := in.resolve(c)
	if refused != nil {
		return in.logReply(c, "submit", t, *refused)
	}
	j, err := decode()
	if err != nil {
		return in.logReply(c, "submit", t, Reply{Code: Malformed, Reason: err.Error()})
	}
	j.ID, j.Queue, j.Team, j.AcceptedMS = t.id, t.queue, t.team, in.now().UnixMilli()
	if problem := j.Check(); problem != "" || !validID(t.id) {
		return in.logReply(c, "submit", t, Reply{Code: Malformed, Reason: problem})
	}
	if info, ok := in.states.get(t.id); ok {
		return in.logReply(c, "submit", t, duplicateReply(info.queue == t.queue.Name, "already_known"))
	}
	if !in.states.admits(j.Team, j.MemoryBytes(), len(t.policy.Teams)) {
		return in.logReply(c, "submit", t, Reply{Code: Unavailable, Reason: "too_many_live_jobs", RetryAfter: liveJobsRetryAfter})
	}
	return in.logReply(c, "submit", t, in.storeJob(ctx, c, j, arrived))
}

// duplicateReply returns the reply to a submission whose id exists already: success for a repetition to the same queue.
func duplicateReply(sameQueue bool, reason string) Reply {
	if sameQueue {
		return Reply{Code: OK, Reason: reason}
	}
	return Reply{Code: Malformed, Reason: "id_in_use"}
}

// validID reports whether an id is not empty, at most 64 bytes long and can't be the key of another kind of row, such as a cancel request or the leader
// row.
func validID(id string) bool {
	return id != "" && id != reservedID && !strings.Contains(id, "/") && len(id) <= 64
}

// reservedID is the key of the leader row, which is in the same table as the states of jobs.
const reservedID = "leader"

// storeJob stores a job unless it is stored already or its team has left a marker for it. arrived is when the submission arrived, see submissionLifetime.
func (in *Intake) storeJob(ctx context.Context, c Call, j batch.Job, arrived time.Duration) Reply {
	value, err := json.Marshal(j)
	if err != nil {
		return Reply{Code: Malformed, Reason: err.Error()}
	}
	if len(value) > in.maxRow {
		return Reply{Code: Malformed, Reason: fmt.Sprintf("the job takes %d bytes as it is stored, at most %d are possible", len(value), in.maxRow)}
	}
	key, cancelled := jobKey(j.ID), markerKey(j.ID, j.Queue.Name, j.Team)
	tx := rowstore.Tx{Conditions: []rowstore.Condition{{Key: key}, {Key: cancelled}}, Puts: []rowstore.Row{{Key: key, Value: value}}}
	r, err := in.commit(ctx, c.Deadline, tx, func() bool { return in.sinceBoot()-arrived < submissionLifetime })
	if err != nil {
		return storeErrorReply(err)
	}
	if r.Applied {
		return Reply{Code: OK, Reason: "stored"}
	}
	if stored, ok := findRow(r.Current, key); ok {
		// An earlier attempt of this call, or an earlier request with this id, took effect.
		e, err := DecodeEntry(stored)
		if err != nil {
			return Reply{Code: Uncertain, Reason: err.Error()}
		}
		return duplicateReply(e.Job.Queue.Name == j.Queue.Name, "already_stored")
	}
	if _, ok := findRow(r.Current, cancelled); ok {
		// No earlier attempt can have taken effect: the marker would not have been written.
		return Reply{Code: Unavailable, Reason: "cancelled", RetryAfter: markerRetention}
	}
	return Reply{Code: Uncertain, Reason: "condition_failed_without_row"}
}

// findRow returns the row with the key if it exists.
func findRow(rows []rowstore.Row, key rowstore.Key) (rowstore.Row, bool) {
	for _, r := range rows {
		if r.Key == key && r.Version > 0 {
			return r, true
		}
	}
	return rowstore.Row{}, false
}

func storeErrorReply(err error) Reply {
	if errors.Is(err, rowstore.ErrRejected) {
		return Reply{Code: Malformed, Reason: "store_rejected"}
	}
	if errors.Is(err, rowstore.ErrNotDone) {
		return Reply{Code: Unavailable, Reason: "store_refused", RetryAfter: storeRetryAfter}
	}
	return Reply{Code: Uncertain, Reason: "store_silent"}
}

// commit repeats a transaction until its result is known, the caller's deadline is near or it may no longer be sent. A refusal is final only if no earlier
// attempt may have taken effect.
func (in *Intake) commit(ctx context.Context, deadline time.Time, tx rowstore.Tx, maySend func() bool) (rowstore.TxResult, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-responseReserve))
	defer cancel()
	uncertain := false
	for {
		var r rowstore.TxResult
		err := rowstore.ErrNotDone
		if maySend() {
			r, err = in.commitOnce(ctx, tx)
		}
		if err == nil {
			return r, nil
		}
		if (errors.Is(err, rowstore.ErrNotDone) || errors.Is(err, rowstore.ErrRejected)) && !uncertain {
			return r, err
		}
		uncertain = true
		select {
		case <-ctx.Done():
			return r, rowstore.ErrUncertain
		case <-time.After(retryPause):
		}
	}
}

func (in *Intake) commitOnce(ctx context.Context, tx rowstore.Tx) (rowstore.TxResult, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return in.store.Commit(ctx, tx)
}

// newestState returns the newest state of a job: that of the cache if it is terminal, else that of the leader if it responds, else that of the cache.
func (in *Intake) newestState(ctx context.Context, id string) (jobInfo, bool) {
	info, ok := in.states.get(id)
	if ok && info.state.Terminal() || !validID(id) {
		return info, ok
	}
	if queue, state, answered := in.leader.QueryState(ctx, id); answered {
		return jobInfo{queue: queue, state: state}, true
	}
	return info, ok
}

// lookup returns the queue and state of a job of the target queue, from the cache, the leader or the inbox.
func (in *Intake) lookup(ctx context.Context, c Call, t target) (jobInfo, Reply) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(-responseReserve))
	defer cancel()
	if info, r, decided := in.lookupKnown(ctx, t); decided {
		return info, r
	}
	return in.lookupInbox(ctx, t)
}

// lookupKnown is lookup without a read of the store. decided is false if the job may be in the inbox.
func (in *Intake) lookupKnown(ctx context.Context, t target) (info jobInfo, r Reply, decided bool) {
	info, ok := in.newestState(ctx, t.id)
	switch {
	case ok && info.queue != t.queue.Name:
		return jobInfo{}, Reply{Code: NoJob, Reason: "other_queue"}, true
	case ok:
		return info, Reply{Code: OK}, true
	case !validID(t.id):
		return jobInfo{}, Reply{Code: NoJob, Reason: "invalid_id"}, true
	}
	return jobInfo{}, Reply{}, false
}

// lookupInbox looks a job up in the inbox.
func (in *Intake) lookupInbox(ctx context.Context, t target) (jobInfo, Reply) {
	r, err := in.readSubmission(ctx, t.id)
	if err != nil {
		return jobInfo{}, Reply{Code: Unavailable, Reason: "store_unavailable", RetryAfter: storeRetryAfter}
	}
	for _, row := range r.Rows {
		e, err := DecodeEntry(row)
		if err != nil {
			return jobInfo{}, Reply{Code: Unavailable, Reason: err.Error(), RetryAfter: storeRetryAfter}
		}
		if e.Job.Queue.Name == t.queue.Name {
			return jobInfo{queue: t.queue.Name, state: batch.Pending}, Reply{Code: OK, Reason: "from_inbox"}
		}
	}
	return jobInfo{}, Reply{Code: NoJob, Reason: "not_found"}
}

// readSubmission reads the submission of a job from the inbox, and repeats a read without a response until ctx ends.
func (in *Intake) readSubmission(ctx context.Context, id string) (rowstore.ScanResult, error) {
	for {
		r, err := in.readSubmissionOnce(ctx, id)
		if !errors.Is(err, rowstore.ErrUncertain) {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, err
		case <-time.After(retryPause):
		}
	}
}

func (in *Intake) readSubmissionOnce(ctx context.Context, id string) (rowstore.ScanResult, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return in.store.Scan(ctx, TableInbox, partitionOf(id), rowstore.Range{From: id, To: id + "\x00"})
}

// State returns the state of a job, or the number of waiting jobs if the path names the queue.
func (in *Intake) State(ctx context.Context, c Call) Reply {
	t, refused := in.resolve(c)
	if refused != nil {
		return in.logReply(c, "state", t, *refused)
	}
	if t.id == "" {
		return Reply{Code: OK, Waiting: in.states.waitingIn(t.queue.Name)}
	}
	info, r := in.lookup(ctx, c, t)
	r.State = info.state
	if r.Code != OK {
		return in.logReply(c, "state", t, r)
	}
	return r
}
