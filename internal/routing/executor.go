package routing

import (
	"math/bits"
	"sync/atomic"
	"time"

	"samphirewell/internal/registry"
)

const (
	ejectAfterConsecutive = 5  // consecutive failures after which an executor is ejected
	windowSize            = 20 // length of the result window, in calls
	ejectAfterInWindow    = 10 // failures in a full window after which an executor is ejected: 50%

	// FirstProbeDelay is the time from an ejection to the first probe; it doubles with each failed probe.
	FirstProbeDelay = 500 * time.Millisecond
	// MaxProbeDelay is the upper limit of the probe delay.
	MaxProbeDelay = 30 * time.Second
)

// executor holds the counters of one executor incarnation.
type executor struct {
	server          registry.Server
	inFlight        atomic.Int32
	leaving         atomic.Bool
	probing         atomic.Bool
	otherHostsBusy  atomic.Int32  // slots used by other hosts according to the last report
	reportedAt      atomic.Int64  // time of that report, Unix nanoseconds
	pausedUntil     atomic.Int64  // until then no call is sent if the last report shows no free slot, Unix nanoseconds
	consecutiveFull atomic.Int32  // consecutive reports without a free slot
	probeAt         atomic.Int64  // time of the next probe, Unix nanoseconds; 0 when not ejected
	probeDelay      atomic.Int64  // current probe delay, nanoseconds
	results         atomic.Uint64 // result window, see record
}

// availability states whether an executor is likely to have a free slot; higher values are preferred.
type availability uint8

const (
	unavailable     availability = iota // no call may be sent
	availAfterPause                     // the last report showed no free slot, but its pause has passed
	availNoReport                       // no report within ReportTTL
	availFreeSlot                       // a report within ReportTTL shows a free slot
)

// assess returns whether a call other than a probe may be sent to the executor, and the estimated number of its busy slots: the
// exact number of this host's own calls plus the slots that other hosts used according to the last report.
func (e *executor) assess(now time.Time, limit int32, slots int) (availability, int32) {
	own := e.inFlight.Load()
	if own >= limit || e.leaving.Load() || e.probeAt.Load() != 0 {
		return unavailable, 0
	}
	at := now.UnixNano()
	if at-e.reportedAt.Load() > int64(ReportTTL) {
		return availNoReport, own
	}
	busy := own + e.otherHostsBusy.Load()
	switch {
	case int(busy) < slots:
		return availFreeSlot, busy
	case at >= e.pausedUntil.Load():
		return availAfterPause, busy
	}
	return unavailable, 0
}

func (e *executor) reserve(limit int32) bool {
	for {
		n := e.inFlight.Load()
		if n >= limit {
			return false
		}
		if e.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (e *executor) probeDue(now time.Time, allowed bool) bool {
	at := e.probeAt.Load()
	if at == 0 {
		return false
	}
	if !allowed {
		at += e.probeDelay.Load()
	}
	return now.UnixNano() >= at
}

// report stores the number of free slots that a response reported. The calls of this host are subtracted from the busy slots, so
// that assess does not count them twice.
func (e *executor) report(free, slots int, now time.Time) {
	others := int32(slots-free) - e.inFlight.Load()
	e.otherHostsBusy.Store(max(0, others))
	e.reportedAt.Store(now.UnixNano())
	switch {
	case free > 1:
		e.consecutiveFull.Store(0)
	case free == 0:
		e.consecutiveFull.Add(1)
	}
	// A single free slot is that of the call which just ended and does not show that the executor can take more calls, so it leaves
	// consecutiveFull unchanged.
	e.pausedUntil.Store(now.Add(FullPause << min(e.consecutiveFull.Load(), maxFullDoublings)).UnixNano())
}

// record adds a result to the window: the low windowSize bits are the failures, the upper 32 bits the number of recorded calls, at
// most windowSize. It reports whether the executor has failed often enough to be ejected.
func (e *executor) record(failed bool) bool {
	for {
		old := e.results.Load()
		window, count := old&(1<<windowSize-1), old>>32
		window = window << 1 & (1<<windowSize - 1)
		if failed {
			window |= 1
		}
		count = min(count+1, windowSize)
		if e.results.CompareAndSwap(old, count<<32|window) {
			inRow := window&(1<<ejectAfterConsecutive-1) == 1<<ejectAfterConsecutive-1
			return failed && (inRow || count == windowSize && bits.OnesCount64(window) >= ejectAfterInWindow)
		}
	}
}
