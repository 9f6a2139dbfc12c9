package dispatch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/runtimes"
	"samphirewell/internal/speed"
)

// speedTest is a leader with one run of 10 s on each of some workers, whose reports the test makes.
type speedTest struct {
	s      *system
	c      *Core
	factor func(worker string) float64
	begin  time.Duration
}

const speedWorkers = 9

func newSpeedTest(t *testing.T, change func(j *batch.Job)) *speedTest {
	s := newSystem(t, 1, 1, speedWorkers)
	s.run(2 * testStep)
	j := simpleJob("j", "batch", 2, speedWorkers, batch.Resources{MilliCores: 1000, Accelerators: 8})
	j.Steps[0].Estimate = 10 * time.Second
	change(&j)
	s.submit(j)
	s.run(2 * testStep)
	s.leaders[0].frozen = true
	st := &speedTest{s: s, c: s.leaders[0].core, begin: s.fleet.now, factor: func(worker string) float64 {
		if worker == "w0-0" {
			return 2
		}
		return 0.8
	}}
	for w := range speedWorkers {
		must.Eq(t, running, st.task(w).phase)
	}
	return st
}

// task returns the task that runs on a worker.
func (st *speedTest) task(worker int) *task {
	for _, a := range st.c.workers[fmt.Sprintf("w0-%d", worker)].allocs {
		return a.task
	}
	return nil
}

// report reports the progress of all runs, of which the given share was done at the begin of the test.
func (st *speedTest) report(at time.Duration, initial float64) {
	st.s.fleet.now = st.begin + at
	for i := range speedWorkers {
		w, t := st.s.fleet.workers[fmt.Sprintf("w0-%d", i)], st.task(i)
		percent := min(99, int(100*(initial+at.Seconds()/10/st.factor(w.ID))))
		st.c.OnReport(w.ID, WorkerReport{Incarnation: w.Incarnation, Clock: w.clock(), Running: []RunReport{{Task: t.name, Run: t.group.run, Percent: percent}}}, st.s.fleet.now, st.s.fleet.now)
	}
}

// addEarlierRuns makes the core learn from runs of earlier steps, one of each step on each worker.
func (st *speedTest) addEarlierRuns(steps int) {
	for n := range steps {
		for w := range speedWorkers {
			id := fmt.Sprintf("w0-%d", w)
			st.c.speed.Observe(speed.Observation{Step: fmt.Sprint("earlier-", n), Queue: "batch", Run: fmt.Sprintf("earlier-%d-%d", n, w), Workers: []speed.Worker{{ID: id, Incarnation: st.c.workers[id].Incarnation}},
				Expected: 10 * time.Second, Elapsed: time.Duration(st.factor(id) * float64(10*time.Second)), Progress: 1, Now: st.begin, Ended: true})
		}
	}
}

func (st *speedTest) slowness(worker int) float64 {
	return st.c.slowness(st.c.workers[fmt.Sprintf("w0-%d", worker)])
}

func noChange(*batch.Job) {}

// Guards against progress that isn't used, and against a slow worker that counts as an ordinary one.
func TestSlowWorkersAreLearnedFromProgress(t *testing.T) {
	st := newSpeedTest(t, noChange)
	must.Eq(t, 1, st.slowness(0))
	for at := time.Second; at <= 4*time.Second; at += time.Second {
		st.report(at, 0)
	}
	must.Between(t, 1.5, st.slowness(0), 2.3)
	must.Between(t, 0.75, st.slowness(1), 1)
	must.Eq(t, st.slowness(0), st.c.Slowness("w0-0").Mean)
	must.SliceLen(t, speedWorkers, st.c.Overview(st.s.fleet.now).Slowness)
	st.c.SetSlowness(func(string) float64 { return 3 })
	must.Eq(t, 3, st.slowness(0))
}

// Guards against a gang whose progress counts once for each of its members.
func TestGangIsOneObservation(t *testing.T) {
	st := newSpeedTest(t, func(j *batch.Job) { j.Steps[0].Gang = true })
	st.factor = func(string) float64 { return 3 }
	for at := time.Second; at <= 4*time.Second; at += time.Second {
		st.report(at, 0)
	}
	for w := range speedWorkers {
		must.Between(t, 0.8, st.slowness(w), 1.25)
	}
}

// Guards against workers that seem slow because their runs are away from the rack that their step prefers.
func TestRunsAwayFromTheirRackShowNoSpeed(t *testing.T) {
	st := newSpeedTest(t, func(j *batch.Job) { j.Steps[0].DataRack = "elsewhere" })
	for at := time.Second; at <= 4*time.Second; at += time.Second {
		st.report(at, 0)
	}
	must.Eq(t, 1, st.slowness(0))
}

// Guards against a new leader that takes the progress that inherited runs made before as made under it, so that all workers seem fast, and against one that
// doesn't learn from them.
func TestNewLeaderLearnsFromInheritedRuns(t *testing.T) {
	st := newSpeedTest(t, noChange)
	st.s.elect()
	st.s.leaders[1].frozen = true
	st.c, st.begin = st.s.leaders[1].core, st.s.fleet.now
	st.report(500*time.Millisecond, 0.3)
	must.Eq(t, 1, st.slowness(0))
	for at := time.Second; at <= 3*time.Second; at += 500 * time.Millisecond {
		st.report(at, 0.3)
	}
	must.Between(t, 1.5, st.slowness(0), 2.3)
	must.Between(t, 0.7, st.slowness(1), 1)
}

// Guards against workers that seem slow while their runs restore a checkpoint.
func TestRestoringACheckpointShowsNoSpeed(t *testing.T) {
	st := newSpeedTest(t, noChange)
	slow := st.task(0)
	slow.resumed = true
	restore := 1500 * time.Millisecond
	for at := 500 * time.Millisecond; at <= 5*time.Second; at += 500 * time.Millisecond {
		st.factor = func(worker string) float64 {
			if worker == "w0-0" && at <= restore {
				return 1000 // no progress
			}
			return 1
		}
		st.report(at, 0)
		if at <= restore {
			must.Between(t, 0.99, st.slowness(0)/st.c.Slowness("unknown").Mean, 1.01, must.Sprint(at))
		}
	}
	must.Between(t, 0.85, st.slowness(0), 1.15)
}

// Guards against short runs on workers that were idle before, whose only report is that of their end, and which show nothing; and against ends that are reported
// after a network partition, and make their worker seem slow.
func TestEndsShowSpeedUnlessReportedLate(t *testing.T) {
	st := newSpeedTest(t, noChange)
	end := func(worker int, at, gap time.Duration) {
		st.s.fleet.now = st.begin + at
		w, run := st.s.fleet.workers[fmt.Sprintf("w0-%d", worker)], st.task(worker)
		st.c.workers[w.ID].lastContact = st.s.fleet.now - gap
		w.endCount++
		st.c.OnReport(w.ID, WorkerReport{Incarnation: w.Incarnation, Clock: w.clock(),
			Ended: []EndReport{{N: w.endCount, Task: run.name, Run: run.group.run, Kind: EndDone}}}, st.s.fleet.now, st.s.fleet.now)
	}
	unknown := st.c.Slowness("w0-0")
	end(0, 2*time.Second, time.Minute)
	must.Less(t, unknown.High/unknown.Low, st.c.Slowness("w0-0").High/st.c.Slowness("w0-0").Low)
	end(1, 9*time.Second, 5*time.Second)
	must.Eq(t, unknown.High/unknown.Low, st.c.Slowness("w0-1").High/st.c.Slowness("w0-1").Low)
}

// Guards against run times on slow workers that are taken for those on the mean worker.
func TestRunTimeSamplesAreThoseOnTheMeanWorker(t *testing.T) {
	st := newSpeedTest(t, noChange)
	st.addEarlierRuns(3)
	for at := time.Second; at <= 6*time.Second; at += time.Second {
		st.report(at, 0)
	}
	sample := func(worker int, at time.Duration) time.Duration {
		st.c.runTimes = runtimes.New()
		st.s.fleet.now = st.begin + at
		w, run := st.s.fleet.workers[fmt.Sprintf("w0-%d", worker)], st.task(worker)
		w.endCount++
		st.c.OnReport(w.ID, WorkerReport{Incarnation: w.Incarnation, Clock: w.clock(),
			Ended: []EndReport{{N: w.endCount, Task: run.name, Run: run.group.run, Kind: EndDone}}}, st.s.fleet.now, st.s.fleet.now)
		mean, _ := st.c.runTimes.Mean("batch")
		return mean
	}
	fast, slow := sample(1, 8*time.Second), sample(0, 20*time.Second)
	must.Between(t, 8*time.Second, fast, 11*time.Second)
	must.Between(t, 8*time.Second, slow, 12*time.Second, must.Sprint("20 s on a worker of factor 2"))
}

// Guards against estimates of workers that have left, and against a restarted worker that is as certain as before.
func TestEstimatesOfFormerWorkers(t *testing.T) {
	st := newSpeedTest(t, noChange)
	for at := time.Second; at <= 4*time.Second; at += time.Second {
		st.report(at, 0)
	}
	before := st.c.Slowness("w0-0")
	st.c.workers["w0-0"].Incarnation++
	after := st.c.Slowness("w0-0")
	must.Greater(t, before.High/before.Low, after.High/after.Low)
	st.c.removeWorker(st.c.workers["w0-0"])
	must.Eq(t, 1.0, st.c.Slowness("w0-0").Mean)
}

// Guards against runs on known slow workers that count as hanging before their expected time, and draining workers that keep runs which can't finish there.
func TestExpectedTimesFollowTheSpeedOfTheWorker(t *testing.T) {
	st := newSpeedTest(t, func(j *batch.Job) { j.Steps[0].Estimate = 100 * time.Second })
	slow, fast := st.task(0), st.task(1)
	st.c.SetSlowness(func(worker string) float64 { return map[string]float64{"w0-0": 2, "w0-1": 0.5}[worker] })
	must.Eq(t, 2*st.c.longestRunTime(slow)/100*maxSlowdown+hangReportDelay, st.c.hangBound(slow))
	must.Eq(t, st.c.longestRunTime(fast)/100*maxSlowdown+hangReportDelay, st.c.hangBound(fast))
	must.Eq(t, 200*time.Second, st.c.expectedOnWorkers(slow.group))
	must.Eq(t, 50*time.Second, st.c.expectedOnWorkers(fast.group))
}

// Guards against changes of speed that the log doesn't show, and against a line with each report.
func TestChangedSpeedIsLoggedOnce(t *testing.T) {
	st := newSpeedTest(t, noChange)
	var text bytes.Buffer
	log := logrus.New()
	log.SetOutput(&text)
	st.c.log = log
	st.addEarlierRuns(3)
	for at := time.Second; at <= 8*time.Second; at += time.Second {
		st.report(at, 0)
	}
	lines := 0
	for _, line := range strings.Split(text.String(), "\n") {
		if strings.Contains(line, "estimated speed of a worker changed") {
			must.StrContains(t, line, "worker=w0-0")
			lines++
		}
	}
	must.Eq(t, 1, lines)
}
