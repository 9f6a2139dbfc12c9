// Package timeline records typed events on each host and merges the events of all hosts into one timeline. Hybrid logical clocks keep
// causes before their effects in spite of clock skew between the hosts.
package timeline

import (
	"sync"

	"samphirewell/internal/clock"
)

// MaxAheadMs is how far a remote timestamp may be ahead of the local clock, in milliseconds, and still be adopted. The limit keeps a host
// whose clock is far ahead from moving the clocks of all other hosts.
const MaxAheadMs = 60_000

// Timestamp is a reading of a hybrid logical clock.
type Timestamp struct {
	Ms    int // physical part, Unix milliseconds
	Count int // counter among equal physical parts
}

// Before reports whether t orders before u.
func (t Timestamp) Before(u Timestamp) bool {
	return t.Ms < u.Ms || t.Ms == u.Ms && t.Count < u.Count
}

// HLC is a hybrid logical clock. It never runs backwards, and a reading taken after Observe(t) accepted t is later than t.
type HLC struct {
	mu       sync.Mutex
	clk      clock.Clock
	last     Timestamp // latest reading or observed timestamp
	rejected int       // remote timestamps that were too far ahead
}

// NewHLC returns a hybrid logical clock on top of clk.
func NewHLC(clk clock.Clock) *HLC { return &HLC{clk: clk} }

// Now returns a timestamp later than all earlier ones.
func (h *HLC) Now() Timestamp {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(int(h.clk.Now().UnixMilli()))
	return h.last
}

// Observe applies the timestamp of a received message to the clock. It returns false and ignores the timestamp if that is more than
// MaxAheadMs ahead of the local clock.
func (h *HLC) Observe(t Timestamp) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	wall := int(h.clk.Now().UnixMilli())
	if t.Ms > wall+MaxAheadMs {
		h.rejected++
		return false
	}
	if h.last.Before(t) {
		h.last = t
	}
	return true
}

// Rejected returns how many remote timestamps were too far ahead.
func (h *HLC) Rejected() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rejected
}

func (h *HLC) advance(wall int) {
	if wall > h.last.Ms {
		h.last = Timestamp{Ms: wall}
		return
	}
	h.last.Count++
}
