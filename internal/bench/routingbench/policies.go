package routingbench

import (
	"fmt"
	"time"

	"samphirewell/internal/registry"
	"samphirewell/internal/routing"
)

// result is the outcome of a call as reported to the policy.
type result struct {
	refused, timedOut bool
	freeSlots         int // free slots of the executor that the response reports
}

// policy chooses executors for the calls of one host.
type policy interface {
	// pick returns an executor, or -1 if none can accept a call now, and a token to pass to done.
	pick(now time.Time) (executor int, token any)
	// done reports the outcome of a call that was sent after pick.
	done(executor int, token any, r result, now time.Time)
}

// inFlightCounts limits the calls in flight from one host to each executor, as the connection limit does.
type inFlightCounts struct{ inFlight [executors]int }

func (c *inFlightCounts) acquire(e int) int {
	if c.inFlight[e] >= connectionShare {
		return -1
	}
	c.inFlight[e]++
	return e
}

func (c *inFlightCounts) done(e int, _ any, _ result, _ time.Time) { c.inFlight[e]-- }

// ignoresRefusals marks a policy that does not use refusals in later picks. A refused call then waits until dispatchPause has passed or another call
// of the host ends.
func (c *inFlightCounts) ignoresRefusals() {}

// randomPolicy ignores all load information.
type randomPolicy struct {
	inFlightCounts
	sim *sim
}

func (p *randomPolicy) pick(time.Time) (int, any) { return p.acquire(p.sim.rng.IntN(executors)), nil }

// roundRobinPolicy picks the executors in turn.
type roundRobinPolicy struct {
	inFlightCounts
	next int
}

func (p *roundRobinPolicy) pick(time.Time) (int, any) {
	p.next = (p.next + 1) % executors
	return p.acquire(p.next), nil
}

// twoChoicesPolicy uses the picker of the entry host.
type twoChoicesPolicy struct {
	picker        *routing.Picker
	executorIndex map[string]int
}

func newTwoChoicesPolicy(s *sim) *twoChoicesPolicy {
	p := &twoChoicesPolicy{executorIndex: map[string]int{}}
	p.picker = routing.New(routing.Config{Domain: "d", Slots: slots}, s.rng.Uint64)
	var servers []registry.Server
	for i := range executors {
		id := fmt.Sprintf("e%02d", i)
		p.executorIndex[id] = i
		servers = append(servers, registry.Server{ID: id, FailureDomain: "d", Service: "s", Address: id})
	}
	p.picker.Update(servers)
	p.picker.SetMaxOwnCalls(connectionShare)
	return p
}

func (p *twoChoicesPolicy) pick(now time.Time) (int, any) {
	t := p.picker.Pick(routing.Request{Service: "s"}, now)
	if t == nil {
		return -1, nil
	}
	return p.executorIndex[t.Server.ID], t
}

func (p *twoChoicesPolicy) done(_ int, token any, r result, now time.Time) {
	report := routing.Report{Result: routing.Success, FreeSlots: r.freeSlots}
	switch {
	case r.refused:
		report = routing.Report{Result: routing.Full}
	case r.timedOut:
		report = routing.Report{Result: routing.Neutral, FreeSlots: -1}
	}
	token.(*routing.Target).Done(report, now)
}

// slotShares is the policy "leases": it divides the slots of each executor evenly among the hosts. Slots that remain go to different hosts for each
// executor.
type slotShares struct {
	freeSlots [executors]int
	sim       *sim
}

func newSlotShares(s *sim, host int) *slotShares {
	p := &slotShares{sim: s}
	for e := range p.freeSlots {
		p.freeSlots[e] = slots / hosts
		if (host+hosts-e%hosts)%hosts < slots%hosts {
			p.freeSlots[e]++
		}
	}
	return p
}

func (p *slotShares) pick(time.Time) (int, any) {
	start := p.sim.rng.IntN(executors)
	for i := range executors {
		if e := (start + i) % executors; p.freeSlots[e] > 0 {
			p.freeSlots[e]--
			return e, nil
		}
	}
	return -1, nil
}

func (p *slotShares) done(e int, _ any, _ result, _ time.Time) { p.freeSlots[e]++ }

// creditPool simulates executors that offer their free slots to hosts as credits. An executor is notified of waiting calls after one messageDelay and
// offers each slot to one host at a time. This needs code of its own on the executors, so it serves as a bound to compare with, not as an option for
// the entry host.
type creditPool struct {
	sim         *sim
	outstanding [executors]int  // slots in use by calls, and credits held by a host or in transit
	notified    [executors]bool // a notification about waiting calls is in transit
}

// pullPolicy sends a call only to an executor whose credit the host holds.
type pullPolicy struct {
	pool    *creditPool
	host    int
	credits []int // executors whose credits this host holds
}

func newPullPolicy(s *sim, host int) *pullPolicy {
	if s.credits == nil {
		s.credits = &creditPool{sim: s}
	}
	return &pullPolicy{pool: s.credits, host: host}
}

func (p *pullPolicy) pick(time.Time) (int, any) {
	if len(p.credits) == 0 {
		for e := range executors {
			p.pool.notifyWaiting(e)
		}
		return -1, nil
	}
	e := p.credits[0]
	p.credits = p.credits[1:]
	return e, nil
}

func (p *pullPolicy) done(int, any, result, time.Time) {}

// notifyWaiting notifies an executor that calls are waiting.
func (c *creditPool) notifyWaiting(e int) {
	if c.notified[e] {
		return
	}
	c.notified[e] = true
	c.sim.after(messageDelay, func() {
		c.notified[e] = false
		c.offer(e)
	})
}

// slotFreed is called when a call to e ends or a credit of e is returned. A nil pool, of the other policies, does nothing.
func (c *creditPool) slotFreed(e int) {
	if c != nil {
		c.outstanding[e]--
		c.offer(e)
	}
}

// offer sends credits for the free slots of e to hosts with waiting calls, starting at a random host.
func (c *creditPool) offer(e int) {
	start := c.sim.rng.IntN(hosts)
	for i := 0; i < hosts && c.outstanding[e] < slots; i++ {
		h := c.sim.hosts[(start+i)%hosts]
		if h.queue.Len() == 0 {
			continue
		}
		c.outstanding[e]++
		c.sim.after(messageDelay, func() { c.deliver(h, e) })
	}
}

// deliver handles the arrival of a credit at a host, which returns the credit if it does not use it.
func (c *creditPool) deliver(h *host, e int) {
	p := h.policy.(*pullPolicy)
	if h.queue.Len() == 0 {
		c.sim.after(messageDelay, func() { c.slotFreed(e) })
		return
	}
	p.credits = append(p.credits, e)
	h.dispatch()
	if len(p.credits) > 0 {
		p.credits = p.credits[:0]
		c.sim.after(messageDelay, func() { c.slotFreed(e) })
	}
}
