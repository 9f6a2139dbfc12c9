// Package routingbench measures the choice of executors in isolation: it is a discrete-event simulation of entry hosts and executors that uses the
// real routing, queue and retry packages. Time is simulated and the random numbers depend only on the seed, so runs are reproducible.
package routingbench

import (
	"math"
	"math/rand/v2"
	"time"

	"samphirewell/internal/queue"
	"samphirewell/internal/retry"
	"samphirewell/internal/simevent"
)

const (
	executors = 50
	slots     = 8
	hosts     = 6
	// messageDelay is the one-way time of a message between an entry host and an executor.
	messageDelay = 300 * time.Microsecond
	// meanService is the mean service time; serviceSigma is the standard deviation of its logarithm.
	meanService  = 50 * time.Millisecond
	serviceSigma = 0.5
	// queueLength is the maximum length of the queue of each host, in calls.
	queueLength = 1024
	// dispatchPause is the mean pause before a host tries to dispatch its queue again, as in the entry host.
	dispatchPause = 4 * time.Millisecond
	// connectionShare is the maximum number of calls in flight from one host to one executor: min(floor(60 connections / 6 hosts), slots).
	connectionShare = 8
)

// deadlines are the times to the deadline of an attempt, by class.
var deadlines = [queue.Classes]time.Duration{time.Second, 2 * time.Second, 4 * time.Second}

// classShare is the fraction of the calls in each class.
var classShare = [queue.Classes]float64{0.3, 0.5, 0.2}

// sim is the state of one run.
type sim struct {
	now           time.Duration
	events        simevent.Queue
	rng           *rand.Rand
	executors     [executors]*server
	hosts         [hosts]*host
	credits       *creditPool                    // nil unless the policy is pullPolicy
	load          func(at time.Duration) float64 // offered load at a time, as a multiple of the capacity
	arrivalsUntil time.Duration
	callers       callerPolicy
	stats         stats
}

// callerPolicy describes how often callers retry, and whether hosts limit the retries.
type callerPolicy struct {
	maxAttempts int  // maximum attempts of a call; 1 means no retries
	retryBudget bool // whether a host with waiting calls refuses retries beyond its retry budget
}

// server is an executor.
type server struct{ busy int }

// host is an entry host.
type host struct {
	sim               *sim
	policy            policy
	queue             *queue.Queue
	budget            *retry.Budget
	dispatchScheduled bool // a call of dispatch is scheduled
}

// request is one call with all its attempts.
type request struct {
	class        queue.Class
	firstArrival time.Duration // arrival of the first attempt
	serviceTime  time.Duration
	attempts     int // attempts made so far
}

// attempt is one attempt of a call. A host may send it several times, because full executors refuse it.
type attempt struct {
	*request
	host     *host
	arrived  time.Duration
	deadline time.Duration
	ended    bool // the caller has a response or a failure
}

func newSim(seed uint64, newPolicy func(s *sim, index int) policy) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range s.executors {
		s.executors[i] = &server{}
	}
	for i := range s.hosts {
		s.hosts[i] = &host{sim: s, queue: queue.New(queueLength), budget: retry.NewBudget()}
		s.hosts[i].policy = newPolicy(s, i)
	}
	return s
}

func (s *sim) time() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *sim) after(d time.Duration, run func()) {
	s.events.Add(s.now+d, run)
}

// run simulates arrivals until s.arrivalsUntil, and then continues until all calls have ended.
func (s *sim) run() {
	s.after(0, s.callArrives)
	for _, ok := s.events.Next(); ok; _, ok = s.events.Next() {
		var event func()
		s.now, event = s.events.Pop()
		event()
	}
}

// callArrives creates one call and schedules the next arrival of the Poisson process.
func (s *sim) callArrives() {
	if s.now >= s.arrivalsUntil {
		return
	}
	rate := s.load(s.now) * executors * slots / meanService.Seconds()
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), s.callArrives)
	r := &request{firstArrival: s.now, class: s.drawClass(), serviceTime: s.drawServiceTime()}
	s.stats.addOffered(s.now)
	s.startAttempt(r)
}

func (s *sim) drawClass() queue.Class {
	u := s.rng.Float64()
	switch {
	case u < classShare[queue.Urgent]:
		return queue.Urgent
	case u < classShare[queue.Urgent]+classShare[queue.Normal]:
		return queue.Normal
	}
	return queue.Batch
}

func (s *sim) drawServiceTime() time.Duration {
	x := math.Exp(s.rng.NormFloat64()*serviceSigma - serviceSigma*serviceSigma/2)
	return time.Duration(x * float64(meanService))
}

// startAttempt sends the next attempt of the call to a random host, as the balancer does.
func (s *sim) startAttempt(r *request) {
	r.attempts++
	h := s.hosts[s.rng.IntN(hosts)]
	t := &attempt{request: r, host: h, arrived: s.now, deadline: s.now + deadlines[r.class]}
	if r.attempts > 1 && s.callers.retryBudget && h.queue.Len() > 0 && !h.budget.Take(r.class, s.time()) {
		s.failAttempt(t)
		return
	}
	h.sendOrEnqueue(t)
}

// failAttempt ends the attempt without a response. The caller retries after a delay if it has attempts left.
func (s *sim) failAttempt(t *attempt) {
	if t.ended {
		return
	}
	t.ended = true
	if t.attempts >= s.callers.maxAttempts {
		s.stats.addFailed(t.class)
		return
	}
	delay := retry.Delay(t.attempts, 100*time.Millisecond, time.Second, s.rng.Uint64())
	s.after(delay, func() { s.startAttempt(t.request) })
}

// sendOrEnqueue sends the attempt immediately if no other call waits and the policy picks an executor; otherwise the attempt waits in the queue.
func (h *host) sendOrEnqueue(t *attempt) {
	if h.sim.now >= t.deadline {
		h.sim.failAttempt(t)
		return
	}
	if h.queue.Len() == 0 {
		if e, token := h.policy.pick(h.sim.time()); e >= 0 {
			h.send(t, e, token)
			return
		}
	}
	h.enqueue(t)
	h.dispatch()
}

func (h *host) enqueue(t *attempt) {
	expired, shed := h.queue.Push(&queue.Entry{Service: "s", Class: t.class, Deadline: h.sim.time().Add(t.deadline - h.sim.now), Value: t}, h.sim.time())
	h.failAll(expired)
	if shed != nil {
		h.sim.failAttempt(shed.Value.(*attempt))
	}
}

func (h *host) failAll(entries []*queue.Entry) {
	for _, e := range entries {
		h.sim.failAttempt(e.Value.(*attempt))
	}
}

// dispatch sends waiting calls while the policy picks executors for them.
func (h *host) dispatch() {
	for {
		e, expired := h.queue.Peek("s", h.sim.time())
		h.failAll(expired)
		if e == nil {
			return
		}
		target, token := h.policy.pick(h.sim.time())
		if target < 0 {
			break
		}
		h.queue.Remove(e)
		h.send(e.Value.(*attempt), target, token)
		// A policy that ignores refusals would send the whole queue to full executors immediately.
		if _, ok := h.policy.(interface{ ignoresRefusals() }); ok {
			break
		}
	}
	h.scheduleDispatch()
}

// scheduleDispatch schedules a call of dispatch after a random pause, unless one is already scheduled.
func (h *host) scheduleDispatch() {
	if h.dispatchScheduled {
		return
	}
	h.dispatchScheduled = true
	h.sim.after(dispatchPause/2+time.Duration(h.sim.rng.Uint64()%uint64(dispatchPause)), func() {
		h.dispatchScheduled = false
		h.dispatch()
	})
}

// inFlightCall is an attempt that was sent to an executor.
type inFlightCall struct {
	attempt  *attempt
	executor int
	token    any
	finished bool // the host has a response or a refusal, or gave up at the deadline
}

func (h *host) send(t *attempt, executor int, token any) {
	x := &inFlightCall{attempt: t, executor: executor, token: token}
	h.sim.stats.sent++
	h.sim.after(messageDelay, func() { h.sim.arriveAtExecutor(x) })
	h.sim.after(t.deadline-h.sim.now, func() { h.onDeadline(x) })
}

// arriveAtExecutor handles the arrival of a call at its executor, which refuses it if all slots are busy.
func (s *sim) arriveAtExecutor(x *inFlightCall) {
	e := s.executors[x.executor]
	if e.busy >= slots {
		s.stats.refused++
		s.after(messageDelay, func() { x.attempt.host.onRefused(x) })
		return
	}
	e.busy++
	start := s.now
	s.after(x.attempt.serviceTime, func() {
		e.busy--
		freeSlots := slots - e.busy
		s.after(messageDelay, func() { x.attempt.host.onAnswered(x, freeSlots, start) })
		s.credits.slotFreed(x.executor)
	})
}

func (h *host) onRefused(x *inFlightCall) {
	if x.finished {
		return
	}
	x.finished = true
	h.policy.done(x.executor, x.token, result{refused: true}, h.sim.time())
	if _, ok := h.policy.(interface{ ignoresRefusals() }); ok {
		h.enqueue(x.attempt)
		h.scheduleDispatch()
		return
	}
	h.sendOrEnqueue(x.attempt)
}

func (h *host) onAnswered(x *inFlightCall, freeSlots int, start time.Duration) {
	if x.finished {
		return
	}
	x.finished = true
	h.policy.done(x.executor, x.token, result{freeSlots: freeSlots}, h.sim.time())
	x.attempt.ended = true
	h.budget.Success(x.attempt.class)
	h.sim.stats.addAnswered(x.attempt, h.sim.now, start)
	h.dispatch()
}

// onDeadline ends an attempt whose deadline passes while it is in flight.
func (h *host) onDeadline(x *inFlightCall) {
	if x.finished {
		return
	}
	x.finished = true
	h.policy.done(x.executor, x.token, result{timedOut: true}, h.sim.time())
	h.sim.failAttempt(x.attempt)
	h.dispatch()
}
