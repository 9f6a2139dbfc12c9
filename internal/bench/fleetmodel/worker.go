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

// worker is a simulated worker. It executes orders immediately, and no response is lost: the property tests cover lost messages.
type worker struct {
	batch.Worker
	fleet       *fleet
	runs        map[string]*run      // by task id
	pendingEnds []dispatch.EndReport // not yet acknowledged
	endCount    uint64               // in this incarnation
	speed       float64              // 1 unless the worker is slow
	hanging     bool                 // runs make no progress
	failing     bool                 // all runs fail
	lastRenewal time.Duration
}

// run is a run of a task. Progress is the share of the task's work that is done.
type run struct {
	task               *taskModel
	number             int
	startedAt          time.Duration
	restoredAt         time.Duration // time at which the checkpoint is restored
	progress           float64
	checkpointProgress float64 // in the newest checkpoint
	initialProgress    float64 // at the start
	failAtProgress     float64 // progress at which the run fails; above 1 means never
	gangStarted        bool    // the gang has worked with all its members
}

// taskModel is a task with its true run time.
type taskModel struct {
	arrival *arrival
	taskID  string
	runTime time.Duration // near its data on a worker of speed 1, without interruptions
}

// fleet holds the workers and sums up their work.
type fleet struct {
	scenario *Scenario
	rng      *rand.Rand
	now      time.Duration
	workers  []*worker
	byID     map[string]*worker
	jobs     map[string]*arrival // by job id

	busy   float64 // core-seconds of work
	lost   float64 // core-seconds of work that was in no checkpoint when its run ended before the task was done
	starts int
	stops  int // by orders
}

func newFleet(s *Scenario, seed uint64, jobs []arrival) *fleet {
	f := &fleet{scenario: s, rng: rand.New(rand.NewPCG(seed, 1<<32)), byID: map[string]*worker{}, jobs: map[string]*arrival{}}
	for i := range jobs {
		f.jobs[jobs[i].job.ID] = &jobs[i]
	}
	domains := s.Fleet.Domains
	if domains == 0 {
		domains = 3
	}
	for r := range s.Fleet.Racks {
		for i := range min(s.Fleet.WorkersPerRack, s.workers()-len(f.workers)) {
			w := &worker{fleet: f, runs: map[string]*run{}, speed: 1}
			if n := len(f.workers) + 1; s.Fleet.SlowEvery > 0 && n%s.Fleet.SlowEvery == 0 {
				w.speed = 1 / s.Fleet.SlowFactor
			}
			w.Worker = batch.Worker{ID: "w" + strconv.Itoa(r) + "-" + strconv.Itoa(i), Service: serviceName, Address: "model:1", Domain: "d" + strconv.Itoa(r%domains),
				Rack: rackName(r), Labels: []string{"a", rackName(r)}, Incarnation: 1,
				Capacity: batch.Resources{MilliCores: s.Fleet.MilliCores, MemoryMB: s.Fleet.MemoryMB, Accelerators: s.Fleet.Accelerators}}
			f.workers = append(f.workers, w)
			f.byID[w.ID] = w
		}
	}
	if n := len(s.Fleet.Speeds); n > 0 {
		for i, at := range rand.New(rand.NewPCG(seed, 1<<34)).Perm(len(f.workers)) {
			f.workers[at].speed /= s.Fleet.Speeds[i%n]
		}
	}
	return f
}

// slowness returns the true factor of the run times on a worker relative to the mean worker.
func (f *fleet) slowness(id string) float64 { return 1 / f.byID[id].speed / f.meanFactor() }

// meanFactor returns the mean factor of the run times on the workers.
func (f *fleet) meanFactor() float64 {
	sum := 0.0
	for _, w := range f.workers {
		sum += 1 / w.speed
	}
	return sum / float64(len(f.workers))
}

func (f *fleet) batchWorkers() []batch.Worker {
	out := make([]batch.Worker, len(f.workers))
	for i, w := range f.workers {
		out[i] = w.Worker
	}
	return out
}

// execute executes an order on its worker.
func (f *fleet) execute(o dispatch.Order) dispatch.Result {
	w := f.byID[o.Worker.ID]
	if o.Worker.Incarnation != w.Incarnation {
		return dispatch.OtherIncarnation
	}
	if o.Stop {
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
			f.stops++
			if r.task.arrival.job.Steps[0].Checkpoints {
				r.checkpointProgress = r.progress
			}
			w.endRun(r, dispatch.EndStopped)
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
	w.startRun(a, id, o)
	return dispatch.Accepted
}

// free returns the resources that no run uses.
func (w *worker) free() batch.Resources {
	free := w.Capacity
	for _, r := range w.runs {
		free = free.Minus(r.task.arrival.job.Steps[0].Need)
	}
	return free
}

func (w *worker) startRun(a *arrival, id batch.TaskID, o dispatch.Order) {
	f := w.fleet
	f.starts++
	r := &run{task: &taskModel{arrival: a, taskID: o.Task, runTime: a.taskRunTimes[id.Index]}, number: o.Run, startedAt: f.now, failAtProgress: 2}
	if o.Resume != "" {
		if share, err := strconv.ParseFloat(o.Resume, 64); err == nil {
			r.progress, r.checkpointProgress, r.initialProgress = share, share, share
			r.restoredAt = f.now + seconds(f.scenario.Fleet.RestoreS)
		}
	}
	class := &f.scenario.Classes[a.classIndex]
	if a.poison || f.rng.Float64() < class.ErrorShare {
		r.failAtProgress = r.progress + f.rng.Float64()*(1-r.progress)
	}
	w.runs[o.Task] = r
}

// endRun removes a run and records its end for the next reports. Work that is not in a checkpoint is lost unless the task is done.
func (w *worker) endRun(r *run, kind dispatch.EndKind) {
	f := w.fleet
	spec := &r.task.arrival.job.Steps[0]
	if kind != dispatch.EndDone {
		f.lost += (r.progress - r.checkpointProgress) * r.task.runTime.Seconds() * spec.Need.CoreEquivalents()
	}
	delete(w.runs, r.task.taskID)
	w.endCount++
	e := dispatch.EndReport{N: w.endCount, Task: r.task.taskID, Run: r.number, Kind: kind}
	if spec.Checkpoints && r.checkpointProgress > 0 {
		e.Checkpoint = strconv.FormatFloat(r.checkpointProgress, 'f', 4, 64)
	}
	w.pendingEnds = append(w.pendingEnds, e)
}

// renew handles a renewal: it drops the acknowledged ends and returns the report of the worker.
func (w *worker) renew(renewal dispatch.Renewal) dispatch.WorkerReport {
	for len(w.pendingEnds) > 0 && w.pendingEnds[0].N <= renewal.AckedEnds {
		w.pendingEnds = w.pendingEnds[1:]
	}
	report := dispatch.WorkerReport{Incarnation: w.Incarnation, Clock: w.fleet.now + time.Hour, Ended: slices.Clone(w.pendingEnds)}
	for _, r := range w.sortedRuns() {
		listed := dispatch.RunReport{Task: r.task.taskID, Run: r.number, Percent: min(99, int(100*r.progress))}
		if r.task.arrival.job.Steps[0].Checkpoints && r.checkpointProgress > 0 {
			listed.Checkpoint = strconv.FormatFloat(r.checkpointProgress, 'f', 4, 64)
		}
		report.Running = append(report.Running, listed)
	}
	return report
}

// sortedRuns returns the runs by task id, so that results do not depend on the order of a map.
func (w *worker) sortedRuns() []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.task.taskID, b.task.taskID) })
	return out
}

// crash ends all runs of the worker without reports and starts its next incarnation.
func (w *worker) crash() {
	for _, r := range w.sortedRuns() {
		w.fleet.lost += (r.progress - r.checkpointProgress) * r.task.runTime.Seconds() * r.task.arrival.job.Steps[0].Need.CoreEquivalents()
	}
	w.Incarnation++
	w.runs, w.pendingEnds, w.endCount = map[string]*run{}, nil, 0
}

// advance lets all workers work for a time.
func (f *fleet) advance(d time.Duration) {
	f.now += d
	gangs := map[string][]*gangMember{}
	for _, w := range f.workers {
		for _, r := range w.sortedRuns() {
			if r.task.arrival.job.Steps[0].Gang {
				gangs[r.task.arrival.job.ID] = append(gangs[r.task.arrival.job.ID], &gangMember{w, r})
				continue
			}
			f.advanceSingle(w, r, d, f.effectiveSpeed(w, r))
		}
	}
	for _, id := range sortedJobIDs(gangs) {
		f.advanceGang(gangs[id], d)
	}
}

type gangMember struct {
	worker *worker
	run    *run
}

func sortedJobIDs(m map[string][]*gangMember) []string {
	out := make([]string, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// effectiveSpeed returns the speed of a run on its worker; it is lower if the data of the task is on another rack.
func (f *fleet) effectiveSpeed(w *worker, r *run) float64 {
	if rack := r.task.arrival.job.Steps[0].DataRack; rack != "" && rack != w.Rack {
		return w.speed / f.scenario.Fleet.FarFactor
	}
	return w.speed
}

// advanceGang lets a gang work for a time if all members run under the same run number. If a run of the gang ends, or a member is missing after the
// gang has worked, the runs of all members end.
func (f *fleet) advanceGang(members []*gangMember, d time.Duration) {
	step := &members[0].run.task.arrival.job.Steps[0]
	first := members[0]
	speed, complete, acrossRacks := 1.0, len(members) == step.Tasks, false
	for _, m := range members {
		speed = min(speed, f.effectiveSpeed(m.worker, m.run))
		acrossRacks = acrossRacks || step.SameRack && m.worker.Rack != first.worker.Rack
		complete = complete && m.run.number == first.run.number
	}
	if acrossRacks {
		speed = min(speed, 1/f.scenario.Fleet.FarFactor)
	}
	if !complete {
		for _, m := range members {
			if m.run.gangStarted {
				m.worker.endRun(m.run, dispatch.EndGangBroken)
			}
		}
		return
	}
	var endKind dispatch.EndKind
	for _, m := range members {
		m.run.gangStarted = true
		if kind := f.advanceRun(m.worker, m.run, d, speed); kind != 0 && (endKind == 0 || kind == dispatch.EndFailed) {
			endKind = kind
		}
	}
	if endKind == 0 {
		return
	}
	for i, m := range members {
		kind := endKind
		if endKind == dispatch.EndFailed && i > 0 {
			kind = dispatch.EndGangBroken
		}
		m.worker.endRun(m.run, kind)
	}
}

// advanceSingle lets a run that is not in a gang work for a time, and ends it if it is done or fails.
func (f *fleet) advanceSingle(w *worker, r *run, d time.Duration, speed float64) {
	if kind := f.advanceRun(w, r, d, speed); kind != 0 {
		w.endRun(r, kind)
	}
}

// advanceRun lets a run work for a time and returns how it ends, or 0 if it goes on.
func (f *fleet) advanceRun(w *worker, r *run, d time.Duration, speed float64) dispatch.EndKind {
	if w.failing {
		return dispatch.EndFailed
	}
	if w.hanging || f.now < r.restoredAt {
		return 0
	}
	spec := &r.task.arrival.job.Steps[0]
	gained := speed * d.Seconds() / r.task.runTime.Seconds()
	r.progress += gained
	f.busy += d.Seconds() * spec.Need.CoreEquivalents()
	if every := f.scenario.Fleet.CheckpointS; spec.Checkpoints && every > 0 {
		if share := every / r.task.runTime.Seconds(); r.progress-r.checkpointProgress >= share {
			r.checkpointProgress += share * float64(int((r.progress-r.checkpointProgress)/share))
		}
	}
	switch {
	case r.progress >= r.failAtProgress:
		return dispatch.EndFailed
	case r.progress >= 1:
		return dispatch.EndDone
	}
	return 0
}
