package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"samphirewell/internal/batch"
)

// fakeWorker behaves as workers are documented to: it checks the fencing token, keeps leases on its own clock, lists ends until they are
// acknowledged, and refuses runs that it has ended or stopped before.
type fakeWorker struct {
	batch.Worker
	fleet           *fakeFleet
	up              bool
	keepListed      bool // in the registry although it isn't up
	listed          batch.Worker
	listedFrom      time.Duration // until then the registry has listed instead of the current entry
	unreachable     bool          // orders and renewals don't arrive
	clockOffset     time.Duration
	fence           uint64
	leaseEnd        time.Duration // on the worker's clock
	running         map[string]*fakeRun
	highestEndedRun map[string]int // highest run that was stopped or has ended, by task
	endReports      []EndReport
	endCount        uint64
	reportedEnd     uint64  // number of the newest end that was in a response
	failsRuns       bool    // all runs that it starts fail
	refuseShare     float64 // share of orders that it refuses as unhealthy
	hangs           bool    // its runs make no progress
	capacityChanges []capacityChange
}

type fakeRun struct {
	run          int
	startedAt    time.Duration
	work         time.Duration
	left         time.Duration
	gangComplete bool // all members of its gang have started
	gangDeadline time.Duration
	stopsAt      time.Duration // when a stop that was ordered is complete; 0 without one
}

// delayedOrder is a copy of an order that got no response and is carried out later by the incarnation that received it.
type delayedOrder struct {
	at          time.Duration
	order       Order
	incarnation int64
}

// fakeFleet is a set of workers with checks for violations.
type fakeFleet struct {
	rng               *rand.Rand
	now               time.Duration
	workers           map[string]*fakeWorker
	jobs              map[string]batch.Job
	failingJobs       map[string]bool
	delayedOrders     []delayedOrder
	responseLossShare float64         // share of responses to orders and renewals that are lost
	delayShare        float64         // share of copies of orders that are carried out late and get no response
	evacuated         map[string]bool // failure domains in which no start may be ordered
	startsForbidden   bool            // no start may be ordered anywhere
	executesLate      bool            // a copy is being carried out late
	endsPerReport     int             // most ends in a report, the oldest ones; 0 means 500
	ignoresCapacity   bool            // workers start whatever they are told, even beyond their capacity
	registryDelay     time.Duration
	stopTime          time.Duration            // how long a run that is being stopped stays
	crashingTasks     map[string]bool          // tasks that crash each worker that starts them
	restartsUnderID   bool                     // whether crashed workers return under their ids
	returnsAt         map[string]time.Duration // when crashed workers return
	crashes           map[string]int           // crashes by the task that caused them
	lateStarts        map[string]int           // starts of a task after three crashes that it caused

	everDone               map[string]bool          // tasks or gangs that have ended as done, whether or not the worker still lists that
	doneAcked              map[string]time.Duration // tasks or gangs whose done end was acknowledged
	failures               map[string]int           // acknowledged failures by task or gang
	cancelled              map[string]bool
	noFaults               bool // no fault is injected, so that all members of each gang must start
	violations             []string
	startsToLostWorkers    int                      // copies of starts that were sent to workers that are down
	lostAcceleratorSeconds float64                  // accelerator-seconds of runs that were stopped
	firstStart             map[string]time.Duration // time of the first start of each job
}

func newFleet(seed uint64, racks, perRack int) *fakeFleet {
	f := &fakeFleet{rng: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*fakeWorker{}, jobs: map[string]batch.Job{}, failingJobs: map[string]bool{},
		crashingTasks: map[string]bool{}, returnsAt: map[string]time.Duration{}, crashes: map[string]int{}, lateStarts: map[string]int{},
		doneAcked: map[string]time.Duration{}, everDone: map[string]bool{}, firstStart: map[string]time.Duration{}, failures: map[string]int{}, cancelled: map[string]bool{}, noFaults: true}
	for r := range racks {
		for i := range perRack {
			f.addWorker(fmt.Sprintf("w%d-%d", r, i), fmt.Sprintf("rack-%d", r))
		}
	}
	return f
}

func (f *fakeFleet) addWorker(id, rack string) {
	f.workers[id] = &fakeWorker{fleet: f, up: true, clockOffset: time.Duration(f.rng.IntN(1000)) * time.Second, running: map[string]*fakeRun{}, highestEndedRun: map[string]int{},
		Worker: batch.Worker{ID: id, Service: "svc", Address: id + ":1", Rack: rack, Labels: []string{"a", rack}, Incarnation: int64(1000 + len(f.workers)),
			Capacity: batch.Resources{MilliCores: 64000, MemoryMB: 64000, Accelerators: 8}}}
}

func (f *fakeFleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%v: ", f.now)+fmt.Sprintf(format, args...))
}

// list returns the registry's list of workers.
func (f *fakeFleet) list() []batch.Worker {
	var out []batch.Worker
	for _, w := range f.workers {
		switch {
		case !w.up && !w.keepListed:
		case f.now < w.listedFrom:
			out = append(out, w.listed)
		default:
			out = append(out, w.entry())
		}
	}
	slices.SortFunc(out, func(a, b batch.Worker) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func (w *fakeWorker) clock() time.Duration { return w.fleet.now + w.clockOffset }

// order carries out one copy of an order and returns the result that the sender receives.
func (f *fakeFleet) order(o Order) Result {
	w := f.workers[o.Worker.ID]
	if w != nil && !o.Stop && (f.startsForbidden || f.evacuated[w.Domain]) {
		f.addViolation("start of %s on %s, whose failure domain %q is closed", o.Task, w.ID, w.Domain)
	}
	if f.otherWorkerAt(o.Worker) {
		return OtherIncarnation
	}
	if w != nil && !w.up && !o.Stop {
		f.startsToLostWorkers++
	}
	if w == nil || !w.up || w.unreachable {
		return Unknown
	}
	if f.rng.Float64() < f.delayShare {
		f.delayedOrders = append(f.delayedOrders, delayedOrder{f.now + 300*time.Millisecond + time.Duration(f.rng.IntN(11700))*time.Millisecond, o, w.Incarnation})
		return Unknown
	}
	r := w.execute(o)
	if f.rng.Float64() < f.responseLossShare {
		return Unknown
	}
	return r
}

// execute carries out an order. Orders name a worker by its id only, so that one that was meant for an earlier incarnation is carried out too.
func (w *fakeWorker) execute(o Order) Result {
	if !w.up {
		return Unknown
	}
	if w.refuseShare > 0 && w.fleet.rng.Float64() < w.refuseShare {
		return Unhealthy
	}
	if o.Epoch < w.fence {
		return Deposed
	}
	w.fence = o.Epoch
	if o.Stop {
		return w.stop(o)
	}
	return w.start(o)
}

func (w *fakeWorker) stop(o Order) Result {
	if r := w.running[o.Task]; r != nil && r.run <= o.Run {
		w.fleet.checkStop(w, o.Task, r)
		w.beginStop(o.Task, r)
	}
	w.highestEndedRun[o.Task] = max(w.highestEndedRun[o.Task], o.Run)
	return Accepted
}

func (w *fakeWorker) start(o Order) Result {
	f := w.fleet
	if r := w.running[o.Task]; r != nil && r.run == o.Run {
		return Accepted
	}
	if o.Run <= w.highestEndedRun[o.Task] {
		return Superseded
	}
	if o.LeaseEnd <= w.clock() {
		return TooLate
	}
	id, _ := batch.ParseTaskID(o.Task)
	j, ok := f.jobs[id.Job]
	if !ok {
		f.addViolation("start of a task of an unknown job: %s", o.Task)
		return Invalid
	}
	step := j.Steps[id.Step]
	if !w.fleet.ignoresCapacity && !w.used().Plus(step.Need).fitsIn(w.Capacity) {
		return InsufficientCapacity
	}
	w.checkCapacity(o, step.Need)
	f.checkStart(w, o, id, j)
	if _, ok := f.firstStart[id.Job]; !ok {
		f.firstStart[id.Job] = f.now
	}
	w.leaseEnd = max(w.leaseEnd, min(o.LeaseEnd, w.clock()+testBounds.LeaseMax))
	work := time.Duration(500+f.rng.IntN(3000)) * time.Millisecond
	w.running[o.Task] = &fakeRun{run: o.Run, startedAt: f.now, work: work, left: work, gangDeadline: f.now + testGangWait}
	return Accepted
}

// fitsIn is the reverse of batch.Resources.Covers, written independently of the code under test.
func (r fakeResources) fitsIn(c batch.Resources) bool {
	return r.MilliCores <= c.MilliCores && r.MemoryMB <= c.MemoryMB && r.Accelerators <= c.Accelerators
}

type fakeResources batch.Resources

// Plus returns the sum.
func (r fakeResources) Plus(o batch.Resources) fakeResources {
	return fakeResources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

func (w *fakeWorker) used() fakeResources {
	var sum fakeResources
	for name := range w.running {
		id, _ := batch.ParseTaskID(name)
		sum = sum.Plus(w.fleet.jobs[id.Job].Steps[id.Step].Need)
	}
	return sum
}

// checkStart checks the start of a run for violations.
func (f *fakeFleet) checkStart(w *fakeWorker, o Order, id batch.TaskID, j batch.Job) {
	step := j.Steps[id.Step]
	same := 0
	for _, other := range f.workers {
		if !other.up {
			continue
		}
		if r := other.running[o.Task]; r != nil {
			f.addViolation("two runs of %s: run %d on %s and run %d on %s", o.Task, r.run, other.ID, o.Run, w.ID)
		}
	}
	for name := range w.running {
		if t, _ := batch.ParseTaskID(name); t.Job == id.Job && t.Step == id.Step {
			same++
		}
	}
	if step.MaxPerWorker > 0 && same >= step.MaxPerWorker {
		f.addViolation("start of %s beside %d others of its step on %s", o.Task, same, w.ID)
	}
	if at, acked := f.doneAcked[f.groupOf(id)]; acked && (!f.executesLate || f.now-at > startValidity) {
		f.addViolation("start of %s run %d on %s after its end was acknowledged", o.Task, o.Run, w.ID)
	}
	if f.failures[f.groupOf(id)] >= j.Queue.Attempts {
		f.addViolation("start of %s after %d failures", o.Task, f.failures[f.groupOf(id)])
	}
	for _, a := range step.After {
		for i := range j.Steps[a].Tasks {
			before := batch.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: a, Index: i}
			if !f.everDone[f.groupOf(before)] {
				f.addViolation("start of %s before %s was done", o.Task, before)
			}
		}
	}
	if due := j.Due(id.Occurrence); due > f.now.Milliseconds() {
		f.addViolation("start of %s, which is due at %d ms", o.Task, due)
	}
	if f.crashes[o.Task] >= 3 {
		f.lateStarts[o.Task]++
		if f.lateStarts[o.Task] >= 3 {
			f.addViolation("start of %s run %d after it has crashed %d workers", o.Task, o.Run, f.crashes[o.Task])
		}
	}
	if !w.HasLabel(step.Requires) {
		f.addViolation("start of %s on %s without label %s", o.Task, w.ID, step.Requires)
	}
}

// checkStop checks that a stop leaves enough tasks of a long-running step at work.
func (f *fakeFleet) checkStop(w *fakeWorker, name string, run *fakeRun) {
	id, _ := batch.ParseTaskID(name)
	step := f.jobs[id.Job].Steps[id.Step]
	if step.MaxUnavailable == 0 || run.stopsAt > 0 || w.Draining || f.cancelled[id.Job] {
		return
	}
	away := step.Tasks - 1
	for _, other := range f.workers {
		for task, r := range other.running {
			if t, _ := batch.ParseTaskID(task); other.up && t.Job == id.Job && t.Occurrence == id.Occurrence && t.Step == id.Step && t != id && r.stopsAt == 0 {
				away--
			}
		}
	}
	if away >= step.MaxUnavailable {
		f.addViolation("stop of %s on %s while %d others are away, %d may be", name, w.ID, away, step.MaxUnavailable)
	}
}

// groupOf returns the id of the gang or task.
func (f *fakeFleet) groupOf(id batch.TaskID) string {
	if f.jobs[id.Job].Steps[id.Step].Gang {
		id.Index = 0
	}
	return id.String()
}

func (w *fakeWorker) end(name string, k EndKind) {
	r := w.running[name]
	delete(w.running, name)
	if k == EndStopped {
		id, _ := batch.ParseTaskID(name)
		w.fleet.lostAcceleratorSeconds += (w.fleet.now - r.startedAt).Seconds() * float64(w.fleet.jobs[id.Job].Steps[id.Step].Need.Accelerators)
	}
	if k == EndDone {
		id, _ := batch.ParseTaskID(name)
		w.fleet.everDone[w.fleet.groupOf(id)] = true
	}
	w.highestEndedRun[name] = max(w.highestEndedRun[name], r.run)
	w.endCount++
	w.endReports = append(w.endReports, EndReport{N: w.endCount, Task: name, Run: r.run, Kind: k})
}

// renew responds to a renewal. The first bool is false if no response arrives; the second is true if the worker has seen a newer epoch.
func (f *fakeFleet) renew(renewal Renewal) (WorkerReport, bool, bool) {
	w := f.workers[renewal.Worker.ID]
	if w == nil || !w.up || w.unreachable {
		return WorkerReport{}, false, false
	}
	if renewal.Epoch < w.fence {
		return WorkerReport{}, false, true
	}
	w.fence = renewal.Epoch
	if renewal.LeaseEnd > 0 {
		w.leaseEnd = max(w.leaseEnd, min(renewal.LeaseEnd, w.clock()+testBounds.LeaseMax))
	}
	w.acknowledge(renewal.AckedEnds)
	r := WorkerReport{Incarnation: w.Incarnation, Clock: w.clock(), Ended: slices.Clone(w.endReports)}
	if page := cmp.Or(f.endsPerReport, 500); len(r.Ended) >= page {
		r.Ended, r.Incomplete = r.Ended[:page], true
	}
	for name, run := range w.running {
		percent := int(100 * (run.work - run.left) / run.work)
		percent = min(99, percent)
		if id, _ := batch.ParseTaskID(name); f.jobs[id.Job].Steps[id.Step].LongRunning {
			percent = 100
		}
		r.Running = append(r.Running, RunReport{Task: name, Run: run.run, Percent: percent})
	}
	if f.rng.Float64() < f.responseLossShare {
		return WorkerReport{}, false, false
	}
	if n := len(r.Ended); n > 0 {
		w.reportedEnd = max(w.reportedEnd, r.Ended[n-1].N)
	}
	return r, true, false
}

func (w *fakeWorker) acknowledge(n uint64) {
	f := w.fleet
	for len(w.endReports) > 0 && w.endReports[0].N <= n {
		e := w.endReports[0]
		if e.N > w.reportedEnd {
			f.addViolation("%s: end %d of %s is acknowledged, but was never reported", w.ID, e.N, e.Task)
		}
		w.endReports = w.endReports[1:]
		id, _ := batch.ParseTaskID(e.Task)
		switch e.Kind {
		case EndDone:
			f.doneAcked[f.groupOf(id)] = f.now
		case EndFailed:
			f.failures[f.groupOf(id)]++
		}
	}
}

// advance moves the time of all workers on by d.
func (f *fakeFleet) advance(d time.Duration) {
	f.now += d
	for i := 0; i < len(f.delayedOrders); i++ {
		if f.delayedOrders[i].at <= f.now {
			if w := f.workers[f.delayedOrders[i].order.Worker.ID]; w != nil && w.Incarnation == f.delayedOrders[i].incarnation {
				f.executesLate = true
				w.execute(f.delayedOrders[i].order)
				f.executesLate = false
			}
			f.delayedOrders = slices.Delete(f.delayedOrders, i, i+1)
			i--
		}
	}
	for _, id := range f.ids() {
		f.returnWorker(id)
		f.crashByTask(id)
		f.workers[id].advance(d)
	}
}

func (f *fakeFleet) ids() []string {
	out := make([]string, 0, len(f.workers))
	for id := range f.workers {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (w *fakeWorker) advance(d time.Duration) {
	if !w.up {
		return
	}
	names := make([]string, 0, len(w.running))
	for name := range w.running {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		r := w.running[name]
		if r == nil {
			continue
		}
		if w.clock() > w.leaseEnd {
			w.end(name, EndLeaseExpired)
			continue
		}
		if r.stopsAt > 0 {
			if f := w.fleet; f.now >= r.stopsAt {
				w.end(name, EndStopped)
			}
			continue
		}
		w.work(name, r, d)
	}
}

func (w *fakeWorker) work(name string, r *fakeRun, d time.Duration) {
	f := w.fleet
	id, _ := batch.ParseTaskID(name)
	step := f.jobs[id.Job].Steps[id.Step]
	if step.Gang && !r.gangComplete {
		switch members := f.members(id, r.run); {
		case len(members) == step.Tasks:
			for _, m := range members {
				m.gangComplete = true
			}
		case f.now > r.gangDeadline:
			if f.noFaults && !f.cancelled[id.Job] {
				f.addViolation("%s run %d ended as an incomplete gang with %d of %d members", name, r.run, len(members), step.Tasks)
			}
			w.end(name, EndGangIncomplete)
			return
		default:
			return
		}
	}
	if step.Gang && len(f.members(id, r.run)) < step.Tasks {
		w.end(name, EndGangBroken)
		return
	}
	if w.failsRuns || f.failingJobs[id.Job] {
		w.end(name, EndFailed)
		return
	}
	if w.hangs || step.LongRunning {
		return
	}
	r.left -= d
	if r.left > 0 {
		return
	}
	if !step.Gang {
		w.end(name, EndDone)
		return
	}
	f.endGang(id, r.run)
}

// members returns the current runs of a gang.
func (f *fakeFleet) members(id batch.TaskID, run int) []*fakeRun {
	var out []*fakeRun
	for _, w := range f.workers {
		for name, r := range w.running {
			t, _ := batch.ParseTaskID(name)
			if w.up && r.run == run && t.Job == id.Job && t.Step == id.Step {
				out = append(out, r)
			}
		}
	}
	return out
}

func (f *fakeFleet) endGang(id batch.TaskID, run int) {
	for _, r := range f.members(id, run) {
		if r.left > 0 {
			return
		}
	}
	for _, wid := range f.ids() {
		w := f.workers[wid]
		for name, r := range w.running {
			t, _ := batch.ParseTaskID(name)
			if r.run == run && t.Job == id.Job && t.Step == id.Step {
				w.end(name, EndDone)
			}
		}
	}
}

// crash restarts a worker: all its runs end, and it has a new incarnation under the same id. The registry shows that after a delay of 0 to 1 s.
func (f *fakeFleet) crash(id string) {
	w := f.workers[id]
	w.listed, w.listedFrom = w.Worker, f.now+time.Duration(f.rng.IntN(1000))*time.Millisecond
	w.Incarnation++
	w.fence, w.leaseEnd, w.endCount, w.reportedEnd = 0, 0, 0, 0
	w.running, w.highestEndedRun, w.endReports = map[string]*fakeRun{}, map[string]int{}, nil
	w.clockOffset = time.Duration(f.rng.IntN(100)) * time.Second
}

// otherWorkerAt reports whether another worker than the intended one responds at its address. The response may be lost.
func (f *fakeFleet) otherWorkerAt(intended batch.Worker) bool {
	for _, w := range f.workers {
		if w.Address == intended.Address && w.ID != intended.ID && w.up && !w.unreachable {
			return f.rng.Float64() >= f.responseLossShare
		}
	}
	return false
}

// replaceWorker crashes a worker; another one with a new id starts at its address. The crashed one stays in the registry.
func (f *fakeFleet) replaceWorker(id string) {
	f.removeWorker(id)
	old := f.workers[id]
	old.keepListed = true
	successor := id + "+"
	for f.workers[successor] != nil {
		successor += "+"
	}
	f.addWorker(successor, old.Rack)
	f.workers[successor].Address = old.Address
}

// restartElsewhere restarts a worker under its id at another address.
func (f *fakeFleet) restartElsewhere(id string) {
	f.crash(id)
	w := f.workers[id]
	w.up, w.keepListed, w.Address = true, false, fmt.Sprintf("%s:%d", id, w.Incarnation)
}

// removeWorker removes a worker permanently.
func (f *fakeFleet) removeWorker(id string) {
	w := f.workers[id]
	w.up = false
	w.running = map[string]*fakeRun{}
}
