package fleetmodel

import (
	"cmp"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/dispatch"
	"samphirewell/internal/rowstore"
)

const (
	// timeStep is the resolution of the simulation. The product plans and stores at shorter intervals, so simulated times are up to one step too long.
	timeStep = 50 * time.Millisecond
	// renewalInterval is the time between two renewals for a worker on which no run has ended. The product's renewals wait up to 2 s and return early
	// when a run ends.
	renewalInterval = 500 * time.Millisecond
	// lateLimitFactor times its objective is the completion time above which a job is worth nothing.
	lateLimitFactor = 3
	// largeJobShare is the share of the jobs of a class that count as its largest, for ClassResult.Large.
	largeJobShare = 0.1
	// nextJobShare is the share of the jobs below these that ClassResult.Next is about.
	nextJobShare = 0.2
)

// Result is the result of a policy with the arrivals of one seed. Its fields and those of ClassResult are encoded under their names.
type Result struct {
	Classes []ClassResult
	Worth   float64 // worth earned as a share of what all counted jobs would earn if they met their objectives
	Busy    float64 // core-seconds worked while jobs arrive, as a share of the capacity of the fleet in that time
	Lost    float64 // core-seconds of work that was lost, as a share of those worked
	Starts  int     // runs started
	Stops   int     // runs stopped by orders
	Teams   []TeamResult
	Plan    time.Duration // processor time of the decisions
	Speeds  []SpeedQuality
}

// ClassResult is the result of a class. Jobs that are cancelled or fail on every worker are not counted.
type ClassResult struct {
	Jobs     int
	InTime   int           // jobs that met their objective
	Late     int           // jobs that took longer, up to lateLimitFactor times the objective
	Worth    float64       // as in Result
	P50, P99 time.Duration // of the time to completion
	Large    float64       // share of the largest jobs that completed in time or late, relative to that share of all jobs
	Next     float64       // as Large, of the jobs below the largest
}

// TeamResult is the result of a team, over all classes.
type TeamResult struct {
	Name  string
	Jobs  int
	Worth float64 // as in Result
}

// WorstTeam returns the worth of the team that earned least of what it could have earned, 0 without teams that sent jobs.
func (r Result) WorstTeam() float64 {
	worst, found := 0.0, false
	for _, t := range r.Teams {
		if t.Jobs > 0 && (!found || t.Worth < worst) {
			worst, found = t.Worth, true
		}
	}
	return worst
}

// runSeed simulates a policy with the arrivals of a seed.
func (s *Scenario) runSeed(seed uint64, p Policy) Result {
	return s.simulate(seed, p).result(s)
}

// simulate runs the simulation of a seed to its end.
func (s *Scenario) simulate(seed uint64, p Policy) *simulation {
	sim := s.newSimulation(seed, p)
	for end := seconds(s.LengthS + s.SettleS); sim.fleet.now < end; {
		sim.step()
	}
	return sim
}

// newSimulation returns a simulation at its begin, with a leader.
func (s *Scenario) newSimulation(seed uint64, p Policy) *simulation {
	jobs := s.arrivals(seed)
	sim := &simulation{fleet: newFleet(s, seed, jobs), policy: p, jobs: jobs, faultRand: rand.New(rand.NewPCG(seed, 1<<33)), endedAt: map[string]time.Duration{},
		storedRows: map[rowstore.Key]rowstore.Row{}}
	sim.startLeader()
	return sim
}

// simulation is the state of one simulation: the fleet, and the decision core and stored rows of the leading host.
type simulation struct {
	fleet              *fleet
	policy             Policy
	core               *dispatch.Core // nil while no host leads
	leaderEpoch        uint64
	leadingSince       time.Duration
	speeds             []SpeedQuality
	storedRows         map[rowstore.Key]rowstore.Row
	jobs               []arrival
	nextArrival        int // index in jobs
	faultRand          *rand.Rand
	endedAt            map[string]time.Duration // by job id
	planTime           time.Duration            // processor time of the decisions
	busyDuringArrivals float64                  // core-seconds worked while jobs arrive
}

// step advances the simulation by timeStep.
func (sim *simulation) step() {
	f := sim.fleet
	f.advance(timeStep)
	sim.injectFaults()
	if sim.leaderLost() {
		sim.core = nil
	} else if sim.core == nil {
		sim.startLeader()
	}
	if sim.core != nil {
		sim.decide()
	}
	sim.measureSpeeds()
	if f.now <= seconds(f.scenario.LengthS) {
		sim.busyDuringArrivals = f.busy
	}
}

func (sim *simulation) leaderLost() bool {
	for _, t := range sim.fleet.scenario.Takeovers {
		if now := sim.fleet.now; now >= seconds(t.AtS) && now < seconds(t.AtS+t.ForS) {
			return true
		}
	}
	return false
}

// startLeader starts the decision core of a new leader, which restores its state from the accepted jobs and the stored rows.
func (sim *simulation) startLeader() {
	s, now := sim.fleet.scenario, sim.fleet.now
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	sim.leaderEpoch++
	sim.core = dispatch.New(sim.leaderEpoch, s.batchPolicy(), dispatch.Bounds{LeaseMax: seconds(s.Fleet.LeaseMaxS), StopMax: seconds(s.Fleet.StopMaxS), FarFactor: s.Fleet.FarFactor}, log)
	sim.core.SetWorkers(sim.fleet.batchWorkers(), now)
	sim.policy.configure(sim.core, sim)
	sim.leadingSince = now
	var states, tasks []rowstore.Row
	for _, key := range slices.SortedFunc(maps.Keys(sim.storedRows), func(a, b rowstore.Key) int { return cmp.Compare(a.Key, b.Key) }) {
		if key.Table == dispatch.TableStates {
			states = append(states, sim.storedRows[key])
		} else {
			tasks = append(tasks, sim.storedRows[key])
		}
	}
	for sim.nextArrival < len(sim.jobs) && sim.jobs[sim.nextArrival].arrivedAt <= now {
		sim.nextArrival++
	}
	var accepted []batch.Job
	for _, a := range sim.jobs[:sim.nextArrival] {
		accepted = append(accepted, a.job)
	}
	sim.core.Restore(accepted, states, tasks, now, now.Milliseconds())
	for _, a := range sim.jobs[:sim.nextArrival] {
		if a.cancelAt > 0 && a.cancelAt <= now {
			sim.core.Cancel(a.job.ID, now)
		}
	}
}

// decide runs one cycle of the leader: arrivals, cancellations, lease renewals, decisions, commits and orders.
func (sim *simulation) decide() {
	f, c := sim.fleet, sim.core
	for ; sim.nextArrival < len(sim.jobs) && sim.jobs[sim.nextArrival].arrivedAt <= f.now; sim.nextArrival++ {
		c.AddJob(sim.jobs[sim.nextArrival].job, f.now)
	}
	for i := range sim.jobs[:sim.nextArrival] {
		if a := &sim.jobs[i]; a.cancelAt > 0 && a.cancelAt <= f.now && a.cancelAt > f.now-timeStep {
			c.Cancel(a.job.ID, f.now)
		}
	}
	sim.renewLeases()
	started := time.Now()
	c.Tick(f.now, f.now.Milliseconds())
	c.Replan()
	c.Plan(f.now)
	sim.planTime += time.Since(started)
	for cm := c.TakeCommit(); cm != nil; cm = c.TakeCommit() {
		sim.storeCommit(cm)
		c.OnStored(cm, f.now)
	}
	for _, o := range c.TakeOrders() {
		if d := dispatch.Deliver(o, f.execute); o.Stop {
			c.OnStop(o, d.Result, f.now)
		} else {
			c.OnStart(o, d, f.now)
		}
	}
	c.TakePollWakeups()
	for _, e := range c.TakeFinalized() {
		if _, recorded := sim.endedAt[e.ID]; !recorded { // a new leader reports earlier ends again
			sim.endedAt[e.ID] = f.now
		}
	}
}

func (sim *simulation) storeCommit(cm *dispatch.Commit) {
	for _, r := range cm.Puts {
		sim.storedRows[r.Key] = r
	}
	for _, k := range cm.Removes {
		delete(sim.storedRows, k)
	}
}

// renewLeases sends the due renewals to the workers and passes their reports to the leader.
func (sim *simulation) renewLeases() {
	now, interval := sim.fleet.now, renewalInterval
	if s := sim.fleet.scenario.Fleet.ReportS; s > 0 {
		interval = seconds(s)
	}
	for _, w := range sim.fleet.workers {
		if len(w.pendingEnds) == 0 && now-w.lastRenewal < interval {
			continue
		}
		if renewal, ok := sim.core.NextRenewal(w.ID, now); ok {
			w.lastRenewal = now
			sim.core.OnReport(w.ID, w.renew(renewal), now, now)
		}
	}
}

// injectFaults draws the faults of one step.
func (sim *simulation) injectFaults() {
	faults := sim.fleet.scenario.Faults
	if sim.faultRand.Float64() < faults.CrashesPerMinute/60*timeStep.Seconds() {
		w := sim.fleet.workers[sim.faultRand.IntN(len(sim.fleet.workers))]
		w.crash()
		if sim.core != nil {
			sim.core.SetWorkers(sim.fleet.batchWorkers(), sim.fleet.now)
		}
	}
	if faults.ForS <= 0 {
		return
	}
	// At any time a share of the workers hangs or fails; every ForS it is drawn again.
	if period := seconds(faults.ForS); sim.fleet.now%period < timeStep {
		for _, w := range sim.fleet.workers {
			x := sim.faultRand.Float64()
			w.hanging, w.failing = x < faults.HangShare, x >= faults.HangShare && x < faults.HangShare+faults.FailShare
		}
	}
}

// completed returns the time at which a job ended, and whether it completed.
func (sim *simulation) completed(id string) (time.Duration, bool) {
	at, ended := sim.endedAt[id]
	if !ended {
		return 0, false
	}
	return at, sim.core.JobState(id).State == batch.Completed
}
