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
	// stepTime is the resolution of the simulation. The product plans and stores at shorter intervals, so model times are up to this much too long.
	stepTime = 50 * time.Millisecond
	// holdEvery is the time between two looks at a worker without an end; the product's last up to 2 s and end early when something ends.
	holdEvery = 500 * time.Millisecond
	// lateFactor is how many times its objective a job may take until it is worth nothing.
	lateFactor = 3
	// largeShare is the share of the largest jobs of a class that are looked at by themselves.
	largeShare = 0.1
)

// Result is what a policy made of the arrivals of one seed.
type Result struct {
	Classes []ClassResult
	Worth   float64 // earned of what was owed
	Busy    float64 // core-seconds worked, of those that the fleet has while jobs arrive
	Lost    float64 // core-seconds thrown away, of those worked
	Starts  int
	Stops   int
	Plan    time.Duration // processor time of the decisions
}

// ClassResult is the result of a class. Jobs that were cancelled are not counted.
type ClassResult struct {
	Jobs     int
	InTime   int
	Late     int
	Worth    float64 // earned of what was owed
	P50, P99 time.Duration
	Large    float64 // share of the largest jobs that were served, relative to the share of all
}

// play lets a policy serve the arrivals of a seed.
func (s *Scenario) play(seed uint64, p Policy) Result {
	return s.game(seed, p).result(s)
}

// game plays a seed to its end.
func (s *Scenario) game(seed uint64, p Policy) *game {
	jobs := s.arrivals(seed)
	f := newFleet(s, seed, jobs)
	g := &game{fleet: f, policy: p, jobs: jobs, faults: rand.New(rand.NewPCG(seed, 1<<33)), ended: map[string]time.Duration{}, stored: map[rowstore.Key]rowstore.Row{}}
	g.lead()
	for end := seconds(s.LengthS + s.SettleS); f.now < end; {
		g.step()
	}
	return g
}

// game is one simulation.
type game struct {
	fleet  *fleet
	policy Policy
	core   *dispatch.Core // nil while nobody leads
	epoch  uint64
	stored map[rowstore.Key]rowstore.Row
	jobs   []arrival
	next   int // index of the next arrival
	faults *rand.Rand
	ended  map[string]time.Duration
	cost   time.Duration
	busy   float64 // at the end of the arrivals
}

func (g *game) step() {
	f := g.fleet
	f.advance(stepTime)
	g.breakWorkers()
	if g.isLeaderLost() {
		g.core = nil
	} else if g.core == nil {
		g.lead()
	}
	if g.core != nil {
		g.decide()
	}
	if f.now <= seconds(f.scenario.LengthS) {
		g.busy = f.busy
	}
}

func (g *game) isLeaderLost() bool {
	for _, t := range g.fleet.scenario.Takeovers {
		if now := g.fleet.now; now >= seconds(t.AtS) && now < seconds(t.AtS+t.ForS) {
			return true
		}
	}
	return false
}

// lead makes a host the leader, which takes over what is stored.
func (g *game) lead() {
	s, now := g.fleet.scenario, g.fleet.now
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	g.epoch++
	g.core = dispatch.New(g.epoch, s.policy(), dispatch.Bounds{LeaseMax: seconds(s.Fleet.LeaseMaxS), StopMax: seconds(s.Fleet.StopMaxS)}, log)
	g.core.SetWorkers(g.fleet.list(), now)
	g.policy.set(g.core, g.jobs)
	var states, tasks []rowstore.Row
	for _, key := range slices.SortedFunc(maps.Keys(g.stored), func(a, b rowstore.Key) int { return cmp.Compare(a.Key, b.Key) }) {
		if key.Table == dispatch.TableStates {
			states = append(states, g.stored[key])
		} else {
			tasks = append(tasks, g.stored[key])
		}
	}
	for g.next < len(g.jobs) && g.jobs[g.next].at <= now {
		g.next++
	}
	var accepted []batch.Job
	for _, a := range g.jobs[:g.next] {
		accepted = append(accepted, a.job)
	}
	g.core.Restore(accepted, states, tasks, now, now.Milliseconds())
	for _, a := range g.jobs[:g.next] {
		if a.cancelAt > 0 && a.cancelAt <= now {
			g.core.Cancel(a.job.ID, now)
		}
	}
}

func (g *game) decide() {
	f, c := g.fleet, g.core
	for ; g.next < len(g.jobs) && g.jobs[g.next].at <= f.now; g.next++ {
		c.AddJob(g.jobs[g.next].job, f.now)
	}
	for i := range g.jobs[:g.next] {
		if a := &g.jobs[i]; a.cancelAt > 0 && a.cancelAt <= f.now && a.cancelAt > f.now-stepTime {
			c.Cancel(a.job.ID, f.now)
		}
	}
	g.hold()
	began := time.Now()
	c.Tick(f.now, f.now.Milliseconds())
	c.Replan()
	c.Plan(f.now)
	g.cost += time.Since(began)
	for cm := c.TakeCommit(); cm != nil; cm = c.TakeCommit() {
		g.store(cm)
		c.OnStored(cm, f.now)
	}
	for _, o := range c.TakeOrders() {
		if r := f.order(o); o.Stop {
			c.OnStop(o, r, f.now)
		} else {
			c.OnStart(o, r, f.now)
		}
	}
	c.TakePollWakeups()
	for _, e := range c.TakeFinalized() {
		if _, known := g.ended[e.ID]; !known { // a new leader tells of earlier ends again
			g.ended[e.ID] = f.now
		}
	}
}

func (g *game) store(cm *dispatch.Commit) {
	for _, r := range cm.Puts {
		g.stored[r.Key] = r
	}
	for _, k := range cm.Removes {
		delete(g.stored, k)
	}
}

func (g *game) hold() {
	now := g.fleet.now
	for _, w := range g.fleet.workers {
		if len(w.ended) == 0 && now-w.lastHold < holdEvery {
			continue
		}
		if h, ok := g.core.NextRenewal(w.ID, now); ok {
			w.lastHold = now
			g.core.OnReport(w.ID, w.hold(h), now, now)
		}
	}
}

// breakWorkers draws the faults of one step.
func (g *game) breakWorkers() {
	faults := g.fleet.scenario.Faults
	if g.faults.Float64() < faults.CrashesPerMinute/60*stepTime.Seconds() {
		w := g.fleet.workers[g.faults.IntN(len(g.fleet.workers))]
		w.crash()
		if g.core != nil {
			g.core.SetWorkers(g.fleet.list(), g.fleet.now)
		}
	}
	if faults.ForS <= 0 {
		return
	}
	// A share of the workers is at fault at any time, others every ForS.
	if period := seconds(faults.ForS); g.fleet.now%period < stepTime {
		for _, w := range g.fleet.workers {
			x := g.faults.Float64()
			w.hangs, w.fails = x < faults.HangShare, x >= faults.HangShare && x < faults.HangShare+faults.FailShare
		}
	}
}

func (g *game) completed(id string) (time.Duration, bool) {
	at, over := g.ended[id]
	if !over {
		return 0, false
	}
	return at, g.core.JobState(id).State == batch.Completed
}
