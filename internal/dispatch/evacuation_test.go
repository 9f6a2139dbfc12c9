package dispatch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"pgregory.net/rapid"

	"samphirewell/internal/batch"
)

// newDomainSystem returns a system with the given number of failure domains, one rack of two workers each, named like the racks. Evacuations are offered.
func newDomainSystem(t must.T, seed uint64, domains int) *system {
	s := newSystem(t, seed, domains, 2)
	for _, w := range s.fleet.workers {
		w.Domain = w.Rack
	}
	s.leaders[0].core.bounds.Evacuation = 5 * time.Second
	return s
}

// evacuate sets the evacuated failure domains. From then on a start that is ordered there is a violation.
func (s *system) evacuate(domains ...string) {
	s.evacuations, s.fleet.evacuated = domains, map[string]bool{}
	for _, d := range domains {
		s.fleet.evacuated[d] = true
	}
	for _, l := range s.leaders {
		l.core.SetEvacuations(domains, s.fleet.now)
	}
}

// runsIn returns the number of runs on the workers of a failure domain.
func (s *system) runsIn(domain string) int {
	n := 0
	for _, w := range s.fleet.workers {
		if w.Domain == domain {
			n += len(w.running)
		}
	}
	return n
}

// Guards against work that starts in an evacuated domain, waits although another domain has capacity, or doesn't return to a domain whose evacuation was
// withdrawn: one domain, all of them, one without workers, withdrawn and requested again, and under a new leader.
func TestNothingStartsInEvacuatedDomains(t *testing.T) {
	s := newDomainSystem(t, 1, 2)
	s.run(time.Second)
	full := func(id string) batch.Job { return longJob(id, "normal", 1, 2, batch.Resources{Accelerators: 8}) }
	s.evacuate("rack-0", "unknown")
	s.submit(full("first"))
	s.submit(full("second"))
	s.run(2 * time.Second)
	must.Eq(t, 0, s.runsIn("rack-0"))
	must.Eq(t, 2, s.runsIn("rack-1"))
	must.Zero(t, s.leaders[0].core.Overview(s.fleet.now).Usable["rack-0"])

	s.leaders[0].frozen = true
	s.elect()
	s.run(2 * time.Second)
	must.Eq(t, 0, s.runsIn("rack-0"), must.Sprint("a new leader has the same evacuations"))

	s.evacuate("rack-1")
	s.run(time.Second)
	must.Eq(t, 2, s.runsIn("rack-0"), must.Sprint("withdrawn"))
	must.Eq(t, 2, s.runsIn("rack-1"), must.Sprint("long-running tasks stay"))

	s.evacuate("rack-0", "rack-1")
	s.submit(simpleJob("third", "urgent", 0, 1, smallNeed))
	s.run(4 * time.Second)
	must.Eq(t, batch.Pending, s.state("third"), must.Sprint("all domains are evacuated"))
	s.cancel("first")
	s.run(time.Second)
	must.Eq(t, 2, s.runsIn("rack-0")+s.runsIn("rack-1"), must.Sprint("free workers in an evacuated domain stay free"))
	s.evacuate()
	s.run(6 * time.Second)
	must.Eq(t, batch.Completed, s.state("third"))
	s.mustHaveNoViolations()
}

// Guards against stops of runs by an evacuation: they end by themselves.
func TestRunsInAnEvacuatedDomainEndByThemselves(t *testing.T) {
	s := newDomainSystem(t, 2, 1)
	s.run(time.Second)
	gang := simpleJob("gang", "normal", 1, 2, smallNeed)
	gang.Steps[0].Gang = true
	s.submit(gang)
	s.submit(longJob("serving", "batch", 2, 1, smallNeed))
	s.run(200 * time.Millisecond)
	s.evacuate("rack-0")
	c := s.leaders[0].core
	must.Eq(t, 3, c.Overview(s.fleet.now).EvacuatedRuns)
	c.TakeCounts()
	s.run(6 * time.Second)
	must.Eq(t, batch.Completed, s.state("gang"))
	must.Eq(t, 1, c.Overview(s.fleet.now).EvacuatedRuns)
	must.MapEmpty(t, c.TakeCounts().Stops)
	s.mustHaveNoViolations()
}

// Guards against a start that was assigned before the evacuation and is ordered after it, by an assignment that is stored late or by a plan that is applied
// late, and against a gang of which a part starts.
func TestAssignedStartIsWithdrawn(t *testing.T) {
	s := newDomainSystem(t, 3, 2)
	s.run(time.Second)
	gang := simpleJob("gang", "normal", 1, 4, batch.Resources{Accelerators: 8})
	gang.Steps[0].Gang = true
	s.submit(gang)
	l := s.leaders[0]
	l.core.Plan(s.fleet.now)
	cm := l.core.TakeCommit()
	s.evacuate("rack-0")
	l.core.OnStored(cm, s.fleet.now)
	must.SliceEmpty(t, l.core.TakeOrders(), must.Sprint("two members are in the evacuated domain, and none is ordered"))

	s.evacuate()
	plan := l.core.PreparePlan(s.fleet.now)
	plan.Decide()
	s.evacuate("rack-1")
	l.core.ApplyPlan(plan, s.fleet.now)
	must.True(t, l.core.task("gang.0.0.0").group.ready(), must.Sprint("the plan is older than the evacuation"))
	s.evacuate()
	s.run(8 * time.Second)
	must.Eq(t, batch.Completed, s.state("gang"))
	s.mustHaveNoViolations()
}

// Guards against further copies of a start that is under way when the evacuation is requested, or while the copy of the operator's table is too old.
func TestNoCopyOfAStartIsSentAfterAnEvacuation(t *testing.T) {
	r, o, hook := orderedStart(t)
	copies := 0
	r.workers = lossyWorkers{attempt: func(o Order) Result {
		if !o.allowed() {
			return TooLate
		}
		copies++
		r.Do(func(c *Core, now time.Duration) {
			w := c.workers["w"].Worker
			w.Domain = "a" // the entry has changed since the start was ordered
			c.SetWorkers([]batch.Worker{w}, now)
			c.SetEvacuations([]string{"a"}, now)
		})
		return Unknown
	}}
	r.send(context.Background(), o)
	must.Eq(t, 1, copies)
	orders := r.core.TakeOrders()
	must.SliceLen(t, 1, orders, must.Sprint("the copy that was sent may still be carried out"))
	must.True(t, orders[0].Stop)
	notConfirmed := slices.IndexFunc(hook.AllEntries(), func(e *logrus.Entry) bool { return e.Message == "start not confirmed" && e.Data["evacuated"] == true })
	must.GreaterEq(t, 0, notConfirmed)

	for age, sent := range map[time.Duration]bool{4 * time.Second: true, 4*time.Second + 1: false} {
		r, o, _ := orderedStart(t, Accepted)
		r.core.SetBounds(Bounds{Evacuation: 5 * time.Second})
		r.SetOperatorAge(func() time.Duration { return age })
		r.send(context.Background(), o)
		must.Eq(t, sent, r.core.task(o.Task).phase == running, must.Sprint(age))
	}
}

// Guards against starts while an evacuation may have been requested unnoticed, against a pause that outlasts the outage, and against a pause where
// evacuations aren't offered.
func TestStaleCopyOfTheOperatorsTablePausesStarts(t *testing.T) {
	must.Eq(t, 500*time.Millisecond, Bounds{Evacuation: time.Second}.maxOperatorAge())
	for _, offered := range []bool{true, false} {
		s := newDomainSystem(t, 4, 1)
		c := s.leaders[0].core
		if !offered {
			c.bounds.Evacuation = 0
		}
		s.run(time.Second)
		s.submit(longJob("first", "normal", 1, 2, smallNeed))
		c.Plan(s.fleet.now)
		cm := c.TakeCommit()
		s.submit(longJob("second", "normal", 1, 2, smallNeed))
		c.SetOperatorAge(4*time.Second + 1)
		s.fleet.startsForbidden = offered
		c.OnStored(cm, s.fleet.now)
		s.run(time.Second)
		must.Eq(t, !offered, s.runsIn("rack-0") == 4)
		s.fleet.startsForbidden = false
		c.SetOperatorAge(0)
		s.run(time.Second)
		must.Eq(t, 4, s.runsIn("rack-0"))
		s.mustHaveNoViolations()
	}
}

// Guards against a task that waits for the end of an evacuation because it has failed on each worker outside the evacuated domains.
func TestTaskStartsOutsideEvacuatedDomainsWhereItHasFailed(t *testing.T) {
	s := newDomainSystem(t, 5, 2)
	s.run(time.Second)
	s.submit(simpleJob("j", "normal", 1, 1, smallNeed))
	s.evacuate("rack-0")
	g := s.leaders[0].core.task("j.0.0.0").group
	for _, id := range []string{"w1-0", "w1-1"} {
		g.avoidedWorkers[id] = true
	}
	s.run(200 * time.Millisecond)
	must.Eq(t, 1, s.runsIn("rack-1"))
}

// Guards against logs that don't tell why a job waits, or when an evacuation began and ended.
func TestLogsTellOfEvacuations(t *testing.T) {
	s := newDomainSystem(t, 6, 2)
	log, hook := logtest.NewNullLogger()
	s.leaders[0].core.log = log
	s.run(time.Second)
	s.submit(longJob("serving", "normal", 1, 4, batch.Resources{Accelerators: 8}))
	s.run(200 * time.Millisecond)
	hook.Reset()
	s.evacuate("rack-0")
	s.submit(simpleJob("partly", "normal", 1, 1, batch.Resources{Accelerators: 8}))
	s.run(3 * time.Second)
	s.evacuate("rack-0", "rack-1")
	s.run(3 * time.Second)
	s.evacuate("rack-0")
	seen := map[string]logrus.Fields{}
	for _, e := range hook.AllEntries() {
		seen[e.Message] = e.Data
	}
	for message, fields := range map[string]logrus.Fields{
		"evacuation of a failure domain requested":                                      {"worker_domain": "rack-1", "workers": 2, "runs": 2},
		"evacuation of a failure domain ended":                                          {"worker_domain": "rack-1", "workers": 2, "runs": 2},
		"still waiting for room":                                                        {"job": "partly", "suitable_workers": 4, "evacuated_workers": 2},
		"still waiting, all workers that could run it are in evacuated failure domains": {"job": "partly", "suitable_workers": 4, "evacuated_workers": 4},
	} {
		for field, want := range fields {
			must.Eq(t, want, seen[message][field], must.Sprintf("%s of %q", field, message))
		}
	}
}

// Guards against starts in evacuated domains, and while the copy of the operator's table is too old, under any sequence of evacuations, takeovers, outages of
// the store and faults of workers; and against jobs that never end afterwards.
func TestNothingIsOrderedInEvacuatedDomainsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newDomainSystem(t, rapid.Uint64().Draw(t, "seed"), 3)
		s.fleet.noFaults, s.stalePlans = false, rapid.Bool().Draw(t, "stale plans")
		jobs := 0
		for range rapid.IntRange(5, 30).Draw(t, "length") {
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0, 1, 2:
				s.evacuate(rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"rack-0", "rack-1", "rack-2", "other"}), 0, 4, rapid.ID[string]).Draw(t, "evacuated")...)
			case 3:
				s.fleet.startsForbidden = rapid.Bool().Draw(t, "stale")
			case 4:
				s.outage = rapid.Bool().Draw(t, "outage")
			default:
				drawAction(t, s, &jobs)
			}
			s.applyStale()
			s.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "steps")) * testStep)
		}
		s.outage, s.fleet.startsForbidden = false, false
		s.evacuate()
		clearFaults(s)
		s.elect()
		s.run(90 * time.Second)
		s.mustHaveNoViolations()
		for i := range jobs {
			id := fmt.Sprintf("j%d", i+1)
			must.True(t, s.state(id).Terminal(), must.Sprintf("%s is %q and never ends", id, s.state(id)))
		}
	})
}

// applyStale tells all leaders whether their copy of the operator's table is too old.
func (s *system) applyStale() {
	for _, l := range s.leaders {
		l.core.bounds.Evacuation = 5 * time.Second
		age := time.Duration(0)
		if s.fleet.startsForbidden {
			age = time.Minute
		}
		l.core.SetOperatorAge(age)
	}
}
