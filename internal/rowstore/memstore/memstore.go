// Package memstore is an in-memory table service with fault injection, for tests and stand-ins.
package memstore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"samphirewell/internal/rowstore"
)

// Store is an in-memory rowstore.Store.
type Store struct {
	mu             sync.Mutex
	version        uint64
	rows           map[rowstore.Key]rowstore.Row
	history        []rowstore.Row // changes, oldest first
	droppedVersion uint64         // changes up to this version are no longer in history
	changed        chan struct{}  // closed at the next change
	chooseFault    func(call string) Fault
	delayed        []rowstore.Tx // transactions with the fault Delay
	rejects        func(rowstore.Row) bool
}

// maxScanRows bounds the rows of one scan, as the users' store does.
const maxScanRows = 500

// Fault is the fault that is injected into a call.
type Fault int

// Faults of a call.
const (
	None         Fault = iota
	Refuse             // not carried out; the caller gets ErrNotDone
	LoseRequest        // not carried out, no response
	LoseResponse       // carried out, no response
	Delay              // no response; carried out when ApplyDelayed is called
)

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[rowstore.Key]rowstore.Row{}, changed: make(chan struct{})}
}

var _ rowstore.Store = (*Store)(nil)

// SetFault sets the function that decides on the fault of each call ("commit", "scan", "changes"); nil means none.
func (s *Store) SetFault(f func(call string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooseFault = f
}

// SetRejects sets the function that decides which rows the store rejects each time; nil means none.
func (s *Store) SetRejects(f func(rowstore.Row) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects = f
}

// Commit implements rowstore.Store.
func (s *Store) Commit(_ context.Context, tx rowstore.Tx) (rowstore.TxResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.faultFor("commit") {
	case Refuse:
		return rowstore.TxResult{}, rowstore.ErrNotDone
	case LoseRequest:
		return rowstore.TxResult{}, rowstore.ErrUncertain
	case LoseResponse:
		s.apply(tx)
		return rowstore.TxResult{}, rowstore.ErrUncertain
	case Delay:
		s.delayed = append(s.delayed, tx)
		return rowstore.TxResult{}, rowstore.ErrUncertain
	}
	if s.rejects != nil && slices.ContainsFunc(tx.Puts, s.rejects) {
		return rowstore.TxResult{}, rowstore.ErrRejected
	}
	return s.apply(tx), nil
}

// ApplyDelayed carries out the transactions that were delayed, if their conditions still hold, and returns how many took effect.
func (s *Store) ApplyDelayed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := 0
	for _, tx := range s.delayed {
		if s.apply(tx).Applied {
			applied++
		}
	}
	s.delayed = nil
	return applied
}

// DropHistory drops all changes so far from the history of the feed.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedVersion = nil, s.version
}

// Put writes a row without conditions or faults, as another writer does.
func (s *Store) Put(k rowstore.Key, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(rowstore.Tx{Puts: []rowstore.Row{{Key: k, Value: value}}})
}

// Remove deletes a row without conditions or faults.
func (s *Store) Remove(k rowstore.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(rowstore.Tx{Removes: []rowstore.Key{k}})
}

func (s *Store) faultFor(call string) Fault {
	if s.chooseFault == nil {
		return None
	}
	return s.chooseFault(call)
}

func (s *Store) apply(tx rowstore.Tx) rowstore.TxResult {
	var current []rowstore.Row
	conditionsHold := true
	for _, c := range tx.Conditions {
		r, ok := s.rows[c.Key]
		if ok {
			current = append(current, r)
		}
		if r.Version != c.Version {
			conditionsHold = false
		}
	}
	if !conditionsHold {
		return rowstore.TxResult{Current: current}
	}
	s.version++
	for _, p := range tx.Puts {
		p.Version = s.version
		s.rows[p.Key] = p
		s.history = append(s.history, p)
	}
	for _, k := range tx.Removes {
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.history = append(s.history, rowstore.Row{Key: k, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return rowstore.TxResult{Applied: true, Version: s.version}
}

// Scan implements rowstore.Store.
func (s *Store) Scan(_ context.Context, table, partition string, keys rowstore.Range) (rowstore.ScanResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultFor("scan") != None || strings.Contains(keys.From, "\x00") {
		// Keys are text; a key with a zero byte is refused.
		return rowstore.ScanResult{}, rowstore.ErrNotDone
	}
	out := rowstore.ScanResult{Version: s.version}
	for k, r := range s.rows {
		if k.Table == table && k.Partition == partition && k.Key >= keys.From && (keys.To == "" || k.Key < keys.To) {
			out.Rows = append(out.Rows, r)
		}
	}
	slices.SortFunc(out.Rows, func(a, b rowstore.Row) int { return strings.Compare(a.Key.Key, b.Key.Key) })
	if len(out.Rows) > maxScanRows {
		out.Rows, out.More = out.Rows[:maxScanRows], true
	}
	return out, nil
}

// Changes implements rowstore.Store.
func (s *Store) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		out, changed, err := s.changesAfter(table, after)
		if err != nil || len(out.Rows) > 0 {
			return out, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return out, nil
		case <-ctx.Done():
			return rowstore.Changes{}, rowstore.ErrUncertain
		}
	}
}

func (s *Store) changesAfter(table string, after uint64) (rowstore.Changes, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultFor("changes") != None {
		return rowstore.Changes{}, nil, rowstore.ErrNotDone
	}
	if after < s.droppedVersion {
		return rowstore.Changes{}, nil, rowstore.ErrHistoryGone
	}
	out := rowstore.Changes{Version: s.version}
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			out.Rows = append(out.Rows, r)
		}
	}
	return out, s.changed, nil
}
