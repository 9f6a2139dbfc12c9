package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// systemWithRun returns a system whose job "j" has one task, the id of the worker that runs it, and the renewal that is due there.
func systemWithRun(t *testing.T) (*system, string, Renewal) {
	s := newSystem(t, 3, 1, 2)
	s.fleet.noFaults = false
	s.submit(simpleJob("j", "normal", 1, 1, smallNeed))
	s.run(200 * time.Millisecond)
	id := s.leaders[0].core.task("j.0.0.0").worker
	renewal, ok := s.leaders[0].core.NextRenewal(id, s.fleet.now)
	must.True(t, ok)
	return s, id, renewal
}

// runsOf returns the ids of the workers that run a task of the job.
func (f *fakeFleet) runsOf(job string) []string {
	var out []string
	for _, id := range f.ids() {
		for name := range f.workers[id].running {
			if task, _ := batch.ParseTaskID(name); task.Job == job {
				out = append(out, id)
			}
		}
	}
	return out
}

// Guards against tasks of a crashed worker that wait until its leases have expired although another worker responds at its address.
func TestTasksOfAReplacedWorkerStartAtOnce(t *testing.T) {
	for _, gang := range []bool{false, true} {
		s := newSystem(t, 2, 1, 3)
		s.fleet.noFaults = false
		j := simpleJob("j", "normal", 1, 2, batch.Resources{MilliCores: 8000, Accelerators: 8})
		j.Steps[0].Gang, j.Steps[0].LongRunning = gang, true
		s.submit(j)
		s.run(500 * time.Millisecond)
		before := s.fleet.runsOf("j")
		must.SliceLen(t, 2, before)
		s.fleet.replaceWorker(before[0])
		s.run(time.Second)
		must.SliceLen(t, 2, s.fleet.runsOf("j"), must.Sprintf("gang: %v", gang))
		must.SliceNotContains(t, s.fleet.runsOf("j"), before[0])
		s.fleet.workers[before[0]].keepListed = false
		s.run(200 * time.Millisecond)
		must.False(t, s.leaders[0].core.HasWorker(before[0]))
		s.mustHaveNoViolations()
	}
}

// Guards against a new leader that waits for the leases of a worker that was replaced before it took over.
func TestNewLeaderDetectsAReplacedWorker(t *testing.T) {
	s, id, _ := systemWithRun(t)
	s.leaders[0].frozen = true
	s.fleet.replaceWorker(id)
	s.elect()
	s.run(time.Second)
	must.SliceNotEmpty(t, s.fleet.runsOf("j"))
	s.mustHaveNoViolations()
}

// Guards against a worker that stays out of service, or whose new runs count as ended, when it starts again under its id at another address.
func TestReplacedWorkerMayReturnElsewhere(t *testing.T) {
	s, id, renewal := systemWithRun(t)
	s.run(crashWindow) // so that the run isn't taken for the cause of the crash
	old := s.fleet.workers[id].Worker
	s.fleet.replaceWorker(id)
	s.run(200 * time.Millisecond)
	for other := range s.fleet.workers {
		if other != id {
			s.fleet.removeWorker(other)
		}
	}
	s.fleet.restartElsewhere(id)
	s.run(20 * time.Second)
	must.Eq(t, batch.Completed, s.state("j"))
	s.submit(simpleJob("next", "normal", 1, 1, smallNeed))
	s.run(500 * time.Millisecond)
	must.Eq(t, []string{id}, s.fleet.runsOf("next"))
	c := s.leaders[0].core
	c.OnReplaced(id, renewal, s.fleet.now)
	c.setWorker(old, s.fleet.now)
	current, ok := c.NextRenewal(id, s.fleet.now)
	must.True(t, ok)
	must.Eq(t, s.fleet.workers[id].Address, current.Worker.Address, must.Sprint("an entry of the earlier incarnation was used"))
	must.True(t, c.usable(c.workers[id], s.fleet.now))
	must.Eq(t, running, c.task("next.0.0.0").phase)
	s.mustHaveNoViolations()
}

// Guards against ending runs on a worker after another one responded at an address that it no longer has, or under an unknown incarnation.
func TestOnlyResponsesAtTheCurrentAddressCount(t *testing.T) {
	s, id, renewal := systemWithRun(t)
	c := s.leaders[0].core
	moved, unknown := renewal, renewal
	moved.Worker.Address, unknown.Worker.Incarnation = "earlier:1", 0
	for _, stale := range []Renewal{moved, unknown} {
		c.OnReplaced(id, stale, s.fleet.now)
		must.Eq(t, running, c.task("j.0.0.0").phase)
		must.False(t, c.workers[id].unresponsive)
	}
	c.workers[id].Incarnation = 0
	c.OnReplaced(id, unknown, s.fleet.now)
	must.Eq(t, running, c.task("j.0.0.0").phase)
	must.True(t, c.workers[id].unresponsive)
}

// Guards against runs that wait for the end of their lease although the response to an order shows that their worker was replaced.
func TestOrdersDetectAReplacedWorker(t *testing.T) {
	s, id, renewal := systemWithRun(t)
	c := s.leaders[0].core
	stop := Order{Worker: renewal.Worker, Epoch: c.Epoch(), Task: "j.0.0.0", Run: 1, Stop: true}
	c.OnStop(stop, OtherIncarnation, s.fleet.now)
	must.Eq(t, waiting, c.task("j.0.0.0").phase)
	must.MapEmpty(t, c.workers[id].allocs)

	for lost, result := range []Result{OtherIncarnation, Unknown} {
		s, id, renewal = systemWithRun(t)
		c = s.leaders[0].core
		start := Order{Worker: renewal.Worker, Epoch: c.Epoch(), Task: "other.0.0.0", Run: 1}
		c.OnStart(start, Delivery{Result: result, Response: OtherIncarnation, UnansweredCopies: lost}, s.fleet.now)
		must.Eq(t, waiting, c.task("j.0.0.0").phase)
		_, due := c.NextRenewal(id, s.fleet.now)
		must.False(t, due)
	}
}

// Guards against results of the ended process that arrive late: a start must not change the run that has replaced it, and a report must not make a run
// reappear, but the end of a task counts.
func TestLateResultsOfAReplacedWorker(t *testing.T) {
	s := newSystem(t, 3, 1, 2)
	c := s.leaders[0].core
	s.run(200 * time.Millisecond)
	s.submit(simpleJob("j", "normal", 1, 1, smallNeed))
	c.Plan(s.fleet.now)
	s.commit(s.leaders[0])
	orders := c.TakeOrders()
	must.SliceLen(t, 1, orders)
	id := orders[0].Worker.ID
	renewal, ok := c.NextRenewal(id, s.fleet.now)
	must.True(t, ok)
	c.OnReplaced(id, renewal, s.fleet.now)
	c.Plan(s.fleet.now)
	s.commit(s.leaders[0])
	next := c.TakeOrders()
	must.SliceLen(t, 1, next)
	must.NotEq(t, id, next[0].Worker.ID)
	must.Eq(t, 2, next[0].Run)
	for _, r := range []Result{Unknown, Accepted, OtherIncarnation} {
		c.OnStart(orders[0], Delivery{Result: r, Response: r}, s.fleet.now)
		must.Eq(t, ordered, c.task("j.0.0.0").phase)
	}
	report := WorkerReport{Incarnation: renewal.Worker.Incarnation, Clock: s.fleet.workers[id].clock(), Running: []RunReport{{Task: "j.0.0.0", Run: 1}}}
	c.OnReport(id, report, s.fleet.now, s.fleet.now)
	must.MapEmpty(t, c.workers[id].allocs)
	report.Running, report.Ended = nil, []EndReport{{N: 1, Task: "j.0.0.0", Run: 1, Kind: EndDone}}
	c.OnReport(id, report, s.fleet.now, s.fleet.now)
	must.Eq(t, done, c.task("j.0.0.0").phase)
}
