package front

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/clock"
	"samphirewell/internal/outcome"
	"samphirewell/internal/queue"
	"samphirewell/internal/registry"
	"samphirewell/internal/routing"
)

// Guards against a call in the queue that is refused before its deadline, or that waits beyond it.
func TestWaitingCallExpiresAtItsDeadline(t *testing.T) {
	now := clock.NewManual(time.Unix(1000, 0))
	random := func() uint64 { return 1 }
	picker := routing.New(routing.Config{Slots: 1}, random)
	picker.Update([]registry.Server{{ID: "e", Service: "price"}})
	d := &dispatcher{picker: picker, clock: now, random: random, queue: queue.New(4)}
	c := &call{Service: "price", Deadline: now.Now().Add(time.Second)}
	must.NotNil(t, d.acquire(c).target) // takes the only slot
	done := make(chan grant, 1)
	go func() { done <- d.acquire(c) }()
	for {
		select {
		case g := <-done:
			must.Eq(t, outcome.Expired, g.refusal.Reason)
			must.False(t, now.Now().Before(c.Deadline))
			must.Eq(t, 0, d.waiting.Load())
			return
		default:
			now.Advance(time.Millisecond)
		}
	}
}

// Guards against overload in which callers' further attempts displace first attempts: while calls wait, further attempts are limited by the
// retry budget.
func TestFurtherAttemptsNeedBudgetWhileCallsWait(t *testing.T) {
	f := startFront(t, func(o *Options) { o.Clock = clock.NewManual(time.Unix(1000, 0)) })
	second := &call{Attempt: 2, Class: queue.Normal}
	f.dispatcher.waiting.Store(1)
	granted := 0
	for f.admitAttempt(second) {
		granted++
	}
	must.Between(t, 1, granted, 20)
	must.True(t, f.admitAttempt(&call{Attempt: 1, Class: queue.Normal}))
	f.dispatcher.waiting.Store(0)
	must.True(t, f.admitAttempt(second))
}
