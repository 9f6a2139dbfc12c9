// Package retry limits the retries of calls with a budget per class, which grows with successful calls, and computes the
// jittered exponential backoff before a retry.
package retry

import (
	"sync/atomic"
	"time"

	"samphirewell/internal/queue"
)

const (
	// successesPerRetry is the number of successful calls that add one retry to the budget: retries are limited to 10% of the successes.
	successesPerRetry = 10
	// InitialTokens is the number of retries in the budget of a host that has just started, so that a host with little load can retry at all.
	InitialTokens = 10
	// MaxTokens is the upper limit of the budget, so that a long time without retries cannot save up enough for a retry storm.
	MaxTokens = 100
	// FloorPeriod is the minimum time between two retries of a class whose budget is used up: the class still gets one retry per
	// FloorPeriod.
	FloorPeriod = time.Second
)

// Budget counts the remaining retries of each class. It is safe for concurrent use and lock-free.
type Budget struct {
	classes [queue.Classes]bucket
}

// bucket is the budget of one class.
type bucket struct {
	tenths         atomic.Int64 // remaining budget in tenths of a retry
	lastFloorRetry atomic.Int64 // time of the last retry that FloorPeriod allowed, Unix nanoseconds
}

// NewBudget returns a budget with InitialTokens retries in each class.
func NewBudget() *Budget {
	b := &Budget{}
	for i := range b.classes {
		b.classes[i].tenths.Store(InitialTokens * successesPerRetry)
	}
	return b
}

// Success records an answered call.
func (b *Budget) Success(class queue.Class) {
	t := &b.classes[class].tenths
	for {
		old := t.Load()
		if old >= MaxTokens*successesPerRetry || t.CompareAndSwap(old, old+1) {
			return
		}
	}
}

// Take uses one retry of the budget at now. It reports whether the retry may be made.
func (b *Budget) Take(class queue.Class, now time.Time) bool {
	bucket := &b.classes[class]
	for {
		old := bucket.tenths.Load()
		if old < successesPerRetry {
			return bucket.takeFloorRetry(now)
		}
		if bucket.tenths.CompareAndSwap(old, old-successesPerRetry) {
			return true
		}
	}
}

// takeFloorRetry grants one retry per FloorPeriod. It is used when the budget is used up.
func (b *bucket) takeFloorRetry(now time.Time) bool {
	last := b.lastFloorRetry.Load()
	return now.UnixNano()-last >= int64(FloorPeriod) && b.lastFloorRetry.CompareAndSwap(last, now.UnixNano())
}

// Delay returns the time to wait before the given retry (1 for the first): uniform in [d/2, d), where d is base, doubled for
// each earlier retry, and at most limit. random must be uniform over all uint64 values.
func Delay(retryNumber int, base, limit time.Duration, random uint64) time.Duration {
	d := base
	for i := 1; i < retryNumber && d < limit; i++ {
		d *= 2
	}
	d = min(d, limit)
	half := d / 2
	if half <= 0 {
		return d
	}
	return half + time.Duration(random%uint64(half))
}
