// Package routing chooses the executor of a call. The set of executors is an immutable snapshot that is replaced atomically, and the
// counters of an executor are atomics, so choosing an executor never blocks. Time and randomness are passed in.
package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"samphirewell/internal/registry"
)

const (
	// ReportTTL is the age above which a load report is ignored.
	ReportTTL = 200 * time.Millisecond
	// FullPause is the time for which an executor that reported no free slot is not chosen. It is short because a slot
	// becomes free many times within ReportTTL and must not stay idle while calls wait.
	FullPause = 20 * time.Millisecond
	// maxFullDoublings limits the pause to 160 ms. The pause doubles with each report without a free slot, so that an
	// overloaded fleet is not flooded with calls that it refuses.
	maxFullDoublings = 3
	// maxEjectedPercent is the percentage of the fleet that may be ejected at the same time.
	maxEjectedPercent = 30
)

// Random returns values that are uniform over all of uint64. It must be safe for concurrent use if the picker is used concurrently.
type Random func() uint64

// Config holds the fixed settings of a picker.
type Config struct {
	Domain string // own failure domain
	Slots  int    // calls that one executor runs at a time
}

// Picker chooses executors. It is safe for concurrent use.
type Picker struct {
	config       Config
	random       Random
	maxOwnCalls  atomic.Int32 // maximum number of calls of this host per executor
	fleet        atomic.Pointer[fleet]
	mu           sync.Mutex   // guards updates and ejections, which are rare
	ejected      int          // number of ejected executors in the fleet; guarded by mu
	ejectedCount atomic.Int32 // copy of ejected that is read without mu
	ejections    atomic.Int64 // ejections since the start
}

// fleet is an immutable set of executors.
type fleet struct {
	byID   map[string]*executor
	groups map[string]*group // by service
	any    *group            // executors without a service; they serve all services
}

// group holds the executors of one service: those of the own failure domain, which are preferred, and those of other domains.
type group struct{ own, other []*executor }

// New returns a picker without executors.
func New(config Config, random Random) *Picker {
	p := &Picker{config: config, random: random}
	p.maxOwnCalls.Store(int32(config.Slots))
	p.fleet.Store(&fleet{})
	return p
}

// SetMaxOwnCalls sets the maximum number of calls of this host per executor; values below 1 count as 1.
func (p *Picker) SetMaxOwnCalls(calls int) { p.maxOwnCalls.Store(int32(max(1, calls))) }

// Ejections returns the number of ejections since the start.
func (p *Picker) Ejections() int64 { return p.ejections.Load() }

// Ejected returns the number of executors that are ejected now.
func (p *Picker) Ejected() int { return int(p.ejectedCount.Load()) }

// Size returns the number of executors of the fleet, leaving ones included.
func (p *Picker) Size() int { return len(p.fleet.Load().byID) }

// Update replaces the set of executors. Counters of executors with the same incarnation and address are kept.
func (p *Picker) Update(servers []registry.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.fleet.Load()
	next := &fleet{byID: make(map[string]*executor, len(servers)), groups: map[string]*group{}, any: &group{}}
	for _, s := range servers {
		e := old.byID[s.ID]
		if e == nil || e.server.Incarnation != s.Incarnation || e.server.Address != s.Address {
			e = &executor{server: s}
		}
		e.leaving.Store(s.Leaving || e.leaving.Load())
		next.byID[s.ID] = e
	}
	p.build(next, servers)
	p.fleet.Store(next)
	p.enforceEjectionLimit(next)
}

// build adds the executors to the groups in the order of servers.
func (p *Picker) build(f *fleet, servers []registry.Server) {
	for _, s := range servers {
		if s.Service != "" && f.groups[s.Service] == nil {
			f.groups[s.Service] = &group{}
		}
	}
	for _, s := range servers {
		e := f.byID[s.ID]
		if s.Service != "" {
			f.groups[s.Service].add(e, p.config.Domain)
			continue
		}
		f.any.add(e, p.config.Domain)
		for _, g := range f.groups {
			g.add(e, p.config.Domain)
		}
	}
}

func (g *group) add(e *executor, domain string) {
	if e.server.FailureDomain == domain {
		g.own = append(g.own, e)
	} else {
		g.other = append(g.other, e)
	}
}

// Request describes the call for which an executor is chosen.
type Request struct {
	Service string
	// Probe allows this call to be sent as a probe to an ejected executor as soon as the probe is due. Without it, the call is used as a
	// probe only when the probe is overdue by the probe delay; this is for calls that must not be repeated, whose response may be lost.
	Probe bool
}

// Pick reserves a slot on an executor. It returns nil when no executor can take the call now. The caller must call Done exactly once.
func (p *Picker) Pick(req Request, now time.Time) *Target {
	f := p.fleet.Load()
	g := f.groups[req.Service]
	if g == nil {
		g = f.any
	}
	if g == nil {
		return nil
	}
	if p.ejectedCount.Load() > 0 {
		if t := p.probe(g, req, now); t != nil {
			return t
		}
	}
	if t := p.pickFrom(g.own, now); t != nil {
		return t
	}
	return p.pickFrom(g.other, now)
}

// HasExecutor reports whether there is an executor for the service that is not leaving.
func (p *Picker) HasExecutor(service string) bool {
	f := p.fleet.Load()
	g := f.groups[service]
	if g == nil {
		g = f.any
	}
	if g == nil {
		return false
	}
	for _, list := range [][]*executor{g.own, g.other} {
		for _, e := range list {
			if !e.leaving.Load() {
				return true
			}
		}
	}
	return false
}

// pickFrom reserves a slot on the less loaded of two random executors. If neither is expected to have a free slot, it searches all.
func (p *Picker) pickFrom(list []*executor, now time.Time) *Target {
	n := uint64(len(list))
	if n == 0 {
		return nil
	}
	r, limit := p.random(), p.maxOwnCalls.Load()
	a, b := list[r%n], list[(r>>32)%n]
	availA, loadA := a.assess(now, limit, p.config.Slots)
	availB, loadB := b.assess(now, limit, p.config.Slots)
	if availB >= availNoReport && (availA < availNoReport || loadB < loadA) {
		a, availA = b, availB
	}
	if availA >= availNoReport && a.reserve(limit) {
		return p.newTarget(a, false)
	}
	return p.searchAll(list, r%n, now, limit)
}

// searchAll goes through all executors from a random start. It reserves a slot on the first one with a reported free slot, else on the
// first one with the highest availability.
func (p *Picker) searchAll(list []*executor, start uint64, now time.Time, limit int32) *Target {
	n := uint64(len(list))
	best, bestAvail := (*executor)(nil), unavailable
	for i := range n {
		e := list[(start+i)%n]
		avail, _ := e.assess(now, limit, p.config.Slots)
		if avail == availFreeSlot && e.reserve(limit) {
			return p.newTarget(e, false)
		}
		if avail > bestAvail {
			best, bestAvail = e, avail
		}
	}
	if best != nil && best.reserve(limit) {
		return p.newTarget(best, false)
	}
	return nil
}

func (p *Picker) newTarget(e *executor, probe bool) *Target {
	return &Target{Server: e.server, picker: p, executor: e, probe: probe}
}

// probe reserves a slot on an ejected executor whose probe is due.
func (p *Picker) probe(g *group, req Request, now time.Time) *Target {
	for _, list := range [][]*executor{g.own, g.other} {
		for _, e := range list {
			if e.leaving.Load() || !e.probeDue(now, req.Probe) || !e.probing.CompareAndSwap(false, true) {
				continue
			}
			if e.reserve(p.maxOwnCalls.Load()) {
				return p.newTarget(e, true)
			}
			e.probing.Store(false)
		}
	}
	return nil
}
