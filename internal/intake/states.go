package intake

import (
	"sync"

	"samphirewell/internal/batch"
	"samphirewell/internal/dispatch"
	"samphirewell/internal/rowstore"
)

// known is what the table of states says of a job.
type known struct {
	queue     string
	state     batch.State
	scheduled bool
}

// states is a copy of the table of states. It is safe for concurrent use.
type states struct {
	mu      sync.RWMutex
	byID    map[string]known
	waiting map[string]int // pending jobs without a schedule by queue
}

func newStates() *states {
	return &states{byID: map[string]known{}, waiting: map[string]int{}}
}

// Reset implements rowstore.Handler.
func (s *states) Reset(rows []rowstore.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID, s.waiting = map[string]known{}, map[string]int{}
	s.apply(rows)
}

// Changed implements rowstore.Handler.
func (s *states) Changed(rows []rowstore.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(rows)
}

func (s *states) apply(rows []rowstore.Row) {
	for _, r := range rows {
		id := r.Key.Key
		if r.Deleted {
			s.set(id, known{})
			delete(s.byID, id)
			continue
		}
		if queue, state, scheduled, ok := dispatch.StateOf(r); ok {
			s.set(id, known{queue, state, scheduled})
		}
	}
}

func (s *states) set(id string, k known) {
	if old, ok := s.byID[id]; ok && old.counts() {
		s.waiting[old.queue]--
	}
	if k.counts() {
		s.waiting[k.queue]++
	}
	s.byID[id] = k
}

func (k known) counts() bool { return k.state == batch.Pending && !k.scheduled }

func (s *states) get(id string) (known, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	k, ok := s.byID[id]
	return k, ok
}

func (s *states) waitingIn(queue string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.waiting[queue]
}
