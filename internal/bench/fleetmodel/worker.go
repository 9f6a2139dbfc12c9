package fleetmodel

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"samphirewell/internal/batch"
	"samphirewell/internal/dispatch"
)

// worker is a modelled worker. It carries out orders at once and never loses an answer: losses are the matter of the property tests.
type worker struct {
	batch.Worker
	fleet    *fleet
	runs     map[string]*run
	ended    []dispatch.EndReport
	count    uint64
	speed    float64
	hangs    bool
	fails    bool
	lastHold time.Duration
}

// run is a run of a task.
type run struct {
	task     *taskTruth
	number   int
	at       time.Duration
	restored time.Duration // end of the restoring of a checkpoint
	done     float64       // share of the work
	saved    float64       // share of the work in the newest checkpoint
	began    float64       // share of the work at the start
	failAt   float64       // share of the work at which it fails; above 1 means never
	together bool          // all members of the gang are present
}

// taskTruth is what the model knows of a task.
type taskTruth struct {
	arrival *arrival
	name    string
	length  time.Duration
}

// fleet holds the workers and counts what they do.
type fleet struct {
	scenario *Scenario
	rng      *rand.Rand
	now      time.Duration
	workers  []*worker
	byID     map[string]*worker
	jobs     map[string]*arrival

	busy   float64 // core-seconds of work
	lost   float64 // core-seconds of work that were thrown away
	starts int
	stops  int
}

func newFleet(s *Scenario, seed uint64, jobs []arrival) *fleet {
	f := &fleet{scenario: s, rng: rand.New(rand.NewPCG(seed, 1<<32)), byID: map[string]*worker{}, jobs: map[string]*arrival{}}
	for i := range jobs {
		f.jobs[jobs[i].job.ID] = &jobs[i]
	}
	for r := range s.Fleet.Racks {
		for i := range s.Fleet.WorkersPerRack {
			w := &worker{fleet: f, runs: map[string]*run{}, speed: 1}
			if n := len(f.workers) + 1; s.Fleet.SlowEvery > 0 && n%s.Fleet.SlowEvery == 0 {
				w.speed = 1 / s.Fleet.SlowFactor
			}
			w.Worker = batch.Worker{ID: "w" + strconv.Itoa(r) + "-" + strconv.Itoa(i), Service: service, Address: "model:1", Domain: "d" + strconv.Itoa(r%3),
				Rack: rackName(r), Labels: []string{"a", rackName(r)}, Incarnation: 1,
				Capacity: batch.Resources{MilliCores: s.Fleet.MilliCores, MemoryMB: s.Fleet.MemoryMB, Accelerators: s.Fleet.Accelerators}}
			f.workers = append(f.workers, w)
			f.byID[w.ID] = w
		}
	}
	return f
}

func (f *fleet) list() []batch.Worker {
	out := make([]batch.Worker, len(f.workers))
	for i, w := range f.workers {
		out[i] = w.Worker
	}
	return out
}

// order carries out an order.
func (f *fleet) order(o dispatch.Order) dispatch.Result {
	w := f.byID[o.Worker.ID]
	if o.Worker.Incarnation != w.Incarnation {
		return dispatch.OtherIncarnation
	}
	if o.Stop {
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
			f.stops++
			if r.task.arrival.job.Steps[0].Checkpoints {
				r.saved = r.done
			}
			w.end(r, dispatch.EndStopped)
		}
		return dispatch.Accepted
	}
	id, ok := batch.ParseTaskID(o.Task)
	a := f.jobs[id.Job]
	if !ok || a == nil {
		return dispatch.Invalid
	}
	if !w.free().Covers(a.job.Steps[0].Need) {
		return dispatch.InsufficientCapacity
	}
	w.begin(a, id, o)
	return dispatch.Accepted
}

func (w *worker) free() batch.Resources {
	room := w.Capacity
	for _, r := range w.runs {
		room = room.Minus(r.task.arrival.job.Steps[0].Need)
	}
	return room
}

func (w *worker) begin(a *arrival, id batch.TaskID, o dispatch.Order) {
	f := w.fleet
	f.starts++
	r := &run{task: &taskTruth{arrival: a, name: o.Task, length: a.runs[id.Index]}, number: o.Run, at: f.now, failAt: 2}
	if o.Resume != "" {
		if share, err := strconv.ParseFloat(o.Resume, 64); err == nil {
			r.done, r.saved, r.began = share, share, share
			r.restored = f.now + seconds(f.scenario.Fleet.RestoreS)
		}
	}
	class := &f.scenario.Classes[a.class]
	if a.poison || f.rng.Float64() < class.ErrorShare {
		r.failAt = r.done + f.rng.Float64()*(1-r.done)
	}
	w.runs[o.Task] = r
}

// end lists the end of a run. Work that is not in a checkpoint is lost unless the run is done.
func (w *worker) end(r *run, kind dispatch.EndKind) {
	f := w.fleet
	spec := &r.task.arrival.job.Steps[0]
	if kind != dispatch.EndDone {
		f.lost += (r.done - r.saved) * r.task.length.Seconds() * spec.Need.CoreEquivalents()
	}
	delete(w.runs, r.task.name)
	w.count++
	e := dispatch.EndReport{N: w.count, Task: r.task.name, Run: r.number, Kind: kind}
	if spec.Checkpoints && r.saved > 0 {
		e.Checkpoint = strconv.FormatFloat(r.saved, 'f', 4, 64)
	}
	w.ended = append(w.ended, e)
}

// hold answers a hold.
func (w *worker) hold(h dispatch.Renewal) dispatch.WorkerReport {
	for len(w.ended) > 0 && w.ended[0].N <= h.AckedEnds {
		w.ended = w.ended[1:]
	}
	report := dispatch.WorkerReport{Incarnation: w.Incarnation, Clock: w.fleet.now + time.Hour, Ended: slices.Clone(w.ended)}
	for _, r := range w.sorted() {
		listed := dispatch.RunReport{Task: r.task.name, Run: r.number, Percent: min(99, int(100*r.done))}
		if r.task.arrival.job.Steps[0].Checkpoints && r.saved > 0 {
			listed.Checkpoint = strconv.FormatFloat(r.saved, 'f', 4, 64)
		}
		report.Running = append(report.Running, listed)
	}
	return report
}

func (w *worker) sorted() []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.task.name, b.task.name) })
	return out
}

// crash ends everything on a worker, which comes back as a new life.
func (w *worker) crash() {
	for _, r := range w.sorted() {
		w.fleet.lost += (r.done - r.saved) * r.task.length.Seconds() * r.task.arrival.job.Steps[0].Need.CoreEquivalents()
	}
	w.Incarnation++
	w.runs, w.ended, w.count = map[string]*run{}, nil, 0
}

// advance lets time pass on all workers.
func (f *fleet) advance(d time.Duration) {
	f.now += d
	gangs := map[string][]*member{}
	for _, w := range f.workers {
		for _, r := range w.sorted() {
			if r.task.arrival.job.Steps[0].Gang {
				gangs[r.task.arrival.job.ID] = append(gangs[r.task.arrival.job.ID], &member{w, r})
				continue
			}
			f.work(w, r, d, f.nearby(w, r))
		}
	}
	for _, id := range sortedNames(gangs) {
		f.workGang(gangs[id], d)
	}
}

type member struct {
	w *worker
	r *run
}

func sortedNames(m map[string][]*member) []string {
	out := make([]string, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// nearby returns the speed of a task where it runs.
func (f *fleet) nearby(w *worker, r *run) float64 {
	if rack := r.task.arrival.job.Steps[0].DataRack; rack != "" && rack != w.Rack {
		return w.speed / f.scenario.Fleet.FarFactor
	}
	return w.speed
}

// workGang lets a gang work once all members are present; when one ends, all do.
func (f *fleet) workGang(members []*member, d time.Duration) {
	step := &members[0].r.task.arrival.job.Steps[0]
	first := members[0]
	speed, whole, spread := 1.0, len(members) == step.Tasks, false
	for _, m := range members {
		speed = min(speed, f.nearby(m.w, m.r))
		spread = spread || step.SameRack && m.w.Rack != first.w.Rack
		whole = whole && m.r.number == first.r.number
	}
	if spread {
		speed = min(speed, 1/f.scenario.Fleet.FarFactor)
	}
	if !whole {
		for _, m := range members {
			if m.r.together {
				m.w.end(m.r, dispatch.EndGangBroken)
			}
		}
		return
	}
	var ended dispatch.EndKind
	for _, m := range members {
		m.r.together = true
		if kind := f.step(m.w, m.r, d, speed); kind != 0 && (ended == 0 || kind == dispatch.EndFailed) {
			ended = kind
		}
	}
	if ended == 0 {
		return
	}
	for i, m := range members {
		kind := ended
		if ended == dispatch.EndFailed && i > 0 {
			kind = dispatch.EndGangBroken
		}
		m.w.end(m.r, kind)
	}
}

func (f *fleet) work(w *worker, r *run, d time.Duration, speed float64) {
	if kind := f.step(w, r, d, speed); kind != 0 {
		w.end(r, kind)
	}
}

// step lets a run work for a time and returns how it ends, or 0.
func (f *fleet) step(w *worker, r *run, d time.Duration, speed float64) dispatch.EndKind {
	if w.fails {
		return dispatch.EndFailed
	}
	if w.hangs || f.now < r.restored {
		return 0
	}
	spec := &r.task.arrival.job.Steps[0]
	gained := speed * d.Seconds() / r.task.length.Seconds()
	r.done += gained
	f.busy += d.Seconds() * spec.Need.CoreEquivalents()
	if every := f.scenario.Fleet.CheckpointS; spec.Checkpoints && every > 0 {
		if share := every / r.task.length.Seconds(); r.done-r.saved >= share {
			r.saved += share * float64(int((r.done-r.saved)/share))
		}
	}
	switch {
	case r.done >= r.failAt:
		return dispatch.EndFailed
	case r.done >= 1:
		return dispatch.EndDone
	}
	return 0
}
