package policybench

import (
	"container/heap"
	"slices"
	"time"

	"samphirewell/internal/scheduler"
)

// Policy decides the actions of one scheduling cycle.
type Policy func(scheduler.Snapshot) scheduler.Decision

// Simulated durations.
const (
	cycleDelay          = time.Second      // from an event to the next cycle
	stopDelay           = time.Second      // from a preemption or migration to the start of the gang that uses the resources
	restoreCost         = 30 * time.Second // run time to load a checkpoint at each restart
	failureDelay        = time.Minute      // time after the start at which a broken job fails, or any job on a bad worker
	migrationCycleDelay = time.Minute      // from a migration to the next cycle
	idleCycleInterval   = 5 * time.Minute  // between cycles without an event while jobs wait
)

type eventKind uint8

const (
	eventArrival eventKind = iota
	eventRunEnd
	eventWorkerDown
	eventWorkerUp
	eventCancellation
	eventCycle
)

type event struct {
	at          time.Duration
	seq         int // orders events of the same time
	kind        eventKind
	job         *job
	startNumber int // job.startNumber to which the event applies
	worker      int // index of the worker
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type phase uint8

const (
	notArrived phase = iota
	waiting
	running
	finished
	failed
	refused
	cancelled
)

// job is the state of a job in the simulation.
type job struct {
	*JobSpec
	phase         phase
	progress      time.Duration // run time saved in the newest checkpoint
	startedAt     time.Duration // time of the newest start
	everStarted   bool
	firstStart    time.Duration // time of the first start
	endedAt       time.Duration
	workers       []string
	slot          int
	preemptions   int
	startNumber   int           // number of starts so far, which identifies the newest one
	failingWorker string        // worker on which the job will fail in this start; empty means none
	restoreTime   time.Duration // time to load the checkpoint in this start
	large         bool          // in the largest tenth of the jobs
	waitBound     time.Duration // longest wait that internal/scheduler/reserve.go states; large jobs only
}

// sim runs the jobs of one domain under one policy.
type sim struct {
	mix                 *Mix
	domain              int
	policy              Policy
	now                 time.Duration
	events              eventHeap
	seq                 int
	cycleScheduled      bool          // by scheduleCycle
	nextIdleCycle       time.Duration // time of the newest idle cycle that was scheduled
	reservationDeadline time.Duration // newest reservation deadline for which a cycle was scheduled
	jobs                map[string]*job
	queue               []*job // waiting jobs
	active              []*job // running jobs
	workers             []scheduler.Worker
	workerIndex         map[string]int  // index in workers by worker id
	activeOutages       []int           // number of present outages of each worker
	badWorkers          map[string]bool // ids of the workers that fail every job
	estimator           *scheduler.Estimator
	health              *scheduler.Health
	lastDecision        scheduler.Decision
	lastMigration       time.Time
	measures            *measures
	claims              *claims
	unfinishedJobs      int
	largeSize           int // least shape size of the jobs in the largest tenth
}

func newSim(mix *Mix, domain int, policy Policy, specs []JobSpec, outages []outage, bad [][2]int) *sim {
	s := &sim{
		mix: mix, domain: domain, policy: policy, jobs: map[string]*job{}, workerIndex: map[string]int{}, badWorkers: map[string]bool{},
		largeSize: largeSize(specs), workers: slices.Clone(mix.Domains[domain].Workers), estimator: scheduler.NewEstimator(), health: scheduler.NewHealth(),
	}
	s.activeOutages = make([]int, len(s.workers))
	for i, w := range s.workers {
		s.workerIndex[w.ID] = i
	}
	for i := range specs {
		if specs[i].Domain == domain {
			s.addJob(&specs[i])
		}
	}
	for _, o := range outages {
		if o.domain == domain {
			s.push(event{at: o.from, kind: eventWorkerDown, worker: o.worker})
			s.push(event{at: o.to, kind: eventWorkerUp, worker: o.worker})
		}
	}
	for _, b := range bad {
		if b[0] == domain {
			s.badWorkers[s.workers[b[1]].ID] = true
		}
	}
	s.measures = newMeasures(s)
	s.claims = newClaims(s)
	return s
}

func (s *sim) addJob(spec *JobSpec) {
	j := &job{JobSpec: spec, slot: scheduler.NoSlot}
	s.jobs[j.ID] = j
	s.unfinishedJobs++
	s.push(event{at: j.ArriveAt, kind: eventArrival, job: j})
	if j.CancelAt > 0 {
		s.push(event{at: j.CancelAt, kind: eventCancellation, job: j})
	}
}

func (s *sim) push(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.events, e)
}

// maxDays is the simulated time, in days, after which a run stops although its queue is not empty.
const maxDays = 60

// run processes all events until every job has ended.
func (s *sim) run() {
	for len(s.events) > 0 && s.unfinishedJobs > 0 && s.now < maxDays*day {
		e := heap.Pop(&s.events).(event)
		s.measures.advance(e.at)
		s.now = e.at
		s.handle(e)
	}
}

func (s *sim) handle(e event) {
	switch e.kind {
	case eventArrival:
		e.job.phase = waiting
		s.queue = append(s.queue, e.job)
		s.setWaitBound(e.job)
	case eventRunEnd:
		if e.job.startNumber != e.startNumber || e.job.phase != running {
			return
		}
		s.runEnded(e.job)
	case eventWorkerDown:
		s.activeOutages[e.worker]++
		s.stopGangsOn(s.workers[e.worker].ID)
	case eventWorkerUp:
		s.activeOutages[e.worker]--
	case eventCancellation:
		if e.job.phase != waiting && e.job.phase != running {
			return
		}
		s.removeJob(e.job)
		s.health.Forget(e.job.ID)
		s.endJob(e.job, cancelled)
	case eventCycle:
		s.cycleScheduled = false
		s.plan()
		return
	}
	s.scheduleCycle(cycleDelay)
}

// setWaitBound sets the longest wait of a large job that internal/scheduler/reserve.go states: with k large jobs ahead, the longest wait for a
// reservation, (k+1) times the longest time to its deadline, and the run times of the k jobs. The delays of the simulation are added.
func (s *sim) setWaitBound(j *job) {
	j.large = shapeSize(j.Shape) >= s.largeSize
	if !j.large {
		return
	}
	j.waitBound = scheduler.MaxReservationWait + scheduler.MaxReservationTime + cycleDelay + stopDelay
	for _, list := range [][]*job{s.queue, s.active} {
		for _, o := range list {
			if o != j && o.large {
				j.waitBound += scheduler.MaxReservationTime + o.TrueRun - o.progress
			}
		}
	}
}

// scheduleCycle schedules a cycle after d, which is at most cycleDelay, unless one is already scheduled.
func (s *sim) scheduleCycle(d time.Duration) {
	if !s.cycleScheduled && d <= cycleDelay {
		s.cycleScheduled = true
		s.push(event{at: s.now + d, kind: eventCycle})
	}
}

func (s *sim) endJob(j *job, p phase) {
	j.phase = p
	j.endedAt = s.now
	s.unfinishedJobs--
}

// runEnded handles the end of a run: the job has completed, or the run has failed.
func (s *sim) runEnded(j *job) {
	s.removeJob(j)
	if j.failingWorker == "" {
		s.estimator.RecordRun(j.Team, j.Kind, j.TrueRun)
		s.health.Succeeded(j.ID, j.workers)
		s.endJob(j, finished)
		return
	}
	s.rollBackToCheckpoint(j)
	if v := s.health.Failed(j.ID, j.failingWorker, simulationStart.Add(s.now)); v.JobFailed {
		s.endJob(j, failed)
		return
	}
	s.requeue(j)
}

// removeJob removes the job from the queue or from its workers.
func (s *sim) removeJob(j *job) {
	same := func(o *job) bool { return o == j }
	if j.phase == waiting {
		s.queue = slices.DeleteFunc(s.queue, same)
		return
	}
	s.active = slices.DeleteFunc(s.active, same)
	s.measures.adjustUsage(j, -1)
}

// currentRunTime returns the run time since the newest start, without the time to load the checkpoint.
func (s *sim) currentRunTime(j *job) time.Duration { return max(0, s.now-j.startedAt-j.restoreTime) }

// checkpointAge returns the run time that the job loses if it is stopped now.
func (s *sim) checkpointAge(j *job) time.Duration {
	if j.CheckpointInterval == 0 {
		return j.progress + s.currentRunTime(j)
	}
	return s.currentRunTime(j) % j.CheckpointInterval
}

// rollBackToCheckpoint reduces the progress to that of the newest checkpoint and returns the lost run time.
func (s *sim) rollBackToCheckpoint(j *job) time.Duration {
	lost := s.checkpointAge(j)
	j.progress = max(0, j.progress+s.currentRunTime(j)-lost)
	return lost
}

func (s *sim) requeue(j *job) {
	j.phase = waiting
	j.slot = scheduler.NoSlot
	s.queue = append(s.queue, j)
}

// stopGangsOn stops the gangs on a worker that went down and queues them to restart from their checkpoints.
func (s *sim) stopGangsOn(id string) {
	for _, j := range slices.Clone(s.active) {
		if slices.Contains(j.workers, id) {
			s.removeJob(j)
			s.rollBackToCheckpoint(j)
			s.requeue(j)
		}
	}
}

// start assigns the workers to the job, which runs on them after a delay.
func (s *sim) start(j *job, workers []string, slot int, delay time.Duration) {
	j.phase = running
	j.workers, j.slot = workers, slot
	j.startedAt = s.now + delay
	j.startNumber++
	if !j.everStarted {
		j.everStarted, j.firstStart = true, j.startedAt
	}
	j.restoreTime = 0
	if j.progress > 0 {
		j.restoreTime = restoreCost
	}
	s.active = append(s.active, j)
	s.measures.adjustUsage(j, 1)
	left := j.restoreTime + j.TrueRun - j.progress
	j.failingWorker = s.failingWorker(j)
	if j.failingWorker != "" {
		left = min(left, failureDelay)
	}
	s.push(event{at: j.startedAt + left, kind: eventRunEnd, job: j, startNumber: j.startNumber})
}

// failingWorker returns the worker on which the job will fail, or an empty string.
func (s *sim) failingWorker(j *job) string {
	for _, w := range j.workers {
		if s.badWorkers[w] {
			return w
		}
	}
	if j.Broken {
		return j.workers[0]
	}
	return ""
}
