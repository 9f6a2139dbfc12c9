package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// fakeMachines is the provider of the machines of a fake fleet: maintenance takes a while, and the worker returns under another id.
type fakeMachines struct {
	s                *system
	states           map[string]batch.MachineState
	workers          map[string]string // machine -> worker
	upAt             map[string]time.Duration
	maintained       map[string]int
	responsesToLose  int           // number of responses still to lose
	ordersToLose     int           // number of orders still to lose
	repeatsToRefuse  int           // number of repeated orders still to refuse because the provider accepts no more calls
	listOutage       time.Duration // time after a lost response in which the list can't be read
	listFailsUntil   time.Duration
	maxInMaintenance int // largest number of machines in maintenance at the same time
	orders           map[string][]machineOrder
	keepsIDs         bool // the worker returns under the id that it had
	keepListed       bool // the registry still lists workers whose machine is down
}

type machineOrder struct {
	epoch uint64
	at    time.Duration
}

const fakeMaintenanceTime = 2 * time.Second

func newFakeMachines(s *system) *fakeMachines {
	f := &fakeMachines{s: s, states: map[string]batch.MachineState{}, workers: map[string]string{}, upAt: map[string]time.Duration{}, maintained: map[string]int{}, orders: map[string][]machineOrder{}}
	for _, id := range s.fleet.ids() {
		f.states["m-"+id], f.workers["m-"+id] = batch.MachineUp, id
	}
	return f
}

func (f *fakeMachines) ids() []string {
	var out []string
	for _, id := range f.s.fleet.ids() {
		out = append(out, "m-"+id)
	}
	return out
}

func (f *fakeMachines) list() []batch.Machine {
	var out []batch.Machine
	for id, state := range f.states {
		out = append(out, batch.Machine{ID: id, Pool: "svc", State: state, Worker: f.workers[id]})
	}
	return out
}

// maintain carries out an order and returns the result that the sender receives.
func (f *fakeMachines) maintain(m Maintenance) MaintenanceResult {
	if _, ok := f.states[m.Machine]; !ok {
		return MaintenanceNotDue
	}
	f.orders[m.Machine] = append(f.orders[m.Machine], machineOrder{m.Epoch, f.s.fleet.now})
	if f.ordersToLose > 0 {
		f.ordersToLose--
		return MaintenanceUnknown
	}
	if f.repeatsToRefuse > 0 && len(f.orders[m.Machine]) > 1 {
		f.repeatsToRefuse--
		return MaintenanceBusy
	}
	if f.maintained[m.Machine] == 0 {
		if f.states[m.Machine] != batch.MachineUp {
			return MaintenanceBusy
		}
		f.maintained[m.Machine]++
		f.states[m.Machine] = batch.MachineInMaintenance
		f.upAt[m.Machine] = f.s.fleet.now + fakeMaintenanceTime
		f.s.fleet.removeWorker(f.workers[m.Machine])
		f.s.fleet.workers[f.workers[m.Machine]].keepListed = f.keepListed
		f.maxInMaintenance = max(f.maxInMaintenance, len(f.upAt))
	}
	if f.responsesToLose > 0 {
		f.responsesToLose--
		f.listFailsUntil = f.s.fleet.now + f.listOutage
		return MaintenanceUnknown
	}
	return MaintenanceBegun
}

// run runs the system for a time, including the leader's orders for machines.
func (f *fakeMachines) run(d time.Duration) {
	s := f.s
	for end := s.fleet.now + d; s.fleet.now < end; {
		s.run(testStep)
		for id, at := range f.upAt {
			if s.fleet.now >= at {
				delete(f.upAt, id)
				f.states[id] = batch.MachineUp
				old := s.fleet.workers[f.workers[id]]
				if !f.keepsIDs {
					f.workers[id] += "+"
				}
				s.fleet.addWorker(f.workers[id], old.Rack)
			}
		}
		for _, l := range s.leaders {
			if l.frozen || l.core.Deposed() {
				continue
			}
			if s.fleet.now >= f.listFailsUntil && l.core.NeedsMachines(s.fleet.now) {
				l.core.OnMachines(f.list(), s.fleet.now)
			}
			for _, m := range l.core.TakeMaintenance() {
				l.core.OnMaintenance(m, f.maintain(m), s.fleet.now)
			}
		}
	}
}

func (s *system) leader() *Core { return s.leaders[len(s.leaders)-1].core }

func waveOf(f *fakeMachines, limit int, targetDuration time.Duration) batch.Wave {
	return batch.Wave{ID: "1", Machines: f.ids(), TargetDuration: targetDuration, MaxInMaintenance: limit}
}

// Guards against a wave that takes down more machines at a time than it may, that ends before every machine was maintained, or that is never
// completed.
func TestWaveMaintainsEveryMachineWithinItsCap(t *testing.T) {
	s := newSystem(t, 1, 2, 3)
	f := newFakeMachines(s)
	for i := range 6 {
		s.submit(simpleJob(fmt.Sprintf("j%d", i), "normal", 1, 2, batch.Resources{MilliCores: 8000, Accelerators: 4}))
	}
	f.run(time.Second)
	f.responsesToLose = 2
	s.leader().SetWaves([]batch.Wave{waveOf(f, 2, 20*time.Second)}, s.fleet.now)
	must.Eq(t, []WaveReport{{ID: "1"}}, s.leader().TakeWaveReports())
	f.run(20 * time.Second)
	must.Eq(t, 2, f.maxInMaintenance)
	for _, id := range f.ids() {
		if f.workers[id] != "" && len(id) == len("m-w0-0") {
			must.Eq(t, 1, f.maintained[id], must.Sprint(id))
		}
	}
	must.Eq(t, []WaveReport{{ID: "1", Completed: true}}, s.leader().TakeWaveReports())
	f.run(5 * time.Second)
	s.mustHaveNoViolations()
	for i := range 6 {
		must.Eq(t, batch.Completed, s.state(fmt.Sprintf("j%d", i)))
	}
	s.leader().RequeueWaveReport("1")
	must.Eq(t, []WaveReport{{ID: "1", Completed: true}}, s.leader().TakeWaveReports(), must.Sprint("a lost report is repeated"))
}

// Guards against a wave that exceeds its cap because the refusal of a repeated order is taken as proof that the first one, which got no response, was
// not carried out.
func TestRefusedRepeatDoesNotRevokeAMachineOrder(t *testing.T) {
	refused := 0
	for outage := time.Duration(0); outage < 2*time.Second; outage += testStep {
		s := newSystem(t, 5, 1, 4)
		f := newFakeMachines(s)
		f.responsesToLose, f.repeatsToRefuse, f.listOutage = 1, 1, outage
		s.leader().SetWaves([]batch.Wave{waveOf(f, 1, 30*time.Second)}, s.fleet.now)
		f.run(30 * time.Second)
		refused += 1 - f.repeatsToRefuse
		must.Eq(t, 1, f.maxInMaintenance, must.Sprintf("list not readable for %v", outage))
		must.Eq(t, 4, len(f.maintained))
		for _, w := range f.list() {
			must.False(t, s.leader().workers[w.Worker].takenDown, must.Sprintf("%s is in use again", w.Worker))
		}
	}
	must.Positive(t, refused, must.Sprint("no order was repeated"))
}

// Guards against a machine that occupies a place in its wave for as long as it is down, after an order that got no response.
func TestMachineThatFailsBeforeItsMaintenanceDoesNotBlockTheWave(t *testing.T) {
	s := newSystem(t, 5, 1, 3)
	f := newFakeMachines(s)
	f.ordersToLose = 1
	w := waveOf(f, 1, 60*time.Second)
	s.leader().SetWaves([]batch.Wave{w}, s.fleet.now)
	for f.ordersToLose > 0 {
		f.run(testStep)
	}
	var failed string
	for id := range f.orders {
		failed = id
	}
	f.states[failed] = batch.MachineDown
	f.run(20 * time.Second)
	must.Eq(t, 2, len(f.maintained), must.Sprint("the other machines"))
	f.states[failed] = batch.MachineUp
	f.run(10 * time.Second)
	must.Eq(t, 3, len(f.maintained))
	must.Eq(t, 1, f.maxInMaintenance)
}

// Guards against a new leader that takes down machines in addition to those that its predecessor has ordered, or that loses track of which ones have
// finished.
func TestWaveGoesOnUnderANewLeader(t *testing.T) {
	s := newSystem(t, 2, 2, 3)
	f := newFakeMachines(s)
	w := waveOf(f, 1, 30*time.Second)
	s.leader().SetWaves([]batch.Wave{w}, s.fleet.now)
	for range 6 {
		f.run(1700 * time.Millisecond)
		s.elect()
		s.leader().SetWaves([]batch.Wave{w}, s.fleet.now)
	}
	f.run(20 * time.Second)
	must.Eq(t, 1, f.maxInMaintenance)
	total := 0
	for _, n := range f.maintained {
		must.Eq(t, 1, n)
		total++
	}
	must.Eq(t, 6, total)
	s.mustHaveNoViolations()
}

// Guards against an earlier leader whose order arrives after that of the next leader, since machines don't always refuse it: the next leader has to
// wait for longer than the earlier one may act.
func TestNewLeaderWaitsOutEarlierMachineOrders(t *testing.T) {
	s := newSystem(t, 6, 2, 3)
	f := newFakeMachines(s)
	w := waveOf(f, 2, 60*time.Second)
	s.leader().SetWaves([]batch.Wave{w}, s.fleet.now)
	for range 3 {
		f.ordersToLose = 1
		for f.ordersToLose > 0 {
			f.run(testStep)
		}
		s.elect()
		s.leader().SetWaves([]batch.Wave{w}, s.fleet.now)
	}
	f.run(50 * time.Second)
	handovers := 0
	for id, orders := range f.orders {
		for i := 1; i < len(orders); i++ {
			if before, after := orders[i-1], orders[i]; before.epoch != after.epoch {
				handovers++
				must.Less(t, after.epoch, before.epoch, must.Sprint(id))
				must.GreaterEq(t, 3*time.Second, after.at-before.at, must.Sprint(id))
			}
		}
	}
	must.Positive(t, handovers, must.Sprint("no machine was ordered by two leaders"))
	for _, n := range f.maintained {
		must.Eq(t, 1, n)
	}
	must.Eq(t, 6, len(f.maintained))
}

// Guards against maintenance that makes more tasks of a long-running step unavailable than the step allows.
func TestWaveRespectsMaxUnavailable(t *testing.T) {
	s := newSystem(t, 3, 2, 3)
	f := newFakeMachines(s)
	j := simpleJob("serve", "normal", 1, 4, batch.Resources{MilliCores: 1000, Accelerators: 8})
	j.Steps[0].LongRunning, j.Steps[0].MaxUnavailable = true, 1
	s.submit(j)
	f.run(2 * time.Second)
	runningTasks := func() int {
		n := 0
		for _, w := range s.fleet.workers {
			if w.up {
				n += len(w.running)
			}
		}
		return n
	}
	must.Eq(t, 4, runningTasks())
	s.leader().SetWaves([]batch.Wave{waveOf(f, 3, 5*time.Second)}, s.fleet.now)
	for range 800 {
		f.run(testStep)
		must.GreaterEq(t, 3, runningTasks(), must.Sprintf("at %v", s.fleet.now))
	}
	must.Eq(t, []WaveReport{{ID: "1", Completed: true}}, s.leader().TakeWaveReports())
}

// Guards against starts on a worker whose machine is down while the registry still lists it: such a start gets no response, and its gang waited 10 s
// for the expiry of leases that no run held.
func TestNothingStartsOnAMachineThatIsDown(t *testing.T) {
	s := newSystem(t, 7, 1, 4)
	f := newFakeMachines(s)
	f.keepListed = true
	s.leader().SetWaves([]batch.Wave{waveOf(f, 2, 10*time.Second)}, s.fleet.now)
	for i := range 10 {
		gang := simpleJob(fmt.Sprintf("g%d", i), "normal", 1, 2, batch.Resources{MilliCores: 8000, Accelerators: 8})
		gang.Steps[0].Gang = true
		s.submit(gang)
		f.run(time.Second)
	}
	f.run(15 * time.Second)
	s.mustHaveNoViolations()
	must.Eq(t, 0, s.fleet.startsToLostWorkers, must.Sprint("starts were sent to workers that are down"))
}

// Guards against a repeated machine order that closes the runs of a later incarnation of the worker, so that they start elsewhere beside it.
func TestMaintenanceEndsOnlyTheIncarnationThatItWasOrderedFor(t *testing.T) {
	c := New(1, testPolicy(), testBounds, discardLog())
	report := func(now time.Duration, r WorkerReport) {
		c.SetWorkers([]batch.Worker{incarnationOf(r.Incarnation, "a")}, now)
		c.OnReport("w", r, now, now)
	}
	machine := []batch.Machine{{ID: "m", Pool: "svc", State: batch.MachineUp, Worker: "w"}}
	report(0, WorkerReport{Incarnation: 1, Clock: time.Minute})
	c.SetWaves([]batch.Wave{{ID: "1", Machines: []string{"m"}, MaxInMaintenance: 1, TargetDuration: time.Minute}}, 0)
	c.OnMachines(machine, 0)
	c.Tick(0, 0)
	c.OnStored(c.TakeCommit(), 0)
	must.Len(t, 1, c.TakeMaintenance())

	// The order is carried out, but it gets no response and the list can't be read until the worker has started again.
	now := machinesMaxAge + time.Second
	c.Tick(now, now.Milliseconds())
	report(now, WorkerReport{Incarnation: 2, Clock: time.Millisecond})
	c.AddJob(simpleJob("j", "normal", 1, 1, smallNeed), now)
	must.SliceEmpty(t, startsAfterPlan(c, now), must.Sprint("it isn't known whether the order was carried out"))
	c.OnMachines(machine, now)
	c.Tick(now, now.Milliseconds())
	repeated := c.TakeMaintenance()
	must.Len(t, 1, repeated)
	c.placeGroup(c.task("j.0.0.0").group, []*worker{c.workers["w"]}, now)
	c.OnStored(c.TakeCommit(), now)
	starts := c.TakeOrders()
	must.Len(t, 1, starts)
	c.OnStart(starts[0], Delivery{Result: Accepted, Response: Accepted}, now)
	c.OnMaintenance(repeated[0], MaintenanceBegun, now)
	must.Eq(t, running, c.task("j.0.0.0").phase)
	must.False(t, c.workers["w"].takenDown)
}

// Guards against a worker that gets no more work although it has started again under the same id after the maintenance of its machine.
func TestWorkerIsUsedAgainAfterMaintenance(t *testing.T) {
	s := newSystem(t, 5, 1, 2)
	f := newFakeMachines(s)
	f.keepsIDs, f.keepListed = true, true
	s.leader().SetWaves([]batch.Wave{waveOf(f, 1, 20*time.Second)}, s.fleet.now)
	f.run(15 * time.Second)
	must.Eq(t, []WaveReport{{ID: "1", Completed: true}}, s.leader().TakeWaveReports())
	s.submit(simpleJob("j", "normal", 1, 2, batch.Resources{MilliCores: 1000, Accelerators: 8}))
	f.run(6 * time.Second)
	must.Eq(t, batch.Completed, s.state("j"))
	s.mustHaveNoViolations()
}

// Guards against a wave that waits forever for machines that were removed.
func TestWaveSkipsRemovedMachines(t *testing.T) {
	s := newSystem(t, 4, 1, 2)
	f := newFakeMachines(s)
	w := waveOf(f, 1, 5*time.Second)
	w.Machines = append(w.Machines, "m-unknown")
	s.leader().SetWaves([]batch.Wave{w}, s.fleet.now)
	f.run(10 * time.Second)
	must.Eq(t, []WaveReport{{ID: "1", Completed: true}}, s.leader().TakeWaveReports())
	must.Eq(t, 2, len(f.maintained))
}
