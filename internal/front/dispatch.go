package front

import (
	"sync"
	"sync/atomic"
	"time"

	"samphirewell/internal/clock"
	"samphirewell/internal/outcome"
	"samphirewell/internal/queue"
	"samphirewell/internal/routing"
)

const (
	// queueRetryDelay is the mean delay until waiting calls are dispatched again if no call of this host ends earlier.
	queueRetryDelay = 4 * time.Millisecond

	queueFullRetryAfter = 500 * time.Millisecond
	expiredRetryAfter   = 100 * time.Millisecond
	noBackendRetryAfter = 500 * time.Millisecond
	drainRetryAfter     = 100 * time.Millisecond
)

// dispatcher assigns executor slots to calls. While no call waits, a call takes a free slot directly; the lock is taken only when calls wait.
type dispatcher struct {
	picker  *routing.Picker
	clock   clock.Clock
	random  func() uint64
	waiting atomic.Int32 // length of queue, readable without mu

	mu             sync.Mutex
	queue          *queue.Queue
	retryScheduled bool     // a dispatchAfter goroutine is pending
	serviceNames   []string // reused by dispatchLocked
}

// waiter is the value of a queue entry.
type waiter struct {
	probe bool
	grant chan grant // buffered, capacity 1
}

// grant is the result for a waiting call: a slot on target, or a refusal if target is nil.
type grant struct {
	target  *routing.Target
	refusal outcome.Outcome
}

// acquire waits for a slot on an executor until the deadline of the call.
func (d *dispatcher) acquire(c *call) grant {
	now := d.clock.Now()
	if !now.Before(c.Deadline) {
		return expiredGrant()
	}
	if !d.picker.HasExecutor(c.Service) {
		return grant{refusal: outcome.Refuse(outcome.NoBackend, noBackendRetryAfter)}
	}
	if d.waiting.Load() == 0 {
		if t := d.picker.Pick(routing.Request{Service: c.Service, Probe: c.Repeatable}, now); t != nil {
			return grant{target: t}
		}
	}
	return d.wait(c, now)
}

func (d *dispatcher) wait(c *call, now time.Time) grant {
	w := &waiter{probe: c.Repeatable, grant: make(chan grant, 1)}
	e := &queue.Entry{Service: c.Service, Class: c.Class, Deadline: c.Deadline, Value: w}
	d.mu.Lock()
	expired, shed := d.queue.Push(e, now)
	refuseExpired(expired)
	if shed != nil {
		shed.Value.(*waiter).grant <- grant{refusal: outcome.Refuse(outcome.QueueFull, queueFullRetryAfter)}
	}
	d.dispatchLocked(now)
	d.mu.Unlock()
	select {
	case g := <-w.grant:
		return g
	case <-d.clock.After(c.Deadline.Sub(now)):
	}
	d.mu.Lock()
	removed := d.queue.Remove(e)
	d.waiting.Store(int32(d.queue.Len()))
	d.mu.Unlock()
	if removed {
		return expiredGrant()
	}
	return <-w.grant
}

// callEnded is called when a call of this host has released its slot.
func (d *dispatcher) callEnded() {
	if d.waiting.Load() > 0 {
		d.dispatch()
	}
}

// dispatch assigns free slots to waiting calls.
func (d *dispatcher) dispatch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatchLocked(d.clock.Now())
}

func (d *dispatcher) dispatchLocked(now time.Time) {
	d.serviceNames = d.queue.Waiting(d.serviceNames[:0])
	for _, service := range d.serviceNames {
		d.dispatchService(service, now)
	}
	n := d.queue.Len()
	d.waiting.Store(int32(n))
	if n > 0 && !d.retryScheduled {
		d.retryScheduled = true
		delay := queueRetryDelay/2 + time.Duration(d.random()%uint64(queueRetryDelay))
		go d.dispatchAfter(d.clock.After(delay))
	}
}

func (d *dispatcher) dispatchService(service string, now time.Time) {
	for {
		e, expired := d.queue.Peek(service, now)
		refuseExpired(expired)
		if e == nil {
			return
		}
		w := e.Value.(*waiter)
		t := d.picker.Pick(routing.Request{Service: service, Probe: w.probe}, now)
		if t == nil {
			return
		}
		d.queue.Remove(e)
		w.grant <- grant{target: t}
	}
}

func (d *dispatcher) dispatchAfter(due <-chan time.Time) {
	<-due
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryScheduled = false
	d.dispatchLocked(d.clock.Now())
}

// refuseAll refuses all waiting calls.
func (d *dispatcher) refuseAll(refusal outcome.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.queue.Drain() {
		e.Value.(*waiter).grant <- grant{refusal: refusal}
	}
	d.waiting.Store(0)
}

func refuseExpired(entries []*queue.Entry) {
	for _, e := range entries {
		e.Value.(*waiter).grant <- expiredGrant()
	}
}

func expiredGrant() grant {
	return grant{refusal: outcome.Refuse(outcome.Expired, expiredRetryAfter)}
}
