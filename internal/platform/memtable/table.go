package memtable

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
)

// maxVersionsKept bounds the versions of a row that are kept for stale reads.
const maxVersionsKept = 32

// rowVersion is the state of a row that applies from a time on.
type rowVersion struct {
	row     api.TableRow // as written last; a removal counts as a version too
	removed bool
	since   time.Time
}

// current returns the row as a reader sees it: version 0 if it is absent.
func (v rowVersion) current(key string) api.TableRow {
	if v.removed || v.row.Version == 0 {
		return api.TableRow{Key: key}
	}
	return v.row
}

// Table is a transactional table in memory. Transactions are serialisable. The versions of a row continue to grow after a removal, so that a version
// never denotes two different values of a key.
type Table struct {
	*FaultInjector
	rowsMu sync.Mutex
	rows   map[string][]rowVersion // versions by key, oldest first
	keys   []string                // sorted; includes removed rows
	held   []api.TxnRequest        // transactions that wait for ReleaseHeld, in the order of their arrival
}

var _ platform.Table = (*Table)(nil)

// NewTable returns an empty table. The seed determines which requests the faults with a rate affect.
func NewTable(c clock.Clock, seed uint64) *Table {
	return &Table{FaultInjector: newFaultInjector(c, seed), rows: map[string][]rowVersion{}}
}

// Txn commits all writes of req if all conditions hold.
func (t *Table) Txn(ctx context.Context, req api.TxnRequest) (api.TxnResponse, error) {
	inj, err := t.begin(ctx, true)
	if err != nil {
		return api.TxnResponse{}, err
	}
	if inj.hold {
		t.hold(req)
		return api.TxnResponse{}, t.noResponse("request delayed")
	}
	resp := t.apply(req, inj.conflict)
	if err := t.end(inj); err != nil {
		return api.TxnResponse{}, err
	}
	return resp, nil
}

func (t *Table) hold(req api.TxnRequest) {
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	t.held = append(t.held, req)
}

// ReleaseHeld applies the held transactions in the order of their arrival and returns their number.
func (t *Table) ReleaseHeld() int {
	t.rowsMu.Lock()
	held := t.held
	t.held = nil
	t.rowsMu.Unlock()
	for _, req := range held {
		t.apply(req, false)
	}
	return len(held)
}

func (t *Table) apply(req api.TxnRequest, conflict bool) api.TxnResponse {
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	now := t.clock.Now()
	committed := !conflict && t.conditionsHold(req.Conditions)
	if committed {
		for _, w := range req.Writes {
			t.write(w, now)
		}
	}
	rows := make([]api.TableRow, 0, len(req.Conditions))
	for _, c := range req.Conditions {
		rows = append(rows, t.newest(c.Key).current(c.Key))
	}
	return api.TxnResponse{Committed: committed, Rows: rows, NowMS: unixMS(now)}
}

func (t *Table) conditionsHold(conditions []api.TableCondition) bool {
	for _, c := range conditions {
		if t.newest(c.Key).current(c.Key).Version != c.Version {
			return false
		}
	}
	return true
}

func (t *Table) newest(key string) rowVersion {
	versions := t.rows[key]
	if len(versions) == 0 {
		return rowVersion{}
	}
	return versions[len(versions)-1]
}

func (t *Table) write(w api.TableWrite, now time.Time) {
	versions := t.rows[w.Key]
	if len(versions) == 0 {
		t.insertKey(w.Key)
	}
	next := api.TableRow{Key: w.Key, Version: t.newest(w.Key).row.Version + 1, Value: w.Value}
	versions = append(versions, rowVersion{row: next, removed: w.Remove, since: now})
	if len(versions) > maxVersionsKept {
		versions = append([]rowVersion(nil), versions[len(versions)-maxVersionsKept:]...)
	}
	t.rows[w.Key] = versions
}

func (t *Table) insertKey(key string) {
	i := sort.SearchStrings(t.keys, key)
	t.keys = append(t.keys, "")
	copy(t.keys[i+1:], t.keys[i:])
	t.keys[i] = key
}

// asOf returns the row at a time, or its oldest kept version if the version of that time was dropped.
func (t *Table) asOf(key string, at time.Time) api.TableRow {
	versions := t.rows[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if !versions[i].since.After(at) {
			return versions[i].current(key)
		}
	}
	if len(versions) > 0 && versions[0].row.Version > 1 {
		return versions[0].current(key) // earlier versions were dropped
	}
	return api.TableRow{Key: key}
}

// Get returns those rows of keys that exist, in a state as old as Faults.StaleBy.
func (t *Table) Get(ctx context.Context, keys ...string) (api.RowsResponse, error) {
	return t.read(ctx, func(at time.Time) []api.TableRow {
		rows := make([]api.TableRow, 0, len(keys))
		for _, key := range keys {
			if row := t.asOf(key, at); row.Version > 0 {
				rows = append(rows, row)
			}
		}
		return rows
	})
}

// Scan returns at most limit rows whose keys have the prefix and are greater than after, in a state as old as Faults.StaleBy.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) (api.RowsResponse, error) {
	return t.read(ctx, func(at time.Time) []api.TableRow {
		rows := []api.TableRow{}
		for i := sort.SearchStrings(t.keys, prefix); i < len(t.keys) && len(rows) < limit; i++ {
			key := t.keys[i]
			if !strings.HasPrefix(key, prefix) {
				break
			}
			if row := t.asOf(key, at); key > after && row.Version > 0 {
				rows = append(rows, row)
			}
		}
		return rows
	})
}

func (t *Table) read(ctx context.Context, rowsAt func(at time.Time) []api.TableRow) (api.RowsResponse, error) {
	inj, err := t.begin(ctx, false)
	if err != nil {
		return api.RowsResponse{}, err
	}
	staleBy := t.Faults().StaleBy
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	now := t.clock.Now()
	resp := api.RowsResponse{Rows: rowsAt(now.Add(-staleBy)), NowMS: unixMS(now)}
	if err := t.end(inj); err != nil {
		return api.RowsResponse{}, err
	}
	return resp, nil
}
