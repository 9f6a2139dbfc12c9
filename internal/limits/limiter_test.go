package limits

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/outcome"
)

var start = time.Unix(1000, 0)

func admitN(l *Limiter, n int, now time.Time) (ok int, reason outcome.Reason) {
	for range n {
		release, admitted, why, _ := l.Admit("a", now)
		if admitted {
			release()
			ok++
		} else {
			reason = why
		}
	}
	return ok, reason
}

// Guards against a bucket that admits more than rate x T + burst, or less than the stretched rate allows.
func TestAdmitKeepsRateAndBurst(t *testing.T) {
	l := NewLimiter(start)
	l.SetStatic(map[string]Plan{"a": {Rate: 100, Burst: 10, Calls: 5}}, start)
	n, reason := admitN(l, 50, start)
	must.Eq(t, 10, n)
	must.Eq(t, outcome.RateLimit, reason)
	n, _ = admitN(l, 50, start.Add(50*time.Millisecond))
	must.Eq(t, 4, n)
}

// Guards against a retry-after before which the same call is refused again.
func TestRetryAfterIsTheEarliestSuccess(t *testing.T) {
	l := NewLimiter(start)
	l.SetStatic(map[string]Plan{"a": {Rate: 0.5, Burst: 1, Calls: 5}}, start)
	admitN(l, 1, start)
	_, ok, _, wait := l.Admit("a", start)
	must.False(t, ok)
	n, _ := admitN(l, 1, start.Add(wait-1))
	must.Eq(t, 0, n)
	n, _ = admitN(l, 1, start.Add(wait))
	must.Eq(t, 1, n)
}

// Guards against tokens that are added when a share grows, kept when it shrinks, or kept after the lease expired.
func TestShareChangesCreateNoTokens(t *testing.T) {
	l := NewLimiter(start)
	l.SetStatic(map[string]Plan{"a": {Rate: 10, Burst: 4, Calls: 5}}, start)
	tm := (*l.teams.Load())["a"]
	tm.setShare(Share{Rate: 10e6, Burst: 100, Calls: 5}, 0, int64(time.Second))
	tm.setShare(Share{Rate: 10e6, Burst: 2, Calls: 5}, 0, int64(time.Second))
	tm.setShare(Share{Rate: 10e6, Burst: 100, Calls: 5}, 0, int64(time.Second))
	n, _ := admitN(l, 50, start)
	must.Eq(t, 2, n)
	tm.setShare(Share{Rate: 10e6, Burst: 100, Calls: 5}, int64(2*time.Second), int64(4*time.Second))
	n, _ = admitN(l, 50, start.Add(2*time.Second))
	must.Eq(t, 0, n)
}

// Guards against calls above the limit while the limit is lowered and calls start concurrently.
func TestGateCountsEveryCallAcrossLimitChanges(t *testing.T) {
	var g gate
	g.setLimit(8)
	var over atomic.Int64
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 10000 {
				if !g.enter() {
					continue
				}
				if _, running, _ := g.load(); running > 8 {
					over.Add(1)
				}
				g.leave()
			}
		})
	}
	for i := range 1000 {
		g.setLimit(int64(i % 9))
	}
	wg.Wait()
	_, running, _ := g.load()
	must.Eq(t, 0, running)
	must.Eq(t, 0, over.Load())
}

// Guards against an allocation or a lock on the request path.
func BenchmarkAdmit(b *testing.B) {
	l := NewLimiter(start)
	l.SetStatic(map[string]Plan{"a": {Rate: 1e8, Burst: 1e9, Calls: 1 << 20}}, start)
	now := start.Add(time.Second)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if release, ok, _, _ := l.Admit("a", now); ok {
				release()
			}
		}
	})
}
