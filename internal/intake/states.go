package intake

import (
	"sync"

	"samphirewell/internal/batch"
	"samphirewell/internal/dispatch"
	"samphirewell/internal/rowstore"
)

// jobInfo is the row of a job in the states table, or the leader's newer state of it.
type jobInfo struct {
	queue     string
	state     batch.State
	scheduled bool
}

// stateCache holds a copy of the states table. It is safe for concurrent use.
type stateCache struct {
	mu      sync.RWMutex
	byID    map[string]jobInfo
	waiting map[string]int // pending jobs without a schedule by queue
}

func newStateCache() *stateCache {
	return &stateCache{byID: map[string]jobInfo{}, waiting: map[string]int{}}
}

// Reset implements rowstore.Handler.
func (s *stateCache) Reset(rows []rowstore.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID, s.waiting = map[string]jobInfo{}, map[string]int{}
	s.apply(rows)
}

// Changed implements rowstore.Handler.
func (s *stateCache) Changed(rows []rowstore.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(rows)
}

func (s *stateCache) apply(rows []rowstore.Row) {
	for _, r := range rows {
		id := r.Key.Key
		if r.Deleted {
			s.set(id, jobInfo{})
			delete(s.byID, id)
			continue
		}
		if queue, state, scheduled, ok := dispatch.StateOf(r); ok {
			s.set(id, jobInfo{queue, state, scheduled})
		}
	}
}

func (s *stateCache) set(id string, info jobInfo) {
	if old, ok := s.byID[id]; ok && old.isWaiting() {
		s.waiting[old.queue]--
	}
	if info.isWaiting() {
		s.waiting[info.queue]++
	}
	s.byID[id] = info
}

// isWaiting reports whether the job counts as waiting in its queue. A job with a schedule doesn't.
func (j jobInfo) isWaiting() bool { return j.state == batch.Pending && !j.scheduled }

func (s *stateCache) get(id string) (jobInfo, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	info, ok := s.byID[id]
	return info, ok
}

func (s *stateCache) waitingIn(queue string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.waiting[queue]
}
