package standin

import (
	"sync"
	"time"
)

// Run is a call that an executor has started.
type Run struct {
	Key    string // idempotency key; empty if the entry host sent none
	CallID string
	Start  time.Time
}

// ExecutorStats counts the calls of an executor since its start.
type ExecutorStats struct {
	Started                 uint64
	Refused                 uint64    // calls refused because the executor was full or leaving
	ConnsDenied             uint64    // connections closed because of the limit
	MaxBusySlots            int       // most slots in use at a time
	LeavingSince            time.Time // start of the present leaving state; zero if not leaving
	ArrivedWhileLeaving     uint64    // calls that arrived while the executor was leaving
	LastArrivedWhileLeaving time.Time // arrival of the last of them; zero if none
	StartedWhileLeaving     uint64    // calls that got their slot just before SetLeaving(true) and were recorded just after
}

// runLog records the calls of an executor, so that tests and the demo can check that no call ran more often than allowed.
type runLog struct {
	mu    sync.Mutex
	runs  []Run
	stats ExecutorStats
}

func (l *runLog) recordStart(r Run, busySlots int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Started++
	l.stats.MaxBusySlots = max(l.stats.MaxBusySlots, int(busySlots))
	if !l.stats.LeavingSince.IsZero() {
		l.stats.StartedWhileLeaving++
	}
	if r.Key != "" {
		l.runs = append(l.runs, r)
	}
}

func (l *runLog) recordRefusal(leaving bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Refused++
	if leaving {
		l.stats.ArrivedWhileLeaving++
		l.stats.LastArrivedWhileLeaving = now
	}
}

func (l *runLog) setLeaving(leaving bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.LeavingSince = time.Time{}
	if leaving {
		l.stats.LeavingSince = now
	}
}

// Runs returns the started calls that had an idempotency key, in the order of their start.
func (e *Executor) Runs() []Run {
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	return append([]Run(nil), e.log.runs...)
}

// Stats returns the counters.
func (e *Executor) Stats() ExecutorStats {
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	s := e.log.stats
	s.ConnsDenied = e.deniedConns.Load()
	return s
}

// RunsByKey returns the runs of all given executors by idempotency key.
func RunsByKey(executors ...*Executor) map[string][]Run {
	byKey := map[string][]Run{}
	for _, e := range executors {
		for _, r := range e.Runs() {
			byKey[r.Key] = append(byKey[r.Key], r)
		}
	}
	return byKey
}
