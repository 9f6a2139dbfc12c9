package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
)

// adviceRetryPause is the pause after an advice request that got no response.
const adviceRetryPause = 300 * time.Millisecond

// AdviceRequest is a request to the adviser: which of the workers may run a step.
type AdviceRequest struct {
	Step         string // JOB.OCCURRENCE.STEP
	Workers      []string
	Via          string // address of the host that sends the request; empty for this one
	step         *stepState
	incarnations map[string]int64
}

// Advice is the response to an AdviceRequest: tickets by worker, and how long they are valid.
type Advice struct {
	Tickets map[string]string
	Valid   time.Duration
}

// ticket allows starts of a step on one incarnation of a worker.
type ticket struct {
	text        string
	incarnation int64
	expiresAt   time.Duration
}

// stepAdvice is the adviser's information about the workers that may run a step. Whether a worker is allowed doesn't change, but tickets expire.
type stepAdvice struct {
	tickets  map[string]ticket
	refused  map[string]bool
	inFlight bool // a request is in flight
}

// advicePolicyOf returns the cost of advice requests for a job; nil if its starts need no ticket.
func (c *Core) advicePolicyOf(j *job) *batch.AdvicePolicy {
	if q, ok := c.policy.Queue(j.Queue.Name); ok {
		return q.Advice
	}
	return j.Queue.Advice
}

func (c *Core) needsTicket(j *job) bool { return c.advicePolicyOf(j) != nil }

// allowedWorkers returns the workers of a plan for which there is a valid ticket; nil if no ticket is needed.
func (c *Core) allowedWorkers(in *planInput, g *taskGroup, now time.Duration) map[int]bool {
	if !c.needsTicket(g.job) {
		return nil
	}
	out := map[int]bool{}
	s := g.state
	if s.advice == nil {
		return out
	}
	for i, w := range in.workers {
		if _, ok := s.advice.validTicket(w, now); ok {
			out[i] = true
		}
	}
	return out
}

func (a *stepAdvice) validTicket(w *worker, now time.Duration) (string, bool) {
	t, ok := a.tickets[w.ID]
	return t.text, ok && t.incarnation == w.Incarnation && now+batch.TicketMargin < t.expiresAt
}

// ticketFor returns the valid ticket for a start of the task on the worker, or an empty string.
func (t *task) ticketFor(w *worker, now time.Duration) string {
	s := t.group.state
	if s.advice == nil {
		return ""
	}
	text, _ := s.advice.validTicket(w, now)
	return text
}

// NeedsAdvice reports whether some live job may run only on workers for which the adviser has given a ticket.
func (c *Core) NeedsAdvice() bool {
	return !c.startsDisabled && slices.ContainsFunc(c.liveJobs, c.needsTicket)
}

// NextAdviceRequest returns a request for the waiting step that is served next; false if there is none. The adviser handles the requests of each host
// one after the other, so each of the requesters, given by address, has at most one request in flight.
func (c *Core) NextAdviceRequest(now time.Duration, requesters []string) (AdviceRequest, bool) {
	via, idle := c.idleRequester(now, requesters)
	if !idle || c.startsDisabled {
		return AdviceRequest{}, false
	}
	for _, j := range c.liveByPriority() {
		if j.ending() || !c.needsTicket(j) {
			continue
		}
		for _, o := range j.occurrences {
			for i, s := range o.steps {
				if req, ok := c.adviceRequestFor(j, o.index, i, s, now); ok {
					req.Via, s.advice.inFlight = via, true
					c.nextAdviceAt[via] = requestInFlight
					return req, true
				}
			}
		}
	}
	return AdviceRequest{}, false
}

// requestInFlight marks a requester that has a request in flight.
const requestInFlight = time.Duration(1<<63 - 1)

func (c *Core) idleRequester(now time.Duration, requesters []string) (string, bool) {
	c.forgetRequesters(requesters)
	for _, a := range requesters {
		if now >= c.nextAdviceAt[a] {
			return a, true
		}
	}
	return "", false
}

// forgetRequesters drops the pauses of hosts that have left, unless a request of theirs is in flight.
func (c *Core) forgetRequesters(current []string) {
	if len(c.nextAdviceAt) <= len(current) {
		return
	}
	maps.DeleteFunc(c.nextAdviceAt, func(a string, next time.Duration) bool {
		return next != requestInFlight && !slices.Contains(current, a)
	})
}

func (c *Core) liveByPriority() []*job {
	out := slices.Clone(c.liveJobs)
	slices.SortStableFunc(out, func(a, b *job) int { return cmp.Compare(a.Queue.Priority, b.Queue.Priority) })
	return out
}

// adviceRequestFor returns a request for a step. It names workers that the adviser hasn't decided on, rack by rack, starting with the rack with the
// most free capacity. It returns false if the workers with valid tickets have enough capacity.
func (c *Core) adviceRequestFor(j *job, occurrence, step int, s *stepState, now time.Duration) (AdviceRequest, bool) {
	waitingTasks := 0
	for _, g := range s.groups {
		if g.ready() {
			waitingTasks += len(g.tasks)
		}
	}
	if !s.opened || waitingTasks == 0 || s.advice != nil && s.advice.inFlight {
		return AdviceRequest{}, false
	}
	if s.advice == nil {
		s.advice = &stepAdvice{tickets: map[string]ticket{}, refused: map[string]bool{}}
	}
	forgetLeftWorkers(c, s.advice.tickets)
	forgetLeftWorkers(c, s.advice.refused)
	spec := &j.Steps[step]
	rackCapacity := map[string]int{}
	var candidates []*worker
	for _, w := range c.byID {
		if w.Service != c.serviceOf(j) || !c.usable(w, now) || !w.HasLabel(spec.Requires) || s.advice.refused[w.ID] {
			continue
		}
		free := w.slotsFor(j, occurrence, step)
		if _, ok := s.advice.validTicket(w, now); ok {
			waitingTasks -= free
			continue
		}
		candidates = append(candidates, w)
		rackCapacity[w.Rack] += free
	}
	if waitingTasks <= 0 || len(candidates) == 0 {
		return AdviceRequest{}, false
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int {
		return cmp.Or(-cmp.Compare(rackCapacity[a.Rack], rackCapacity[b.Rack]), cmp.Compare(a.Rack, b.Rack))
	})
	id := batch.TaskID{Job: j.ID, Occurrence: occurrence, Step: step}.String()
	req := AdviceRequest{Step: id[:len(id)-len(".0")], step: s, incarnations: map[string]int64{}}
	for _, w := range candidates[:min(c.advicePolicyOf(j).WorkersPerRequest(), len(candidates))] {
		req.Workers = append(req.Workers, w.ID)
		req.incarnations[w.ID] = w.Incarnation
	}
	return req, true
}

// slotsFor returns how many more tasks of a step fit on the worker.
func (w *worker) slotsFor(j *job, occurrence, step int) int {
	spec := &j.Steps[step]
	limit := spec.Tasks
	if spec.MaxPerWorker > 0 {
		limit = spec.MaxPerWorker - w.tasksOfStep(j, occurrence, step)
	}
	return max(0, w.free().FitCount(spec.Need, limit))
}

// tasksOfStep returns the number of tasks of a step that hold capacity on the worker.
func (w *worker) tasksOfStep(j *job, occurrence, step int) int {
	n := 0
	for k, a := range w.allocs {
		if id, ok := batch.ParseTaskID(k.task); ok && a != nil && id.Job == j.ID && id.Occurrence == occurrence && id.Step == step {
			n++
		}
	}
	return n
}

// OnAdvice handles a response of the adviser; a nil response means that the request failed. sent is when the request was sent.
func (c *Core) OnAdvice(req AdviceRequest, a *Advice, sent, now time.Duration) {
	c.now = now
	c.nextAdviceAt[req.Via], req.step.advice.inFlight = now, false
	if a == nil {
		c.nextAdviceAt[req.Via] = now + adviceRetryPause
		return
	}
	for _, id := range req.Workers {
		if text, ok := a.Tickets[id]; ok {
			req.step.advice.tickets[id] = ticket{text, req.incarnations[id], sent + a.Valid}
		} else {
			req.step.advice.refused[id] = true
		}
	}
	c.dirty = true
	c.log.WithFields(logrus.Fields{"epoch": c.epoch, "step": req.Step, "asked": len(req.Workers), "allowed": len(a.Tickets), "valid_ms": a.Valid.Milliseconds()}).
		Info("received advice on a step")
}
