package limits

import "sync/atomic"

// gate limits the number of concurrently running calls. Limit and counts share one atomic word, so code that lowers the limit sees every call
// that started under the old one.
type gate struct {
	// Bits 0-19: running calls. Bits 20-39: limit. Bits 40-63: calls entered since start, modulo 2^24, to measure the demand.
	word atomic.Uint64
}

const (
	gateMask       = 1<<20 - 1
	gateLimitShift = 20
	gateEntryShift = 40
)

// enter counts one more running call unless the limit is reached.
func (g *gate) enter() bool {
	for {
		w := g.word.Load()
		if w&gateMask >= w>>gateLimitShift&gateMask {
			return false
		}
		if g.word.CompareAndSwap(w, w+1<<gateEntryShift+1) {
			return true
		}
	}
}

// leave ends one running call.
func (g *gate) leave() {
	if g.word.Add(^uint64(0))&gateMask == gateMask {
		panic("limits: release without a running call")
	}
}

// setLimit replaces the limit.
func (g *gate) setLimit(limit int64) {
	limit = max(0, min(limit, gateMask))
	for {
		w := g.word.Load()
		next := w&^(gateMask<<gateLimitShift) | uint64(limit)<<gateLimitShift
		if g.word.CompareAndSwap(w, next) {
			return
		}
	}
}

// load returns the limit, the number of running calls and the number of calls entered since start, modulo 2^24.
func (g *gate) load() (limit, running int64, entries uint32) {
	w := g.word.Load()
	return int64(w >> gateLimitShift & gateMask), int64(w & gateMask), uint32(w >> gateEntryShift)
}
