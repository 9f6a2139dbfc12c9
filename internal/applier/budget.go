package applier

import "time"

// writeBudget limits the rate of write transactions with a token bucket.
type writeBudget struct {
	perSecond, burst float64
	available        float64
	refilledAt       time.Time
}

func newWriteBudget(perSecond float64, burst int) writeBudget {
	return writeBudget{perSecond: perSecond, burst: float64(burst), available: float64(burst)}
}

// take consumes one transaction of the budget. It returns false if none is available.
func (b *writeBudget) take(now time.Time) bool {
	if !b.refilledAt.IsZero() {
		b.available = min(b.burst, b.available+now.Sub(b.refilledAt).Seconds()*b.perSecond)
	}
	b.refilledAt = now
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
