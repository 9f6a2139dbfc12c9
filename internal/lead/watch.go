package lead

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"samphirewell/internal/rowstore"
)

const (
	// RenewInterval is the longest time between two transactions of a leader.
	RenewInterval = 250 * time.Millisecond
	// suspectAfter is the time without a change of the leader row after which hosts probe the leader: two renewals of the row.
	suspectAfter = 500 * time.Millisecond
	// probeInterval is the shortest time between two probes of the leader.
	probeInterval = 300 * time.Millisecond
	// probersPerGroup is the number of hosts that probe a suspected leader first; as many others join them after each further probeGroupDelay without a
	// change of the leader row. A leader that is alive but slow then has few probes to answer, and one that can't be reached by the first hosts is still
	// found.
	probersPerGroup = 3
	probeGroupDelay = 200 * time.Millisecond
	// claimRetryPause is the time after a failed claim in which no other claim is based on the same version of the row: two reads of the table.
	claimRetryPause = 600 * time.Millisecond
	// staleAfter is the time without a change of the leader row after which a leader that responds to probes is also considered lost. On a store that is
	// slowed 60 times a leader still writes twice a second. A false positive costs a takeover but is safe.
	staleAfter = 2500 * time.Millisecond
	// maxJitter bounds the delay that is derived from the name of the host, so that usually a single host claims.
	maxJitter = 150 * time.Millisecond
	// maxProcessorDelay is the delay of claims of a host without any processor time, compared with a host that has the largest processor time of any
	// leader so far. It exceeds the time in which all hosts see the claim of another host, and the differences between the starts of hosts (0.3 s).
	maxProcessorDelay = time.Second
)

// Watch tracks the leader row and determines when this host should probe the leader or claim leadership. It is safe for concurrent use.
type Watch struct {
	mu                 sync.Mutex
	key                rowstore.Key
	jitter             time.Duration // delay of this host's probes and claims
	processors         float64       // of this host, in cores
	rank               int           // position of this host in the order in which hosts begin to probe
	row                rowstore.Row
	tableRead          bool      // the table was read at least once
	lastChange         time.Time // when the row last changed
	lastRead           time.Time // when the table was last read
	lastProbe          time.Time // when the leader was last probed
	lostVersion        uint64    // version of the row whose leader didn't respond or can't write
	lostAt             time.Time // when lostVersion was set
	failedClaimVersion uint64    // version of the row on which a claim failed
	failedClaimAt      time.Time // when that claim failed
}

// NewWatch returns a watch for a host. key is the key of the leader row, and processors the processor time of the host in cores. Hosts with more
// processor time claim earlier, since leading costs more processor time than all other work of a host.
func NewWatch(key rowstore.Key, host string, processors float64) *Watch {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	jitter := time.Duration(h.Sum32()%1000) * maxJitter / 1000
	return &Watch{key: key, jitter: jitter, processors: processors}
}

// SetRank sets the position of this host, from 0, in the order in which hosts begin to probe a leader.
func (w *Watch) SetRank(rank int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rank = rank
}

// Version returns the version of the newest known leader row.
func (w *Watch) Version() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.row.Version
}

// ClaimedByOther reports whether another process has written the leader row since the given version.
func (w *Watch) ClaimedByOther(version uint64, incarnation string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.row.Version <= version {
		return false
	}
	r, err := Decode(w.row.Value)
	return err != nil || r.Incarnation != incarnation
}

// Observe applies rows that were read from the table; complete means that they are its whole contents.
func (w *Watch) Observe(rows []rowstore.Row, complete bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if complete && !w.tableRead {
		w.tableRead, w.lastChange = true, now
	}
	for _, r := range rows {
		if r.Key == w.key && r.Version > w.row.Version {
			w.row, w.lastChange = r, now
		}
	}
}

// RecordRead records that the table was read at now. After a gap between reads longer than staleAfter the wait for a change of the leader row
// restarts, since the same cause may have prevented the leader from writing.
func (w *Watch) RecordRead(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.lastRead) > staleAfter {
		w.lastChange = now
	}
	w.lastRead = now
}

// ProbeDue reports whether the leader should be probed now, and returns its row and the row's version. It counts as a probe if it returns true.
func (w *Watch) ProbeDue(now time.Time) (Row, uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.row.Version == 0 || w.lostVersion == w.row.Version || now.Sub(w.lastRead) > staleAfter || now.Sub(w.lastProbe) < probeInterval ||
		now.Sub(w.lastChange) < suspectAfter+w.jitter+w.groupDelay() {
		return Row{}, 0, false
	}
	r, err := Decode(w.row.Value)
	if err != nil || r.Released {
		return Row{}, 0, false
	}
	w.lastProbe = now
	return r, w.row.Version, true
}

// MarkLost records that the leader doesn't respond or can't write. version is that of the leader row when it was probed.
func (w *Watch) MarkLost(version uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lostVersion, w.lostAt = version, now
}

// Leader returns the row of the current leader, if there is one.
func (w *Watch) Leader() (Row, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.row.Version == 0 {
		return Row{}, false
	}
	r, err := Decode(w.row.Value)
	return r, err == nil
}

// ClaimDue reports whether this host should claim leadership now, and returns the row on which the claim is based.
func (w *Watch) ClaimDue(now time.Time) (rowstore.Row, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.tableRead || now.Sub(w.lastRead) > staleAfter {
		return rowstore.Row{}, false
	}
	if !w.failedClaimAt.IsZero() && w.failedClaimVersion == w.row.Version && now.Sub(w.failedClaimAt) < claimRetryPause {
		return rowstore.Row{}, false
	}
	if w.row.Version == 0 {
		return w.row, now.Sub(w.lastChange) > w.jitter+w.processorDelay(1)
	}
	r, err := Decode(w.row.Value)
	delay := w.processorDelay(r.MaxProcessors)
	switch {
	case err == nil && r.Released:
		return w.row, now.Sub(w.lastChange) > w.jitter+delay
	case err == nil && w.lostVersion == w.row.Version:
		return w.row, now.Sub(w.lostAt) >= delay
	}
	return w.row, now.Sub(w.lastChange) > staleAfter+w.jitter+delay+w.groupDelay()
}

// groupDelay returns the delay of this host's probes, and of its claims on a leader that responds but doesn't write: many hosts that claim at once would keep
// a slow table busy.
func (w *Watch) groupDelay() time.Duration {
	return time.Duration(w.rank/probersPerGroup) * probeGroupDelay
}

// RecordFailedClaim records that a claim based on this version of the row failed. Most likely another host has claimed, and this host will read
// the changed row soon.
func (w *Watch) RecordFailedClaim(version uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failedClaimVersion, w.failedClaimAt = version, now
}

// Sleep waits for d and returns true, or returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// processorDelay returns the additional delay of this host's claims if it has less processor time than maxProcessors, the largest processor time of
// any leader so far, in cores.
func (w *Watch) processorDelay(maxProcessors float64) time.Duration {
	if maxProcessors <= 0 {
		return 0
	}
	return time.Duration(float64(maxProcessorDelay) * max(0, 1-w.processors/maxProcessors))
}
