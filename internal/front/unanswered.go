package front

import (
	"sync"
	"time"

	"samphirewell/internal/outcome"
)

// unansweredCapacity is the number of refused and unknown calls that a host keeps, about 1 MB.
const unansweredCapacity = 4096

// UnansweredCall is a call that ended without an answer.
type UnansweredCall struct {
	At      time.Time
	Team    string
	Service string
	Method  string
	Key     string // idempotency key
	Attempt int
	Kind    outcome.Kind
	Reason  outcome.Reason
}

// unansweredCalls keeps the most recent calls that ended without an answer, so that operators can query the reasons.
type unansweredCalls struct {
	mu    sync.Mutex
	calls []UnansweredCall // ring buffer
	next  int              // index of the oldest entry once the buffer is full
}

func (r *unansweredCalls) add(c UnansweredCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.calls) < unansweredCapacity {
		r.calls = append(r.calls, c)
		return
	}
	r.calls[r.next] = c
	r.next = (r.next + 1) % unansweredCapacity
}

// UnansweredCalls returns the recorded calls with the idempotency key that ended without an answer, oldest first.
func (s *Server) UnansweredCalls(key string) []UnansweredCall {
	r := &s.unanswered
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []UnansweredCall
	for i := range r.calls {
		if c := r.calls[(r.next+i)%len(r.calls)]; c.Key == key {
			out = append(out, c)
		}
	}
	return out
}

// recordUnanswered records a call that ended without an answer. Calls without a key are skipped, because they cannot be queried.
func (s *Server) recordUnanswered(c *call, o outcome.Outcome) {
	if o.Kind == outcome.Answered || c.Key == "" {
		return
	}
	s.unanswered.add(UnansweredCall{
		At: s.clock.Now(), Team: c.Team, Service: c.Service, Method: c.Method, Key: c.Key, Attempt: c.Attempt, Kind: o.Kind, Reason: o.Reason,
	})
}
