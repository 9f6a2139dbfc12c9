// Package queue implements the bounded queue of calls that wait for a backend server, ordered by class and deadline. It reads no clock and takes no
// locks: callers pass the current time and provide locking.
package queue

import (
	"container/heap"
	"time"

	"github.com/pkg/errors"
)

// Class is the urgency of a call. Lower values are served first.
type Class uint8

// Classes in the order in which they are served.
const (
	Urgent Class = iota
	Normal
	Batch
	// Classes is the number of classes.
	Classes = 3
)

var classNames = [Classes]string{"urgent", "normal", "batch"}

// String returns the header value of the class.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass returns the class of a header value. The error lists the accepted values.
func ParseClass(s string) (Class, error) {
	for i, name := range classNames {
		if s == name {
			return Class(i), nil
		}
	}
	return 0, errors.New("class is not urgent, normal or batch")
}

// Entry is one waiting call.
type Entry struct {
	Service  string
	Class    Class
	Deadline time.Time
	// Value is set by the caller; the queue does not use it.
	Value any

	seq          uint64
	index        int // position in the heap of its service and class, -1 if not queued
	serviceQueue *serviceQueue
}

// serviceQueue holds the entries of one service, in a heap per class.
type serviceQueue struct {
	service string
	classes [Classes]deadlineHeap
}

// Queue is a bounded queue. It is not safe for concurrent use.
type Queue struct {
	capacity  int
	length    int
	seq       uint64
	byService map[string]*serviceQueue
	services  []*serviceQueue // in order of creation, so that runs are reproducible
}

// New returns an empty queue for at most capacity entries.
func New(capacity int) *Queue {
	return &Queue{capacity: capacity, byService: map[string]*serviceQueue{}}
}

// Len returns the number of entries.
func (q *Queue) Len() int { return q.length }

// Push adds e. If e has expired, it is not queued but returned as expired. If the queue is full, expired entries are removed and returned; if that is
// not enough, the entry of the least urgent class with the earliest deadline is removed and returned as shed. It may be e itself.
func (q *Queue) Push(e *Entry, now time.Time) (expired []*Entry, shed *Entry) {
	e.index = -1
	if !now.Before(e.Deadline) {
		return []*Entry{e}, nil
	}
	if q.length >= q.capacity {
		expired = q.Expire(now)
	}
	q.insert(e)
	if q.length > q.capacity {
		shed = q.shedCandidate()
		q.Remove(shed)
	}
	return expired, shed
}

// Pop removes and returns the next entry of the service and, like Peek, the expired entries that it came across.
func (q *Queue) Pop(service string, now time.Time) (next *Entry, expired []*Entry) {
	if next, expired = q.Peek(service, now); next != nil {
		q.Remove(next)
	}
	return next, expired
}

// Peek returns the next entry of the service: the most urgent class first, within a class the earliest deadline. next is nil if no entry waits.
// Expired entries ahead of it are removed and returned separately.
func (q *Queue) Peek(service string, now time.Time) (next *Entry, expired []*Entry) {
	l := q.byService[service]
	if l == nil {
		return nil, nil
	}
	for class := range l.classes {
		h := &l.classes[class]
		for len(*h) > 0 {
			e := (*h)[0]
			if now.Before(e.Deadline) {
				return e, expired
			}
			q.Remove(e)
			expired = append(expired, e)
		}
	}
	return nil, expired
}

// Remove removes e from the queue and reports whether e was queued.
func (q *Queue) Remove(e *Entry) bool {
	if e.serviceQueue == nil || e.index < 0 {
		return false
	}
	heap.Remove(&e.serviceQueue.classes[e.Class], e.index)
	e.serviceQueue = nil
	q.length--
	return true
}

// Expire removes and returns the entries whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Entry {
	var out []*Entry
	for _, l := range q.services {
		for class := range l.classes {
			h := &l.classes[class]
			for len(*h) > 0 && !now.Before((*h)[0].Deadline) {
				e := (*h)[0]
				q.Remove(e)
				out = append(out, e)
			}
		}
	}
	return out
}

// Drain removes and returns all entries.
func (q *Queue) Drain() []*Entry {
	var out []*Entry
	for _, l := range q.services {
		for class := range l.classes {
			for len(l.classes[class]) > 0 {
				e := l.classes[class][0]
				q.Remove(e)
				out = append(out, e)
			}
		}
	}
	return out
}

// Waiting appends the services with waiting entries to buf: by the most urgent class of their entries, then in the order in which the services were
// first used.
func (q *Queue) Waiting(buf []string) []string {
	for class := range Classes {
		for _, l := range q.services {
			if len(l.classes[class]) > 0 && !hasMoreUrgent(l, class) {
				buf = append(buf, l.service)
			}
		}
	}
	return buf
}

// hasMoreUrgent reports whether the service has entries of a more urgent class.
func hasMoreUrgent(l *serviceQueue, class int) bool {
	for c := range class {
		if len(l.classes[c]) > 0 {
			return true
		}
	}
	return false
}

func (q *Queue) insert(e *Entry) {
	l := q.byService[e.Service]
	if l == nil {
		l = &serviceQueue{service: e.Service}
		q.byService[e.Service] = l
		q.services = append(q.services, l)
	}
	q.seq++
	e.seq, e.serviceQueue = q.seq, l
	heap.Push(&l.classes[e.Class], e)
	q.length++
}

// shedCandidate returns the entry of the least urgent class that has the earliest deadline.
func (q *Queue) shedCandidate() *Entry {
	for class := Classes - 1; class >= 0; class-- {
		var worst *Entry
		for _, l := range q.services {
			h := l.classes[class]
			if len(h) > 0 && (worst == nil || before(h[0], worst)) {
				worst = h[0]
			}
		}
		if worst != nil {
			return worst
		}
	}
	return nil
}

func before(a, b *Entry) bool {
	if a.Deadline.Equal(b.Deadline) {
		return a.seq < b.seq
	}
	return a.Deadline.Before(b.Deadline)
}

// deadlineHeap implements heap.Interface. The entry with the earliest deadline is first.
type deadlineHeap []*Entry

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return before(h[i], h[j]) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends an entry; container/heap calls it.
func (h *deadlineHeap) Push(x any) {
	e := x.(*Entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry; container/heap calls it.
func (h *deadlineHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.index = -1
	return e
}
