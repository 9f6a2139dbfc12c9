package limits

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/outcome"
	"samphirewell/internal/simevent"
)

// sim runs nodes of several domains in simulated time, with a fake network, a fake table and a simplified membership protocol for each domain. One
// seed determines everything.
type sim struct {
	rng   *rand.Rand
	now   time.Duration // simulated true time
	queue simevent.Queue

	hosts   []*simHost
	domains []string
	plans   map[string]Plan
	check   *checker
	table   simTable

	drop, dup        float64       // probabilities per message inside a domain
	loseDemands      bool          // demands are lost, pings are not
	delay            time.Duration // longest delay of a message
	rateError        float64       // largest relative deviation of a clock rate from true time
	disableRule      func(*Node)   // disables a rule on new nodes
	keepUnresponsive bool          // unresponsive members stay in the view, as when the platform does not list them as ended
	noExclusive      bool
	bytes, msgs      int
	loseHints        bool // no host announces its writes to other domains
	starts           int
}

type simHost struct {
	s                *sim
	id, domain       string
	alive            bool
	pausedUntil      time.Duration // the process does nothing before; messages that arrive meanwhile are handled afterwards
	rate             float64
	node             *Node
	view             View
	lastPong         map[string]time.Time // time of the last pong of each host
	workScheduled    bool                 // a run of work is scheduled
	lastAnsweredPing map[string]time.Time // when the last ping that was answered in the view was sent
}

func newSim(seed uint64, domains, hosts int, plans map[string]Plan) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), plans: plans, delay: time.Millisecond, rateError: 0.005}
	s.check = newChecker(s)
	s.table = simTable{s: s, down: map[string]bool{}}
	for d := range domains {
		s.domains = append(s.domains, fmt.Sprintf("d%d", d))
	}
	for _, d := range s.domains {
		for range hosts {
			s.startHost(d)
		}
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.queue.Add(s.now+d, run)
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for at, ok := s.queue.Next(); ok && at <= end; at, ok = s.queue.Next() {
		var event func()
		s.now, event = s.queue.Pop()
		event()
	}
	s.now = end
}

// clock returns the host's clock reading, which deviates from true time.
func (h *simHost) clock() time.Time { return start.Add(time.Duration(float64(h.s.now) * h.rate)) }

func (s *sim) startHost(domain string) {
	s.starts++
	h := &simHost{s: s, id: fmt.Sprintf("h%02d", s.starts), domain: domain, alive: true,
		rate: 1 + s.rateError*(2*s.rng.Float64()-1), lastPong: map[string]time.Time{}, lastAnsweredPing: map[string]time.Time{}}
	h.node = NewNode(h.id, domain, h.clock())
	if s.disableRule != nil {
		s.disableRule(h.node)
	}
	s.hosts = append(s.hosts, h)
	h.node.SetPlans(s.plans, s.domains, h.clock())
	h.adopt([]string{h.id})
	s.after(time.Duration(s.rng.Int64N(int64(250*time.Millisecond))), h.tick)
}

func (s *sim) hostsIn(domain string) (out []*simHost) {
	for _, h := range s.hosts {
		if h.alive && h.domain == domain {
			out = append(out, h)
		}
	}
	return out
}

func (h *simHost) adopt(members []string) {
	members = slices.Clone(members)
	slices.Sort(members)
	h.view = View{ID: fmt.Sprintf("%016x", mix(hashOf(members))), Members: members}
	h.lastAnsweredPing = map[string]time.Time{}
	for _, m := range members {
		h.lastPong[m] = h.clock()
	}
	h.s.check.viewChanged()
	h.node.OnViewChange(h.view, h.clock())
	h.updateViewLease()
	h.handleSignal()
}

func hashOf(members []string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(strings.Join(members, ",")))
	return h.Sum64()
}

// updateViewLease sets the view lease, which ends ViewLease after the oldest of the last answered pings to the other members was sent.
func (h *simHost) updateViewLease() {
	oldest := h.clock()
	for _, m := range h.view.Members {
		if at := h.lastAnsweredPing[m]; m != h.id && at.Before(oldest) {
			oldest = at
		}
	}
	h.node.SetViewLease(oldest.Add(ViewLease))
}

func (h *simHost) tick() {
	if !h.alive || h.paused(h.tick) {
		return
	}
	h.s.after(time.Duration(float64(250*time.Millisecond)/h.rate), h.tick)
	var left []string
	for _, m := range h.view.Members {
		if m == h.id || h.clock().Sub(h.lastPong[m]) <= ViewLease {
			left = append(left, m)
		}
	}
	if len(left) != len(h.view.Members) && !h.s.keepUnresponsive {
		h.adopt(left)
	}
	h.updateViewLease()
	for _, p := range h.s.hostsIn(h.domain) {
		if p != h {
			h.ping(p)
		}
	}
	h.work()
}

// handleSignal schedules the host's work when its node has signalled.
func (h *simHost) handleSignal() {
	select {
	case <-h.node.Wake():
	default:
		return
	}
	if !h.workScheduled {
		h.workScheduled = true
		h.s.after(signalDelay, func() { h.workScheduled = false; h.work() })
	}
}

// signalDelay is the time after which a host handles a signal of its node.
const signalDelay = 100 * time.Microsecond

// work sends all messages that are due, as the entry host does.
func (h *simHost) work() {
	if !h.alive || h.paused(h.work) {
		return
	}
	h.node.SetExclusive(h.exclusive(), h.clock())
	h.node.Tick(h.clock())
	for _, p := range h.s.hostsIn(h.domain) {
		if p != h && slices.Contains(h.view.Members, p.id) {
			h.exchange(p)
		}
	}
	for _, id := range h.node.Nudges(h.clock()) {
		h.s.sendTo(id, func(p *simHost) { p.node.OnNudge(h.id) })
	}
	if v, ok := h.node.Hint(); ok && !h.s.loseHints {
		for _, d := range h.s.domains {
			if in := h.s.hostsIn(d); d != h.domain && len(in) > 0 {
				h.s.hint(in[h.s.rng.IntN(len(in))].id, v)
			}
		}
	}
	h.s.table.serve(h)
	h.handleSignal()
}

// hint sends the version of the row to a host, which forwards it to the row writer.
func (s *sim) hint(to string, version int) {
	s.sendTo(to, func(p *simHost) {
		if next := p.node.OnHint(version); next != "" {
			s.sendTo(next, func(p *simHost) { p.node.OnHint(version) })
		}
	})
}

// sendTo sends a message without a response.
func (s *sim) sendTo(id string, handle func(p *simHost)) {
	for _, p := range s.hosts {
		if p.id != id {
			continue
		}
		var receive func()
		receive = func() {
			if p.alive && !p.paused(receive) {
				handle(p)
				p.handleSignal()
			}
		}
		s.bytes += nudgeBytes
		s.msgs++
		s.send(receive)
	}
}

// nudgeBytes is the size of a nudge or hint on the wire.
const nudgeBytes = 20

// exchange sends a demand if one is due, and the grant back.
func (h *simHost) exchange(p *simHost) {
	sentAt := h.clock()
	d, attached := h.node.Demand(p.id, sentAt)
	if !attached || h.s.loseDemands {
		return
	}
	h.s.count(d)
	var receive func()
	receive = func() {
		if !p.alive || p.paused(receive) {
			return
		}
		session := p.node.owner.session
		g, ok := p.node.OnDemand(h.id, d, p.clock())
		if p.node.owner.session != session {
			h.s.check.viewChanged()
		}
		p.handleSignal()
		if ok {
			h.s.count(g)
			h.s.send(func() { h.granted(p, g, sentAt) })
		}
	}
	h.s.send(receive)
}

func (h *simHost) granted(p *simHost, g api.ShareGrant, sentAt time.Time) {
	if !h.alive || h.paused(func() { h.granted(p, g, sentAt) }) {
		return
	}
	h.node.OnGrant(p.id, g, sentAt, h.clock())
	h.handleSignal()
}

// ping sends a ping and the pong back.
func (h *simHost) ping(p *simHost) {
	sentAt, view := h.clock(), h.view.ID
	var receive func()
	receive = func() {
		if !p.alive || p.paused(receive) {
			return
		}
		if !slices.Contains(p.view.Members, h.id) {
			p.adopt(append(slices.Clone(p.view.Members), h.id))
		}
		inView := p.view.ID == view
		h.s.send(func() { h.pong(p, view, inView, sentAt) })
	}
	h.s.send(receive)
}

// exclusive reports whether no other host can act in a view that lacks this one.
func (h *simHost) exclusive() bool {
	for _, p := range h.s.hostsIn(h.domain) {
		if p != h && !slices.Contains(p.view.Members, h.id) {
			return false
		}
	}
	return !h.s.noExclusive
}

// paused reports whether the process is paused; if so, run is postponed to the end of the pause.
func (h *simHost) paused(run func()) bool {
	if h.s.now >= h.pausedUntil {
		return false
	}
	h.s.after(h.pausedUntil-h.s.now, run)
	return true
}

func (h *simHost) pong(p *simHost, view string, inView bool, sentAt time.Time) {
	if !h.alive || h.paused(func() { h.pong(p, view, inView, sentAt) }) {
		return
	}
	h.lastPong[p.id] = h.clock()
	if !slices.Contains(h.view.Members, p.id) {
		h.adopt(append(slices.Clone(h.view.Members), p.id))
	}
	if inView && view == h.view.ID && sentAt.After(h.lastAnsweredPing[p.id]) {
		h.lastAnsweredPing[p.id] = sentAt
		h.updateViewLease()
	}
}

// send delivers a message after a random delay; the message may be lost or duplicated.
func (s *sim) send(deliver func()) {
	if s.rng.Float64() < s.drop {
		return
	}
	s.after(s.latency(), deliver)
	if s.rng.Float64() < s.dup {
		s.after(s.latency(), deliver)
	}
}

func (s *sim) latency() time.Duration { return time.Duration(s.rng.Int64N(int64(s.delay))) + 1 }

// call makes one call that, when admitted, runs for the given length by the host's clock, also when the host fails.
func (h *simHost) call(team string, length time.Duration) bool {
	return h.attempt(h.node.Limiter.Admit, team, length)
}

type admit func(string, time.Time) (func(), bool, outcome.Reason, time.Duration)

func (h *simHost) attempt(admit admit, team string, length time.Duration) bool {
	if !h.alive || h.s.now < h.pausedUntil {
		return false
	}
	release, ok, _, _ := admit(team, h.clock())
	if !ok {
		return false
	}
	h.s.check.started(team)
	h.s.after(time.Duration(float64(length)/h.rate), func() {
		h.s.check.ended(team)
		if h.alive {
			release()
		}
	})
	return true
}
