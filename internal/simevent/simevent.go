// Package simevent provides the event queue of discrete-event simulations with simulated time: protocol models, and benchmarks of routing and
// scheduling decisions.
package simevent

import (
	"container/heap"
	"time"
)

// Queue orders functions by the simulated time at which they are to run. Functions of the same time are returned in the order in which they were
// added, so that a run is reproducible. The zero value is an empty queue. It is not safe for concurrent use.
type Queue struct {
	events events
	seq    int // number of functions added
}

// Add schedules run at a time since the start of the simulation.
func (q *Queue) Add(at time.Duration, run func()) {
	q.seq++
	heap.Push(&q.events, event{at, q.seq, run})
}

// Added returns the number of functions added so far.
func (q *Queue) Added() int { return q.seq }

// Next returns the time of the next function; ok is false for an empty queue.
func (q *Queue) Next() (at time.Duration, ok bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Pop removes the next function and returns it with its time. The queue must not be empty.
func (q *Queue) Pop() (at time.Duration, run func()) {
	e := heap.Pop(&q.events).(event)
	return e.at, e.run
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
