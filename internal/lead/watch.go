package lead

import (
	"hash/fnv"
	"sync"
	"time"

	"samphirewell/internal/rowstore"
)

const (
	// RenewEvery is the longest time between two transactions of a leader.
	RenewEvery = 500 * time.Millisecond
	// staleAfter is the time without a change of the leader row after which the leader counts as lost: three renewals. A false alarm costs a
	// takeover but breaks nothing.
	staleAfter = 1600 * time.Millisecond
	// claimSpread spreads the claims of hosts, so that mostly one claims.
	claimSpread = 300 * time.Millisecond
)

// Watch follows the leader row. It is safe for concurrent use.
type Watch struct {
	mu      sync.Mutex
	key     rowstore.Key
	delay   time.Duration // of this host's claims
	row     rowstore.Row
	known   bool      // the table was read at least once
	changed time.Time // when the row last changed
	fresh   time.Time // when the table was last read
}

// NewWatch returns a watch for a host. key is that of the leader row.
func NewWatch(key rowstore.Key, host string) *Watch {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	return &Watch{key: key, delay: time.Duration(h.Sum32()%1000) * claimSpread / 1000}
}

// Observe takes rows of the table; all tells that they are its whole contents.
func (w *Watch) Observe(rows []rowstore.Row, all bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if all {
		w.known = true
	}
	for _, r := range rows {
		if r.Key == w.key && r.Version > w.row.Version {
			w.row, w.changed = r, now
		}
	}
}

// Fresh notes that the table was read at now. A gap in the readings restarts the wait for a change, since the leader may have been
// unable to write for the same cause.
func (w *Watch) Fresh(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.fresh) > staleAfter {
		w.changed = now
	}
	w.fresh = now
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
	if w.row.Version == 0 {
		return w.row, now.Sub(w.changed) > w.delay
	}
	r, err := Decode(w.row.Value)
	wait := staleAfter
	if err == nil && r.Released {
		wait = 0
	}
	return w.row, now.Sub(w.changed) > wait+w.delay
}
