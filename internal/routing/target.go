package routing

import (
	"time"

	"samphirewell/internal/registry"
)

// Result states how the executor handled a call.
type Result uint8

// Results.
const (
	Success Result = iota // the executor responded
	Failure               // the executor failed, did not respond or could not be reached
	Full                  // the executor refused to start the call
	Neutral               // the result gives no information about the executor
)

// Report describes how a call ended.
type Report struct {
	Result    Result
	FreeSlots int // as reported by the executor; negative if it reported none
	Leaving   bool
}

// Target is a reserved slot on an executor.
type Target struct {
	Server   registry.Server
	picker   *Picker
	executor *executor
	probe    bool
	done     bool
}

// Done releases the slot and records the result. It panics when it is called a second time.
func (t *Target) Done(r Report, now time.Time) {
	if t.done {
		panic("routing: target released twice")
	}
	t.done = true
	e := t.executor
	if e.inFlight.Add(-1) < 0 {
		panic("routing: negative number of calls in flight")
	}
	if r.Leaving {
		e.leaving.Store(true)
	}
	// A failed executor is paused like a full one, so that a call is not retried on it many times in quick succession.
	if r.Result == Full || r.Result == Failure {
		r.FreeSlots = 0
	}
	if r.FreeSlots >= 0 {
		e.report(r.FreeSlots, t.picker.config.Slots, now)
	}
	t.recordResult(r.Result, now)
}

func (t *Target) recordResult(r Result, now time.Time) {
	e := t.executor
	if t.probe {
		t.picker.endProbe(e, r, now)
		return
	}
	switch r {
	case Success:
		e.record(false)
	case Failure:
		if e.record(true) {
			t.picker.eject(e, now)
		}
	}
}

// maxEjected returns the maximum number of ejected executors in a fleet of n.
func maxEjected(n int) int { return n * maxEjectedPercent / 100 }

// eject ejects the executor, unless maxEjected executors are already ejected.
func (p *Picker) eject(e *executor, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.fleet.Load()
	if f.byID[e.server.ID] != e || e.probeAt.Load() != 0 || p.ejected >= maxEjected(len(f.byID)) {
		return
	}
	p.ejected++
	p.ejectedCount.Store(int32(p.ejected))
	p.ejections.Add(1)
	e.probeDelay.Store(int64(FirstProbeDelay))
	e.probeAt.Store(now.Add(FirstProbeDelay).UnixNano())
}

// endProbe readmits the executor if it responded, else doubles the probe delay. A refusal with the result Full is a response.
func (p *Picker) endProbe(e *executor, r Result, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer e.probing.Store(false)
	if e.probeAt.Load() == 0 {
		return
	}
	if r == Failure || r == Neutral {
		delay := min(2*time.Duration(e.probeDelay.Load()), MaxProbeDelay)
		e.probeDelay.Store(int64(delay))
		e.probeAt.Store(now.Add(delay).UnixNano())
		return
	}
	e.results.Store(0)
	e.probeAt.Store(0)
	if p.fleet.Load().byID[e.server.ID] == e {
		p.ejected--
		p.ejectedCount.Store(int32(p.ejected))
	}
}

// enforceEjectionLimit counts the ejected executors after a change of the fleet and readmits those above maxEjected. The caller
// must hold mu.
func (p *Picker) enforceEjectionLimit(f *fleet) {
	p.ejected = 0
	for _, e := range f.byID {
		if e.probeAt.Load() == 0 {
			continue
		}
		if p.ejected >= maxEjected(len(f.byID)) {
			e.results.Store(0)
			e.probeAt.Store(0)
			continue
		}
		p.ejected++
	}
	p.ejectedCount.Store(int32(p.ejected))
}
