package intake

import (
	"context"
	"encoding/json"
	"path"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/rowstore"
)

const (
	// tryTimeout bounds one call to the table; it exceeds the time of a transaction on a store that is slowed 60 times (0.25 s).
	tryTimeout = 800 * time.Millisecond
	// retryPause is the pause between two tries of a transaction of unknown result.
	retryPause = 50 * time.Millisecond
	// reserveForAnswer is the part of the caller's time that is kept for sending the answer.
	reserveForAnswer = 150 * time.Millisecond
	// storeRetryAfter is when a caller may come back after the table refused a call. Outages last seconds, and another host may be served.
	storeRetryAfter = time.Second
)

// Code is the kind of an answer to a caller.
type Code uint8

// Codes of answers.
const (
	OK          Code = iota + 1
	Malformed        // the request can never be accepted
	UnknownKey       // the key belongs to no team
	NoQueue          // no queue under this address
	NoJob            // no such job
	Unavailable      // not accepted and certainly not run; the caller may repeat the request
	Uncertain        // whether it took effect is not known; the same request may come again
)

// String returns the name for logs and metrics.
func (c Code) String() string {
	return [...]string{"", "ok", "malformed", "unknown_key", "no_queue", "no_job", "not_now", "uncertain"}[c]
}

// Reply is the answer to a caller.
type Reply struct {
	Code       Code
	Reason     string
	State      batch.State // of a job
	Waiting    int         // jobs of a queue
	RetryAfter time.Duration
}

// Call is what all requests of callers carry.
type Call struct {
	Host, Path, Key string
	Deadline        time.Time
}

// Intake serves callers. It is safe for concurrent use.
type Intake struct {
	store     rowstore.Store
	policy    atomic.Pointer[batch.Policy]
	policyAge func() time.Duration
	states    *states
	leader    Leader
	log       logrus.FieldLogger
	now       func() time.Time
}

// maxPolicyAge is the age at which a configuration that can't be confirmed is no longer used: keys may have been taken away since. It lies
// under the time in which a change has to be in force on a host that the table refuses while it serves others (7 s).
const maxPolicyAge = 6 * time.Second

// Leader knows the newest states of jobs.
type Leader interface {
	// QueryState asks the leader for the queue and the state of a job; false if the leader doesn't answer or doesn't know the job.
	QueryState(ctx context.Context, id string) (queue string, s batch.State, ok bool)
}

// New returns an intake without a configuration. policyAge returns for how long the configuration has not been confirmed.
func New(s rowstore.Store, policyAge func() time.Duration, l Leader, log logrus.FieldLogger) *Intake {
	return &Intake{store: s, policyAge: policyAge, leader: l, states: newStates(), log: log, now: time.Now}
}

// States returns the handler that keeps the copy of the table of states.
func (in *Intake) States() rowstore.Handler { return in.states }

// SetPolicy takes a configuration into force, unless a newer one is.
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

// target is what a call is about.
type target struct {
	policy *batch.Policy
	queue  batch.Queue
	team   string
	id     string // of the job; empty for the queue itself
}

// resolve finds the queue and the team of a call.
func (in *Intake) resolve(c Call) (target, *Reply) {
	p := in.policy.Load()
	// Without a queue the last part of the path is most likely the id; it is only logged.
	t := target{policy: p, id: path.Base(c.Path)}
	if p == nil || in.policyAge() > maxPolicyAge {
		return t, &Reply{Code: Unavailable, Reason: "no_current_configuration", RetryAfter: storeRetryAfter}
	}
	q, ok := p.Route(c.Host, c.Path)
	if !ok {
		return t, &Reply{Code: NoQueue, Reason: "no_queue"}
	}
	t.queue, t.id = q, strings.TrimPrefix(c.Path, q.Prefix)
	t.team, ok = p.TeamOf(c.Key)
	if !ok && !q.Public {
		return t, &Reply{Code: UnknownKey, Reason: "unknown_key"}
	}
	return t, nil
}

// finish logs and returns an answer. The key of the caller is never logged.
func (in *Intake) finish(c Call, action string, t target, r Reply) Reply {
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

// MaxBody returns the most bytes of a submission.
func (in *Intake) MaxBody() int {
	if p := in.policy.Load(); p != nil {
		return p.MaxBody
	}
	return 0
}

// Submit accepts a job. decode reads the body of the request into a job; its error says what is wrong.
func (in *Intake) Submit(ctx context.Context, c Call, decode func() (batch.Job, error)) Reply {
	t, refused := in.resolve(c)
	if refused != nil {
		return in.finish(c, "submit", t, *refused)
	}
	j, err := decode()
	if err != nil {
		return in.finish(c, "submit", t, Reply{Code: Malformed, Reason: err.Error()})
	}
	j.ID, j.Queue, j.Team, j.AcceptedMS = t.id, t.queue, t.team, in.now().UnixMilli()
	if problem := j.Check(); problem != "" || !validID(t.id) {
		return in.finish(c, "submit", t, Reply{Code: Malformed, Reason: problem})
	}
	if k, ok := in.states.get(t.id); ok {
		return in.finish(c, "submit", t, repeated(k.queue == t.queue.Name, "already_known"))
	}
	return in.finish(c, "submit", t, in.storeJob(ctx, c, j))
}

// repeated answers a submission of an id that exists already.
func repeated(same bool, reason string) Reply {
	if same {
		return Reply{Code: OK, Reason: reason}
	}
	return Reply{Code: Malformed, Reason: "id_in_use"}
}

// validID reports whether an id names one job and no other row.
func validID(id string) bool { return id != "" && !strings.Contains(id, "/") && len(id) <= 64 }

func (in *Intake) storeJob(ctx context.Context, c Call, j batch.Job) Reply {
	value, err := json.Marshal(j)
	if err != nil {
		return Reply{Code: Malformed, Reason: err.Error()}
	}
	key := jobKey(j.ID)
	r, err := in.commit(ctx, c.Deadline, rowstore.Tx{Conditions: []rowstore.Condition{{Key: key}}, Puts: []rowstore.Row{{Key: key, Value: value}}})
	if err != nil {
		return storeFailed(err)
	}
	if r.Applied {
		return Reply{Code: OK, Reason: "stored"}
	}
	if len(r.Current) == 0 {
		return Reply{Code: Uncertain, Reason: "condition_failed_without_row"}
	}
	// The row exists: an earlier try of this call, or an earlier request with this id, took effect.
	e, err := DecodeEntry(r.Current[0])
	if err != nil {
		return Reply{Code: Uncertain, Reason: err.Error()}
	}
	return repeated(e.Job.Queue.Name == j.Queue.Name, "already_stored")
}

func storeFailed(err error) Reply {
	if errors.Is(err, rowstore.ErrNotDone) {
		return Reply{Code: Unavailable, Reason: "store_refused", RetryAfter: storeRetryAfter}
	}
	return Reply{Code: Uncertain, Reason: "store_silent"}
}

// commit repeats a transaction until its result is known or the caller's time is over. A refusal is final only if no earlier try may
// have taken effect.
func (in *Intake) commit(ctx context.Context, deadline time.Time, tx rowstore.Tx) (rowstore.TxResult, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-reserveForAnswer))
	defer cancel()
	uncertain := false
	for {
		r, err := in.tryCommit(ctx, tx)
		if err == nil {
			return r, nil
		}
		if errors.Is(err, rowstore.ErrNotDone) && !uncertain {
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

func (in *Intake) tryCommit(ctx context.Context, tx rowstore.Tx) (rowstore.TxResult, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return in.store.Commit(ctx, tx)
}

// newest returns the newest state that is known: a terminal one from the copy, else that of the leader, else the copy.
func (in *Intake) newest(ctx context.Context, id string) (known, bool) {
	k, ok := in.states.get(id)
	if ok && k.state.Terminal() || !validID(id) {
		return k, ok
	}
	if queue, state, told := in.leader.QueryState(ctx, id); told {
		return known{queue: queue, state: state}, true
	}
	return k, ok
}

// lookup returns what is known of a job, from the copy or from the inbox.
func (in *Intake) lookup(ctx context.Context, c Call, t target) (known, Reply) {
	if k, ok := in.newest(ctx, t.id); ok {
		if k.queue != t.queue.Name {
			return known{}, Reply{Code: NoJob, Reason: "other_queue"}
		}
		return k, Reply{Code: OK}
	}
	if !validID(t.id) {
		return known{}, Reply{Code: NoJob, Reason: "invalid_id"}
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(-reserveForAnswer))
	defer cancel()
	tryCtx, cancelTry := context.WithTimeout(ctx, tryTimeout)
	defer cancelTry()
	r, err := in.store.Scan(tryCtx, TableInbox, partOf(t.id), rowstore.Range{From: t.id, To: t.id + "\x00"})
	if err != nil {
		return known{}, Reply{Code: Unavailable, Reason: "store_unavailable", RetryAfter: storeRetryAfter}
	}
	for _, row := range r.Rows {
		e, err := DecodeEntry(row)
		if err != nil {
			return known{}, Reply{Code: Unavailable, Reason: err.Error(), RetryAfter: storeRetryAfter}
		}
		if e.Job.Queue.Name == t.queue.Name {
			return known{queue: t.queue.Name, state: batch.Pending}, Reply{Code: OK, Reason: "from_inbox"}
		}
	}
	return known{}, Reply{Code: NoJob, Reason: "not_found"}
}

// State returns the state of a job, or the number of waiting jobs if the path names the queue.
func (in *Intake) State(ctx context.Context, c Call) Reply {
	t, refused := in.resolve(c)
	if refused != nil {
		return in.finish(c, "state", t, *refused)
	}
	if t.id == "" {
		return Reply{Code: OK, Waiting: in.states.waitingIn(t.queue.Name)}
	}
	k, r := in.lookup(ctx, c, t)
	r.State = k.state
	if r.Code != OK {
		return in.finish(c, "state", t, r)
	}
	return r
}

// Cancel stores a cancel request.
func (in *Intake) Cancel(ctx context.Context, c Call) Reply {
	t, refused := in.resolve(c)
	if refused != nil {
		return in.finish(c, "cancel", t, *refused)
	}
	k, r := in.lookup(ctx, c, t)
	if r.Code != OK || k.state.Terminal() {
		return in.finish(c, "cancel", t, r)
	}
	key := cancelKey(t.id)
	_, err := in.commit(ctx, c.Deadline, rowstore.Tx{Puts: []rowstore.Row{{Key: key, Value: []byte("1")}}})
	if err != nil {
		return in.finish(c, "cancel", t, storeFailed(err))
	}
	return in.finish(c, "cancel", t, Reply{Code: OK, Reason: "stored"})
}
