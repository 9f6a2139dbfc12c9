package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"samphirewell/internal/batch"
)

// fakeWorker behaves as workers are documented to: it checks the fencing token, keeps leases on its own clock, lists ends until they are
// acknowledged and refuses runs that it has ended or stopped before.
type fakeWorker struct {
	batch.Worker
	fleet   *fakeFleet
	up      bool
	listed  bool // in the registry although it isn't up
	cut     bool // orders and reads don't arrive
	skew    time.Duration
	fence   uint64
	lease   time.Duration // end, on the worker's clock
	running map[string]*fakeRun
	highest map[string]int // highest run that was stopped or has ended, by task
	ended   []EndReport
	count   uint64
	broken  bool // fails everything that it starts
	hangs   bool // what it runs makes no progress
}

type fakeRun struct {
	run     int
	begun   time.Duration
	work    time.Duration
	left    time.Duration
	present bool // counted as at work
	alone   time.Duration
}

// lateOrder is an order that got no answer and is carried out later.
type lateOrder struct {
	at time.Duration
	o  Order
}

// fakeFleet is a set of workers and the checks of what must never happen on them.
type fakeFleet struct {
	rng     *rand.Rand
	now     time.Duration
	workers map[string]*fakeWorker
	jobs    map[string]batch.Job
	poison  map[string]bool
	late    []lateOrder
	loss    float64 // share of orders whose answer is lost
	delayed float64 // share of orders that are carried out late without an answer

	everDone  map[string]bool          // tasks that have ended as done, whether or not their worker still lists that
	doneAcked map[string]time.Duration // tasks whose done end was acknowledged
	failures  map[string]int           // acknowledged failures by task or gang
	cancelled map[string]bool
	calm      bool // no fault is near
	broken    []string
	toDead    int                      // starts that were ordered from workers that are gone
	wasted    float64                  // accelerator-seconds of runs that were stopped
	begun     map[string]time.Duration // first start of each job
}

func newFleet(seed uint64, racks, perRack int) *fakeFleet {
	f := &fakeFleet{rng: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*fakeWorker{}, jobs: map[string]batch.Job{}, poison: map[string]bool{},
		doneAcked: map[string]time.Duration{}, everDone: map[string]bool{}, begun: map[string]time.Duration{}, failures: map[string]int{}, cancelled: map[string]bool{}, calm: true}
	for r := range racks {
		for i := range perRack {
			f.addWorker(fmt.Sprintf("w%d-%d", r, i), fmt.Sprintf("rack-%d", r))
		}
	}
	return f
}

func (f *fakeFleet) addWorker(id, rack string) {
	f.workers[id] = &fakeWorker{fleet: f, up: true, skew: time.Duration(f.rng.IntN(1000)) * time.Second, running: map[string]*fakeRun{}, highest: map[string]int{},
		Worker: batch.Worker{ID: id, Service: "svc", Address: id + ":1", Rack: rack, Labels: []string{"a", rack}, Incarnation: int64(1000 + len(f.workers)),
			Capacity: batch.Resources{MilliCores: 64000, MemoryMB: 64000, Accelerators: 8}}}
}

func (f *fakeFleet) fail(format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf("%v: ", f.now)+fmt.Sprintf(format, args...))
}

// list is what the registry says.
func (f *fakeFleet) list() []batch.Worker {
	var out []batch.Worker
	for _, w := range f.workers {
		if w.up || w.listed {
			out = append(out, w.Worker)
		}
	}
	slices.SortFunc(out, func(a, b batch.Worker) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func (w *fakeWorker) clock() time.Duration { return w.fleet.now + w.skew }

// order carries out an order and returns what the sender sees.
func (f *fakeFleet) order(o Order) Result {
	w := f.workers[o.Worker.ID]
	if w != nil && !w.up && !o.Stop {
		f.toDead++
	}
	if w == nil || !w.up || w.cut {
		return Unknown
	}
	if f.rng.Float64() < f.delayed {
		f.late = append(f.late, lateOrder{f.now + 2*time.Second + time.Duration(f.rng.IntN(10000))*time.Millisecond, o})
		return Unknown
	}
	r := w.carryOut(o)
	if f.rng.Float64() < f.loss {
		return Unknown
	}
	return r
}

func (w *fakeWorker) carryOut(o Order) Result {
	if !w.up {
		return Unknown
	}
	if o.Worker.Incarnation != w.Incarnation && o.Worker.Incarnation != 0 {
		// The address is the same, but this life never sent its id to the sender.
		return OtherIncarnation
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
		w.end(o.Task, EndStopped)
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	return Accepted
}

func (w *fakeWorker) start(o Order) Result {
	f := w.fleet
	if r := w.running[o.Task]; r != nil && r.run == o.Run {
		return Accepted
	}
	if o.Run <= w.highest[o.Task] {
		return Superseded
	}
	if o.LeaseEnd <= w.clock() {
		return TooLate
	}
	id, _ := batch.ParseTaskID(o.Task)
	j, ok := f.jobs[id.Job]
	if !ok {
		f.fail("start of a task of an unknown job: %s", o.Task)
		return Invalid
	}
	step := j.Steps[id.Step]
	if !w.used().Plus(step.Need).fitsIn(w.Capacity) {
		return InsufficientCapacity
	}
	f.checkStart(w, o, id, j)
	if _, ok := f.begun[id.Job]; !ok {
		f.begun[id.Job] = f.now
	}
	w.lease = max(w.lease, min(o.LeaseEnd, w.clock()+testBounds.LeaseMax))
	work := time.Duration(500+f.rng.IntN(3000)) * time.Millisecond
	w.running[o.Task] = &fakeRun{run: o.Run, begun: f.now, work: work, left: work, alone: f.now + testGangWait}
	return Accepted
}

// fitsIn is the reverse of batch.Resources.Covers, written independently of the code under test.
func (r fakeRoom) fitsIn(c batch.Resources) bool {
	return r.MilliCores <= c.MilliCores && r.MemoryMB <= c.MemoryMB && r.Accelerators <= c.Accelerators
}

type fakeRoom batch.Resources

// Plus returns the sum.
func (r fakeRoom) Plus(o batch.Resources) fakeRoom {
	return fakeRoom{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

func (w *fakeWorker) used() fakeRoom {
	var sum fakeRoom
	for name := range w.running {
		id, _ := batch.ParseTaskID(name)
		sum = sum.Plus(w.fleet.jobs[id.Job].Steps[id.Step].Need)
	}
	return sum
}

// checkStart checks what must hold when a run begins.
func (f *fakeFleet) checkStart(w *fakeWorker, o Order, id batch.TaskID, j batch.Job) {
	step := j.Steps[id.Step]
	same := 0
	for _, other := range f.workers {
		if !other.up {
			continue
		}
		if r := other.running[o.Task]; r != nil {
			f.fail("two runs of %s: run %d on %s and run %d on %s", o.Task, r.run, other.ID, o.Run, w.ID)
		}
	}
	for name := range w.running {
		if t, _ := batch.ParseTaskID(name); t.Job == id.Job && t.Step == id.Step {
			same++
		}
	}
	if step.MaxPerWorker > 0 && same >= step.MaxPerWorker {
		f.fail("start of %s beside %d others of its step on %s", o.Task, same, w.ID)
	}
	if _, acked := f.doneAcked[f.unitOf(id)]; acked {
		f.fail("start of %s run %d on %s after its end was acknowledged", o.Task, o.Run, w.ID)
	}
	if f.failures[f.unitOf(id)] >= j.Queue.Attempts {
		f.fail("start of %s after %d failures", o.Task, f.failures[f.unitOf(id)])
	}
	for _, a := range step.After {
		for i := range j.Steps[a].Tasks {
			before := batch.TaskID{Job: id.Job, Step: a, Index: i}
			if !f.everDone[f.unitOf(before)] {
				f.fail("start of %s before %s was done", o.Task, before)
			}
		}
	}
	if !w.HasLabel(step.Requires) {
		f.fail("start of %s on %s without label %s", o.Task, w.ID, step.Requires)
	}
}

// unitOf names the gang or task.
func (f *fakeFleet) unitOf(id batch.TaskID) string {
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
		w.fleet.wasted += (w.fleet.now - r.begun).Seconds() * float64(w.fleet.jobs[id.Job].Steps[id.Step].Need.Accelerators)
	}
	if k == EndDone {
		id, _ := batch.ParseTaskID(name)
		w.fleet.everDone[w.fleet.unitOf(id)] = true
	}
	w.highest[name] = max(w.highest[name], r.run)
	w.count++
	w.ended = append(w.ended, EndReport{N: w.count, Task: name, Run: r.run, Kind: k})
}

// hold answers a hold; false if no answer comes.
func (f *fakeFleet) hold(h Renewal) (WorkerReport, bool, bool) {
	w := f.workers[h.Worker.ID]
	if w == nil || !w.up || w.cut {
		return WorkerReport{}, false, false
	}
	if h.Epoch < w.fence {
		return WorkerReport{}, false, true
	}
	w.fence = h.Epoch
	if h.LeaseEnd > 0 {
		w.lease = max(w.lease, min(h.LeaseEnd, w.clock()+testBounds.LeaseMax))
	}
	w.acknowledge(h.AckedEnds)
	r := WorkerReport{Incarnation: w.Incarnation, Clock: w.clock(), Ended: slices.Clone(w.ended)}
	for name, run := range w.running {
		percent := int(100 * (run.work - run.left) / run.work)
		percent = min(99, percent)
		if id, _ := batch.ParseTaskID(name); f.jobs[id.Job].Steps[id.Step].LongRunning {
			percent = 100
		}
		r.Running = append(r.Running, RunReport{Task: name, Run: run.run, Percent: percent})
	}
	if f.rng.Float64() < f.loss {
		return WorkerReport{}, false, false
	}
	return r, true, false
}

func (w *fakeWorker) acknowledge(n uint64) {
	f := w.fleet
	if n > w.count {
		f.fail("%s: end %d acknowledged, but only %d happened", w.ID, n, w.count)
	}
	for len(w.ended) > 0 && w.ended[0].N <= n {
		e := w.ended[0]
		w.ended = w.ended[1:]
		id, _ := batch.ParseTaskID(e.Task)
		switch e.Kind {
		case EndDone:
			f.doneAcked[f.unitOf(id)] = f.now
		case EndFailed:
			f.failures[f.unitOf(id)]++
		}
	}
}

// advance lets time pass on all workers.
func (f *fakeFleet) advance(d time.Duration) {
	f.now += d
	for i := 0; i < len(f.late); i++ {
		if f.late[i].at <= f.now {
			if w := f.workers[f.late[i].o.Worker.ID]; w != nil {
				w.carryOut(f.late[i].o)
			}
			f.late = slices.Delete(f.late, i, i+1)
			i--
		}
	}
	for _, id := range f.ids() {
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
		if w.clock() > w.lease {
			w.end(name, EndLeaseExpired)
			continue
		}
		w.work(name, r, d)
	}
}

func (w *fakeWorker) work(name string, r *fakeRun, d time.Duration) {
	f := w.fleet
	id, _ := batch.ParseTaskID(name)
	step := f.jobs[id.Job].Steps[id.Step]
	if step.Gang && !r.present {
		switch members := f.members(id, r.run); {
		case len(members) == step.Tasks:
			for _, m := range members {
				m.present = true
			}
		case f.now > r.alone:
			if f.calm && !f.cancelled[id.Job] {
				f.fail("%s run %d ended alone with %d of %d members", name, r.run, len(members), step.Tasks)
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
	if w.broken || f.poison[id.Job] {
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

// members returns the runs of a gang that are present or have ended with it.
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

// crash ends everything on a worker; it comes back as a new life with the same id.
func (f *fakeFleet) crash(id string) {
	w := f.workers[id]
	w.Incarnation++
	w.fence, w.lease, w.count = 0, 0, 0
	w.running, w.highest, w.ended = map[string]*fakeRun{}, map[string]int{}, nil
	w.skew = time.Duration(f.rng.IntN(100)) * time.Second
}

// lose takes a worker away for good.
func (f *fakeFleet) lose(id string) {
	w := f.workers[id]
	w.up = false
	w.running = map[string]*fakeRun{}
}
