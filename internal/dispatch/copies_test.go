package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// copyInterval is the time after which a copy without a response is followed by the next one.
const copyInterval = 700 * time.Millisecond

// steppedClock is a Clock that a test sets.
type steppedClock struct{ now time.Duration }

func (c *steppedClock) SinceBoot() time.Duration { return c.now }
func (c *steppedClock) WallMS() int64            { return c.now.Milliseconds() }

// Guards against a start that is carried out seconds after the leader has given it up (review/11): the stop that follows may be late as well.
func TestCopyOfAStartIsValidForASecond(t *testing.T) {
	r, o, _ := orderedStart(t)
	w := r.core.workers["w"]
	clock := &steppedClock{now: w.lastContact + time.Hour} // the worker was idle
	r.clock = clock
	r.sentAt.Store(int64(clock.now))
	copies := 0
	r.workers = lossyWorkers{attempt: func(sent Order) Result {
		workerClock := w.lastClock + clock.now - w.lastContact
		must.Eq(t, workerClock+startValidity, sent.LeaseEnd, must.Sprint("the worker refuses a copy that was on its way for longer"))
		must.Eq(t, sent.LeaseEnd, w.leaseEnd, must.Sprint("the run has ended when the leader counts its lease as over"))
		copies++
		clock.now += copyInterval
		return Unknown
	}}
	r.send(context.Background(), o)
	must.Eq(t, orderAttempts, copies)
}

// Guards against runs whose lease ends before its first renewal: a worker that gets a start gets a renewal at once, whose lease covers the longest wait.
func TestRenewalFollowsAStartAtOnce(t *testing.T) {
	r, _, _ := orderedStart(t)
	must.SliceContains(t, r.core.TakePollWakeups(), "w")
	var renewal Renewal
	for range 2 { // the first one reads the worker's state
		renewal, _ = r.core.NextRenewal("w", r.clock.SinceBoot())
	}
	must.Greater(t, r.core.workers["w"].lastClock+renewalWait+startValidity, renewal.LeaseEnd)
}
