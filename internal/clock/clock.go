// Package clock provides the time source that is injected into every component, so that tests need no sleeps.
package clock

import (
	"sync"
	"time"
)

// Clock provides the current time and timers. Durations between two readings are monotonic.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives once d has passed.
	After(d time.Duration) <-chan time.Time
}

// Real is the clock of the operating system.
type Real struct{}

// Now returns the current time.
func (Real) Now() time.Time { return time.Now() }

// After waits on the clock of the operating system.
func (Real) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Manual is a clock that moves only when Advance is called.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	due time.Time
	ch  chan time.Time
}

// NewManual returns a manual clock set to start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the start time plus all advances.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives when Advance reaches now+d.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- m.now
		return ch
	}
	m.waiters = append(m.waiters, waiter{m.now.Add(d), ch})
	return ch
}

// Advance moves the clock by d and releases the waiters that are due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	pending := m.waiters[:0]
	for _, w := range m.waiters {
		if w.due.After(m.now) {
			pending = append(pending, w)
			continue
		}
		w.ch <- m.now
	}
	m.waiters = pending
}
