package dispatch

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
	"samphirewell/internal/rowstore"
	"samphirewell/internal/waitcost"
)

// urgentStartLimit is the users' bound for the start of urgent work.
const urgentStartLimit = 4500 * time.Millisecond

// overload is a scaled-down version of the users' heaviest days: urgent gangs, gangs that fill whole workers, and many single tasks, for some time
// together more than the fleet can run.
type overload struct {
	s         *system
	submitted map[string]time.Duration
	queue     map[string]string
	endedAt   map[string]time.Duration
}

// recordEnds records which jobs have ended.
func (o *overload) recordEnds() {
	rows, _, err := rowstore.ScanAll(context.Background(), o.s.store, TableStates, []string{Partition})
	must.NoError(o.s.t, err)
	for _, r := range rows {
		if _, state, _, ok := StateOf(r); ok && state.Terminal() && o.endedAt[r.Key.Key] == 0 {
			o.endedAt[r.Key.Key] = o.s.fleet.now
		}
	}
}

func (o *overload) submit(j batch.Job, team string) {
	j.Team = team
	o.submitted[j.ID], o.queue[j.ID] = o.s.fleet.now, j.Queue.Name
	o.s.submit(j)
}

// overloadPolicy guarantees 7 of 8 accelerators of the fleet.
func overloadPolicy() *batch.Policy {
	p := testPolicy()
	p.Version = 2
	p.Teams = []batch.Team{{Name: "red", GuaranteedAccelerators: 64}, {Name: "blue", GuaranteedAccelerators: 48}}
	return p.Index()
}

// runOverload submits the load step by step while the system runs.
func runOverload(t *testing.T, seed uint64, unlimited bool) *overload {
	o := &overload{s: newSystem(t, seed, 4, 4), submitted: map[string]time.Duration{}, queue: map[string]string{}, endedAt: map[string]time.Duration{}}
	o.s.leaders[0].core.SetPolicy(overloadPolicy())
	if unlimited {
		o.s.leaders[0].core.preemptionBudget = func(*taskGroup, bool, time.Duration) float64 { return math.Inf(1) }
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	gang := func(id, queue string, prio, tasks, accelerators int) batch.Job {
		j := simpleJob(id, queue, prio, tasks, batch.Resources{MilliCores: 2000, Accelerators: accelerators})
		j.Steps[0].Gang, j.Steps[0].SameRack = true, true
		return j
	}
	for n := range 60 {
		o.submit(gang(fmt.Sprintf("u%d", n), "urgent", 0, 1+rng.IntN(3), []int{2, 4, 8}[rng.IntN(3)]), []string{"red", "blue"}[n%2])
		if n%2 == 0 {
			o.submit(gang(fmt.Sprintf("n%d", n), "normal", 1, 2+rng.IntN(2), 8), "red")
		}
		if n%3 == 0 {
			o.submit(simpleJob(fmt.Sprintf("b%d", n), "batch", 2, 12, batch.Resources{MilliCores: 1000, Accelerators: 1}), "blue")
		}
		o.s.run(500 * time.Millisecond)
		o.recordEnds()
	}
	return o
}

// completedJobs counts the completed jobs of a queue.
func (o *overload) completedJobs(queue string) int {
	n := 0
	for id, q := range o.queue {
		if q == queue && o.s.state(id) == batch.Completed {
			n++
		}
	}
	return n
}

// Guards against urgent work that preempts without bound on overloaded days: gangs were started and stopped repeatedly, and a third of the capacity
// was lost. With the preemption budget, at least as many normal and batch jobs must be done in the same time with less lost work, and urgent work
// within a guarantee must start within the users' 4.5 s.
func TestOverloadServesEveryClass(t *testing.T) {
	var wasted, wastedUnlimited float64
	var done, doneUnlimited [3]int
	for seed := range uint64(24) {
		bounded, unlimited := runOverload(t, seed, false), runOverload(t, seed, true)
		bounded.s.mustHaveNoViolations()
		wasted += bounded.s.fleet.lostAcceleratorSeconds
		wastedUnlimited += unlimited.s.fleet.lostAcceleratorSeconds
		for i, queue := range []string{"urgent", "normal", "batch"} {
			done[i] += bounded.completedJobs(queue)
			doneUnlimited[i] += unlimited.completedJobs(queue)
		}
		bounded.checkGuarantees(t)
	}
	t.Logf("lost accelerator-seconds %.0f against %.0f; urgent, normal and batch jobs done %v against %v", wasted, wastedUnlimited, done, doneUnlimited)
	must.Less(t, wastedUnlimited, wasted)
	must.GreaterEq(t, doneUnlimited[1]+doneUnlimited[2], done[1]+done[2])
}

// checkGuarantees checks the start times of urgent jobs that fit into the guarantee together with the team's earlier urgent jobs that had not ended.
func (o *overload) checkGuarantees(t *testing.T) {
	policy := overloadPolicy()
	checked := 0
	for id, at := range o.submitted {
		j := o.s.fleet.jobs[id]
		if j.Queue.Priority != 0 || at > o.s.fleet.now-urgentStartLimit {
			continue
		}
		need := 0
		for other, otherAt := range o.submitted {
			k := o.s.fleet.jobs[other]
			endedAt := o.endedAt[other]
			if k.Team == j.Team && k.Queue.Priority == 0 && otherAt <= at+urgentStartLimit && (endedAt == 0 || endedAt > at) {
				need += k.Steps[0].Tasks * k.Steps[0].Need.Accelerators
			}
		}
		if need > policy.Guarantee(j.Team) {
			continue
		}
		checked++
		started, ok := o.s.fleet.firstStart[id]
		must.True(t, ok && started-at <= urgentStartLimit, must.Sprintf("%s submitted at %v began at %v", id, at, started))
	}
	must.Positive(t, checked)
}

// Guards against overload in which nearly all jobs miss their objective by little, because the oldest come first.
func TestSustainedOverloadLeavesJobsInTime(t *testing.T) {
	const (
		jobs     = 80
		interval = time.Second // half of the mean run time
	)
	s := newSystem(t, 1, 1, 1)
	s.run(2 * testStep)
	for n := range jobs {
		s.submit(simpleJob(fmt.Sprintf("j%d", n), "normal", 1, 1, batch.Resources{MilliCores: 1000, Accelerators: 8}))
		s.run(interval)
	}
	s.mustHaveNoViolations()
	done := 0
	for key, n := range s.leaders[0].core.counts.Jobs {
		if key.State == string(batch.Completed) && key.ObjectiveStatus == inTime.String() {
			done += n
		}
	}
	must.Between(t, jobs*2/5, done, jobs)
}

// Guards against newer jobs that overtake older ones although all will meet their objective.
func TestOldestJobsComeFirstWithoutOverload(t *testing.T) {
	order := func(priority int, rest time.Duration) []string {
		jobs := make([]waitcost.Job, 3)
		ready := make([]readyGroups, 3)
		for i := range jobs {
			jobs[i] = waitcost.Job{Priority: priority, Objective: time.Second, RemainingShare: 1}
			ready[i].order = requestOrder{urgency: float64(priority), acceptedMS: int64(2 - i), seq: 2 - i}
		}
		jobs[2].Rest = rest
		for i, key := range waitcost.ByValue(jobs) {
			ready[i].order.cost = key
		}
		slices.SortFunc(ready, func(a, b readyGroups) int { return a.order.compare(b.order) })
		var out []string
		for _, r := range ready {
			out = append(out, fmt.Sprint(r.order.acceptedMS))
		}
		return out
	}
	must.Eq(t, []string{"0", "1", "2"}, order(1, 0))
	must.Eq(t, []string{"2", "1", "0"}, order(1, 2*time.Second))
	must.Eq(t, []string{"1", "2", "0"}, order(0, 2*time.Second))
}
