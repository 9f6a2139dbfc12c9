package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// fleet plays runs on workers of known factors and passes the progress reports to a model.
type fleet struct {
	rng           *rand.Rand
	model         *Model
	now           time.Duration
	factors       []float64
	slowUntil     []time.Duration // the worker is slowed down by slowBy until then
	slowBy        float64
	running       []*playedRun
	steps         int
	stepError     float64 // standard deviation of the logarithm of the expected relative to the true run time of a step
	taskError     float64
	tailShare     float64
	gangShare     float64
	reportsEvery  time.Duration
	waiting       []*playedRun // tasks of the current steps without a worker
	meanRunsPerWk float64
}

type playedRun struct {
	Observation
	length    float64 // s on a worker of factor 1
	done      float64
	startedAt time.Duration
	reportAt  time.Duration
	at        []int // indexes of workers
}

const playStep = 100 * time.Millisecond

func newFleet(seed uint64, workers int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), model: New(), stepError: 0.5, taskError: 0.2, tailShare: 0.03, gangShare: 0.2, reportsEvery: 2 * time.Second, meanRunsPerWk: 1.5, slowBy: 7}
	f.factors, f.slowUntil = make([]float64, workers), make([]time.Duration, workers)
	for i := range f.factors {
		f.factors[i] = 0.7
		if i%3 == 0 {
			f.factors[i] = 1.7
		}
	}
	f.rng.Shuffle(workers, func(a, b int) { f.factors[a], f.factors[b] = f.factors[b], f.factors[a] })
	return f
}

// addStep adds the tasks of a new step: a gang of up to 8, or up to 39 single tasks of similar length.
func (f *fleet) addStep() {
	f.steps++
	name, mean := fmt.Sprint("step-", f.steps), 2+8*f.rng.Float64()
	expected := time.Duration(mean * math.Exp(f.stepError*f.rng.NormFloat64()) * float64(time.Second))
	if f.rng.Float64() < f.gangShare {
		f.waiting = append(f.waiting, &playedRun{Observation: Observation{Step: name, Queue: "gangs", Run: name, Expected: expected, Workers: make([]Worker, 2+f.rng.IntN(7))}, length: mean})
		return
	}
	for i := range 2 + f.rng.IntN(38) {
		length := mean * math.Exp(f.taskError*f.rng.NormFloat64())
		if f.rng.Float64() < f.tailShare {
			length *= tailFactor
		}
		f.waiting = append(f.waiting, &playedRun{Observation: Observation{Step: name, Queue: "singles", Run: fmt.Sprint(name, "-", i), Expected: expected, Workers: make([]Worker, 1)}, length: length})
	}
}

func (f *fleet) start(r *playedRun) {
	r.startedAt, r.reportAt = f.now, f.now+time.Duration(f.rng.Float64()*float64(f.reportsEvery))
	for len(r.at) < len(r.Workers) {
		if w := f.rng.IntN(len(f.factors)); !slices.Contains(r.at, w) {
			r.Workers[len(r.at)], r.at = Worker{fmt.Sprint("w", w), 1}, append(r.at, w)
		}
	}
	f.running = append(f.running, r)
}

func (f *fleet) factor(w int) float64 {
	if f.now < f.slowUntil[w] {
		return f.factors[w] * f.slowBy
	}
	return f.factors[w]
}

func (f *fleet) play(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += playStep
		for load := float64(len(f.factors)) * f.meanRunsPerWk; float64(len(f.running)) < load; {
			if len(f.waiting) == 0 {
				f.addStep()
			}
			f.start(f.waiting[0])
			f.waiting = f.waiting[1:]
		}
		kept := f.running[:0]
		for _, r := range f.running {
			slowest := 0.0
			for _, w := range r.at {
				slowest = max(slowest, f.factor(w))
			}
			r.done = min(1, r.done+playStep.Seconds()/r.length/slowest)
			r.Now, r.Elapsed, r.Ended = f.now, f.now-r.startedAt, r.done == 1
			r.Progress = (math.Floor(100*r.done) + 0.5) / 100
			if r.Ended {
				r.Progress = 1
			}
			if r.Ended || f.now >= r.reportAt {
				r.reportAt = f.now + f.reportsEvery
				f.model.Observe(r.Observation)
			}
			if !r.Ended {
				kept = append(kept, r)
			}
		}
		f.running = kept
	}
}

// quality returns the share of the workers that the model puts on the right side of a factor of 1.1, and the mean absolute error of the logarithm.
func (f *fleet) quality() (right, logError float64) {
	for i, factor := range f.factors {
		e := f.model.Slowness(fmt.Sprint("w", i), 1)
		if (e.Mean > 1.1) == (factor > 1.1) {
			right++
		}
		logError += math.Abs(math.Log(e.Mean / factor))
	}
	n := float64(len(f.factors))
	return right / n, logError / n
}

// within returns the share of the workers whose true factor is between Low and High.
func (f *fleet) within() float64 {
	n := 0.0
	for i, factor := range f.factors {
		if e := f.model.Slowness(fmt.Sprint("w", i), 1); factor > e.Low && factor < e.High {
			n++
		}
	}
	return n / float64(len(f.factors))
}

// requirement is a bound on the estimates at a time.
type requirement struct {
	at           time.Duration
	right, error float64 // least share of the workers on the right side, largest mean error of the logarithm
}

// check plays a fleet and returns the first requirement that isn't met.
func (f *fleet) check(requirements []requirement) error {
	for _, want := range requirements {
		f.play(want.at - f.now)
		right, logError := f.quality()
		if right < want.right || logError > want.error {
			return errors.Errorf("after %v %.3f of the workers are on the right side, mean error %.3f", want.at, right, logError)
		}
		if within := f.within(); within < 0.55 {
			return errors.Errorf("after %v %.3f of the workers are within one standard deviation", want.at, within)
		}
	}
	return nil
}

// Guards against a model that learns too slowly, or that errors of the estimates, long tasks or gangs mislead. The loads are those of the deployments: 1 to 2
// runs of 2 to 10 s on each worker, estimates wrong by 0.2 to 0.9 in the logarithm, tasks of a step that differ by 0.15 to 0.3, 3% of them 7 times as long.
func TestFastAndSlowWorkersAreToldApart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(rt, "seed"), 350)
		f.stepError = rapid.Float64Range(0.2, 0.9).Draw(rt, "error of the estimates")
		f.taskError = rapid.Float64Range(0.15, 0.3).Draw(rt, "difference of the tasks")
		f.gangShare = rapid.Float64Range(0, 0.7).Draw(rt, "share of gangs")
		f.meanRunsPerWk = rapid.Float64Range(1, 2).Draw(rt, "runs per worker")
		if err := f.check([]requirement{{3 * time.Second, 0.77, 0.33}, {6 * time.Second, 0.81, 0.29}, {10 * time.Second, 0.86, 0.25}, {20 * time.Second, 0.92, 0.19}}); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a model that learns more slowly under a usual load than it did when it was written: 0.91, 0.95, 0.98 and 1.00 of the workers on the right side,
// mean errors of 0.20, 0.16, 0.12 and 0.08 after 3, 6, 10 and 20 s, means of 10 seeds.
func TestUsualLoad(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 350)
		must.NoError(t, f.check([]requirement{{3 * time.Second, 0.87, 0.24}, {6 * time.Second, 0.92, 0.20}, {10 * time.Second, 0.95, 0.15}, {20 * time.Second, 0.98, 0.11}}), must.Sprint(seed))
	}
}

// single returns an observation of a single task of the only step on worker 0, whose expected run time is 10 s.
func single(run string, worker int, elapsed time.Duration, progress float64) Observation {
	return Observation{Step: "step", Queue: "q", Run: run, Workers: []Worker{{fmt.Sprint("w", worker), 1}}, Expected: 10 * time.Second, Elapsed: elapsed, Progress: progress, Now: elapsed}
}

// step returns a model after a step of one task on each of some workers, all of which take 10 s, except that the task on worker 0 takes slow times as long.
func step(workers int, slow float64) *Model {
	m := New()
	for at := time.Second; at <= 4*time.Second; at += time.Second {
		for w := range workers {
			length := 10.0
			if w == 0 {
				length *= slow
			}
			m.Observe(single(fmt.Sprint("run-", w), w, at, at.Seconds()/length))
		}
	}
	return m
}

// Guards against workers that seem slow because their callers estimate too little, or because of one task of the long tail, and against a model that takes a
// slow worker for a long task.
func TestCausesOfLongRuns(t *testing.T) {
	for _, c := range []struct {
		name      string
		model     func() *Model
		low, high float64 // bounds of the mean estimate of worker 0
	}{
		{"all tasks as long", func() *Model { return step(20, 1) }, 0.9, 1.1},
		{"a slow worker", func() *Model { return step(20, 1.7) }, 1.35, 1.8},
		{"a fast worker", func() *Model { return step(20, 0.6) }, 0.55, 0.8},
		{"a task of the tail", func() *Model { return step(20, 7) }, 0.9, 1.7},
		{"wrong estimates", func() *Model {
			m := New()
			for _, at := range []time.Duration{2 * time.Second, 4 * time.Second} {
				for w := range 20 {
					m.Observe(single(fmt.Sprint("run-", w), w, at, at.Seconds()/80))
				}
			}
			return m
		}, 0.85, 1.15},
		{"the same task over and over", func() *Model { // each report of a run adds only what is new in it
			m := step(1, 1.7)
			for at := 5 * time.Second; at < 16*time.Second; at += 500 * time.Millisecond {
				m.Observe(single("run-0", 0, at, at.Seconds()/17))
			}
			return m
		}, 1.0, 1.45},
	} {
		e := c.model().Slowness("w0", 1)
		must.Between(t, c.low, e.Mean, c.high, must.Sprint(c.name))
		must.Between(t, e.Low, e.Mean, e.High, must.Sprint(c.name))
	}
}

// Guards against certainty about a worker from a single run, however often that reports.
func TestReportsOfOneRunDoNotAddUp(t *testing.T) {
	m, first := New(), 0.0
	for at := time.Second; at < 10*time.Second; at += 250 * time.Millisecond {
		m.Observe(single("run", 0, at, at.Seconds()/10))
		if e := m.Slowness("w0", 1); first == 0 {
			first = e.High / e.Low
		} else {
			must.GreaterEq(t, 0.9*first, e.High/e.Low)
		}
	}
}

// Guards against workers that get new work while they are slowed down, or none after that.
func TestSlowdownWithinARunIsSeenAndItsEndToo(t *testing.T) {
	const workers, seeds = 60, 10
	slowed, seen, seenLater, wrong := 0, 0, 0, 0
	for seed := range uint64(seeds) {
		f := newFleet(seed, workers)
		f.reportsEvery = 500 * time.Millisecond
		f.play(15 * time.Second)
		slow := map[int]bool{}
		for _, r := range f.running {
			if len(slow) < 6 && len(r.at) == 1 && r.done > 0.1 && r.done < 0.5 { // a rate before the slowdown is known, and it doesn't end at once
				slow[r.at[0]], f.slowUntil[r.at[0]] = true, f.now+6*time.Second
			}
		}
		count := func(counted *int) {
			for w, factor := range f.factors {
				switch e := f.model.Slowness(fmt.Sprint("w", w), 1); {
				case e.Mean <= 3*factor:
				case slow[w]:
					*counted++
				default:
					wrong++
				}
			}
		}
		slowed += len(slow)
		f.play(2 * time.Second)
		count(&seen)
		f.play(6 * time.Second)
		count(&seenLater)
	}
	must.GreaterEq(t, slowed*7/10, seen, must.Sprintf("of %d after 2 s", slowed))
	must.LessEq(t, slowed/10, seenLater, must.Sprintf("of %d 2 s after the end", slowed))
	must.LessEq(t, 2*seeds, wrong, must.Sprint("workers that aren't slowed down"))
}

// Guards against a slowness of the only worker of a fleet, where nothing tells it from an error of the expected run times.
func TestTheOnlyWorkerIsTheMeanWorker(t *testing.T) {
	f := newFleet(1, 1)
	f.gangShare = 0
	f.play(time.Minute)
	must.Between(t, 0.999, f.model.Slowness("w0", 1).Mean, 1.001)
}

// Guards against a run that seems to slow down because 99% are reported until its end, which is reported late.
func TestLateEndIsNoSlowdown(t *testing.T) {
	m := step(20, 1)
	for _, at := range []time.Duration{6 * time.Second, 8 * time.Second, 9900 * time.Millisecond, 10300 * time.Millisecond, 10700 * time.Millisecond} {
		m.Observe(single("run-0", 0, at, min(0.995, at.Seconds()/10)))
	}
	last := single("run-0", 0, 11*time.Second, 1)
	last.Ended = true
	m.Observe(last)
	must.Between(t, 0.9, m.Slowness("w0", 1).Mean, 1.15)
}

// Guards against gangs that make all their workers seem as slow as the slowest one.
func TestSlowGangBlamesTheWorkerThatIsNotKnownToBeFast(t *testing.T) {
	m := step(20, 1)
	gang := func(name string, workers []int, slow float64, ended bool) {
		ids := make([]Worker, len(workers))
		for i, w := range workers {
			ids[i] = Worker{fmt.Sprint("w", w), 1}
		}
		m.Observe(Observation{Step: name, Queue: "gangs", Run: name, Workers: ids, Expected: 10 * time.Second, Elapsed: 10 * time.Second, Progress: 1 / slow, Now: 10 * time.Second, Ended: ended})
	}
	for i := range 9 {
		gang(fmt.Sprint("usual-", i), []int{2 * i, 2*i + 1}, 1, true)
	}
	gang("slow", []int{3, 100}, 2, false)
	known, unknown := m.Slowness("w3", 1), m.Slowness("w100", 1)
	must.Greater(t, 1.15*known.Mean, unknown.Mean)
	must.Less(t, 1.2, known.Mean)
}

// Guards against estimates of earlier processes and of workers that have left, and against old estimates that stay certain.
func TestForgetting(t *testing.T) {
	m := step(20, 1.7)
	width := func(e Estimate) float64 { return e.High / e.Low }
	before := m.Slowness("w0", 1)
	restarted := m.Slowness("w0", 2)
	must.Greater(t, width(before), width(restarted))
	must.Between(t, 0.95*before.Mean, restarted.Mean, 1.05*before.Mean)
	for w := range 20 {
		m.Observe(Observation{Step: "step", Run: fmt.Sprint("run-", w), Now: 5 * time.Second, Ended: true})
	}
	m.Observe(Observation{Step: "later", Queue: "q", Run: "later", Workers: []Worker{{"other", 1}}, Expected: time.Second, Elapsed: time.Second, Progress: 0.9, Now: 25 * time.Second})
	must.Greater(t, width(before), width(m.Slowness("w0", 1)), must.Sprint("20 s later"))
	m.Forget("w0")
	must.Eq(t, m.Slowness("unheard-of", 1), m.Slowness("w0", 1))
	must.Eq(t, 1.0, m.Slowness("w0", 1).Mean)
}

// Guards against memory that grows with each run and step, also if the ends of runs are never reported, as at a leader that was deposed.
func TestRunsAndStepsAreForgotten(t *testing.T) {
	f := newFleet(5, 50)
	f.play(2 * time.Minute)
	must.Less(t, 200, len(f.model.runs))
	must.Less(t, 200, len(f.model.steps))
	lost := single("last", 0, time.Second, 0.5)
	lost.Now = f.now + 2*runRetention
	f.model.Observe(lost)
	must.MapLen(t, 1, f.model.runs)
	lost.Now += 2 * runRetention
	f.model.Observe(lost)
	lost.Run, lost.Step, lost.Now = "other", "other", lost.Now+2*runRetention
	f.model.Observe(lost)
	must.LessEq(t, 2, len(f.model.steps))
}

// Guards against estimates that aren't numbers, whatever a worker reports: progress that goes back, no time, ends without a run.
func TestEstimatesAreFinite(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m, now := New(), time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "observations") {
			now += time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(rt, "pause"))
			workers := make([]Worker, rapid.IntRange(0, 4).Draw(rt, "workers"))
			for i := range workers {
				workers[i] = Worker{fmt.Sprint("w", i), rapid.Int64Range(1, 3).Draw(rt, "incarnation")}
			}
			m.Observe(Observation{Step: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "step"), Queue: "q", Run: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(rt, "run"),
				Workers: workers, Expected: time.Duration(rapid.Int64Range(-1, int64(time.Hour)).Draw(rt, "expected")),
				Elapsed:  time.Duration(rapid.Int64Range(-1, int64(time.Hour)).Draw(rt, "elapsed")),
				Progress: rapid.Float64Range(-0.1, 1.1).Draw(rt, "progress"), Now: now, Ended: rapid.Bool().Draw(rt, "ended")})
			if rapid.IntRange(0, 9).Draw(rt, "forget") == 0 {
				m.Forget("w1")
			}
			for i := range 5 {
				e := m.Slowness(fmt.Sprint("w", i), 1)
				if !(e.Low > 0 && e.Low <= e.Mean && e.Mean <= e.High && e.High < math.Inf(1)) {
					rt.Fatalf("estimate of w%d: %+v", i, e)
				}
			}
		}
	})
}

// BenchmarkObserve measures the cost of the reports of a fleet, per second of its time.
func BenchmarkObserve(b *testing.B) {
	f := newFleet(1, 1100)
	f.reportsEvery = 500 * time.Millisecond
	for range b.N {
		f.play(time.Second)
	}
}

// BenchmarkFactor measures the cost of the factors of all workers, which a scheduling cycle needs.
func BenchmarkFactor(b *testing.B) {
	f := newFleet(1, 1100)
	f.play(10 * time.Second)
	names := make([]string, len(f.factors))
	for i := range names {
		names[i] = fmt.Sprint("w", i)
	}
	for b.Loop() {
		for _, name := range names {
			_ = f.model.Factor(name, 1)
		}
	}
}
