package limits

import (
	"sync/atomic"
	"time"

	"samphirewell/internal/clock"
	"samphirewell/internal/outcome"
)

const (
	// MaxShareWait is the longest time for which a call waits for a larger share of its host.
	MaxShareWait = 25 * time.Millisecond
	// waitPause is the time after an unsuccessful wait in which calls of the team are refused without waiting. The team is then at its limit, and
	// waiting would only delay refusals.
	waitPause = 100 * time.Millisecond
	// waitRetry is the time after which a call that waits for concurrency tries again without a notification.
	waitRetry = 5 * time.Millisecond
	// maxWaiting is the largest number of calls of one team that may wait at the same time.
	maxWaiting = 64
)

// waiters are the calls of one team that wait for a larger share.
type waiters struct {
	count       atomic.Int64
	pausedUntil atomic.Int64 // nanoseconds since the limiter's base
	changed     atomic.Pointer[chan struct{}]
}

// channel returns the channel that is closed when a waiting call may succeed.
func (w *waiters) channel() <-chan struct{} {
	for {
		if c := w.changed.Load(); c != nil {
			return *c
		}
		c := make(chan struct{})
		w.changed.CompareAndSwap(nil, &c)
	}
}

// notify makes all waiting calls try again.
func (w *waiters) notify() {
	if c := w.changed.Swap(nil); c != nil {
		close(*c)
	}
}

// enter adds a waiting call. It returns false during a pause or when maxWaiting calls wait; else the caller decrements count afterwards.
func (w *waiters) enter(at int64) bool {
	if at < w.pausedUntil.Load() {
		return false
	}
	if w.count.Add(1) > maxWaiting {
		w.count.Add(-1)
		return false
	}
	return true
}

// AdmitWaiting is Admit, except that a call for which the share of this host is too small makes the node request a larger share and waits for it, for
// at most MaxShareWait and not past its deadline.
func (l *Limiter) AdmitWaiting(name string, deadline time.Time, clk clock.Clock) (release func(), ok bool, reason outcome.Reason, retryAfter time.Duration) {
	now := clk.Now()
	release, ok, reason, retryAfter = l.Admit(name, now)
	wait := min(MaxShareWait, deadline.Sub(now))
	if ok || wait <= 0 || reason != outcome.RateLimit && reason != outcome.Concurrency {
		return release, ok, reason, retryAfter
	}
	t := (*l.teams.Load())[name]
	if t == nil || !t.waiters.enter(int64(now.Sub(l.base))) {
		return nil, false, reason, retryAfter
	}
	defer t.waiters.count.Add(-1)
	end := clk.After(wait)
	for {
		changed := t.waiters.channel()
		l.requestShare()
		if release, ok, reason, retryAfter = l.tryAdmit(name, clk.Now()); ok {
			return release, true, "", 0
		}
		select {
		case <-changed:
		case <-clk.After(nextTryIn(reason, retryAfter)):
		case <-end:
			t.waiters.pausedUntil.Store(int64(clk.Now().Add(waitPause).Sub(l.base)))
			return nil, false, reason, retryAfter
		}
	}
}

// nextTryIn returns the time until the next try without a notification: when the next token is available or, for concurrency, waitRetry, because a
// demand may have been delayed to limit the rate of demands.
func nextTryIn(reason outcome.Reason, retryAfter time.Duration) time.Duration {
	if reason == outcome.RateLimit {
		return max(retryAfter, time.Millisecond)
	}
	return waitRetry
}

// requestShare wakes the node, so that it reports the waiting calls to the share owners.
func (l *Limiter) requestShare() {
	if l.wake != nil {
		l.wake()
	}
}

// addWaitingCalls raises the demand of teams whose calls wait, without waiting for the next measurement.
func (h *holder) addWaitingCalls() {
	for name, t := range h.teams {
		waiting := t.team.waiters.count.Load()
		if waiting <= 0 {
			continue
		}
		p := h.n.plans[name]
		_, running, _ := t.team.gate.load()
		t.demandCalls = max(t.demandCalls, min(float64(p.Calls), float64(running+waiting)))
	}
}
