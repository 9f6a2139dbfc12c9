// Package limits enforces the plan limits of the teams (calls per second, burst, concurrent calls) exactly over all entry hosts. A row of the
// platform's table records how many quota units of each team's limits a failure domain holds. Inside the domain, one member per team, its share
// owner, grants each host a share under a lease. One member of the domain, the row writer, reads and writes the row. Admit uses only the share of
// its host, without communication.
package limits

import (
	"sync"
	"sync/atomic"
	"time"

	"samphirewell/internal/outcome"
)

const (
	// ViewLease is the longest time for which a host acts in a view without responses from all its members.
	ViewLease = 2 * time.Second
	// ShareLease is the lifetime of a grant, counted from the sending of the demand that it answers. It is longer than the ViewLease after which
	// a failed share owner is removed from the view, so that the survivors still hold shares that can be renewed. A host that has lost contact
	// stops after ViewLease all the same, because Admit needs the view lease too.
	ShareLease = 2 * ViewLease
	// MaxCallTime is the longest time for which a call may run; deadlines are at most this long.
	MaxCallTime = 10 * time.Second
	// ClockRateError is the largest relative difference between the rates of two clocks that the limits tolerate.
	ClockRateError = 0.01
	// QuotaUnits is the number of units into which each limit of a team is divided among the domains.
	QuotaUnits = 1000
)

// defaultRetryAfter is the advised retry delay when only a new grant can help: the share follows the demand within about a second.
const defaultRetryAfter = time.Second

// cacheLine is the padding, in bytes, between words that change often and words that are mostly read.
const cacheLine = 64

// Plan is the limit of one team over all entry hosts. A burst below 1 counts as 1, since otherwise no call could
// ever be admitted.
type Plan struct {
	Rate  float64 // calls per second
	Burst int     // calls
	Calls int     // concurrent calls
}

// Share is the part of a plan that a host holds.
type Share struct {
	Rate  int64 // microcalls per second
	Burst int64 // calls
	Calls int64 // concurrent calls
}

// Limiter admits calls on one host. Admit is safe for concurrent use with all other methods.
type Limiter struct {
	base           time.Time // origin of the times in nanoseconds
	teams          atomic.Pointer[map[string]*team]
	viewLeaseUntil atomic.Int64 // end of the view lease, nanoseconds since base

	wake func() // notifies the node that a share is too small; nil without a node

	mu sync.Mutex // serializes changes of teams and shares
}

// team is the request-path state of one team.
type team struct {
	bucket     atomic.Pointer[bucket]
	leaseUntil atomic.Int64 // end of the grant, nanoseconds since the limiter's base
	// Nanoseconds between two calls at the rate of the whole plan. The retry delay advised under a small share is at most this or
	// defaultRetryAfter, whichever is longer, since the share follows the demand.
	callInterval atomic.Int64
	release      func()
	waiters      waiters
	_            [cacheLine]byte // the words below change with each call
	gate         gate
	refused      atomic.Int64 // calls refused by the gate or without a lease since start; part of the demand
}

// NewLimiter returns a limiter without teams and leases.
func NewLimiter(now time.Time) *Limiter {
	l := &Limiter{base: now}
	l.teams.Store(&map[string]*team{})
	return l
}

// Admit admits one call of the team or refuses it. The caller must call release exactly once when an admitted call has ended. Reasons of a refusal:
// UnknownTeam, NoView, RateLimit, Concurrency. retryAfter is the time until the earliest useful retry, 0 when a retry is of no use.
func (l *Limiter) Admit(name string, now time.Time) (release func(), ok bool, reason outcome.Reason, retryAfter time.Duration) {
	release, ok, reason, retryAfter = l.tryAdmit(name, now)
	if !ok && reason != outcome.UnknownTeam && reason != outcome.NoView {
		if t := (*l.teams.Load())[name]; t != nil && (reason == outcome.Concurrency || int64(now.Sub(l.base)) >= t.leaseUntil.Load()) {
			t.refused.Add(1)
		}
	}
	return release, ok, reason, retryAfter
}

// tryAdmit is Admit without counting a refusal as demand.
func (l *Limiter) tryAdmit(name string, now time.Time) (release func(), ok bool, reason outcome.Reason, retryAfter time.Duration) {
	t := (*l.teams.Load())[name]
	if t == nil {
		return nil, false, outcome.UnknownTeam, 0
	}
	at := int64(now.Sub(l.base))
	if at >= l.viewLeaseUntil.Load() {
		return nil, false, outcome.NoView, ViewLease
	}
	if at >= t.leaseUntil.Load() {
		return nil, false, outcome.RateLimit, defaultRetryAfter
	}
	if !t.gate.enter() {
		return nil, false, outcome.Concurrency, defaultRetryAfter
	}
	if wait, ok := t.takeToken(at); !ok {
		t.gate.leave()
		return nil, false, outcome.RateLimit, wait
	}
	return t.release, true, "", 0
}

// takeToken takes a token from the current bucket.
func (t *team) takeToken(at int64) (time.Duration, bool) {
	for {
		ok, retry, wait := t.bucket.Load().take(at)
		if retry {
			continue // the bucket was replaced, and the new one is stored next
		}
		if wait <= 0 {
			return defaultRetryAfter, ok // no share of the rate
		}
		return time.Duration(min(wait, max(int64(defaultRetryAfter), t.callInterval.Load()))), ok
	}
}

// setShare applies a share until the given time. A larger share adds no tokens; a smaller one removes those above its burst. Tokens of an expired
// lease are removed, because another host may have been granted them since.
func (t *team) setShare(s Share, at, until int64) {
	old := t.bucket.Load()
	expired := at >= t.leaseUntil.Load()
	if expired || old.rate != s.Rate || old.capacity != s.Burst {
		tokens := old.close(at)
		if expired {
			tokens = 0
		}
		t.bucket.Store(newBucket(s.Rate, s.Burst, tokens, at))
	}
	t.gate.setLimit(s.Calls)
	t.leaseUntil.Store(until)
	t.waiters.notify()
}

func newTeam() *team {
	t := &team{}
	t.release = func() {
		t.gate.leave()
		if t.waiters.count.Load() > 0 {
			t.waiters.notify()
		}
	}
	t.bucket.Store(newBucket(0, 0, 0, 0))
	return t
}

// SetViewLease sets the time until which this host may act in its view. No call is admitted afterwards.
func (l *Limiter) SetViewLease(until time.Time) { l.viewLeaseUntil.Store(int64(until.Sub(l.base))) }

// SetStatic gives this host the whole plans without a lease. It is for a single host and must not be combined with a Node. Buckets of new teams
// are full.
func (l *Limiter) SetStatic(plans map[string]Plan, now time.Time) {
	const forever = 1 << 62
	l.mu.Lock()
	defer l.mu.Unlock()
	l.viewLeaseUntil.Store(forever)
	at := int64(now.Sub(l.base))
	l.replaceTeams(plans, func(name string, t *team, created bool) {
		p := plans[name]
		t.callInterval.Store(p.callInterval())
		s := Share{Rate: p.microRate(), Burst: p.burst(), Calls: int64(p.Calls)}
		if created {
			t.bucket.Store(newBucket(s.Rate, s.Burst, float64(s.Burst), at))
			t.leaseUntil.Store(forever)
		}
		t.setShare(s, at, forever)
	})
}

// replaceTeams publishes the teams of the plans and keeps the state of existing ones. Before that it calls each on every team.
func (l *Limiter) replaceTeams(plans map[string]Plan, each func(name string, t *team, created bool)) {
	old := *l.teams.Load()
	next := make(map[string]*team, len(plans))
	for name := range plans {
		t, exists := old[name]
		if !exists {
			t = newTeam()
		}
		each(name, t, !exists)
		next[name] = t
	}
	l.teams.Store(&next)
}

func (p Plan) microRate() int64 { return int64(p.Rate * 1e6) }

// callInterval returns the nanoseconds between two calls at the rate of the whole plan, at most an hour.
func (p Plan) callInterval() int64 {
	if p.Rate <= 0 {
		return int64(time.Hour)
	}
	return int64(min(1e9*(1+ClockRateError)/p.Rate, float64(time.Hour))) + 1
}

func (p Plan) burst() int64 { return int64(max(p.Burst, 1)) }
