// Package placement decides which waiting tasks start on which workers, and which running tasks are preempted by more urgent ones. It is
// deterministic: equal inputs give equal decisions, and it reads no clock and does no I/O.
package placement

import (
	"time"

	"samphirewell/internal/batch"
)

const (
	// reserveAfter is the wait after which workers are reserved for a gang. Shorter waits usually end without a reservation. The value is a fraction
	// of the shortest run time of large gangs (11 s).
	reserveAfter = 2 * time.Second
	// headroomWaitLimit is the wait after which a request may use the headroom for urgent work: if no urgent request has used the headroom for that
	// long, it is wasted. Urgent work that arrives later gets the capacity back by preemption.
	headroomWaitLimit = 2 * time.Second
	// maxReservations is the largest number of gangs per cycle for which workers are reserved. It bounds the workers that stay idle for waiting gangs.
	maxReservations = 2
	// ampleFreeShare is the free share of the scarcest resource from which capacity is ample: requests that have waited then start on any worker. Below
	// it, workers are reserved for gangs instead. With more free capacity a reservation only keeps other requests waiting: the users expect every task
	// to run while half of the capacity is free. The difference between the half and this value allows for capacity that becomes free between two cycles.
	ampleFreeShare = 0.4
	// localityWaitLimit is how long a request waits for the workers that it prefers while capacity is ample. The users expect it to start within 3 s then.
	localityWaitLimit = 2 * time.Second
	// victimCost is added to the lost work of each preempted run, in core-seconds, so that few victims are preferred to many.
	victimCost = 20
)

// lossWeights are the weights of lost work by priority; lower priorities weigh 1. The users value an hour of urgent work five to ten times as much as
// an hour of the lowest class, and an hour of the middle class twice as much.
var lossWeights = [...]float64{8, 2}

// Worker is a worker of the service whose requests are placed.
type Worker struct {
	ID               string
	Rack             string
	Labels           []string
	Capacity         batch.Resources
	Free             batch.Resources // free now
	FutureFree       batch.Resources // Free plus what the runs that are being stopped will release
	EventuallyFree   batch.Resources // Capacity minus what long-running tasks use, since the end of those is not known
	Usable           bool            // may get new work
	Suspected        bool            // not usable only because its health is suspected; it still counts as capacity
	HealthPenalty    float64         // suspicion of the worker's health; 0 means none
	Slowness         float64         // expected factor by which run times on it differ from those on the mean worker; 0 counts as 1
	LikelySlowness   float64         // upper end of the estimate of Slowness; 0 counts as Slowness
	SpeedUnknown     bool            // its speed is hardly known, and no run on it will show it
	LatencySensitive bool            // runs latency-sensitive tasks, which have a bound on their response times
	BestEffort       bool            // runs best-effort tasks, which use the processor time that others leave unused
	BestEffortTasks  int             // their number
}

// Run is a running task group: a gang or a single task, which starts and stops as a whole.
type Run struct {
	ID              string
	Team            string
	Priority        int
	WithinGuarantee bool // within the guarantee of its team
	NonPreemptible  bool // must not be stopped for a more urgent request
	BestEffort      bool // its tasks disturb latency-sensitive ones
	Parts           []Part
	LostWork        float64 // work that is lost if the run is stopped, core-seconds
}

// Part is the amount of resources that a run holds on one worker.
type Part struct {
	Worker int
	Need   batch.Resources
}

// Request is a gang, or equal tasks that may start one by one.
type Request struct {
	ID               string
	Team             string
	Priority         int
	WithinGuarantee  bool // within the guarantee of its team
	Step             *batch.Step
	Count            int
	Gang             bool
	TasksPerWorker   map[int]int  // tasks of the same step per worker; not nil and shared by all requests of the step if Step.MaxPerWorker is set
	AllowedWorkers   map[int]bool // workers that may run it; nil means all
	AvoidedWorkers   map[int]bool // workers on which it failed; it isn't placed there unless the others are too few
	MaySpanRacks     bool         // may run outside the single rack or the data's rack that its step prefers, if that costs less
	SpreadCost       float64      // work that running outside the preferred rack adds, core-seconds
	MayPreempt       bool         // may stop less urgent runs
	PreemptionBudget float64      // most work that may be lost by preempting runs for it, core-seconds
	SlownessLimit    float64      // largest slowness of its workers with which it meets its objective; 0 means that speed doesn't matter
	AwaitsFastWorker bool         // urgent, and can meet its objective by waiting for workers within SlownessLimit
	BestEffort       bool         // loses little when it is stopped, so it may use the headroom
	Interrupted      bool         // has run before
	JobIdle          bool         // no task of its job runs or is about to start
	WaitTime         time.Duration

	index    *slotIndex // of the step's shape; set by the planner
	fastOnly bool       // only workers within SlownessLimit are considered now
}

// Placement assigns tasks of a request to workers, one entry a task.
type Placement struct {
	Request int
	Workers []int
}

// Decision is the output of Plan.
type Decision struct {
	Placements []Placement
	Preempted  []int // runs to stop, as indexes into Input.Runs
	Preemptors []int // for each of Preempted, the request that gets its resources, as an index into Input.Requests
	Reserved   []int // waiting requests for which workers are reserved, as indexes into Input.Requests
}

// Input is a snapshot of one service. Requests are in the order in which they are served.
type Input struct {
	Workers  []Worker
	Runs     []Run
	Requests []Request
	// Headroom is the capacity that requests without MayPreempt leave free for urgent work that may arrive, in core equivalents.
	Headroom float64
	// AmpleFor is how long capacity has been ample, see HasAmpleCapacity.
	AmpleFor time.Duration
	// SpeedProbes is how many tasks may be placed on workers with SpeedUnknown in order to learn their speed.
	SpeedProbes int
}

// Plan decides one cycle. It changes Free and FutureFree of the workers, and TasksPerWorker and AvoidedWorkers of the requests.
func Plan(in Input) Decision {
	p := newPlanner(in)
	for i := range in.Requests {
		p.planRequest(i)
	}
	return p.decision
}

type planner struct {
	workers            []Worker
	runs               []Run
	requests           []Request
	racks              [][]int        // workers of each rack; racks are in order of first appearance
	rackByName         map[string]int // index into racks
	rackOf             []int          // rack of each worker
	allWorkers         []int
	slotIndexes        map[shape]*slotIndex
	slotIndexList      []*slotIndex
	changes            []int // changes of each worker's free or future free capacity in this cycle
	victims            victimIndex
	preempted          []bool
	freeBeyondHeadroom float64       // free capacity beyond the headroom, core equivalents
	ample              bool          // capacity is ample
	ampleFor           time.Duration // how long it has been
	slownessClass      []int         // of each worker
	slow               float64       // slowness that counts as that of the slow usable workers, see slowQuantile
	uneven             bool          // usable workers differ in speed
	speedProbes        int           // see Input.SpeedProbes
	decision           Decision
}

func newPlanner(in Input) *planner {
	p := &planner{workers: in.Workers, runs: in.Runs, requests: in.Requests, preempted: make([]bool, len(in.Runs))}
	p.indexWorkers()
	p.indexSlowness()
	p.speedProbes = in.SpeedProbes
	p.ample, p.ampleFor = HasAmpleCapacity(in.Workers), in.AmpleFor
	for i := range p.workers {
		if w := &p.workers[i]; w.Usable {
			p.freeBeyondHeadroom += max(0, w.Free.CoreEquivalents())
		}
	}
	p.freeBeyondHeadroom -= in.Headroom
	return p
}

// indexWorkers lists the workers by rack.
func (p *planner) indexWorkers() {
	p.rackByName, p.slotIndexes = map[string]int{}, map[shape]*slotIndex{}
	p.rackOf, p.allWorkers, p.changes = make([]int, len(p.workers)), make([]int, len(p.workers)), make([]int, len(p.workers))
	for i := range p.workers {
		rack, ok := p.rackByName[p.workers[i].Rack]
		if !ok {
			rack = len(p.racks)
			p.rackByName[p.workers[i].Rack] = rack
			p.racks = append(p.racks, nil)
		}
		p.rackOf[i], p.allWorkers[i] = rack, i
		p.racks[rack] = append(p.racks[rack], i)
	}
}

// dataRack returns the workers on the rack of the request's data.
func (p *planner) dataRack(r *Request) []int {
	rack, ok := p.rackByName[r.Step.DataRack]
	if !ok {
		return nil
	}
	return p.racks[rack]
}

// planRequest places the tasks of a request that fit, and preempts runs or reserves workers for the rest.
func (p *planner) planRequest(i int) {
	r := &p.requests[i]
	if p.needsAvoidedWorkers(r) {
		r.AvoidedWorkers = nil
	}
	if r.MaySpanRacks && p.isCheaperOnPreferredRack(r) {
		r.MaySpanRacks = false
	}
	if p.limitedToFastWorkers(r) && p.placeOnFastWorkers(i) {
		return
	}
	placed := p.fit(r, p.startLimit(r), freeCapacity)
	if p.tooSlow(r, placed) {
		return
	}
	if len(placed) > 0 {
		p.place(i, placed)
	}
	rest := r.Count - len(placed)
	if rest == 0 {
		return
	}
	if r.MayPreempt {
		p.placeByPreempting(i, rest)
		return
	}
	p.reserve(i)
}

// place starts tasks of a request on workers, one entry a task.
func (p *planner) place(request int, workers []int) {
	p.allocate(&p.requests[request], workers)
	p.decision.Placements = append(p.decision.Placements, Placement{request, workers})
}

// startLimit returns how many tasks of the request may start now without using the headroom. Long-running tasks may use it, since they are expected
// to run at all times, and other requests may use it after headroomWaitLimit.
func (p *planner) startLimit(r *Request) int {
	need := r.Step.Need.CoreEquivalents()
	if r.MayPreempt || r.BestEffort || r.Step.LongRunning || need == 0 || r.WaitTime > headroomWaitLimit {
		return r.Count
	}
	n := int(max(0, p.freeBeyondHeadroom) / need)
	if r.Gang && n < r.Count {
		return 0
	}
	return min(n, r.Count)
}

// placeByPreempting allocates capacity that is about to become free to the remaining tasks of a request, and preempts less urgent runs for those that
// still don't fit.
func (p *planner) placeByPreempting(preemptor, rest int) {
	r := &p.requests[preemptor]
	fromFuture := p.fit(r, rest, futureFreeCapacity)
	p.allocate(r, fromFuture)
	rest -= len(fromFuture)
	if rest == 0 {
		return
	}
	workers, victims, cost := p.selectVictims(r, rest)
	if cost <= r.PreemptionBudget {
		for _, v := range victims {
			p.preempt(v, preemptor)
		}
	} else if p.ample && p.ampleFor > localityWaitLimit {
		return
	}
	// While capacity is scarce, the workers are allocated even if preempting the victims costs too much, so that later requests don't use what is free
	// on these workers.
	p.allocate(r, workers)
}

// allocate deducts the resources of the request's tasks from the workers. Free becomes negative on a worker whose capacity is not released yet.
func (p *planner) allocate(r *Request, workers []int) {
	p.freeBeyondHeadroom -= float64(len(workers)) * r.Step.Need.CoreEquivalents()
	for _, w := range workers {
		p.workers[w].Free = p.workers[w].Free.Minus(r.Step.Need)
		p.workers[w].FutureFree = p.workers[w].FutureFree.Minus(r.Step.Need)
		p.updateSlots(w)
		if r.Step.MaxPerWorker > 0 {
			r.TasksPerWorker[w]++
		}
	}
}

func (p *planner) preempt(run, preemptor int) {
	if p.preempted[run] {
		return
	}
	p.preempted[run] = true
	p.decision.Preempted = append(p.decision.Preempted, run)
	p.decision.Preemptors = append(p.decision.Preemptors, preemptor)
	for _, part := range p.runs[run].Parts {
		p.workers[part.Worker].FutureFree = p.workers[part.Worker].FutureFree.Plus(part.Need)
		p.updateSlots(part.Worker)
	}
}
