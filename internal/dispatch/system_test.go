package dispatch

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/lead"
	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

var testBounds = Bounds{LeaseMax: 6 * time.Second, StopMax: 200 * time.Millisecond}

// testGangWait is the time after which a member of a gang ends if the other members don't start.
const testGangWait = 3 * time.Second

var testKey = rowstore.Key{Table: TableStates, Partition: Partition, Key: LeaderKey}

const testStep = 50 * time.Millisecond

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func testPolicy() *batch.Policy {
	p := &batch.Policy{Version: 1, Services: []batch.Service{{Name: "svc", EnforcesCapacity: true}},
		Teams: []batch.Team{{Name: "red", Keys: []string{"k"}, GuaranteedAccelerators: 32},
			{Name: "blue", Keys: []string{"l"}, GuaranteedAccelerators: 16}}}
	for i, name := range []string{"urgent", "normal", "batch"} {
		p.Queues = append(p.Queues, batch.Queue{Name: name, Service: "svc", Priority: i, Attempts: 3, Stretch: 3})
	}
	return p.Index()
}

// leader is one host of a system that leads or has led.
type leader struct {
	core          *Core
	session       *lead.Session
	sentAt        time.Duration
	frozen        bool
	nextRenewalAt map[string]time.Duration
	plan          *CyclePlan // prepared, not applied yet
	slow          []*slowDelivery
}

// system runs leaders against a fake fleet and a store in memory, in steps of testStep.
type system struct {
	t       must.T
	fleet   *fakeFleet
	store   *memstore.Store
	leaders []*leader // the newest one last; older ones continue until they detect that they are deposed
	jobs    []batch.Job
	cancels []string
	epochs  int
	outage  bool // nothing can be stored
	// evacuations is the set of evacuated failure domains that all leaders know, see evacuate.
	evacuations []string
	// slowCopies sends the copies of an order apart in time instead of at once.
	slowCopies bool
	// stalePlans applies each plan one step after it was prepared.
	stalePlans bool
}

func newSystem(t must.T, seed uint64, racks, perRack int) *system {
	s := &system{t: t, fleet: newFleet(seed, racks, perRack), store: memstore.New()}
	s.elect()
	return s
}

// elect makes another host the leader, whether or not the last one has stopped.
func (s *system) elect() {
	s.epochs++
	states, _, err := rowstore.ScanAll(context.Background(), s.store, TableStates, []string{Partition})
	must.NoError(s.t, err)
	var observed rowstore.Row
	for _, r := range states {
		if r.Key == testKey {
			observed = r
		}
	}
	session, err := lead.Claim(context.Background(), s.store, testKey, observed, lead.Row{Host: "host", Incarnation: string(rune('a' + s.epochs))})
	must.NoError(s.t, err)
	states, _, _ = rowstore.ScanAll(context.Background(), s.store, TableStates, []string{Partition})
	tasks, _, _ := rowstore.ScanAll(context.Background(), s.store, TableTasks, []string{Partition})
	core := New(session.Epoch(), testPolicy(), testBounds, discardLog())
	core.Restore(s.jobs, states, tasks, s.fleet.now, s.fleet.now.Milliseconds())
	for _, id := range s.cancels {
		core.Cancel(id, s.fleet.now)
	}
	core.SetEvacuations(s.evacuations, s.fleet.now)
	s.leaders = append(s.leaders, &leader{core: core, session: session, sentAt: s.fleet.now, nextRenewalAt: map[string]time.Duration{}})
}

func (s *system) submit(j batch.Job) {
	j.AcceptedMS = s.fleet.now.Milliseconds()
	s.fleet.jobs[j.ID] = j
	s.jobs = append(s.jobs, j)
	for _, l := range s.leaders {
		l.core.AddJob(j, s.fleet.now)
	}
}

func (s *system) cancel(id string) {
	s.fleet.cancelled[id] = true
	s.cancels = append(s.cancels, id)
	for _, l := range s.leaders {
		l.core.Cancel(id, s.fleet.now)
	}
}

// run runs the system for a time.
func (s *system) run(d time.Duration) {
	for end := s.fleet.now + d; s.fleet.now < end; {
		s.fleet.advance(testStep)
		for _, l := range s.leaders {
			s.stepLeader(l)
		}
	}
}

// stepLeader does what a Runner does in one step.
func (s *system) stepLeader(l *leader) {
	now := s.fleet.now
	if l.frozen || l.core.Deposed() {
		return
	}
	l.core.SetWorkers(s.fleet.list(), now)
	l.core.Tick(now, now.Milliseconds())
	hasAuthority := now-l.sentAt < authorityAfterCommit
	if hasAuthority {
		l.core.Replan()
		s.plan(l)
	} else {
		l.plan = nil
	}
	checkDerivedState(s.t, l.core)
	s.commit(l)
	for _, o := range l.core.TakeOrders() {
		switch {
		case !hasAuthority && !o.Stop:
			l.core.OnStart(o, Delivery{Result: TooLate}, now)
		case !hasAuthority:
		case s.slowCopies:
			s.deliverSlowly(l, o)
		case o.Stop:
			l.core.OnStop(o, Deliver(o, s.fleet.order).Result, now)
		default:
			l.core.OnStart(o, Deliver(o, s.fleet.order), now)
		}
	}
	s.stepDeliveries(l)
	if hasAuthority {
		s.renewLeases(l)
	}
}

func (s *system) plan(l *leader) {
	if !s.stalePlans {
		l.core.Plan(s.fleet.now)
		return
	}
	if l.plan != nil {
		l.core.ApplyPlan(l.plan, s.fleet.now)
	}
	l.plan = l.core.PreparePlan(s.fleet.now)
	l.plan.Decide()
}

func (s *system) commit(l *leader) {
	if s.outage {
		return
	}
	cm := l.core.TakeCommit()
	if cm == nil {
		cm = &Commit{}
	}
	s.storeCommit(l, cm)
}

// storeCommit stores a commit, or its halves if the store rejects it, as a Runner does.
func (s *system) storeCommit(l *leader, cm *Commit) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := l.session.Commit(ctx, cm.Puts, cm.Removes)
	switch {
	case errors.Is(err, rowstore.ErrRejected) && len(cm.rows) == 1:
		l.core.OnRejected(cm, err, s.fleet.now)
	case errors.Is(err, rowstore.ErrRejected):
		first, second := cm.split()
		s.storeCommit(l, first)
		s.storeCommit(l, second)
	case err != nil:
		l.core.deposed = true
	default:
		l.sentAt = s.fleet.now
		l.core.OnStored(cm, s.fleet.now)
	}
}

func (s *system) renewLeases(l *leader) {
	now := s.fleet.now
	l.core.TakePollWakeups()
	for _, id := range s.fleet.ids() {
		if now < l.nextRenewalAt[id] && !l.core.isRenewalDue(id) && !s.connectionBreaks(l, id) {
			continue
		}
		renewal, ok := l.core.NextRenewal(id, now)
		if !ok {
			continue
		}
		if s.fleet.otherWorkerAt(renewal.Worker) {
			l.core.OnReplaced(id, renewal, now)
			l.nextRenewalAt[id] = now + renewalRetryPause
			continue
		}
		report, responded, refused := s.fleet.renew(renewal)
		switch {
		case refused:
			l.core.OnRenewalRefused(id)
		case !responded:
			l.core.OnRenewalFailed(id, now)
			l.nextRenewalAt[id] = now + renewalRetryPause
		default:
			// The report is as old as the sending of the renewal; the orders of this step were sent before it.
			l.core.OnReport(id, report, now+1, now+2)
			l.nextRenewalAt[id] = now + 500*time.Millisecond
		}
	}
}

// connectionBreaks reports whether a worker crashed while a renewal waited there.
func (s *system) connectionBreaks(l *leader, id string) bool {
	w := l.core.workers[id]
	return w != nil && !w.unresponsive && !s.fleet.workers[id].up
}

func (c *Core) isRenewalDue(id string) bool {
	w := c.workers[id]
	return w != nil && w.renewalDue
}

// state returns the stored state of a job.
func (s *system) state(id string) batch.State {
	rows, _, err := rowstore.ScanAll(context.Background(), s.store, TableStates, []string{Partition})
	must.NoError(s.t, err)
	for _, r := range rows {
		if _, state, _, ok := StateOf(r); ok && r.Key.Key == id {
			return state
		}
	}
	return ""
}

func (s *system) mustHaveNoViolations() {
	must.SliceEmpty(s.t, s.fleet.violations, must.Sprint(strings.Join(s.fleet.violations, "\n")))
}

func simpleJob(id, queue string, prio, tasks int, need batch.Resources) batch.Job {
	return batch.Job{ID: id, Team: "red", Queue: batch.Queue{Name: queue, Service: "svc", Priority: prio, Attempts: 3, Stretch: 3},
		Payload: id, Steps: []batch.Step{{Tasks: tasks, Need: need, Estimate: 2 * time.Second}}}
}

var smallNeed = batch.Resources{MilliCores: 4000, MemoryMB: 1000, Accelerators: 1}

// Guards against jobs, steps or gangs that never complete.
func TestJobsOfAllKindsComplete(t *testing.T) {
	s := newSystem(t, 1, 2, 4)
	s.submit(simpleJob("plain", "batch", 2, 10, smallNeed))
	gang := simpleJob("gang", "normal", 1, 4, batch.Resources{MilliCores: 8000, Accelerators: 8})
	gang.Steps[0].Gang, gang.Steps[0].SameRack = true, true
	s.submit(gang)
	chain := simpleJob("chain", "normal", 1, 3, smallNeed)
	chain.Steps = append(chain.Steps, batch.Step{Tasks: 2, Need: smallNeed, After: []int{0}})
	s.submit(chain)
	s.run(15 * time.Second)
	s.mustHaveNoViolations()
	for _, id := range []string{"plain", "gang", "chain"} {
		must.Eq(t, batch.Completed, s.state(id), must.Sprint(id))
	}
}

// Guards against a table that grows without bound, and against states that are deleted while callers may still query them.
func TestStatesOfEndedJobsAreForgotten(t *testing.T) {
	s := newSystem(t, 1, 1, 2)
	s.submit(simpleJob("j", "batch", 2, 1, smallNeed))
	s.run(10 * time.Second)
	must.Eq(t, batch.Completed, s.state("j"))
	state := s.leaders[0].core.JobState("j")
	must.Eq(t, JobState{Tracked: true, Queue: "batch", State: batch.Completed}, state,
		must.Sprint("the leader must report ended jobs, or hosts show an older state"))
	s.fleet.now += 5 * time.Minute
	s.leaders[0].sentAt = s.fleet.now
	s.run(time.Second)
	must.Eq(t, batch.Completed, s.state("j"))
	s.fleet.now += 6 * time.Minute
	s.leaders[0].sentAt = s.fleet.now
	s.run(time.Second)
	must.Eq(t, "", s.state("j"))
	must.SliceContains(t, s.leaders[0].core.TakeForgotten(), "j")
}

// Guards against an end that is reported to a caller and then lost: the table is down, the worker with the only record of the end leaves, and the
// next leader runs the task again.
func TestEndThatMayBeLostIsNotReported(t *testing.T) {
	s := newSystem(t, 5, 1, 2)
	s.fleet.noFaults = false
	s.submit(simpleJob("j", "normal", 1, 1, smallNeed))
	s.run(200 * time.Millisecond)
	s.outage = true
	s.run(3800 * time.Millisecond) // runs take at most 3.5 s, and a leader acts for 4 s after its last write
	must.MapContainsKey(t, s.fleet.everDone, "j.0.0.0")
	must.True(t, s.leaders[0].core.JobState("j").Storing)
	must.NotEq(t, batch.Completed, s.leaders[0].core.JobState("j").State)
	for id, w := range s.fleet.workers {
		if len(w.endReports) > 0 {
			s.fleet.removeWorker(id)
		}
	}
	s.leaders[0].frozen = true
	s.outage = false
	s.elect()
	must.Eq(t, batch.Running, s.leaders[1].core.JobState("j").State)
	s.run(20 * time.Second)
	must.Eq(t, batch.Completed, s.state("j"))
	must.Eq(t, batch.Completed, s.leaders[1].core.JobState("j").State)
}

// Guards against leases that never end because they are renewed on a worker that is lost permanently: its tasks must start elsewhere.
func TestTasksOfALostWorkerStartElsewhere(t *testing.T) {
	s := newSystem(t, 2, 1, 3)
	gang := simpleJob("gang", "normal", 1, 2, batch.Resources{MilliCores: 8000, Accelerators: 8})
	gang.Steps[0].Gang = true
	s.submit(gang)
	s.run(200 * time.Millisecond)
	for id, w := range s.fleet.workers {
		if len(w.running) > 0 {
			s.fleet.noFaults = false
			s.fleet.removeWorker(id)
			break
		}
	}
	s.run(14 * time.Second)
	must.Eq(t, batch.Completed, s.state("gang"))
	s.mustHaveNoViolations()
}

// Guards against counting the tasks of a step separately for each request: tasks that failed on a worker are placed in requests of their own, and the
// limit per worker applies to all of them together.
func TestTasksPerWorkerAreLimitedAcrossRequests(t *testing.T) {
	s := newSystem(t, 3, 1, 3)
	j := simpleJob("apart", "batch", 2, 12, smallNeed)
	j.Steps[0].MaxPerWorker = 2
	s.submit(j)
	s.run(100 * time.Millisecond)
	s.fleet.workers["w0-0"].failsRuns = true
	s.run(time.Second)
	s.fleet.workers["w0-0"].failsRuns = false
	s.run(40 * time.Second)
	s.mustHaveNoViolations()
	must.Eq(t, batch.Completed, s.state("apart"))
}

// Guards against a run that counts as lost before it was ordered: the worker was idle, and its last lease expired long before the assignment is
// stored.
func TestIdleWorkersKeepNewAssignments(t *testing.T) {
	s := newSystem(t, 4, 1, 3)
	s.submit(simpleJob("first", "batch", 2, 3, batch.Resources{Accelerators: 8}))
	s.run(25 * time.Second)
	must.Eq(t, batch.Completed, s.state("first"))
	c := s.leaders[0].core
	s.submit(simpleJob("second", "batch", 2, 3, batch.Resources{Accelerators: 8}))
	c.Plan(s.fleet.now)
	cm := c.TakeCommit()
	c.Tick(s.fleet.now+testStep, 0)
	c.OnStored(cm, s.fleet.now+testStep)
	orders := c.TakeOrders()
	must.Len(t, 3, orders)
	for _, o := range orders {
		must.Eq(t, 1, o.Run)
	}
}
