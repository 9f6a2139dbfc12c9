package applier

import (
	"slices"
	"sync"
	"time"

	"samphirewell/internal/scheduler"
)

const (
	// maxHistoryEntries bounds the history of a job; the oldest entry is dropped.
	maxHistoryEntries = 16
	// maxExplainedJobs bounds the number of jobs with a history; the history that was started first is dropped.
	maxExplainedJobs = 20000
)

// Entry is one phase or decision in the history of a job.
type Entry struct {
	At     time.Time
	Phase  string // phase that the job entered; "waiting" entries repeat only when their reason changes
	Reason string
	Times  int // number of consecutive records with this phase and reason
}

// Explanation describes why a job is in its phase.
type Explanation struct {
	NewestDecision scheduler.Reason // newest reason from package scheduler; zero if none
	Reason         string           // newest reason, as a sentence or a code
	History        []Entry          // oldest first
}

// jobHistories holds the explanations by job id. It is safe for concurrent use.
type jobHistories struct {
	mu    sync.Mutex
	jobs  map[string]*Explanation
	order []string // job ids in the order in which their histories were started
}

func newJobHistories() *jobHistories { return &jobHistories{jobs: map[string]*Explanation{}} }

// Explain returns the newest reason and the history of a job; ok is false if this host has no history of the job.
func (c *Controller) Explain(jobID string) (e Explanation, ok bool) {
	c.histories.mu.Lock()
	defer c.histories.mu.Unlock()
	found := c.histories.jobs[jobID]
	if found == nil {
		return Explanation{}, false
	}
	e = *found
	e.History = slices.Clone(e.History)
	return e, true
}

func (l *jobHistories) explanation(id string) *Explanation {
	e := l.jobs[id]
	if e == nil {
		e = &Explanation{}
		l.jobs[id] = e
		l.order = append(l.order, id)
		if len(l.order) > maxExplainedJobs {
			delete(l.jobs, l.order[0])
			l.order = l.order[1:]
		}
	}
	return e
}

func (l *jobHistories) record(id string, at time.Time, phase, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.explanation(id)
	e.Reason = reason
	if n := len(e.History); n > 0 && e.History[n-1].Phase == phase && e.History[n-1].Reason == reason {
		e.History[n-1].Times++
		return
	}
	if len(e.History) == maxHistoryEntries {
		e.History = slices.Delete(e.History, 0, 1)
	}
	e.History = append(e.History, Entry{At: at, Phase: phase, Reason: reason, Times: 1})
}

func (l *jobHistories) recordDecision(id string, at time.Time, r scheduler.Reason) {
	l.record(id, at, "waiting", string(r.Code))
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.explanation(id)
	e.NewestDecision, e.Reason = r, r.String()
}
