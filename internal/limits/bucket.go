package limits

import (
	"math"
	"sync/atomic"
	"time"
)

// replacedTAT marks a bucket that was replaced. No theoretical arrival time reaches it.
const replacedTAT = math.MaxInt64

// maxDepth limits depth, in nanoseconds (36 years), so that sums of times do not overflow int64.
const maxDepth = 1 << 60

// bucket is a token bucket in the form of the generic cell rate algorithm: one word holds the theoretical arrival
// time (TAT) in nanoseconds, so taking a token is one compare-and-swap. Rate and capacity never change; a new share
// makes a new bucket with the tokens of the old one.
type bucket struct {
	tat      atomic.Int64
	_        [cacheLine]byte
	interval int64 // nanoseconds per token, rounded up and stretched by the clock rate error; 0 when nothing is allowed
	depth    int64 // capacity x interval, in nanoseconds
	rate     int64 // share of the rate, in microcalls per second
	capacity int64 // share of the burst, in calls
}

// newBucket returns a bucket that holds tokens (fractions allowed) at now, at most its capacity.
func newBucket(rate, capacity int64, tokens float64, now int64) *bucket {
	b := &bucket{rate: rate, capacity: capacity}
	if rate <= 0 || capacity <= 0 {
		return b
	}
	b.interval = int64(math.Ceil(1e15 * (1 + ClockRateError) / float64(rate)))
	b.interval = min(b.interval, int64(24*time.Hour))
	b.depth = min(capacity, maxDepth/b.interval) * b.interval
	tokens = max(0, min(tokens, float64(capacity)))
	b.tat.Store(now + b.depth - int64(tokens*float64(b.interval)))
	return b
}

// take removes one token. When no token is available it returns the wait in nanoseconds until one is; retry is true when the bucket was replaced.
func (b *bucket) take(now int64) (ok, retry bool, wait int64) {
	for {
		tat := b.tat.Load()
		if tat == replacedTAT {
			return false, true, 0
		}
		if b.interval == 0 {
			return false, false, 0
		}
		next := max(tat, now) + b.interval
		if over := next - now - b.depth; over > 0 {
			return false, false, over
		}
		if b.tat.CompareAndSwap(tat, next) {
			return true, false, 0
		}
	}
}

// close marks the bucket as replaced and returns the tokens that it held at now, rounded down to a nanosecond of refill.
func (b *bucket) close(now int64) float64 {
	tat := b.tat.Swap(replacedTAT)
	if b.interval == 0 || tat == replacedTAT {
		return 0
	}
	remaining := min(b.depth, now+b.depth-tat)
	return max(0, float64(remaining)/float64(b.interval))
}
