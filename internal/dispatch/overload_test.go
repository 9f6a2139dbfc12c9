package dispatch

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
	"samphirewell/internal/rowstore"
)

// urgentStart is the users' bound for the start of urgent work.
const urgentStart = 4500 * time.Millisecond

// overload is the load of the users' heaviest days in small: urgent gangs, gangs that fill whole workers, and many single tasks, together more than the fleet can
// do for some time.
type overload struct {
	s         *system
	submitted map[string]time.Duration
	queue     map[string]string
	endedAt   map[string]time.Duration
}

// note records which jobs have ended.
func (o *overload) note() {
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
	p.Teams = []batch.Team{{Name: "red", Guaranteed: 64}, {Name: "blue", Guaranteed: 48}}
	return p.Index()
}

// playOverload lets the load arrive for a time and the system go on after it.
func playOverload(t *testing.T, seed uint64, unlimited bool) *overload {
	o := &overload{s: newSystem(t, seed, 4, 4), submitted: map[string]time.Duration{}, queue: map[string]string{}, endedAt: map[string]time.Duration{}}
	o.s.leaders[0].core.SetPolicy(overloadPolicy())
	if unlimited {
		o.s.leaders[0].core.budget = func(*unit, bool, time.Duration) float64 { return math.Inf(1) }
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
		o.note()
	}
	return o
}

// ended counts the completed jobs of a queue.
func (o *overload) ended(queue string) int {
	n := 0
	for id, q := range o.queue {
		if q == queue && o.s.state(id) == batch.Completed {
			n++
		}
	}
	return n
}

// Guards against urgent work that stops other work without measure on overloaded days: gangs were started and stopped again and again, and a third of the
// capacity was thrown away. With the budget at least as many jobs of each class have to be done in the same time, for less lost work, and urgent work within a
// guarantee must start within the users' 4.5 s.
func TestOverloadServesEveryClass(t *testing.T) {
	var wasted, wastedUnlimited float64
	var done, doneUnlimited [3]int
	for seed := range uint64(4) {
		bounded, unlimited := playOverload(t, seed, false), playOverload(t, seed, true)
		bounded.s.mustHold()
		wasted += bounded.s.fleet.wasted
		wastedUnlimited += unlimited.s.fleet.wasted
		for i, queue := range []string{"urgent", "normal", "batch"} {
			done[i] += bounded.ended(queue)
			doneUnlimited[i] += unlimited.ended(queue)
		}
		bounded.checkGuarantees(t)
	}
	t.Logf("lost accelerator-seconds %.0f against %.0f; urgent, normal and batch jobs done %v against %v", wasted, wastedUnlimited, done, doneUnlimited)
	must.Less(t, wastedUnlimited, wasted)
	must.GreaterEq(t, doneUnlimited[1]+doneUnlimited[2], done[1]+done[2])
}

// checkGuarantees checks the start of urgent jobs that, with all of their team before them that had not ended, fit into the guarantee.
func (o *overload) checkGuarantees(t *testing.T) {
	policy := overloadPolicy()
	checked := 0
	for id, at := range o.submitted {
		j := o.s.fleet.jobs[id]
		if j.Queue.Priority != 0 || at > o.s.fleet.now-urgentStart {
			continue
		}
		need := 0
		for other, otherAt := range o.submitted {
			k := o.s.fleet.jobs[other]
			over := o.endedAt[other]
			if k.Team == j.Team && k.Queue.Priority == 0 && otherAt <= at+urgentStart && (over == 0 || over > at) {
				need += k.Steps[0].Tasks * k.Steps[0].Need.Accelerators
			}
		}
		if need > policy.Guarantee(j.Team) {
			continue
		}
		checked++
		begun, ok := o.s.fleet.begun[id]
		must.True(t, ok && begun-at <= urgentStart, must.Sprintf("%s submitted at %v began at %v", id, at, begun))
	}
	must.Positive(t, checked)
}
