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
	live      dispatch.LiveJob // zero if the job has ended
}

// stateCache holds a copy of the states table. It is safe for concurrent use.
type stateCache struct {
	mu      sync.RWMutex
	byID    map[string]jobInfo
	waiting map[string]int // pending jobs without a schedule by queue
	live    liveBytes
}

// maxLiveBytes bounds the memory that all live jobs take on a leader, without their tasks, bytes. It is about a fifth of the soft memory limit of the smallest
// host (184 MB). Hosts learn of accepted jobs some hundred milliseconds late, so that it may be exceeded by what comes in that time.
const maxLiveBytes = 24 << 20

// liveBytes is the memory that live jobs take on a leader, without their tasks.
type liveBytes struct {
	total  int
	byTeam map[string]int
}

func (l *liveBytes) add(j dispatch.LiveJob, sign int) {
	l.total += sign * j.Bytes
	if l.byTeam[j.Team] += sign * j.Bytes; l.byTeam[j.Team] == 0 {
		delete(l.byTeam, j.Team)
	}
}

// admits reports whether another job of a team may become live. Any team may use the first half of the bound; the second half is shared equally, so that the
// jobs of one team don't keep those of others out.
func (l *liveBytes) admits(team string, bytes, teams int) bool {
	return l.total+bytes <= maxLiveBytes/2 || l.total+bytes <= maxLiveBytes && l.byTeam[team]+bytes <= maxLiveBytes/2/max(1, teams)
}

func newStateCache() *stateCache {
	return &stateCache{byID: map[string]jobInfo{}, waiting: map[string]int{}, live: liveBytes{byTeam: map[string]int{}}}
}

// Reset implements rowstore.Handler.
func (s *stateCache) Reset(rows []rowstore.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID, s.waiting, s.live = map[string]jobInfo{}, map[string]int{}, liveBytes{byTeam: map[string]int{}}
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
			live, _ := dispatch.LiveJobOf(r)
			s.set(id, jobInfo{queue, state, scheduled, live})
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
	s.live.add(s.byID[id].live, -1)
	s.live.add(info.live, +1)
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

// admits reports whether another job of a team may become live.
func (s *stateCache) admits(team string, bytes, teams int) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.live.admits(team, bytes, teams)
}
