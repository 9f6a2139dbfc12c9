package dispatch

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/lead"
	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

var testBounds = Bounds{LeaseMax: 6 * time.Second, StopMax: 200 * time.Millisecond}

// testGangWait is the time after which a member of a gang ends if the others don't come.
const testGangWait = 3 * time.Second

var testKey = rowstore.Key{Table: TableStates, Partition: Partition, Key: LeaderKey}

const testStep = 50 * time.Millisecond

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func testPolicy() *batch.Policy {
	p := &batch.Policy{Version: 1, Services: []batch.Service{{Name: "svc", EnforcesCapacity: true}},
		Teams: []batch.Team{{Name: "red", Keys: []string{"k"}, Guaranteed: 32}, {Name: "blue", Keys: []string{"l"}, Guaranteed: 16}}}
	for i, name := range []string{"urgent", "normal", "batch"} {
		p.Queues = append(p.Queues, batch.Queue{Name: name, Service: "svc", Priority: i, Attempts: 3, Stretch: 3})
	}
	return p.Index()
}

// leader is one leading host of a system.
type leader struct {
	core    *Core
	session *lead.Session
	sentAt  time.Duration
	frozen  bool
	holdAt  map[string]time.Duration
}

// system runs leaders against a fake fleet and a store in memory, step by step.
type system struct {
	t       must.T
	fleet   *fakeFleet
	store   *memstore.Store
	leaders []*leader // the newest one last; older ones go on until they notice
	inbox   []batch.Job
	cancels []string
	epochs  int
	outage  bool // nothing can be stored
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
	core := New(session.Epoch(), testPolicy(), testBounds, quietLog())
	core.Restore(s.inbox, states, tasks, s.fleet.now, s.fleet.now.Milliseconds())
	for _, id := range s.cancels {
		core.Cancel(id, s.fleet.now)
	}
	s.leaders = append(s.leaders, &leader{core: core, session: session, sentAt: s.fleet.now, holdAt: map[string]time.Duration{}})
}

func (s *system) submit(j batch.Job) {
	j.AcceptedMS = s.fleet.now.Milliseconds()
	s.fleet.jobs[j.ID] = j
	s.inbox = append(s.inbox, j)
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

// run lets the system go on for a time.
func (s *system) run(d time.Duration) {
	for end := s.fleet.now + d; s.fleet.now < end; {
		s.fleet.advance(testStep)
		for _, l := range s.leaders {
			s.drive(l)
		}
	}
}

// drive does what a Runner does in one step.
func (s *system) drive(l *leader) {
	now := s.fleet.now
	if l.frozen || l.core.Deposed() {
		return
	}
	l.core.SetWorkers(s.fleet.list(), now)
	l.core.Tick(now, now.Milliseconds())
	may := now-l.sentAt < authorityAfterCommit
	if may {
		l.core.Replan()
		l.core.Plan(now)
	}
	s.commit(l)
	for _, o := range l.core.TakeOrders() {
		switch {
		case !may && !o.Stop:
			l.core.OnStart(o, TooLate, now)
		case !may:
		case o.Stop:
			l.core.OnStop(o, s.fleet.order(o), now)
		default:
			l.core.OnStart(o, s.fleet.order(o), now)
		}
	}
	if may {
		s.hold(l)
	}
}

func (s *system) commit(l *leader) {
	if s.outage {
		return
	}
	cm := l.core.TakeCommit()
	if cm == nil {
		cm = &Commit{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := l.session.Commit(ctx, cm.Puts, cm.Removes); err != nil {
		l.core.deposed = true
		return
	}
	l.sentAt = s.fleet.now
	l.core.OnStored(cm, s.fleet.now)
}

func (s *system) hold(l *leader) {
	now := s.fleet.now
	l.core.TakePollWakeups()
	for _, id := range s.fleet.ids() {
		if now < l.holdAt[id] && !l.core.holdDue(id) {
			continue
		}
		h, ok := l.core.NextRenewal(id, now)
		if !ok {
			continue
		}
		report, answered, refused := s.fleet.hold(h)
		switch {
		case refused:
			l.core.OnRenewalRefused(id)
		case !answered:
			l.core.OnRenewalFailed(id, h, now)
			l.holdAt[id] = now + holdRetry
		default:
			// The list is as old as the sending of the hold; orders of this step came before.
			l.core.OnReport(id, report, now+1, now+2)
			l.holdAt[id] = now + 500*time.Millisecond
		}
	}
}

func (c *Core) holdDue(id string) bool {
	w := c.workers[id]
	return w != nil && w.holdDue
}

// state returns the state of a job as stored.
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

func (s *system) mustHold() {
	must.SliceEmpty(s.t, s.fleet.broken)
}

func simpleJob(id, queue string, prio, tasks int, need batch.Resources) batch.Job {
	return batch.Job{ID: id, Team: "red", Queue: batch.Queue{Name: queue, Service: "svc", Priority: prio, Attempts: 3, Stretch: 3},
		Payload: id, Steps: []batch.Step{{Tasks: tasks, Need: need, Estimate: 2 * time.Second}}}
}

var smallRoom = batch.Resources{MilliCores: 4000, MemoryMB: 1000, Accelerators: 1}

// Guards against a path on which jobs, steps or gangs never complete.
func TestJobsOfAllKindsComplete(t *testing.T) {
	s := newSystem(t, 1, 2, 4)
	s.submit(simpleJob("plain", "batch", 2, 10, smallRoom))
	gang := simpleJob("gang", "normal", 1, 4, batch.Resources{MilliCores: 8000, Accelerators: 8})
	gang.Steps[0].Gang, gang.Steps[0].SameRack = true, true
	s.submit(gang)
	chain := simpleJob("chain", "normal", 1, 3, smallRoom)
	chain.Steps = append(chain.Steps, batch.Step{Tasks: 2, Need: smallRoom, After: []int{0}})
	s.submit(chain)
	s.run(15 * time.Second)
	s.mustHold()
	for _, id := range []string{"plain", "gang", "chain"} {
		must.Eq(t, batch.Completed, s.state(id), must.Sprint(id))
	}
}

// Guards against a table that grows for ever, and against states that vanish while callers may still ask for them.
func TestStatesOfEndedJobsAreForgotten(t *testing.T) {
	s := newSystem(t, 1, 1, 2)
	s.submit(simpleJob("j", "batch", 2, 1, smallRoom))
	s.run(10 * time.Second)
	must.Eq(t, batch.Completed, s.state("j"))
	told := s.leaders[0].core.JobState("j")
	must.Eq(t, JobState{Known: true, Queue: "batch", State: batch.Completed}, told, must.Sprint("the leader must know ended jobs, or hosts show an older state"))
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

// Guards against an end that a caller was told and that is lost: the table is down, the worker with the only proof leaves, and the next leader runs the
// task again.
func TestNoEndIsToldThatMayBeLost(t *testing.T) {
	s := newSystem(t, 5, 1, 2)
	s.fleet.calm = false
	s.submit(simpleJob("j", "normal", 1, 1, smallRoom))
	s.run(200 * time.Millisecond)
	s.outage = true
	s.run(3800 * time.Millisecond) // runs take at most 3.5 s, and a leader acts for 4 s after its last write
	must.MapContainsKey(t, s.fleet.everDone, "j.0.0.0")
	must.True(t, s.leaders[0].core.JobState("j").Storing)
	must.NotEq(t, batch.Completed, s.leaders[0].core.JobState("j").State)
	for id, w := range s.fleet.workers {
		if len(w.ended) > 0 {
			s.fleet.lose(id)
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

// Guards against leases that are renewed in vain and so never end: a worker that is lost for good must not keep its tasks.
func TestTasksOfALostWorkerStartElsewhere(t *testing.T) {
	s := newSystem(t, 2, 1, 3)
	gang := simpleJob("gang", "normal", 1, 2, batch.Resources{MilliCores: 8000, Accelerators: 8})
	gang.Steps[0].Gang = true
	s.submit(gang)
	s.run(200 * time.Millisecond)
	for id, w := range s.fleet.workers {
		if len(w.running) > 0 {
			s.fleet.calm = false
			s.fleet.lose(id)
			break
		}
	}
	s.run(14 * time.Second)
	must.Eq(t, batch.Completed, s.state("gang"))
	s.mustHold()
}

// Guards against counting the tasks of a step for each request apart: tasks that failed somewhere are placed in requests of their own, and the limit
// per worker holds for all of them together.
func TestTasksPerWorkerAreLimitedAcrossRequests(t *testing.T) {
	s := newSystem(t, 3, 1, 3)
	j := simpleJob("apart", "batch", 2, 12, smallRoom)
	j.Steps[0].MaxPerWorker = 2
	s.submit(j)
	s.run(100 * time.Millisecond)
	s.fleet.workers["w0-0"].broken = true
	s.run(time.Second)
	s.fleet.workers["w0-0"].broken = false
	s.run(40 * time.Second)
	s.mustHold()
	must.Eq(t, batch.Completed, s.state("apart"))
}

// Guards against a run that counts as lapsed before it was ordered, because the worker stood idle and its last lease has long ended while the
// assignment is being stored.
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
