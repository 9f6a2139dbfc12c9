package config

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
)

const (
	// PollInterval is the delay between two reads of the accepted version.
	PollInterval = 500 * time.Millisecond
	// PollTimeout bounds one poll, so that a table that does not respond counts as unavailable.
	PollTimeout = time.Second
)

// Watcher updates the version in force on this host from the table and from versions that peers offer.
type Watcher struct {
	table    platform.Table
	holder   *Holder
	clk      clock.Clock
	log      logrus.FieldLogger
	counters watcherCounters

	mu           sync.Mutex
	confirmed    bool      // a poll has succeeded, so the table has confirmed which version is current
	tableDown    bool      // the last poll failed
	pendingOffer *Accepted // newest offer, held back until the first poll has ended
}

type watcherCounters struct {
	polls, pollErrors, advances, corrupt, divergent, offers expvar.Int
}

// NewWatcher returns a watcher for holder. It starts no goroutine; Run does the work.
func NewWatcher(table platform.Table, holder *Holder, clk clock.Clock, log logrus.FieldLogger) *Watcher {
	return &Watcher{table: table, holder: holder, clk: clk, log: log}
}

// Vars returns the counters of the watcher and the version in force.
func (w *Watcher) Vars() *expvar.Map {
	m := new(expvar.Map)
	m.Set("polls", &w.counters.polls)
	m.Set("pollErrors", &w.counters.pollErrors)
	m.Set("advances", &w.counters.advances)
	m.Set("corrupt", &w.counters.corrupt)
	m.Set("divergent", &w.counters.divergent)
	m.Set("offers", &w.counters.offers)
	m.Set("version", expvar.Func(func() any { return w.holder.Version() }))
	return m
}

// Run polls the table every PollInterval until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for {
		_ = w.Poll(ctx) // Poll counts the error and records the state of the table
		select {
		case <-ctx.Done():
			return
		case <-w.clk.After(PollInterval):
		}
	}
}

// Poll reads the accepted version once and puts it in force if it is newer. Until the table has confirmed a version, it reads through a transaction
// that a stale replica cannot serve. Errors are those of the table, ErrCorrupt or ErrDivergent.
func (w *Watcher) Poll(ctx context.Context) error {
	ctx, cancel := withTimeout(ctx, w.clk, PollTimeout)
	defer cancel()
	w.counters.polls.Add(1)
	rows, err := w.read(ctx)
	if err != nil {
		w.counters.pollErrors.Add(1)
		w.recordPoll(false)
		return err
	}
	// The table's version is applied before the pending offer, which may be older.
	err = w.applyStored(rows)
	w.recordPoll(true)
	return err
}

func (w *Watcher) applyStored(rows map[string]api.TableRow) error {
	row, ok := rows[RowCurrent]
	if !ok {
		return nil
	}
	stored, err := decodeRow(row.Value)
	if err != nil {
		w.counters.corrupt.Add(1)
		return err
	}
	_, err = w.applyRow(stored, "table")
	return err
}

func (w *Watcher) read(ctx context.Context) (map[string]api.TableRow, error) {
	response, err := w.table.Get(ctx, RowCurrent)
	if err != nil {
		return nil, errors.Wrap(err, "poll the accepted configuration")
	}
	rows := existingRows(response.Rows)
	if w.Confirmed() {
		return rows, nil
	}
	return freshRows(ctx, w.table, rows[RowCurrent].Version)
}

// Confirmed reports whether the table has confirmed since the start of this process which version is current.
func (w *Watcher) Confirmed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmed
}

// recordPoll records whether the poll succeeded and applies the offer that was held back for it.
func (w *Watcher) recordPoll(succeeded bool) {
	w.mu.Lock()
	w.tableDown = !succeeded
	w.confirmed = w.confirmed || succeeded
	offer := w.pendingOffer
	w.pendingOffer = nil
	w.mu.Unlock()
	if offer != nil {
		_, _ = w.advance(offer, "peer")
	}
}

// Offer handles a version that a peer holds and reports whether it put the version in force. Until the first poll has ended, the offer is held back,
// because a peer that was partitioned from the table may hold an older version than this host had before its restart. The error is ErrCorrupt or
// ErrDivergent, wrapped.
func (w *Watcher) Offer(row api.ConfigRow) (bool, error) {
	w.counters.offers.Add(1)
	w.mu.Lock()
	hold := !w.confirmed && !w.tableDown
	w.mu.Unlock()
	if !hold {
		return w.applyRow(row, "peer")
	}
	offer, err := AcceptedFromRow(row)
	if err != nil {
		w.counters.corrupt.Add(1)
		return false, err
	}
	w.mu.Lock()
	hold = !w.confirmed && !w.tableDown
	if hold && (w.pendingOffer == nil || w.pendingOffer.Version < offer.Version) {
		w.pendingOffer = offer
	}
	w.mu.Unlock()
	if hold {
		return false, nil
	}
	return w.advance(offer, "peer")
}

// applyRow checks a row and puts it in force if it is newer. Older versions and the version in force are not parsed.
func (w *Watcher) applyRow(row api.ConfigRow, source string) (bool, error) {
	if row.Version < w.holder.Version() {
		return false, nil
	}
	if s := w.holder.Current(); s != nil && s.Version == row.Version && s.Hash == row.Hash {
		return false, nil
	}
	a, err := AcceptedFromRow(row)
	if err != nil {
		w.counters.corrupt.Add(1)
		return false, err
	}
	return w.advance(a, source)
}

func (w *Watcher) advance(a *Accepted, source string) (bool, error) {
	advanced, err := w.holder.Advance(a)
	if err != nil {
		w.counters.divergent.Add(1)
		w.log.WithField("version", a.Version).WithField("source", source).WithError(err).Error("refused a configuration version")
		return false, err
	}
	if advanced {
		w.counters.advances.Add(1)
		w.log.WithFields(logrus.Fields{"version": a.Version, "author": a.Author, "source": source}).Info("configuration version in force")
	}
	return advanced, nil
}

// withTimeout returns a context that is cancelled after d by clk.
func withTimeout(ctx context.Context, clk clock.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	expired := clk.After(d)
	go func() {
		select {
		case <-expired:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
