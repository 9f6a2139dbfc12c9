package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/lead"
)

const (
	// tickEvery is the period of the work that is due with time.
	tickEvery = 100 * time.Millisecond
	// commitEvery is the shortest time between two transactions: it groups changes and bounds the calls to the table.
	commitEvery = 25 * time.Millisecond
	// planEvery is the shortest time between two plans; several events of one moment are planned together.
	planEvery = 10 * time.Millisecond
	// holdPause is the time between two reads of a worker that can't wait for an end, because earlier ends aren't stored yet.
	holdPause = 500 * time.Millisecond
	// holdRetry is the pause after a hold without an answer.
	holdRetry = 400 * time.Millisecond
	// storeWait is the longest time that a question for a state waits for an end to be stored: several transactions of a healthy table.
	storeWait = 300 * time.Millisecond
	// idlePause is the time after which a worker without runs is looked at again in memory, in case a wake was lost.
	idlePause = 10 * time.Second
)

// WorkerAPI sends orders and renewals to workers and requests to the adviser. Implementations are safe for concurrent use and bound the time of each
// call.
type WorkerAPI interface {
	Order(ctx context.Context, o Order) Result
	// Advise asks which workers may run a step.
	Advise(ctx context.Context, q AdviceRequest) (Advice, error)
	// Renew sends a renewal and returns the worker's report. ErrRenewalRefused means that the worker has seen a newer epoch.
	Renew(ctx context.Context, h Renewal) (WorkerReport, error)
}

// ErrRenewalRefused is the error of a renewal under an old epoch.
var ErrRenewalRefused = errors.New("the worker has seen a newer epoch")

// Clock gives the times that a runner needs.
type Clock interface {
	// SinceBoot is a steady time that goes on while the host is suspended.
	SinceBoot() time.Duration
	// WallMS is the time of day, Unix milliseconds.
	WallMS() int64
}

// Runner drives a Core: it stores its rows and sends its orders.
type Runner struct {
	mu      sync.Mutex
	core    *Core
	session *lead.Session
	links   WorkerAPI
	clock   Clock
	log     logrus.FieldLogger
	metrics Metrics
	others  func() []string // addresses of other hosts that may ask the adviser

	machines MachineProvider // nil if no machines can be maintained

	kick      chan struct{}
	stored    chan struct{}            // closed at the next successful transaction
	holders   map[string]chan struct{} // wakes the goroutine that reads a worker
	sentAt    time.Duration            // sending of the newest successful transaction
	failed    error
	lastPlan  time.Duration
	lastTick  time.Duration
	suspended bool // the leader lacks authority and is silent
}

// Metrics receives measurements of a runner.
type Metrics interface {
	Committed(rows int, took time.Duration)
	Planned(took time.Duration)
	Ordered(o Order, r Result, took time.Duration)
	Counted(Counts)
}

// NewRunner returns a runner of a core that was just restored.
func NewRunner(core *Core, s *lead.Session, l WorkerAPI, c Clock, m Metrics, log logrus.FieldLogger) *Runner {
	return &Runner{core: core, session: s, links: l, clock: c, metrics: m, log: log, kick: make(chan struct{}, 1), stored: make(chan struct{}),
		holders: map[string]chan struct{}{}, others: func() []string { return nil }, sentAt: c.SinceBoot()}
}

// SetAdviceRequesters sets the function that returns the addresses of the other hosts that may send requests to the adviser. It must be called before
// Run.
func (r *Runner) SetAdviceRequesters(others func() []string) { r.others = others }

// Do changes the core and lets the runner act on it.
func (r *Runner) Do(f func(c *Core, now time.Duration)) {
	r.mu.Lock()
	f(r.core, r.clock.SinceBoot())
	r.mu.Unlock()
	r.wake()
}

// Overview returns the state of the leader.
func (r *Runner) Overview() Overview {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Overview(r.clock.SinceBoot())
}

// JobState returns the state of a job. It waits for an end that is about to be stored: callers ask again only after some hundred milliseconds, and a lost
// question costs them much longer.
func (r *Runner) JobState(ctx context.Context, id string) JobState {
	timer := time.NewTimer(storeWait)
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

// WriteAge returns the time since the sending of the newest successful write, and whether the store refuses the present one.
func (r *Runner) WriteAge() (age time.Duration, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.SinceBoot() - r.sentAt, r.session.StoreRefusing.Load()
}

func (r *Runner) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// Run leads until ctx ends or another host leads; then it returns nil or ErrDeposed. At the end of ctx it gives leadership back.
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
		case <-r.kick:
		case <-timer.C:
		}
		wait := r.step(run, &group)
		timer.Reset(wait)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

// step does what is due and returns the time until the next step.
func (r *Runner) step(ctx context.Context, group *sync.WaitGroup) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.SinceBoot()
	if r.core.Deposed() {
		r.failed = lead.ErrDeposed
	}
	if now-r.lastTick >= tickEvery {
		r.lastTick = now
		r.core.Tick(now, r.clock.WallMS())
	}
	if now-r.lastPlan >= replanEvery {
		r.core.Replan()
	}
	wait := tickEvery
	if r.core.NeedsPlan() && r.mayAct(now) {
		if now-r.lastPlan >= planEvery {
			r.lastPlan = now
			r.core.Plan(now)
			r.metrics.Planned(r.clock.SinceBoot() - now)
		} else {
			wait = planEvery
		}
	}
	r.sendOrders(ctx, group, now)
	r.metrics.Counted(r.core.TakeCounts())
	r.sendQuestions(ctx, group, now)
	r.startHolders(ctx, group)
	return wait
}

// mayAct reports whether the leader may still give orders: its last successful transaction is recent enough.
func (r *Runner) mayAct(now time.Duration) bool {
	may := r.failed == nil && now-r.sentAt < authorityAfterCommit
	if may == r.suspended {
		r.suspended = !may
		r.log.WithFields(logrus.Fields{"epoch": r.core.Epoch(), "since_write_ms": (now - r.sentAt).Milliseconds(), "may_act": may}).
			Warn("authority of the leader changed")
	}
	return may
}

func (r *Runner) sendOrders(ctx context.Context, group *sync.WaitGroup, now time.Duration) {
	for _, o := range r.core.TakeOrders() {
		if !r.mayAct(now) {
			if !o.Stop { // a stop is repeated when it stays unconfirmed
				r.core.OnStart(o, TooLate, now)
			}
			continue
		}
		group.Go(func() { r.send(ctx, o) })
	}
}

func (r *Runner) send(ctx context.Context, o Order) {
	sent := r.clock.SinceBoot()
	result := r.links.Order(ctx, o)
	r.metrics.Ordered(o, result, r.clock.SinceBoot()-sent)
	if ctx.Err() != nil {
		return
	}
	r.Do(func(c *Core, now time.Duration) {
		if o.Stop {
			c.OnStop(o, result, now)
		} else {
			c.OnStart(o, result, now)
		}
	})
}

// sendQuestions lets this host and the others ask the adviser, which serves each of them in turn.
func (r *Runner) sendQuestions(ctx context.Context, group *sync.WaitGroup, now time.Duration) {
	if !r.core.NeedsAdvice() {
		return
	}
	askers := append([]string{""}, r.others()...)
	for {
		q, ok := r.core.NextAdviceRequest(now, askers)
		if !ok {
			return
		}
		group.Go(func() { r.ask(ctx, q) })
	}
}

// ask puts one question to the adviser.
func (r *Runner) ask(ctx context.Context, q AdviceRequest) {
	sent := r.clock.SinceBoot()
	a, err := r.links.Advise(ctx, q)
	if err != nil {
		r.log.WithFields(logrus.Fields{"step": q.Step, "workers": len(q.Workers)}).WithError(err).Info("no advice")
	}
	r.Do(func(c *Core, now time.Duration) {
		if err != nil {
			c.OnAdvice(q, nil, sent, now)
			return
		}
		c.OnAdvice(q, &a, sent, now)
	})
}

// startHolders runs one goroutine for each worker and wakes those with something to read or to acknowledge.
func (r *Runner) startHolders(ctx context.Context, group *sync.WaitGroup) {
	for _, id := range r.core.TakePollWakeups() {
		wake, ok := r.holders[id]
		if !ok {
			wake = make(chan struct{}, 1)
			r.holders[id] = wake
			group.Go(func() { r.holdLoop(ctx, id, wake) })
		}
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// holdState says what to do next about a worker.
type holdState uint8

const (
	holdNow holdState = iota
	holdIdle
	holdSuspended
	holdGone
)

func (r *Runner) nextHold(id string) (Renewal, holdState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.SinceBoot()
	if !r.core.HasWorker(id) {
		delete(r.holders, id)
		return Renewal{}, holdGone
	}
	if !r.mayAct(now) {
		return Renewal{}, holdSuspended
	}
	if h, ok := r.core.NextRenewal(id, now); ok {
		return h, holdNow
	}
	return Renewal{}, holdIdle
}

// holdLoop reads a worker while something runs there or is to be acknowledged.
func (r *Runner) holdLoop(ctx context.Context, id string, wake chan struct{}) {
	for ctx.Err() == nil {
		h, state := r.nextHold(id)
		switch state {
		case holdGone:
			return
		case holdIdle:
			r.await(ctx, wake, idlePause)
		case holdSuspended:
			r.await(ctx, nil, holdRetry)
		case holdNow:
			if pause := r.hold(ctx, id, h); pause > 0 {
				r.await(ctx, wake, pause)
			}
		}
	}
}

// await waits for a wake or for the pause.
func (r *Runner) await(ctx context.Context, wake chan struct{}, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}

// hold sends one hold and returns the pause until the next one.
func (r *Runner) hold(ctx context.Context, id string, h Renewal) time.Duration {
	sent := r.clock.SinceBoot()
	report, err := r.links.Renew(ctx, h)
	if ctx.Err() != nil {
		return holdRetry
	}
	pause := time.Duration(0)
	r.Do(func(c *Core, now time.Duration) {
		switch {
		case errors.Is(err, ErrRenewalRefused):
			c.OnRenewalRefused(id)
		case err != nil:
			c.OnRenewalFailed(id, h, now)
			pause = holdRetry
		default:
			c.OnReport(id, report, sent, now)
			pause = c.RenewalPause(id)
		}
	})
	return pause
}

// commitLoop stores rows, and renews the leader row when nothing else is written.
func (r *Runner) commitLoop(outer, run context.Context, stop context.CancelFunc) {
	defer stop()
	for {
		last := outer.Err() != nil
		err := r.commit(run, last)
		r.mu.Lock()
		if err != nil && run.Err() == nil {
			r.failed = lead.ErrDeposed
		}
		failed := r.failed
		r.mu.Unlock()
		if failed != nil || last {
			return
		}
		r.awaitCommit(outer)
	}
}

// awaitCommit waits until rows wait to be stored, but commitEvery at least and lead.RenewInterval at most.
func (r *Runner) awaitCommit(ctx context.Context) {
	begin := time.Now()
	for ctx.Err() == nil && time.Since(begin) < lead.RenewInterval {
		select {
		case <-ctx.Done():
			return
		case <-time.After(commitEvery):
		}
		r.mu.Lock()
		has := r.core.HasCommit() || r.core.Deposed()
		r.mu.Unlock()
		if has {
			return
		}
	}
}

func (r *Runner) commit(ctx context.Context, release bool) error {
	r.mu.Lock()
	if r.core.Deposed() {
		r.mu.Unlock()
		return lead.ErrDeposed
	}
	if release {
		r.core.StopStarting()
	}
	cm := r.core.TakeCommit()
	r.mu.Unlock()
	if cm == nil {
		cm = &Commit{}
	}
	began := r.clock.SinceBoot()
	write := r.session.Commit
	if release {
		write = r.session.Release
	}
	if err := write(ctx, cm.Puts, cm.Removes); err != nil {
		return err
	}
	r.Do(func(c *Core, now time.Duration) {
		// The first try may have been the one that took effect. This clock goes on while the host is suspended.
		r.sentAt = began
		r.metrics.Committed(len(cm.Puts)+len(cm.Removes), now-began)
		c.OnStored(cm, now)
		close(r.stored)
		r.stored = make(chan struct{})
	})
	return nil
}
