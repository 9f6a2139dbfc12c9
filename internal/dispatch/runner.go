package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/lead"
)

const (
	// tickInterval is the period of Tick.
	tickInterval = 100 * time.Millisecond
	// commitInterval is the shortest time between two transactions: it groups changes and bounds the calls to the table.
	commitInterval = 25 * time.Millisecond
	// planInterval is the shortest time between two scheduling cycles, so that events that arrive together are planned together.
	planInterval = 10 * time.Millisecond
	// planPauseFactor times the duration of a scheduling cycle is the shortest time from its begin to that of the next one. It leaves most of the processor
	// time to reports, orders and probes, however large the fleet is.
	planPauseFactor = 4
	// unackedRenewalPause is the time between two renewals to a worker with unacknowledged ends. Such a renewal can't wait at the worker for the next
	// end, because earlier ends aren't stored yet.
	unackedRenewalPause = 500 * time.Millisecond
	// renewalRetryPause is the pause after a renewal that got no response.
	renewalRetryPause = 400 * time.Millisecond
	// storeWaitLimit is how long a query for a job's state waits for the end of the job to be stored; several transactions of a healthy table.
	storeWaitLimit = 300 * time.Millisecond
	// idlePollInterval is the time after which the core is checked again for work on a worker without runs, in case a wake-up was lost.
	idlePollInterval = 10 * time.Second
	// maxWorkersAge is the age up to which the list of workers is used for starts on workers that don't enforce their capacity. Another second may pass
	// before a start is carried out, and operators bound the use of an old capacity to 3 s and a heartbeat.
	maxWorkersAge = 2 * time.Second
)

// WorkerAPI sends orders and renewals to workers and requests to the adviser. Implementations are safe for concurrent use and bound the time of each
// call.
type WorkerAPI interface {
	// Order sends one copy of an order. Unknown means that it got no response.
	Order(ctx context.Context, o Order) Result
	// Advise requests tickets for the workers that may run a step.
	Advise(ctx context.Context, req AdviceRequest) (Advice, error)
	// Renew sends a renewal and returns the worker's report. ErrRenewalRefused means that the worker has seen a newer epoch, ErrReplaced that another
	// worker responded, ErrNoConnection that nothing was sent because this host has no descriptors left.
	Renew(ctx context.Context, r Renewal) (WorkerReport, error)
}

// ErrRenewalRefused is the error of a renewal under an old epoch.
var ErrRenewalRefused = errors.New("the worker has seen a newer epoch")

// ErrReplaced is the error of a renewal to an address at which another worker, or another incarnation of the intended one, responded.
var ErrReplaced = errors.New("another worker responded at the address")

// ErrNoConnection is the error of a renewal for which this host could not open a connection for lack of descriptors. It tells nothing about the worker.
var ErrNoConnection = errors.New("this host could not open a connection")

// Clock gives the times that a runner needs.
type Clock interface {
	// SinceBoot is a monotonic time that continues while the host is suspended.
	SinceBoot() time.Duration
	// WallMS is the time of day, Unix milliseconds.
	WallMS() int64
}

// Runner drives a Core: it stores the core's rows and sends its orders, renewals and advice requests.
type Runner struct {
	mu               sync.Mutex
	core             *Core
	session          *lead.Session
	workers          WorkerAPI
	clock            Clock
	log              logrus.FieldLogger
	metrics          Metrics
	adviceRequesters func() []string // addresses of other hosts that may send requests to the adviser
	workersAge       func() time.Duration
	operatorAge      func() time.Duration // of the copy of the operator's table

	machines MachineProvider // nil if machines can't be maintained

	wakeup        chan struct{}
	stored        chan struct{}            // closed at the next successful transaction
	commitWakeup  chan struct{}            // holds a token while there are rows to store
	pollers       map[string]chan struct{} // wake-up of each worker's polling goroutine
	sentAt        atomic.Int64             // when the newest successful transaction was sent, nanoseconds of clock.SinceBoot
	leadErr       error
	lastPlan      time.Duration // when the newest scheduling cycle began
	planTime      time.Duration // how long it took
	lastTick      time.Duration
	authorityLost bool // the leader lacks authority and sends nothing
}

// Metrics receives measurements of a runner.
type Metrics interface {
	Committed(rows int, took time.Duration)
	Planned(took time.Duration)
	// Locked receives how long a goroutine has waited for access to the core.
	Locked(waited time.Duration)
	// RowsWaited receives how long the oldest row of a transaction had waited before it was sent.
	RowsWaited(waited time.Duration)
	// CopySent receives the result of one copy of an order.
	CopySent(o Order, r Result)
	// CopyWithheld receives why a copy of an order was not sent.
	CopyWithheld(o Order, reason string)
	Ordered(o Order, r Result, took time.Duration)
	Counted(Counts)
}

// NewRunner returns a runner of a core that was just restored.
func NewRunner(core *Core, s *lead.Session, workers WorkerAPI, c Clock, m Metrics, log logrus.FieldLogger) *Runner {
	r := &Runner{core: core, session: s, workers: workers, clock: c, metrics: m, log: log, wakeup: make(chan struct{}, 1), commitWakeup: make(chan struct{}, 1), stored: make(chan struct{}),
		pollers: map[string]chan struct{}{}, adviceRequesters: func() []string { return nil },
		workersAge: func() time.Duration { return 0 }, operatorAge: func() time.Duration { return 0 }}
	r.sentAt.Store(int64(c.SinceBoot()))
	return r
}

// SetWorkersAge sets the function that returns the age of the list of workers. It must be called before Run.
func (r *Runner) SetWorkersAge(age func() time.Duration) { r.workersAge = age }

// SetAdviceRequesters sets the function that returns the addresses of the other hosts that may send requests to the adviser. It must be called before
// Run.
func (r *Runner) SetAdviceRequesters(requesters func() []string) { r.adviceRequesters = requesters }

// Do changes the core and lets the runner act on it.
func (r *Runner) Do(f func(c *Core, now time.Duration)) {
	r.lock()
	f(r.core, r.clock.SinceBoot())
	r.wakeCommit()
	r.mu.Unlock()
	r.wake()
}

// Overview returns the state of the leader.
func (r *Runner) Overview() Overview {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Overview(r.clock.SinceBoot())
}

// JobState returns the state of a job. If the job's end is about to be stored, it waits for that: callers query again only after some hundred
// milliseconds, and a lost query costs them much more.
func (r *Runner) JobState(ctx context.Context, id string) JobState {
	timer := time.NewTimer(storeWaitLimit)
	defer timer.Stop()
	for {
		r.mu.Lock()
		state, stored := r.core.JobState(id), r.stored
		r.mu.Unlock()
		if !state.Storing {
			return state
		}
		select {
		case <-stored:
		case <-timer.C:
			return state
		case <-ctx.Done():
			return state
		}
	}
}

// lastWrite returns when the newest successful transaction was sent.
func (r *Runner) lastWrite() time.Duration { return time.Duration(r.sentAt.Load()) }

// WriteAge returns the time since the newest successful write was sent, and whether the store refuses the current one.
func (r *Runner) WriteAge() (age time.Duration, refused bool) {
	return r.clock.SinceBoot() - r.lastWrite(), r.session.StoreRefusing.Load()
}

func (r *Runner) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// Run leads until ctx ends or another host leads; then it returns nil or ErrDeposed. At the end of ctx it releases leadership.
func (r *Runner) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() { r.commitLoop(ctx, run, stop) })
	if r.machines != nil {
		group.Go(func() { r.machinesLoop(run, &group) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for run.Err() == nil {
		select {
		case <-run.Done():
		case <-r.wakeup:
		case <-timer.C:
		}
		wait := r.step(run, &group)
		timer.Reset(wait)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leadErr
}

// step does the work that is due and returns the time until the next step.
func (r *Runner) step(ctx context.Context, group *sync.WaitGroup) time.Duration {
	plan, wait := r.tick()
	if plan != nil {
		plan.Decide()
	}
	r.lock()
	defer r.mu.Unlock()
	now := r.clock.SinceBoot()
	if plan != nil {
		if r.hasAuthority(now) {
			r.core.ApplyPlan(plan, now)
		}
		r.planTime = now - r.lastPlan
		r.metrics.Planned(r.planTime)
	}
	r.sendOrders(ctx, group, now)
	r.metrics.Counted(r.core.TakeCounts())
	r.sendAdviceRequests(ctx, group, now)
	r.wakePollers(ctx, group)
	r.wakeCommit()
	return wait
}

// tick does the periodic work. It returns the plan of a scheduling cycle if one is due, and the time until the next step.
func (r *Runner) tick() (*CyclePlan, time.Duration) {
	r.lock()
	defer r.mu.Unlock()
	now := r.clock.SinceBoot()
	if r.core.Deposed() {
		r.leadErr = lead.ErrDeposed
	}
	r.core.SetWorkersStale(r.workersAge() > maxWorkersAge)
	r.core.SetOperatorAge(r.operatorAge())
	if now-r.lastTick >= tickInterval {
		r.lastTick = now
		r.core.Tick(now, r.clock.WallMS())
	}
	if now-r.lastPlan >= replanInterval {
		r.core.Replan()
	}
	if !r.core.NeedsPlan() || !r.hasAuthority(now) {
		return nil, tickInterval
	}
	if due := r.lastPlan + max(planInterval, planPauseFactor*r.planTime); now < due {
		return nil, min(due-now, tickInterval)
	}
	r.lastPlan = now
	return r.core.PreparePlan(now), tickInterval
}

// lock locks the core and records how long that took.
func (r *Runner) lock() {
	began := r.clock.SinceBoot()
	r.mu.Lock()
	r.metrics.Locked(r.clock.SinceBoot() - began)
}

// hasAuthority reports whether the leader may still give orders: its last successful transaction is recent enough.
func (r *Runner) hasAuthority(now time.Duration) bool {
	active := r.leadErr == nil && now-r.lastWrite() < authorityAfterCommit
	if active == r.authorityLost {
		r.authorityLost = !active
		r.log.WithFields(logrus.Fields{"epoch": r.core.Epoch(), "since_write_ms": (now - r.lastWrite()).Milliseconds(), "may_act": active}).
			Warn("authority of the leader changed")
	}
	return active
}

func (r *Runner) sendOrders(ctx context.Context, group *sync.WaitGroup, now time.Duration) {
	for _, o := range r.core.TakeOrders() {
		if !r.hasAuthority(now) {
			if !o.Stop { // an unconfirmed stop is repeated later
				r.core.OnStart(o, Delivery{Result: TooLate}, now)
			}
			continue
		}
		group.Go(func() { r.send(ctx, o) })
	}
}

func (r *Runner) send(ctx context.Context, o Order) {
	sent := r.clock.SinceBoot()
	order := o
	o.StillAllowed = func() bool { return r.mayBeSent(ctx, &order) }
	d := Deliver(o, func(o Order) Result { return r.sendCopy(ctx, o) })
	r.metrics.Ordered(o, d.Result, r.clock.SinceBoot()-sent)
	if ctx.Err() != nil {
		return
	}
	r.Do(func(c *Core, now time.Duration) {
		if o.Stop {
			c.OnStop(o, d.Result, now)
		} else {
			c.OnStart(o, d, now)
		}
	})
}

// sendAdviceRequests sends advice requests through this host and the others; the adviser serves the requests of each host one after another.
func (r *Runner) sendAdviceRequests(ctx context.Context, group *sync.WaitGroup, now time.Duration) {
	if !r.core.NeedsAdvice() {
		return
	}
	requesters := append([]string{""}, r.adviceRequesters()...)
	for {
		req, ok := r.core.NextAdviceRequest(now, requesters)
		if !ok {
			return
		}
		group.Go(func() { r.sendAdviceRequest(ctx, req) })
	}
}

// sendAdviceRequest sends one request to the adviser.
func (r *Runner) sendAdviceRequest(ctx context.Context, req AdviceRequest) {
	sent := r.clock.SinceBoot()
	a, err := r.workers.Advise(ctx, req)
	if err != nil {
		r.log.WithFields(logrus.Fields{"step": req.Step, "workers": len(req.Workers)}).WithError(err).Info("advice request failed")
	}
	r.Do(func(c *Core, now time.Duration) {
		if err != nil {
			c.OnAdvice(req, nil, sent, now)
			return
		}
		c.OnAdvice(req, &a, sent, now)
	})
}

// wakePollers runs one polling goroutine for each worker, and wakes those whose renewal is due.
func (r *Runner) wakePollers(ctx context.Context, group *sync.WaitGroup) {
	for _, id := range r.core.TakePollWakeups() {
		wake, ok := r.pollers[id]
		if !ok {
			wake = make(chan struct{}, 1)
			r.pollers[id] = wake
			group.Go(func() { r.pollLoop(ctx, id, wake) })
		}
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// pollState is the next action of a worker's polling goroutine.
type pollState uint8

const (
	pollRenew pollState = iota
	pollIdle
	pollSuspended
	pollRemoved
)

func (r *Runner) nextPoll(id string) (Renewal, pollState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.SinceBoot()
	if !r.core.HasWorker(id) {
		delete(r.pollers, id)
		return Renewal{}, pollRemoved
	}
	if !r.hasAuthority(now) {
		return Renewal{}, pollSuspended
	}
	if renewal, ok := r.core.NextRenewal(id, now); ok {
		return renewal, pollRenew
	}
	return Renewal{}, pollIdle
}

// pollLoop sends renewals to a worker while it has runs or unacknowledged ends.
func (r *Runner) pollLoop(ctx context.Context, id string, wake chan struct{}) {
	for ctx.Err() == nil {
		renewal, state := r.nextPoll(id)
		switch state {
		case pollRemoved:
			return
		case pollIdle:
			r.awaitWakeup(ctx, wake, idlePollInterval)
		case pollSuspended:
			r.awaitWakeup(ctx, nil, renewalRetryPause)
		case pollRenew:
			if pause := r.renew(ctx, id, renewal); pause > 0 {
				r.awaitWakeup(ctx, wake, pause)
			}
		}
	}
}

// awaitWakeup waits for a wake-up or until the pause has passed.
func (r *Runner) awaitWakeup(ctx context.Context, wake chan struct{}, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}

// renew sends one renewal and returns the pause until the next one.
func (r *Runner) renew(ctx context.Context, id string, renewal Renewal) time.Duration {
	sent := r.clock.SinceBoot()
	report, err := r.workers.Renew(ctx, renewal)
	if ctx.Err() != nil {
		return renewalRetryPause
	}
	pause := time.Duration(0)
	r.Do(func(c *Core, now time.Duration) {
		switch {
		case errors.Is(err, ErrRenewalRefused):
			c.OnRenewalRefused(id)
		case errors.Is(err, ErrReplaced):
			c.OnReplaced(id, renewal, now)
			pause = renewalRetryPause
		case errors.Is(err, ErrNoConnection):
			c.OnRenewalNotSent(id)
			pause = renewalRetryPause
		case err != nil:
			c.OnRenewalFailed(id, now)
			pause = renewalRetryPause
		default:
			c.OnReport(id, report, sent, now)
			pause = c.RenewalPause(id)
		}
	})
	return pause
}
