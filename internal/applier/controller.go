// Package applier executes the decisions of package scheduler for one failure domain: it starts, renews and stops gangs
// on workers and maintains the job rows in the platform's table. A controller has no persistent state of its own: a new one
// rebuilds its state from the rows and the reports of the workers.
//
// Workers and table enforce safety. A placement is committed only after a conditional write of the job row. It is replaced
// only after a fence: each of its workers has confirmed the stop, which also records a higher fencing token, or its lease
// has expired even under the worst assumptions on clocks and delays.
package applier

import (
	"context"
	"expvar"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/jobs"
	"samphirewell/internal/platform"
	"samphirewell/internal/scheduler"
)

// Leadership reports whether this host is the preferred host of the domain. Its methods are called concurrently.
type Leadership interface {
	// HasAuthority reports whether the host is preferred and holds the view lease.
	HasAuthority(now time.Time) bool
	// Since returns the time at which the host became preferred.
	Since() time.Time
}

// WorkerClient sends commands to workers. An error means that no response arrived; the command may have taken effect.
// All methods are called concurrently.
type WorkerClient interface {
	Reserve(ctx context.Context, w api.HostEntry, reqs []api.ReserveRequest) (api.LeaseResponse, error)
	Commit(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error)
	Renew(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error)
	Stop(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error)
	Checkpoint(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error)
	Throttle(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error)
	Report(ctx context.Context, w api.HostEntry) (api.WorkerReport, error)
}

// Deps are the dependencies of a controller. Health, LostDomains and Events may be nil.
type Deps struct {
	Domain      string
	Store       *jobs.Store
	Table       platform.Table
	Workers     func() []api.HostEntry   // listed workers of the domain
	Lists       func() (api.Lists, bool) // accepted lists; false while none are available
	Client      WorkerClient
	Leadership  Leadership
	Clock       clock.Clock
	Health      Health
	LostDomains func() []LostDomain // other failure domains that are unresponsive
	Events      func(api.Event)
}

// Controller schedules one failure domain. Step must not be called concurrently; Wake and Explain may be.
type Controller struct {
	cfg  Settings
	deps Deps

	jobs             map[string]*job
	sortedCache      []*job    // the jobs in the order of their ids; nil after jobs were added or dropped
	leaderSince      time.Time // start of the leadership for which the state was built; zero if none
	ownCommandsSince time.Time // all later commands of this host are tracked: start of the leadership or of the controller
	createdAt        time.Time

	workers        map[string]*worker
	formerWorkers  map[string]bool      // workers on which former preferred hosts may have placed gangs; nil until the domain's row is read
	partsByWorker  map[string][]partRef // by worker id, as of the newest collectReports
	tokens         tokens
	horizon        horizon
	writes         writeBudget
	outage         bool // the newest request to the table failed
	outageSince    time.Time
	outageReported bool      // an event was reported for the outage
	lastScan       time.Time // start of the newest successful scan
	completeScanAt time.Time // end of the first scan with all jobs that former preferred hosts could place; zero if none
	nextScan       time.Time
	nextPlan       time.Time

	nextTakeover time.Time

	decision      scheduler.Decision
	lastMigration time.Time
	estimates     *scheduler.Estimator
	stepStart     time.Time

	lateResponses chan func()   // handlers of responses that arrived too late for their step, run by the next step
	sendSlots     chan struct{} // limits concurrent commands
	wake          chan struct{}
	histories     *jobHistories
	vars          *expvar.Map
}

// New returns a controller. It does nothing until Step or Run is called.
func New(cfg Settings, deps Deps) *Controller {
	c := &Controller{
		cfg: cfg.withDefaults(), deps: deps, wake: make(chan struct{}, 1), histories: newJobHistories(), vars: new(expvar.Map).Init(),
		estimates: scheduler.NewEstimator(), jobs: map[string]*job{},
	}
	c.lateResponses, c.sendSlots = make(chan func(), maxLateResponses), make(chan struct{}, c.cfg.Concurrency)
	c.createdAt = c.now()
	c.reset(time.Time{})
	return c
}

// reset clears the state that must be collected again when the leadership changes. Rows, token block and horizon are retained: a controller
// that becomes preferred during a table outage needs them.
func (c *Controller) reset(since time.Time) {
	for id, j := range c.jobs {
		fresh := newJob(j.row, c.now())
		fresh.firstSeen, fresh.lastSeen = time.Time{}, j.lastSeen
		c.jobs[id] = fresh
	}
	c.invalidateSorted()
	c.horizon.nextRenewal, c.formerWorkers = time.Time{}, nil
	c.leaderSince, c.ownCommandsSince = since, later(since, c.createdAt)
	c.workers = map[string]*worker{}
	c.writes = newWriteBudget(c.cfg.WritesPerSec, c.cfg.WriteBurst)
	c.nextScan, c.nextPlan, c.completeScanAt = time.Time{}, time.Time{}, time.Time{}
	c.decision = scheduler.Decision{}
}

// Vars returns the counters since the start: one for each kind of event, and steps, commands_sent, commands_failed and
// rows_written.
func (c *Controller) Vars() *expvar.Map { return c.vars }

// reportEvent reports and counts an event.
func (c *Controller) reportEvent(e api.Event) {
	e.Count = 1
	c.vars.Add(string(e.Kind), 1)
	if c.deps.Events != nil {
		c.deps.Events(e)
	}
}

// Wake makes Run start the next step without waiting for the idle period, for instance after a submission.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// wakeDelay is the time between a wake and its step. It groups the submissions of a burst, because each wake costs a scan of the rows.
const wakeDelay = 100 * time.Millisecond

// idlePeriod is the time from the end of a step to the next one if Wake is not called.
const idlePeriod = 250 * time.Millisecond

// Run executes steps until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.Step(ctx)
		select {
		case <-ctx.Done():
		case <-c.deps.Clock.After(idlePeriod):
		case <-c.wake:
			<-c.deps.Clock.After(wakeDelay)
			c.nextScan, c.nextPlan = time.Time{}, time.Time{}
		}
	}
}

// Step executes one cycle: it reads rows and reports, updates the gangs, and applies a new decision. Without authority it only keeps the
// standby state up to date. Failures of workers and table are recorded in the state, and later steps retry.
func (c *Controller) Step(ctx context.Context) {
	c.stepStart = c.deps.Clock.Now()
	if !c.deps.Leadership.HasAuthority(c.stepStart) {
		if !c.leaderSince.IsZero() {
			c.reset(time.Time{})
		}
		c.standBy(ctx)
		return
	}
	if since := c.deps.Leadership.Since(); !since.Equal(c.leaderSince) {
		c.reset(since)
	}
	c.indexParts()
	c.vars.Add("steps", 1)
	c.handleLateResponses()
	c.syncWorkers()
	c.readRows(ctx)
	c.ensureTokens(ctx)
	c.renewHorizon(ctx)
	c.refreshUncertainRows(ctx)
	c.collectReports(ctx)
	c.adoptOrphans()
	c.renew(ctx)
	c.reconcile()
	c.actOnOverUse(ctx)
	c.runFences(ctx)
	c.flush(ctx)
	c.takeOverDomains(ctx)
	c.startProbes(ctx)
	c.decide(ctx)
}

// hasAuthority reports whether the current step may still send commands and write rows. It is called right before each of them. A step that
// was delayed for longer than the view lease ends without further effects, because the rows that it read are too old.
func (c *Controller) hasAuthority() bool {
	return c.hasAuthoritySince(c.stepStart, c.leaderSince)
}

func (c *Controller) hasAuthoritySince(stepStart, since time.Time) bool {
	now := c.deps.Clock.Now()
	lead := c.deps.Leadership
	return now.Sub(stepStart) <= c.cfg.ViewLease && lead.HasAuthority(now) && lead.Since().Equal(since)
}

// latestSendTime is the latest time at which a command of this step can have been sent.
func (c *Controller) latestSendTime() time.Time { return c.stepStart.Add(c.cfg.ViewLease) }

func (c *Controller) now() time.Time { return c.deps.Clock.Now() }
