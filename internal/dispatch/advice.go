package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
)

const (
	// adviceMost and adviceLeast bound the workers that one question names. The adviser takes no more than 100, and fewer than the least
	// often allow none.
	adviceMost  = 100
	adviceLeast = 12
	// adviceRetry is the pause after a question without an answer.
	adviceRetry = 300 * time.Millisecond
	// ticketMargin is the rest of a ticket's validity at which it is no longer used, for the time that a start takes.
	ticketMargin = 500 * time.Millisecond
)

// AdviceRequest is a request to the adviser: which of the workers may run a step.
type AdviceRequest struct {
	Step    string // JOB.OCCURRENCE.STEP
	Workers []string
	Via     string // address of the host that sends the request; empty for this one
	step    *stepState
	boots   map[string]int64
}

// Advice is the answer: tickets by worker, and how long they are valid.
type Advice struct {
	Tickets map[string]string
	Valid   time.Duration
}

// ticket allows starts of a step on one life of a worker.
type ticket struct {
	text  string
	boot  int64
	until time.Duration
}

// advised is what is known of the workers that may run a step. Whether a worker may doesn't change, but tickets expire.
type advised struct {
	tickets map[string]ticket
	barred  map[string]bool
	asked   bool // a question is under way
}

// adviceOf returns what a question about a job costs; nil if its workers need no ticket.
func (c *Core) adviceOf(j *job) *batch.AdvicePolicy {
	if q, ok := c.policy.Queue(j.Queue.Name); ok {
		return q.Advice
	}
	return j.Queue.Advice
}

func (c *Core) isAdvised(j *job) bool { return c.adviceOf(j) != nil }

// questionSize returns how many workers a question names: as many as take the adviser as long as the question itself. Fewer would pay for
// the question more often, more would keep the others waiting for workers that aren't needed.
func questionSize(a *batch.AdvicePolicy) int {
	if a.PerWorker <= 0 {
		return adviceMost
	}
	return min(max(adviceLeast, int(a.PerRequest/a.PerWorker)), adviceMost)
}

// allowedOn returns the workers of a plan for which a valid ticket is known; nil if none is needed.
func (c *Core) allowedOn(in *planInput, u *unit, now time.Duration) map[int]bool {
	if !c.isAdvised(u.job) {
		return nil
	}
	out := map[int]bool{}
	s := u.job.steps[u.occurrence][u.step]
	if s.advice == nil {
		return out
	}
	for i, w := range in.workers {
		if _, ok := s.advice.valid(w, now); ok {
			out[i] = true
		}
	}
	return out
}

func (a *advised) valid(w *worker, now time.Duration) (string, bool) {
	t, ok := a.tickets[w.ID]
	return t.text, ok && t.boot == w.Incarnation && now+ticketMargin < t.until
}

// ticketFor returns the ticket that a start of the task needs, or an empty string.
func (t *task) ticketFor(w *worker, now time.Duration) string {
	s := t.unit.job.steps[t.unit.occurrence][t.unit.step]
	if s.advice == nil {
		return ""
	}
	text, _ := s.advice.valid(w, now)
	return text
}

// NeedsAdvice reports whether some live job may run only on workers for which the adviser has given a ticket.
func (c *Core) NeedsAdvice() bool {
	return !c.freeze && slices.ContainsFunc(c.live, c.isAdvised)
}

// NextAdviceRequest returns a request for the waiting step that is served next; false if there is none. The adviser handles the requests of each host
// one after the other, so each of the askers, given by address, has at most one request in flight.
func (c *Core) NextAdviceRequest(now time.Duration, askers []string) (AdviceRequest, bool) {
	via, idle := c.idleAsker(now, askers)
	if !idle || c.freeze {
		return AdviceRequest{}, false
	}
	for _, j := range c.byPriority() {
		if j.ending() || !c.isAdvised(j) {
			continue
		}
		for k, steps := range j.steps {
			for i, s := range steps {
				if q, ok := c.question(j, k, i, s, now); ok {
					q.Via, s.advice.asked = via, true
					c.asking[via] = askBusy
					return q, true
				}
			}
		}
	}
	return AdviceRequest{}, false
}

// askBusy marks an asker whose question is under way.
const askBusy = time.Duration(1<<63 - 1)

func (c *Core) idleAsker(now time.Duration, askers []string) (string, bool) {
	for _, a := range askers {
		if now >= c.asking[a] {
			return a, true
		}
	}
	return "", false
}

func (c *Core) byPriority() []*job {
	out := slices.Clone(c.live)
	slices.SortStableFunc(out, func(a, b *job) int { return cmp.Compare(a.Queue.Priority, b.Queue.Priority) })
	return out
}

// question names the workers with the most room whose answer isn't known, rack by rack; none if enough of the known ones have room.
func (c *Core) question(j *job, k, i int, s *stepState, now time.Duration) (AdviceRequest, bool) {
	waiting := 0
	for _, u := range s.units {
		if u.ready() {
			waiting += len(u.tasks)
		}
	}
	if !s.opened || waiting == 0 || s.advice != nil && s.advice.asked {
		return AdviceRequest{}, false
	}
	if s.advice == nil {
		s.advice = &advised{tickets: map[string]ticket{}, barred: map[string]bool{}}
	}
	spec := &j.Steps[i]
	rackRoom := map[string]int{}
	var candidates []*worker
	for _, w := range c.sortedWorkers() {
		if w.Service != c.serviceOf(j) || !c.usable(w, now) || !w.HasLabel(spec.Requires) || s.advice.barred[w.ID] {
			continue
		}
		free := w.free().FitCount(spec.Need, spec.Tasks)
		if _, ok := s.advice.valid(w, now); ok {
			waiting -= free
			continue
		}
		candidates = append(candidates, w)
		rackRoom[w.Rack] += free
	}
	if waiting <= 0 || len(candidates) == 0 {
		return AdviceRequest{}, false
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int {
		return cmp.Or(-cmp.Compare(rackRoom[a.Rack], rackRoom[b.Rack]), cmp.Compare(a.Rack, b.Rack))
	})
	id := batch.TaskID{Job: j.ID, Occurrence: k, Step: i}.String()
	q := AdviceRequest{Step: id[:len(id)-len(".0")], step: s, boots: map[string]int64{}}
	for _, w := range candidates[:min(questionSize(c.adviceOf(j)), len(candidates))] {
		q.Workers = append(q.Workers, w.ID)
		q.boots[w.ID] = w.Incarnation
	}
	return q, true
}

func (w *worker) free() batch.Resources {
	room := w.Capacity
	for _, o := range w.occupants {
		room = room.Minus(o.need)
	}
	return room
}

// OnAdvice takes an answer of the adviser into account; a nil answer means that none came. sent is when it was asked.
func (c *Core) OnAdvice(q AdviceRequest, a *Advice, sent, now time.Duration) {
	c.now = now
	c.asking[q.Via], q.step.advice.asked = now, false
	if a == nil {
		c.asking[q.Via] = now + adviceRetry
		return
	}
	for _, id := range q.Workers {
		if text, ok := a.Tickets[id]; ok {
			q.step.advice.tickets[id] = ticket{text, q.boots[id], sent + a.Valid}
		} else {
			q.step.advice.barred[id] = true
		}
	}
	c.dirty = true
	c.log.WithFields(logrus.Fields{"epoch": c.epoch, "step": q.Step, "asked": len(q.Workers), "allowed": len(a.Tickets), "valid_ms": a.Valid.Milliseconds()}).
		Info("advice on a step")
}
