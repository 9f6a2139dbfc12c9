package applier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/api"
	"samphirewell/internal/jobs"
	"samphirewell/internal/platform"
	"samphirewell/internal/platform/memtable"
	"samphirewell/internal/standin/lease"
)

// maxDelay is the longest delay of a command in the model. It is below Settings.ReservationTTL, the maximum that the applier assumes.
const maxDelay = 4 * time.Second

// modelLeadership is the Leadership of one controller of the model.
type modelLeadership struct {
	w     *model
	until time.Time // the host has authority before this time; zero if it has none
	since time.Time
	pause func() // run once within one of the next calls of HasAuthority: the process is paused between two commands
}

func (s *modelLeadership) HasAuthority(time.Time) bool {
	if p := s.pause; p != nil && s.w.rng.IntN(4) == 0 {
		s.pause = nil
		p()
	}
	return s.w.f.clock.Now().Before(s.until)
}

func (s *modelLeadership) Since() time.Time { return s.since }

// model is a fleet with two controllers and a network that delays, drops and duplicates commands.
type model struct {
	f              *fleet
	rng            *rand.Rand
	bothPreferred  bool // both controllers are preferred at all times
	leaderships    [2]*modelLeadership
	controllers    [2]*Controller
	clients        [2]WorkerClient
	unreachable    [2]map[string]bool // by controller: workers that it cannot reach
	faultRate      float64            // probability of each kind of fault for a command
	delayed        []delayedCommand
	submitted      []string
	cancelRequests []string
	stepping       int // bit i is set while controller i executes a step
	listedWorkers  int // number of workers in the list, the first ones of the fleet
}

type delayedCommand struct {
	at      time.Time
	deliver func()
}

const forever = 1000 * time.Hour

// brokenRule disables a safety rule by replacing parts of the model; the zero value disables none.
type brokenRule struct {
	bothPreferred bool
	client        func(WorkerClient) WorkerClient
	table         func(platform.Table) platform.Table
}

func newModel(seed uint64, rule brokenRule) *model {
	w := &model{f: newFleet(5), rng: rand.New(rand.NewPCG(seed, 7)), bothPreferred: rule.bothPreferred, listedWorkers: 5}
	if rule.table != nil {
		w.f.store = jobs.NewStore(rule.table(w.f.table))
	}
	for i := range w.controllers {
		w.leaderships[i], w.unreachable[i] = &modelLeadership{w: w}, map[string]bool{}
		d := &directClient{f: w.f, faultFor: func(worker, _ string) commandFault { return w.drawFault(i, worker) }}
		w.clients[i] = d
		if rule.client != nil {
			w.clients[i] = rule.client(d)
		}
		w.restart(i)
	}
	w.leaderships[0].until, w.leaderships[0].since = testStart.Add(forever), testStart
	if w.bothPreferred {
		w.leaderships[1].until, w.leaderships[1].since = testStart.Add(forever), testStart
	}
	return w
}

// restart replaces a controller by a new one.
func (w *model) restart(i int) {
	w.controllers[i] = w.f.controller(w.clients[i], w.leaderships[i])
	w.controllers[i].cfg.RequireRow = w.bothPreferred
	w.controllers[i].deps.Workers = func() []api.HostEntry { return w.f.entries[:w.listedWorkers] }
}

// lead makes the host preferred. The other host keeps its authority for lag, at most the 2 s of a view lease.
func (w *model) lead(i int, lag time.Duration) {
	now := w.f.clock.Now()
	if w.bothPreferred || w.leaderships[i].until.After(now.Add(time.Hour)) {
		return
	}
	w.leaderships[1-i].until = now.Add(lag)
	w.leaderships[i].since, w.leaderships[i].until = now, now.Add(forever)
}

func (w *model) drawFault(i int, worker string) commandFault {
	f := commandFault{dropRequest: w.unreachable[i][worker] || w.rng.Float64() < w.faultRate}
	f.loseResponse, f.twice = w.rng.Float64() < w.faultRate, w.rng.Float64() < w.faultRate
	if w.rng.Float64() < w.faultRate {
		at := w.f.clock.Now().Add(time.Duration(w.rng.Int64N(int64(maxDelay))))
		f.delay = func(deliver func()) { w.delayed = append(w.delayed, delayedCommand{at, deliver}) }
	}
	return f
}

// advance moves the clock in small steps and delivers the delayed commands that are due.
func (w *model) advance(d time.Duration) {
	const tick = 50 * time.Millisecond
	for ; d > 0; d -= tick {
		w.f.clock.Advance(min(d, tick))
		now := w.f.clock.Now()
		due := slices.Clone(w.delayed)
		w.delayed = slices.DeleteFunc(w.delayed, func(x delayedCommand) bool { return !x.at.After(now) })
		for _, x := range due {
			if !x.at.After(now) {
				x.deliver()
			}
		}
	}
}

// step executes a step of controller i unless it is paused within one.
func (w *model) step(i int) {
	if w.stepping&(1<<i) != 0 {
		return
	}
	w.stepping |= 1 << i
	w.controllers[i].Step(context.Background())
	w.stepping &^= 1 << i
}

// pauseInside pauses controller i for d between two of its next commands while the other controller continues.
func (w *model) pauseInside(i int, d time.Duration) {
	w.leaderships[i].pause = func() {
		for ; d > 0; d -= 500 * time.Millisecond {
			w.advance(500 * time.Millisecond)
			w.step(1 - i)
		}
	}
}

func (w *model) check(t must.T) {
	now := w.f.clock.Now()
	runs := w.f.history()
	must.SliceEmpty(t, lease.DoubleRuns(runs, now))
	must.SliceEmpty(t, lease.PartialGangs(runs, w.f.parts, w.controllers[0].cfg.LeaseTTL+maxDelay, now))
}

func (w *model) submit(parts, accelerators int, run time.Duration, team string) {
	s := spec(fmt.Sprintf("k%d", w.rng.Uint64()), parts, accelerators, run)
	s.Team = team
	if id, err := w.f.submit(s); err == nil {
		w.submitted = append(w.submitted, id)
	}
}

func (w *model) cancel(id string) {
	w.cancelRequests = append(w.cancelRequests, id) // a request without a response may have taken effect
	_, _ = w.f.store.Cancel(context.Background(), id)
}

// settle clears all faults and executes steps until all jobs have ended, for at most 600 s.
func (w *model) settle() {
	w.faultRate, w.listedWorkers = 0, 5
	w.f.table.ReleaseHeld()
	w.f.table.SetFaults(memtable.Faults{})
	for i := range w.unreachable {
		clear(w.unreachable[i])
		w.leaderships[i].pause = nil
	}
	for _, m := range w.f.machines {
		m.SetFaults(lease.Faults{})
		m.Resume()
	}
	w.advance(maxDelay)
	for i := range 4 * 600 {
		if i%40 == 0 && w.allEnded() {
			return
		}
		w.advance(250 * time.Millisecond)
		w.step(0)
		w.step(1)
	}
}

func (w *model) allEnded() bool {
	live, err := w.f.store.Live(context.Background(), testDomain)
	return err == nil && len(live) == 0
}

// checkEnd checks that no acknowledged job is lost, that every job has ended, and that its final phase agrees with the runs on the workers.
func (w *model) checkEnd(t must.T) {
	runs := w.f.history()
	for _, id := range w.submitted {
		j, err := w.f.store.Get(context.Background(), id)
		must.NoError(t, err)
		e, _ := w.controllers[0].Explain(id)
		must.True(t, jobs.Ended(j.Phase), must.Sprintf("job %s is %s: %+v", id, j.Phase, e))
		must.True(t, j.Phase != api.JobRecordPhaseSucceeded || w.ranWhole(runs, j.Spec.Parts, id),
			must.Sprintf("job %s succeeded without a run of all its parts", id))
		if !slices.Contains(w.cancelRequests, id) {
			must.NotEq(t, api.JobRecordPhaseCancelled, j.Phase)
		}
	}
	for _, r := range runs {
		must.False(t, r.End.IsZero(), must.Sprintf("lease %s has not ended", r.LeaseID))
	}
}

// ranWhole reports whether all parts of one placement succeeded.
func (w *model) ranWhole(runs []lease.Run, parts int, id string) bool {
	done := map[int]int{}
	for _, r := range runs {
		if r.JobID == id && r.State == api.LeaseResultStateSucceeded {
			done[r.Token]++
			if done[r.Token] == parts {
				return true
			}
		}
	}
	return false
}

// actions returns the actions of the state machine by name.
func (w *model) actions() map[string]func(*rapid.T) {
	host := rapid.IntRange(0, 1)
	worker := func(t *rapid.T) string { return w.f.entries[rapid.IntRange(0, 4).Draw(t, "worker")].ID }
	seconds := func(t *rapid.T, most int) time.Duration {
		return time.Duration(rapid.IntRange(1, 4*most).Draw(t, "quarters")) * 250 * time.Millisecond
	}
	step := func(t *rapid.T) {
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			w.advance(250 * time.Millisecond)
			w.step(0)
			w.step(1)
			w.check(t)
		}
	}
	return map[string]func(*rapid.T){
		"":        w.checkAny,
		"step":    step,
		"step2":   step,
		"step3":   step,
		"advance": func(t *rapid.T) { w.advance(seconds(t, 8)) },
		"submit": func(t *rapid.T) {
			for range rapid.IntRange(1, 3).Draw(t, "jobs") {
				w.submit(rapid.IntRange(1, 4).Draw(t, "parts"), rapid.IntRange(0, 4).Draw(t, "accelerators"), seconds(t, 25), "t2")
			}
		},
		"claim": func(t *rapid.T) { w.submit(2, 4, seconds(t, 15), "t1") },
		"cancel": func(t *rapid.T) {
			if len(w.submitted) > 0 {
				w.cancel(rapid.SampledFrom(w.submitted).Draw(t, "job"))
			}
		},
		"lead":    func(t *rapid.T) { w.lead(host.Draw(t, "host"), seconds(t, 2)) },
		"crash":   func(t *rapid.T) { w.restart(host.Draw(t, "host")) },
		"pause":   func(t *rapid.T) { w.pauseInside(host.Draw(t, "host"), seconds(t, 25)) },
		"network": func(t *rapid.T) { w.faultRate = rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.3}).Draw(t, "noise") },
		"cut": func(t *rapid.T) {
			i, id := host.Draw(t, "host"), worker(t)
			w.unreachable[i][id] = !w.unreachable[i][id]
		},
		"split gang":     func(t *rapid.T) { w.splitGang(rapid.IntRange(0, 7).Draw(t, "gang"), rapid.Bool().Draw(t, "restart")) },
		"restart worker": func(t *rapid.T) { w.f.machines[worker(t)].Restart(fmt.Sprint(w.rng.Uint32())) },
		"pause worker":   func(t *rapid.T) { w.f.machines[worker(t)].Pause() },
		"list":           func(t *rapid.T) { w.listedWorkers = rapid.SampledFrom([]int{5, 5, 5, 3, 0}).Draw(t, "listed") },
		"resume worker":  func(t *rapid.T) { w.f.machines[worker(t)].Resume() },
		"bad worker": func(t *rapid.T) {
			w.f.machines[worker(t)].SetFaults(lease.Faults{FailTasks: rapid.Bool().Draw(t, "bad"), FailAfter: time.Second})
		},
		"table": func(t *rapid.T) {
			w.f.table.SetFaults(memtable.Faults{
				Outage: rapid.Bool().Draw(t, "outage"), NextLost: rapid.IntRange(0, 2).Draw(t, "lost"),
				NextHeld: rapid.IntRange(0, 1).Draw(t, "held"), NextConflicts: rapid.IntRange(0, 1).Draw(t, "conflicts"),
				StaleBy: time.Duration(rapid.IntRange(0, 1).Draw(t, "stale")) * time.Second,
			})
		},
		"held": func(*rapid.T) { w.f.table.ReleaseHeld() },
	}
}

// splitGang makes all workers of a gang but the first unreachable for both controllers. With restart, the first worker restarts.
func (w *model) splitGang(n int, restart bool) {
	rows, err := w.f.store.Live(context.Background(), testDomain)
	if err != nil || len(rows) == 0 {
		return
	}
	for i, p := range rows[n%len(rows)].Placements {
		switch {
		case i > 0:
			w.unreachable[0][p.WorkerID], w.unreachable[1][p.WorkerID] = true, true
		case restart:
			w.f.machines[p.WorkerID].Restart(fmt.Sprint(w.rng.Uint32()))
		}
	}
}

func (w *model) checkAny(t *rapid.T) { w.check(t) }

// Guards the safety and completion of jobs under the faults of the design document while the preferred host changes: no double runs, no partial
// gangs, no lost jobs, no wrong final phases.
func TestModelWithOnePreferredHost(t *testing.T) { runModel(t, false) }

// Guards the same properties while both controllers are preferred at all times.
func TestModelWithTwoPreferredHosts(t *testing.T) { runModel(t, true) }

func runModel(t *testing.T, bothPreferred bool) {
	rapid.Check(t, func(t *rapid.T) { modelRun(t, brokenRule{bothPreferred: bothPreferred}) })
}

func modelRun(t *rapid.T, rule brokenRule) {
	w := newModel(rapid.Uint64Range(0, 1<<20).Draw(t, "network"), rule)
	for range 40 {
		w.advance(250 * time.Millisecond)
		w.step(0)
		w.step(1)
	}
	t.Repeat(w.actions())
	w.settle()
	w.check(t)
	w.checkEnd(t)
}
