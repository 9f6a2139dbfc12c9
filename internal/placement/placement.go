// Package placement decides which waiting tasks start on which workers and which running ones are stopped for more
// urgent ones. It is pure: equal inputs give equal decisions, and it reads no clock and does no I/O.
package placement

import (
	"time"

	"samphirewell/internal/batch"
)

const (
	// reserveAfter is the wait after which a gang gets workers reserved. Shorter waits usually end by themselves; the figure is a
	// fraction of the shortest run time of large gangs (11 s).
	reserveAfter = 2 * time.Second
	// keepPatience is the wait after which a request may use the room that is kept for urgent work: room that stays free for longer was kept in vain. Urgent work
	// that comes later takes it back with its claim.
	keepPatience = 2 * time.Second
	// maxReservations bounds the workers that stand idle for waiting gangs.
	maxReservations = 2
	// crowdedBelow is the free share of the scarcest resource below which workers are reserved. With more free room a reservation only keeps others waiting: the users
	// expect every task to run while half of the room is free, and the rest allows for what frees up between two plans.
	crowdedBelow = 0.4
	// victimCost is added to the lost work of each stopped unit, in core-seconds, so that few victims are preferred to many.
	victimCost = 20
)

// lossWeights weigh lost work by priority relative to all others. The users value an hour of urgent work five to ten times as much as one of the
// lowest class, and one of the middle class twice as much.
var lossWeights = [...]float64{8, 2}

// Worker is a worker of the service that is planned for.
type Worker struct {
	ID               string
	Rack             string
	Labels           []string
	Capacity         batch.Resources
	Free             batch.Resources // free now
	FutureFree       batch.Resources // Free plus what the runs that are being stopped will release
	EventuallyFree   batch.Resources // Capacity minus what long-running tasks use, since their end is not known
	Usable           bool            // may get new work
	HealthPenalty    float64         // suspicion of the worker's health; 0 means none
	LatencySensitive bool            // runs latency-sensitive tasks, which have a bound on their response times
	BestEffort       bool            // runs best-effort tasks, which use the processor time that others leave unused
}

// Run is a unit that runs. A unit is a gang or a single task.
type Run struct {
	ID             string
	Team           string
	Priority       int
	Protected      bool // within the guarantee of its team
	NonPreemptible bool // must not be stopped for a more urgent request
	Parts          []Part
	LostWork       float64 // work that is lost if the run is stopped, core-seconds
}

// Part is the room that a run holds on one worker.
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
	AvoidedWorkers   map[int]bool // workers on which it failed; it isn't placed there
	MaySpanRacks     bool         // may run outside the single rack or the data's rack that its step prefers
	MayPreempt       bool         // may stop less urgent runs
	PreemptionBudget float64      // most work that may be lost by preempting runs for it, core-seconds
	BestEffort       bool         // loses little when it is stopped, so it may use the headroom
	WaitTime         time.Duration
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
}

// Input is a snapshot of one service. Requests are in the order in which they are served.
type Input struct {
	Workers  []Worker
	Runs     []Run
	Requests []Request
	// Headroom is the capacity that requests without MayPreempt leave free for urgent work that may arrive, in core equivalents.
	Headroom float64
}

// Plan decides one cycle. It changes Free and FutureFree of the workers.
func Plan(in Input) Decision {
	p := newPlanner(in)
	for i := range in.Requests {
		p.serve(i)
	}
	return p.out
}

type planner struct {
	workers      []Worker
	runs         []Run
	requests     []Request
	racks        map[string][]int
	rackNames    []string // in order of first appearance
	all          []int
	byWorker     [][]int // runs on each worker, cheapest first
	stopped      []bool
	reservations int
	spare        float64 // free room beyond what is kept, core equivalents
	crowded      bool    // little room is free, so that waiting gangs get workers reserved
	out          Decision
}

func newPlanner(in Input) *planner {
	p := &planner{workers: in.Workers, runs: in.Runs, requests: in.Requests, racks: map[string][]int{}, stopped: make([]bool, len(in.Runs))}
	var free, total batch.Resources
	for i, w := range in.Workers {
		if _, ok := p.racks[w.Rack]; !ok {
			p.rackNames = append(p.rackNames, w.Rack)
		}
		p.racks[w.Rack] = append(p.racks[w.Rack], i)
		p.all = append(p.all, i)
		if w.Usable {
			p.spare += max(0, w.Free.CoreEquivalents())
			free, total = free.Plus(w.Free), total.Plus(w.Capacity)
		}
	}
	p.crowded = !free.Covers(batch.Resources{MilliCores: int(crowdedBelow * float64(total.MilliCores)), MemoryMB: int(crowdedBelow * float64(total.MemoryMB)),
		Accelerators: int(crowdedBelow * float64(total.Accelerators))})
	p.spare -= in.Headroom
	return p
}

// serve places a request as far as it fits, and makes or keeps room for the rest.
func (p *planner) serve(i int) {
	r := &p.requests[i]
	placed := p.fit(r, p.allowed(r), freeRoom)
	if len(placed) > 0 {
		p.take(r, placed)
		p.out.Placements = append(p.out.Placements, Placement{i, placed})
	}
	rest := r.Count - len(placed)
	if rest == 0 {
		return
	}
	if r.MayPreempt {
		p.claim(i, rest)
		return
	}
	p.reserve(r)
}

// allowed returns how many tasks of the request may start without using the room that is kept. Long-running tasks don't wait for
// urgent work that may come: they are owed at all times. Other requests wait for a short time only.
func (p *planner) allowed(r *Request) int {
	need := r.Step.Need.CoreEquivalents()
	if r.MayPreempt || r.BestEffort || r.Step.LongRunning || need == 0 || r.WaitTime > keepPatience {
		return r.Count
	}
	n := int(max(0, p.spare) / need)
	if r.Gang && n < r.Count {
		return 0
	}
	return min(n, r.Count)
}

// claim keeps room that becomes free for the rest of the request, and stops less urgent runs for what is missing.
func (p *planner) claim(claimant, rest int) {
	r := &p.requests[claimant]
	coming := p.fit(r, rest, soonRoom)
	p.take(r, coming)
	rest -= len(coming)
	if rest == 0 {
		return
	}
	workers, victims, cost := p.makeRoom(r, rest)
	if cost <= r.PreemptionBudget {
		for _, v := range victims {
			p.stop(v, claimant)
		}
	}
	// Without the victims too, what is free on these workers waits for the claim.
	p.take(r, workers)
}

// take deducts the room of the request's tasks. Free may become negative where the room is still to come.
func (p *planner) take(r *Request, workers []int) {
	p.spare -= float64(len(workers)) * r.Step.Need.CoreEquivalents()
	for _, w := range workers {
		p.workers[w].Free = p.workers[w].Free.Minus(r.Step.Need)
		p.workers[w].FutureFree = p.workers[w].FutureFree.Minus(r.Step.Need)
		if r.Step.MaxPerWorker > 0 {
			r.TasksPerWorker[w]++
		}
	}
}

func (p *planner) stop(run, claimant int) {
	if p.stopped[run] {
		return
	}
	p.stopped[run] = true
	p.out.Preempted = append(p.out.Preempted, run)
	p.out.Preemptors = append(p.out.Preemptors, claimant)
	for _, part := range p.runs[run].Parts {
		p.workers[part.Worker].FutureFree = p.workers[part.Worker].FutureFree.Plus(part.Need)
	}
}
