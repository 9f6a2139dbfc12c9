package dispatch

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/batch"
)

// occupiedTime is the run time of the tasks that occupy the workers; it exceeds the time of a check.
const occupiedTime = 5 * time.Minute

// drawPool returns a system with racks of different sizes. Each worker has its id as a label, and some have the label fast.
func drawPool(t *rapid.T) *system {
	s := newSystem(t, 1, 0, 0)
	for r := range rapid.IntRange(2, 6).Draw(t, "racks") {
		for i := range rapid.IntRange(1, 5).Draw(t, "workers of the rack") {
			id := fmt.Sprintf("w%d-%d", r, i)
			s.fleet.addWorker(id, fmt.Sprintf("rack-%d", r))
			w := s.fleet.workers[id]
			w.Capacity, w.Labels = poolWorker, append(w.Labels, id)
			if rapid.Bool().Draw(t, "fast") {
				w.Labels = append(w.Labels, "fast")
			}
		}
	}
	s.run(2 * testStep)
	return s
}

// drawOccupied starts tasks on drawn workers that use less than half of each resource together.
func drawOccupied(t *rapid.T, s *system) {
	var used, total batch.Resources
	for _, w := range s.fleet.workers {
		total = total.Plus(w.Capacity)
	}
	for _, id := range s.fleet.ids() {
		need := rapid.SampledFrom([]batch.Resources{smallTask, {MilliCores: 10000, MemoryMB: 10000}, {MilliCores: 1000, MemoryMB: 30000}, {Accelerators: 4}}).Draw(t, "need")
		n := rapid.IntRange(0, 3).Draw(t, "occupying tasks")
		all := used
		for range n {
			all = all.Plus(need)
		}
		if n == 0 || 2*all.MilliCores >= total.MilliCores || 2*all.MemoryMB >= total.MemoryMB || 2*all.Accelerators >= total.Accelerators {
			continue
		}
		used = all
		prio := rapid.IntRange(1, 2).Draw(t, "priority of the occupying tasks")
		j := simpleJob("on-"+id, []string{"urgent", "normal", "batch"}[prio], prio, n, need)
		j.Steps[0].Requires, j.Steps[0].LongRunning = id, rapid.Bool().Draw(t, "occupied for good")
		s.submit(j)
	}
	s.run(3 * testStep)
	s.fleet.setRunTime("on-", occupiedTime)
}

// checkTime is the time after which a check ends in which the job never could run for startLimit on end.
const checkTime = 15 * time.Second

// locality is the racks that a drawn job prefers.
type locality string

const (
	anyRack  locality = "any rack"
	sameRack locality = "one rack"
	dataRack locality = "the rack of its data"
)

// drawWaiting returns a job of any kind; drawTasks sets its number of tasks.
func drawWaiting(t *rapid.T, s *waitCheck, prefers locality) batch.Job {
	prio := rapid.IntRange(0, 2).Draw(t, "priority")
	need := rapid.SampledFrom([]batch.Resources{wideNeed, smallTask, {MilliCores: 30000}, {MemoryMB: 40000, Accelerators: 1}, {Accelerators: 5}}).Draw(t, "waiting need")
	j := simpleJob(s.job, []string{"urgent", "normal", "batch"}[prio], prio, 1, need)
	step := &j.Steps[0]
	step.Gang = rapid.Bool().Draw(t, "gang")
	step.MaxPerWorker = rapid.SampledFrom([]int{0, 1, 2}).Draw(t, "most per worker")
	step.Requires = rapid.SampledFrom([]string{"", "fast"}).Draw(t, "label")
	step.Checkpoints = rapid.Bool().Draw(t, "checkpoints")
	step.LongRunning = rapid.Bool().Draw(t, "long-running")
	switch prefers {
	case sameRack:
		step.SameRack = true
	case dataRack:
		step.DataRack = s.fleet.workers[rapid.SampledFrom(s.fleet.ids()).Draw(t, "data")].Rack
	}
	return j
}

// maxWaitingTasks is the largest number of tasks of a drawn job.
const maxWaitingTasks = 20

// drawTasks sets the number of tasks of the last step so that there is room for it roomFactor times over. It returns false if there is too little room
// for one task.
func drawTasks(t *rapid.T, s *waitCheck, j *batch.Job) bool {
	step := &j.Steps[len(j.Steps)-1]
	step.Tasks = len(s.fleet.workers) * poolWorker.Accelerators // so that all slots are counted
	most := s.slots(*step) / roomFactor
	if most == 0 {
		return false
	}
	step.Tasks = rapid.IntRange(1, min(most, maxWaitingTasks)).Draw(t, "waiting tasks")
	return true
}

// circumstances are the conditions in which a job waits. Each changes the check or the job before the job is submitted.
var circumstances = []struct {
	name    string
	prepare func(t *rapid.T, s *waitCheck, j *batch.Job)
}{
	{"nothing else", func(*rapid.T, *waitCheck, *batch.Job) {}},
	{"after urgent work", prepareUrgentDemand},
	{"behind a gang that does not fit", prepareBlockedGang},
	{"behind urgent work that is too expensive", prepareExpensiveClaim},
	{"after failures", prepareFailures},
	{"beside suspected workers", prepareSuspicion},
	{"second step", prepareSecondStep},
	{"on advice", prepareAdvice},
	{"after a takeover", prepareTakeover},
	{"after workers were away", prepareAbsence},
	{"several together", prepareSeveral},
}

// prepareUrgentDemand lets urgent work end that used some workers until now, so that headroom is kept for it.
func prepareUrgentDemand(t *rapid.T, s *waitCheck, _ *batch.Job) {
	s.submit(simpleJob("burst", "urgent", 0, rapid.IntRange(1, 2*len(s.fleet.workers)).Draw(t, "urgent tasks"), smallTask))
	s.run(2 * testStep)
	s.fleet.setRunTime("burst", 5*time.Second)
	s.run(5 * time.Second)
}

// unfitGang returns a gang that is one task too wide for the free workers; false if there is none.
func unfitGang(s *waitCheck, id, queue string, prio int) (batch.Job, bool) {
	j := simpleJob(id, queue, prio, len(s.fleet.workers), wideNeed)
	n := s.slots(j.Steps[0])
	if n == len(s.fleet.workers) {
		return j, false
	}
	j.Steps[0].Tasks, j.Steps[0].Gang = n+1, true
	return j, true
}

func prepareBlockedGang(t *rapid.T, s *waitCheck, _ *batch.Job) {
	for i := range rapid.IntRange(1, 3).Draw(t, "gangs ahead") {
		if j, ok := unfitGang(s, fmt.Sprintf("ahead-%d", i), "normal", 1); ok {
			j.Steps[0].SameRack = rapid.Bool().Draw(t, "one rack ahead")
			s.submit(j)
		}
	}
	s.run(3 * time.Second)
}

func prepareExpensiveClaim(t *rapid.T, s *waitCheck, _ *batch.Job) {
	s.core().preemptionBudget = func(*taskGroup, bool, time.Duration) float64 { return 0 }
	if j, ok := unfitGang(s, "claim", "urgent", 0); ok {
		s.submit(j)
	}
	s.run(time.Duration(rapid.IntRange(0, 3).Draw(t, "claim waits")) * time.Second)
}

// prepareFailures lets the first attempts of the job fail.
func prepareFailures(t *rapid.T, s *waitCheck, j *batch.Job) {
	failures := rapid.IntRange(1, 2).Draw(t, "failures")
	s.fleet.noFaults = false
	s.each = append(s.each, func() {
		s.fleet.failingJobs[j.ID] = s.core().jobs[j.ID] != nil && s.core().failuresOf(j.ID) < failures
	})
}

// failuresOf returns the most failures of a task group of the job's first step.
func (c *Core) failuresOf(job string) int {
	n := 0
	for _, g := range c.jobs[job].occurrences[0].steps[0].groups {
		n = max(n, len(g.failedRuns))
	}
	return n
}

func prepareSuspicion(t *rapid.T, s *waitCheck, _ *batch.Job) {
	for _, id := range s.fleet.ids() {
		for range rapid.IntRange(0, 2).Draw(t, "suspicion") {
			if w := s.core().workers[id]; w != nil {
				w.health.addFailure(s.fleet.now, 1)
			}
		}
	}
}

// prepareSecondStep puts a short step before the job's step.
func prepareSecondStep(_ *rapid.T, _ *waitCheck, j *batch.Job) {
	second := j.Steps[0]
	second.After = []int{0}
	j.Steps = []batch.Step{{Tasks: 1, Need: batch.Resources{MilliCores: 100}}, second}
}

// prepareAdvice lets an adviser decide which workers may run the job.
func prepareAdvice(t *rapid.T, s *waitCheck, j *batch.Job) {
	p := testPolicy()
	p.Version = 2
	for i := range p.Queues {
		p.Queues[i].Advice = &batch.AdvicePolicy{PerRequest: 10 * time.Millisecond, PerWorker: 5 * time.Millisecond}
		if p.Queues[i].Name == j.Queue.Name {
			j.Queue.Advice = p.Queues[i].Advice
		}
	}
	s.core().SetPolicy(p.Index())
	s.allowed = map[string]bool{}
	for _, id := range s.fleet.ids() {
		s.allowed[id] = rapid.IntRange(0, 3).Draw(t, "advised") > 0
	}
	s.each = append(s.each, s.advise)
}

// prepareTakeover lets another host take over some time later; the old leader continues until it is deposed or does nothing more.
func prepareTakeover(t *rapid.T, s *waitCheck, _ *batch.Job) {
	at := s.fleet.now + time.Duration(rapid.IntRange(0, 10).Draw(t, "steps to the takeover"))*testStep
	frozen := rapid.Bool().Draw(t, "frozen")
	old := len(s.leaders)
	s.each = append(s.each, func() {
		if len(s.leaders) == old && s.fleet.now >= at {
			s.leaders[old-1].frozen = frozen
			s.elect()
		}
	})
}

// prepareAbsence lets workers leave and come back, some of them as a new incarnation.
func prepareAbsence(t *rapid.T, s *waitCheck, _ *batch.Job) {
	s.fleet.noFaults = false
	for _, id := range s.fleet.ids() {
		w := s.fleet.workers[id]
		switch rapid.IntRange(0, 4).Draw(t, "absence") {
		case 0:
			s.fleet.removeWorker(id)
		case 1:
			w.unreachable = true
		case 2:
			s.fleet.crash(id)
		}
	}
	s.run(time.Duration(rapid.IntRange(1, 120).Draw(t, "steps away")) * testStep)
	for _, id := range s.fleet.ids() {
		w := s.fleet.workers[id]
		w.unreachable = false
		if !w.up {
			w.up = true
			s.fleet.crash(id)
		}
	}
}

// prepareSeveral combines several of the other circumstances.
func prepareSeveral(t *rapid.T, s *waitCheck, j *batch.Job) {
	for _, prepare := range []func(*rapid.T, *waitCheck, *batch.Job){prepareAbsence, prepareUrgentDemand, prepareBlockedGang, prepareSuspicion, prepareSecondStep, prepareTakeover} {
		if rapid.Bool().Draw(t, "combined") {
			prepare(t, s, j)
		}
	}
}

// setRapidDefault sets a flag of rapid for a test unless the command line sets it.
func setRapidDefault(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	must.NoError(t, f.Value.Set(value))
	t.Cleanup(func() { must.NoError(t, f.Value.Set(f.DefValue)) })
}

// Guards against jobs of any kind that wait without limit while there is room for them twice over and most of the fleet is free.
func TestNoJobStarvesWhileMostOfTheFleetIsFree(t *testing.T) {
	// Many subtests may fail together, and CI runs them all.
	setRapidDefault(t, "rapid.shrinktime", "500ms")
	setRapidDefault(t, "rapid.checks", "20")
	for _, prefers := range []locality{anyRack, sameRack, dataRack} {
		for _, c := range circumstances {
			t.Run(string(prefers)+"/"+c.name, func(t *testing.T) {
				started := 0
				rapid.Check(t, func(t *rapid.T) {
					s := &waitCheck{system: drawPool(t), job: "waiting"}
					drawOccupied(t, s.system)
					j := drawWaiting(t, s, prefers)
					c.prepare(t, s, &j)
					if !drawTasks(t, s, &j) {
						return
					}
					s.submit(j)
					if s.startsInTime(checkTime) {
						started++
					}
				})
				must.Positive(t, started)
				t.Logf("%d drawn jobs started in time", started)
			})
		}
	}
}
