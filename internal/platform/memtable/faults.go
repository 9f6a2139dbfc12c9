// Package memtable implements the platform's table, object store and host list in memory, with fault injection. Tests use them directly; the stand-in
// for the platform serves them over HTTP.
package memtable

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
)

// Faults are the failures that are injected into a service. The zero value means none. Fields that start with Next are the number of requests that
// the fault still affects; rates apply to every request.
type Faults struct {
	Outage         bool          // refuse every request before it has an effect
	Delay          time.Duration // wait before every request takes effect
	NextLost       int           // requests that take effect but whose response is lost
	NextDropped    int           // requests that are lost before they take effect and get no response
	NextHeld       int           // transactions that get no response and take effect only when ReleaseHeld is called
	NextConflicts  int           // transactions that report a conflict although their conditions hold
	LostRate       float64       // fraction of responses that are lost after the request took effect, 0 to 1
	StaleBy        time.Duration // age of the rows that Get and Scan return
	EmptyHosts     bool          // the host list is empty
	FlappingHosts  bool          // every second response lacks every second host
	FrozenHostList bool          // the host list stays as it was when this fault was set
}

// Stats counts requests since the start.
type Stats struct {
	Reads   uint64 // Get, Scan, object reads and host lists
	Writes  uint64 // transactions, also those without an effect, and object writes
	Refused uint64 // requests refused by an outage
	Lost    uint64 // requests without a response
}

// FaultInjector holds the injected faults and the request counters of one service.
type FaultInjector struct {
	clock  clock.Clock
	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand

	reads, writes, refused, lost atomic.Uint64
}

func newFaultInjector(c clock.Clock, seed uint64) *FaultInjector {
	return &FaultInjector{clock: c, rng: rand.New(rand.NewPCG(seed, seed))}
}

// SetFaults replaces the faults.
func (fi *FaultInjector) SetFaults(f Faults) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.faults = f
}

// Faults returns the faults with the remaining counts.
func (fi *FaultInjector) Faults() Faults {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.faults
}

// Stats returns the counters.
func (fi *FaultInjector) Stats() Stats {
	return Stats{Reads: fi.reads.Load(), Writes: fi.writes.Load(), Refused: fi.refused.Load(), Lost: fi.lost.Load()}
}

// injection states which faults affect one request.
type injection struct {
	lose, drop, hold, conflict bool
}

// begin counts a request and applies the faults that act before the request takes effect.
func (fi *FaultInjector) begin(ctx context.Context, write bool) (injection, error) {
	if write {
		fi.writes.Add(1)
	} else {
		fi.reads.Add(1)
	}
	f, inj := fi.nextFaults(write)
	if f.Delay > 0 {
		select {
		case <-fi.clock.After(f.Delay):
		case <-ctx.Done():
			return inj, fi.noResponse(ctx.Err().Error())
		}
	}
	if f.Outage {
		fi.refused.Add(1)
		return inj, errors.Wrap(platform.ErrUnavailable, "outage")
	}
	if inj.drop {
		return inj, fi.noResponse("request dropped")
	}
	return inj, nil
}

// end returns the error of a lost response if that fault was drawn for the request.
func (fi *FaultInjector) end(inj injection) error {
	if inj.lose {
		return fi.noResponse("answer lost")
	}
	return nil
}

func (fi *FaultInjector) noResponse(cause string) error {
	fi.lost.Add(1)
	return errors.Wrap(platform.ErrUncertain, cause)
}

// nextFaults chooses the faults of the next request. It decrements at most one of the counts.
func (fi *FaultInjector) nextFaults(write bool) (Faults, injection) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	var inj injection
	switch f := &fi.faults; {
	case f.Outage:
	case takeOne(&f.NextDropped):
		inj.drop = true
	case write && takeOne(&f.NextHeld):
		inj.hold = true
	case write && takeOne(&f.NextConflicts):
		inj.conflict = true
	case takeOne(&f.NextLost):
		inj.lose = true
	default:
		inj.lose = f.LostRate > 0 && fi.rng.Float64() < f.LostRate
	}
	return fi.faults, inj
}

// takeOne decrements a positive count and reports whether it did.
func takeOne(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

func unixMS(t time.Time) int { return int(t.UnixMilli()) }
