package limits

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/clock"
	"samphirewell/internal/outcome"
)

// callWaiting makes a call that waits as in AdmitWaiting, and passes to done whether it was admitted.
func (h *simHost) callWaiting(team string, length time.Duration, done func(bool)) {
	if h.call(team, length) {
		done(true)
		return
	}
	l := h.node.Limiter
	t := (*l.teams.Load())[team]
	if !t.waiters.enter(int64(h.clock().Sub(l.base))) {
		done(false)
		return
	}
	end := h.s.now + MaxShareWait
	var again func()
	again = func() {
		admitted := h.attempt(h.node.Limiter.tryAdmit, team, length)
		if !admitted && h.s.now < end {
			l.requestShare()
			h.handleSignal()
			h.s.after(waitRetry, again)
			return
		}
		t.waiters.count.Add(-1)
		if !admitted {
			t.waiters.pausedUntil.Store(int64(h.clock().Add(waitPause).Sub(l.base)))
		}
		done(admitted)
	}
	again()
}

// refusedFraction offers calls of a small plan, at a third of its concurrency, to random hosts of 3 domains of 2 hosts each. It returns the fraction
// of calls that are refused, with or without waiting, and the table writes per second and domain.
func refusedFraction(t *testing.T, waiting bool) (fraction, writes float64) {
	const seconds = 60
	s := newSim(11, 3, 2, map[string]Plan{"a": {Rate: 200, Burst: 50, Calls: 8}})
	s.run(20 * time.Second)
	calls, refused := 0, 0
	var next func()
	next = func() {
		h := s.hosts[s.rng.IntN(len(s.hosts))]
		length := time.Duration(s.rng.Int64N(int64(200 * time.Millisecond)))
		count := func(ok bool) {
			calls++
			if !ok {
				refused++
			}
		}
		if waiting {
			h.callWaiting("a", length, count)
		} else {
			count(h.call("a", length))
		}
		s.after(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/27), next) // 2.7 calls run on average
	}
	next()
	before := s.table.attempts
	s.run(seconds * time.Second)
	must.SliceEmpty(t, s.check.errs)
	return float64(refused) / float64(calls), float64(s.table.attempts-before) / seconds / 3
}

// Guards against calls that are refused because the share of one host is used up, while other hosts hold shares that they do not use.
func TestWaitingCallsAreRefusedLess(t *testing.T) {
	without, w0 := refusedFraction(t, false)
	with, w1 := refusedFraction(t, true)
	t.Logf("refused without waiting %.4f, with waiting %.4f; %.2f and %.2f writes/s per domain", without, with, w0, w1)
	must.Less(t, without/2, with)
}

// Guards against a call that waits past its deadline, and against waiting shortly after another call of the team waited without success.
func TestWaitIsBounded(t *testing.T) {
	clk := clock.NewManual(start)
	l := NewLimiter(start)
	l.SetStatic(map[string]Plan{"a": {Rate: 100, Burst: 10, Calls: 1}}, start)
	release, ok, _, _ := l.Admit("a", start)
	must.True(t, ok)
	var wg sync.WaitGroup
	wg.Go(func() {
		_, admitted, reason, _ := l.AdmitWaiting("a", start.Add(10*time.Millisecond), clk)
		must.False(t, admitted)
		must.Eq(t, outcome.Concurrency, reason)
	})
	for (*l.teams.Load())["a"].waiters.pausedUntil.Load() == 0 {
		clk.Advance(0)
		if (*l.teams.Load())["a"].waiters.count.Load() == 1 {
			clk.Advance(10 * time.Millisecond)
		}
	}
	wg.Wait()
	_, ok, _, _ = l.AdmitWaiting("a", start.Add(time.Second), clk) // does not wait
	must.False(t, ok)
	release()
	_, ok, _, _ = l.AdmitWaiting("a", start.Add(time.Second), clk)
	must.True(t, ok)
}

// Guards against a waiting call that is not notified when another call on its host ends.
func TestWaitEndsWhenACallEnds(t *testing.T) {
	clk := clock.NewManual(start)
	l := NewLimiter(start)
	l.SetStatic(map[string]Plan{"a": {Rate: 100, Burst: 10, Calls: 1}}, start)
	release, _, _, _ := l.Admit("a", start)
	admitted := make(chan bool)
	go func() {
		_, ok, _, _ := l.AdmitWaiting("a", start.Add(time.Second), clk)
		admitted <- ok
	}()
	for (*l.teams.Load())["a"].waiters.changed.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	release()
	must.True(t, <-admitted)
}
