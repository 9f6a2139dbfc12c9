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
	// suspectAfter is the time without a change of the leader row after which hosts ask the leader whether it lives: two renewals.
	suspectAfter = 500 * time.Millisecond
	// askAgain is the pause between two questions to the leader.
	askAgain = 300 * time.Millisecond
	// tryAgain is the pause after a failed claim on the same version of the row: two reads of the table.
	tryAgain = 600 * time.Millisecond
	// staleAfter is the time without a change after which a leader that answers counts as lost too. A store that is slowed 60 times
	// lets a leader write twice a second. A false alarm costs a takeover but breaks nothing.
	staleAfter = 2500 * time.Millisecond
	// claimSpread spreads the claims of hosts, so that mostly one claims.
	claimSpread = 150 * time.Millisecond
	// weakDelay is how much later a host without any processor time claims than one like the strongest leader so far: more than the time in which the
	// claim of a strong host is seen by all others, and than the differences between the starts of hosts (0.3 s).
	weakDelay = time.Second
)

// Watch follows the leader row. It is safe for concurrent use.
type Watch struct {
	mu         sync.Mutex
	key        rowstore.Key
	delay      time.Duration // of this host's questions and claims
	processors float64       // of this host, in cores
	row        rowstore.Row
	known      bool      // the table was read at least once
	changed    time.Time // when the row last changed
	fresh      time.Time // when the table was last read
	asked      time.Time // when the leader was last asked
	dead       uint64    // version of the row whose leader didn't answer or can't write
	deadAt     time.Time // when dead was set
	tried      uint64    // version of the row on which a claim failed
	triedAt    time.Time // when it failed
}

// NewWatch returns a watch for a host. key is that of the leader row. Hosts with more processors claim earlier: leading costs more than
// all other work of a host.
func NewWatch(key rowstore.Key, host string, processors float64) *Watch {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	spread := time.Duration(h.Sum32()%1000) * claimSpread / 1000
	return &Watch{key: key, delay: spread, processors: processors}
}

// Observe takes rows of the table; all tells that they are its whole contents.
func (w *Watch) Observe(rows []rowstore.Row, all bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if all && !w.known {
		w.known, w.changed = true, now
	}
	for _, r := range rows {
		if r.Key == w.key && r.Version > w.row.Version {
			w.row, w.changed = r, now
		}
	}
}

// RecordRead records that the table was read at now. A gap between reads longer than staleAfter restarts the wait for a change of the leader row,
// since the same cause may have kept the leader from writing.
func (w *Watch) RecordRead(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.fresh) > staleAfter {
		w.changed = now
	}
	w.fresh = now
}

// ProbeDue reports whether the leader should be asked now if it is alive, and returns its row and the row's version.
func (w *Watch) ProbeDue(now time.Time) (Row, uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.row.Version == 0 || w.dead == w.row.Version || now.Sub(w.fresh) > staleAfter || now.Sub(w.asked) < askAgain ||
		now.Sub(w.changed) < suspectAfter+w.delay {
		return Row{}, 0, false
	}
	r, err := Decode(w.row.Value)
	if err != nil || r.Released {
		return Row{}, 0, false
	}
	w.asked = now
	return r, w.row.Version, true
}

// MarkLost notes that the leader with this version of the row doesn't answer or can't write.
func (w *Watch) MarkLost(version uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead, w.deadAt = version, now
}

// Leader returns the present leader's row, if there is one.
func (w *Watch) Leader() (Row, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.row.Version == 0 {
		return Row{}, false
	}
	r, err := Decode(w.row.Value)
	return r, err == nil
}

// ClaimDue reports whether this host should claim, and the row on which the claim is based.
func (w *Watch) ClaimDue(now time.Time) (rowstore.Row, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.known || now.Sub(w.fresh) > staleAfter {
		return rowstore.Row{}, false
	}
	if !w.triedAt.IsZero() && w.tried == w.row.Version && now.Sub(w.triedAt) < tryAgain {
		return rowstore.Row{}, false
	}
	if w.row.Version == 0 {
		return w.row, now.Sub(w.changed) > w.delay+w.weakness(1)
	}
	r, err := Decode(w.row.Value)
	late := w.weakness(r.MaxProcessors)
	switch {
	case err == nil && r.Released:
		return w.row, now.Sub(w.changed) > w.delay+late
	case err == nil && w.dead == w.row.Version:
		return w.row, now.Sub(w.deadAt) >= late
	}
	return w.row, now.Sub(w.changed) > staleAfter+w.delay+late
}

// RecordFailedClaim records that a claim based on this version of the row failed. Most likely another host was faster, and this host will read the
// changed row soon.
func (w *Watch) RecordFailedClaim(version uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tried, w.triedAt = version, now
}

// Sleep waits and reports whether ctx goes on.
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

// weakness is the further delay of claims of a host that has less processor time than the strongest leader so far.
func (w *Watch) weakness(strongest float64) time.Duration {
	if strongest <= 0 {
		return 0
	}
	return time.Duration(float64(weakDelay) * max(0, 1-w.processors/strongest))
}
