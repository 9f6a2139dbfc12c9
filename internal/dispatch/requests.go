package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirewell/internal/batch"
	"samphirewell/internal/placement"
	"samphirewell/internal/waitcost"
)

// spanRacksAfter is the wait after which a preempting request within a guarantee may span several racks, although it runs slower there. It leaves
// time to stop other runs (0.9 s) within the shortest time in which a guarantee has to be met (2.7 s).
const spanRacksAfter = 1200 * time.Millisecond

// readyGroups is the groups of a step that may be placed and are equally urgent.
type readyGroups struct {
	groups []*taskGroup
	rest   *occurrenceRest // of their job
	order  requestOrder
}

// requestOrder holds what orders requests: priority, then requests within a guarantee, then teams below their fair part, then what
// the wait costs, then age.
type requestOrder struct {
	urgency          float64
	beyondGuarantee  bool
	precedence       precedence
	cost             waitcost.Key
	acceptedMS       int64
	seq              int // of the job
	occurrence, step int
	failures         int
}

func (a requestOrder) compare(b requestOrder) int {
	age := cmp.Or(cmp.Compare(a.acceptedMS, b.acceptedMS), cmp.Compare(a.seq, b.seq))
	if a.cost.NewestFirst {
		age = -age
	}
	return cmp.Or(cmp.Compare(a.urgency, b.urgency), compareBool(a.beyondGuarantee, b.beyondGuarantee), cmp.Compare(a.precedence, b.precedence), a.cost.Compare(b.cost), age,
		cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step), cmp.Compare(a.failures, b.failures))
}

// rank sets what the waits of the requests cost and sorts them.
func (c *Core) rank(service string, ready []readyGroups, capacity batch.Resources) {
	byUrgency := map[float64][]int{}
	for i, r := range ready {
		byUrgency[r.order.urgency] = append(byUrgency[r.order.urgency], i)
	}
	for _, requests := range byUrgency {
		jobs := make([]waitcost.Job, len(requests))
		for n, i := range requests {
			jobs[n] = ready[i].rest.waitingJob(ready[i].order.step, capacity)
		}
		for n, key := range c.waitOrder(jobs) {
			r := &ready[requests[n]]
			r.order.cost, r.order.precedence = key, c.precedence(service, r.rest.job, jobs[n])
		}
	}
	slices.SortStableFunc(ready, func(a, b readyGroups) int { return a.order.compare(b.order) })
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// readyGroupsOf returns the groups of a step that may be placed now, by their numbers of failures.
func (c *Core) readyGroupsOf(j *job, s *stepState, rest *occurrenceRest, withinGuarantee bool, now time.Duration) []readyGroups {
	if !s.opened || s.waiting == 0 {
		return nil
	}
	var out []readyGroups
	for _, g := range s.groups {
		if !g.ready() || now < g.restarts.notBefore || g.suspected() && !c.mayStartSuspected(g, now) {
			continue
		}
		order := requestOrder{urgency: g.urgency(), beyondGuarantee: !withinGuarantee, acceptedMS: j.AcceptedMS, seq: j.seq,
			occurrence: g.occurrence, step: g.step, failures: len(g.failedRuns)}
		i := slices.IndexFunc(out, func(r readyGroups) bool { return r.order == order })
		if i < 0 {
			i = len(out)
			out = append(out, readyGroups{rest: rest, order: order})
		}
		out[i].groups = append(out[i].groups, g)
	}
	return out
}

// addRequests adds the ready groups in the order of their urgency. Equal groups of a step are one request.
func (c *Core) addRequests(in *planInput, ready []readyGroups, guaranteed map[*job]bool, now time.Duration) {
	c.rank(in.service, ready, in.capacity)
	in.ready = ready
	var groups []*taskGroup
	for _, r := range ready {
		groups = append(groups, r.groups...)
	}
	for i := 0; i < len(groups); {
		n := 1
		for i+n < len(groups) && sameStep(groups[i], groups[i+n]) {
			n++
		}
		c.addRequest(in, groups[i:i+n], guaranteed, now)
		i += n
	}
}

// urgency is the priority of the group's job. An interrupted long-running task comes right after urgent work, whatever its priority, because it
// should be running all the time.
func (g *taskGroup) urgency() float64 {
	if p := g.job.Queue.Priority; p == 0 || !g.spec().LongRunning || g.run == 0 {
		return float64(p)
	}
	return 0.5
}

func sameStep(a, b *taskGroup) bool {
	return !a.gang && a.job == b.job && a.occurrence == b.occurrence && a.step == b.step && len(a.avoidedWorkers) == 0 && len(b.avoidedWorkers) == 0 &&
		!a.suspected() && !b.suspected()
}

func (c *Core) addRequest(in *planInput, groups []*taskGroup, guaranteed map[*job]bool, now time.Duration) {
	g := groups[0]
	spec := g.spec()
	waited := now - g.readySince
	r := placement.Request{ID: g.id, Team: g.job.Team, Priority: g.job.Queue.Priority, WithinGuarantee: guaranteed[g.job], Step: spec,
		Count: len(groups), Gang: g.gang, MayPreempt: g.job.Queue.Priority == 0, WaitTime: waited}
	if g.gang {
		r.Count = len(g.tasks)
	}
	r.MaySpanRacks = r.MayPreempt && r.WithinGuarantee && waited > spanRacksAfter
	r.SpreadCost = c.spreadCost(g) * float64(len(groups))
	r.PreemptionBudget = c.preemptionBudget(g, guaranteed[g.job], waited)
	c.limitSlowness(&r, g, in.fastest, now)
	r.BestEffort = spec.Checkpoints && g.job.Queue.Priority > 1
	r.Interrupted, r.JobIdle = g.run > 0, g.job.idle()
	r.TasksPerWorker = c.tasksPerWorker(in, g)
	r.AvoidedWorkers = c.avoidedWorkers(in, g)
	r.AllowedWorkers = c.allowedWorkers(in, g, now)
	if g.suspected() {
		r.AllowedWorkers = in.workersForSuspected(r.AllowedWorkers, waited, now)
	}
	in.Requests = append(in.Requests, r)
	in.requestGroups = append(in.requestGroups, groups)
}

// tasksPerWorker counts the tasks of the group's step on each worker if the step limits that number; otherwise it returns nil. All requests of a step
// share the counts, which the planner updates.
func (c *Core) tasksPerWorker(in *planInput, g *taskGroup) map[int]int {
	if g.spec().MaxPerWorker == 0 {
		return nil
	}
	step := g.state
	if counts, ok := in.tasksPerWorker[step]; ok {
		return counts
	}
	out := map[int]int{}
	for i, w := range in.workers {
		if n := w.tasksOfStep(g.job, g.occurrence, g.step); n > 0 {
			out[i] = n
		}
	}
	in.tasksPerWorker[step] = out
	return out
}

// avoidedWorkers returns the workers on which the group failed; nil if these are more than half of the workers.
func (c *Core) avoidedWorkers(in *planInput, g *taskGroup) map[int]bool {
	if len(g.avoidedWorkers) == 0 && !g.suspected() {
		return nil
	}
	forgetLeftWorkers(c, g.avoidedWorkers)
	out := map[int]bool{}
	if g.suspected() {
		c.addUnprovenWorkers(in, g, out)
	}
	for id := range g.avoidedWorkers {
		if i, ok := in.workerIndex[id]; ok {
			out[i] = true
		}
	}
	if 2*len(out) > len(in.workers) {
		return nil
	}
	return out
}

// minRemembered is the number of workers that are remembered for a step or task even if they have left: the registry loses workers for seconds while the
// table is down, and what is known of them is still true afterwards.
const minRemembered = 1000

// forgetLeftWorkers drops the workers that have left from a map by worker once most of its entries are of such workers.
func forgetLeftWorkers[V any](c *Core, byWorker map[string]V) {
	if len(byWorker) <= max(minRemembered, 2*len(c.workers)) {
		return
	}
	maps.DeleteFunc(byWorker, func(id string, _ V) bool { return !c.HasWorker(id) })
}
