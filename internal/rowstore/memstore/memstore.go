// Package memstore is a table service in memory with fault switches, for tests and stand-ins.
package memstore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"samphirewell/internal/rowstore"
)

// Store is a rowstore.Store in memory.
type Store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowstore.Key]rowstore.Row
	history []rowstore.Row
	floor   uint64 // changes up to here are forgotten
	changed chan struct{}
	fault   func(call string) Fault
	late    []rowstore.Tx
}

// scanRows bounds the rows of one scan, as the users' store does.
const scanRows = 500

// Fault is what happens to a call.
type Fault int

// Faults of a call.
const (
	None       Fault = iota
	Refuse           // not carried out, and said so
	LoseBefore       // not carried out, no answer
	LoseAfter        // carried out, no answer
	Delay            // no answer; carried out when ApplyDelayed is called
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
	s.fault = f
}

// Commit implements rowstore.Store.
func (s *Store) Commit(_ context.Context, tx rowstore.Tx) (rowstore.TxResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.faultOf("commit") {
	case Refuse:
		return rowstore.TxResult{}, rowstore.ErrNotDone
	case LoseBefore:
		return rowstore.TxResult{}, rowstore.ErrUncertain
	case LoseAfter:
		s.apply(tx)
		return rowstore.TxResult{}, rowstore.ErrUncertain
	case Delay:
		s.late = append(s.late, tx)
		return rowstore.TxResult{}, rowstore.ErrUncertain
	}
	return s.apply(tx), nil
}

// ApplyDelayed carries out the transactions that were delayed, if their conditions still hold, and returns how many took effect.
func (s *Store) ApplyDelayed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := 0
	for _, tx := range s.late {
		if s.apply(tx).Applied {
			applied++
		}
	}
	s.late = nil
	return applied
}

// ForgetHistory drops the history of the feed.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.floor = nil, s.version
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

func (s *Store) faultOf(call string) Fault {
	if s.fault == nil {
		return None
	}
	return s.fault(call)
}

func (s *Store) apply(tx rowstore.Tx) rowstore.TxResult {
	var current []rowstore.Row
	holds := true
	for _, c := range tx.Conditions {
		r, ok := s.rows[c.Key]
		if ok {
			current = append(current, r)
		}
		if r.Version != c.Version {
			holds = false
		}
	}
	if !holds {
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
func (s *Store) Scan(_ context.Context, table, part string, within rowstore.Range) (rowstore.ScanResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultOf("scan") != None || strings.Contains(within.From, "\x00") {
		// Keys are text; a key with a zero byte is refused.
		return rowstore.ScanResult{}, rowstore.ErrNotDone
	}
	out := rowstore.ScanResult{Version: s.version}
	for k, r := range s.rows {
		if k.Table == table && k.Partition == part && k.Key >= within.From && (within.To == "" || k.Key < within.To) {
			out.Rows = append(out.Rows, r)
		}
	}
	slices.SortFunc(out.Rows, func(a, b rowstore.Row) int { return strings.Compare(a.Key.Key, b.Key.Key) })
	if len(out.Rows) > scanRows {
		out.Rows, out.More = out.Rows[:scanRows], true
	}
	return out, nil
}

// Changes implements rowstore.Store.
func (s *Store) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		out, changed, err := s.changesNow(table, after)
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

func (s *Store) changesNow(table string, after uint64) (rowstore.Changes, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultOf("changes") != None {
		return rowstore.Changes{}, nil, rowstore.ErrNotDone
	}
	if after < s.floor {
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
