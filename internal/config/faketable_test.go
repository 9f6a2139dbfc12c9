package config

import (
	"context"
	"flag"
	"maps"
	"os"
	"testing"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result. A seed on the command line takes precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20260718")
	}
	os.Exit(m.Run())
}

// instantClock ends every wait immediately; simulated time does not advance during a put.
type instantClock struct{ clock.Clock }

func (c instantClock) After(time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	ch <- c.Now()
	return ch
}

// fault is a fault injected into one transaction.
type fault int

const (
	faultNone       fault = iota
	faultRefused          // refused, without effect
	faultLostBefore       // response lost, never applied
	faultLostAfter        // response lost, applied immediately
	faultLate             // response lost, applied before a later transaction
	faultCount
)

// supersededRows is a state of the rows and the time at which a write replaced it.
type supersededRows struct {
	until time.Time
	rows  map[string]api.TableRow
}

// fakeTable is an in-memory table with stale reads, lost responses and delayed writes.
type fakeTable struct {
	clk        clock.Clock
	rows       map[string]api.TableRow
	superseded []supersededRows
	delayed    []api.TxnRequest
	commits    []string // values written to RowCurrent, in order
}

func newFakeTable(clk clock.Clock) *fakeTable {
	return &fakeTable{clk: clk, rows: map[string]api.TableRow{}}
}

func (f *fakeTable) applyDelayed() {
	delayed := f.delayed
	f.delayed = nil
	for _, request := range delayed {
		f.apply(request)
	}
}

func (f *fakeTable) apply(request api.TxnRequest) api.TxnResponse {
	committed := true
	for _, c := range request.Conditions {
		committed = committed && f.rows[c.Key].Version == c.Version
	}
	if committed && len(request.Writes) > 0 {
		f.superseded = append(f.superseded, supersededRows{f.clk.Now(), maps.Clone(f.rows)})
		for _, w := range request.Writes {
			f.write(w)
		}
	}
	response := api.TxnResponse{Committed: committed}
	for _, c := range request.Conditions {
		if row, ok := f.rows[c.Key]; ok {
			response.Rows = append(response.Rows, row)
		}
	}
	return response
}

func (f *fakeTable) write(w api.TableWrite) {
	if w.Remove {
		delete(f.rows, w.Key)
		return
	}
	f.rows[w.Key] = api.TableRow{Key: w.Key, Version: f.rows[w.Key].Version + 1, Value: w.Value}
	if w.Key == RowCurrent {
		f.commits = append(f.commits, w.Value)
	}
}

// stateAt returns the rows that a replica with the given lag sees.
func (f *fakeTable) stateAt(lag time.Duration) map[string]api.TableRow {
	at := f.clk.Now().Add(-lag)
	for _, p := range f.superseded {
		if p.until.After(at) {
			return p.rows
		}
	}
	return f.rows
}

// link is one client's connection to the table.
type link struct {
	table     *fakeTable
	down      bool
	lag       func() time.Duration // replication lag of the next read
	fault     func() fault         // fault injected into the next transaction
	beforeTxn func()               // runs before each transaction, to interleave other clients
}

func (l *link) Txn(_ context.Context, request api.TxnRequest) (api.TxnResponse, error) {
	if l.down {
		return api.TxnResponse{}, platform.ErrUnavailable
	}
	if l.beforeTxn != nil {
		l.beforeTxn()
	}
	injected := faultNone
	if l.fault != nil {
		injected = l.fault()
	}
	switch injected {
	case faultRefused:
		return api.TxnResponse{}, platform.ErrUnavailable
	case faultLostBefore:
		return api.TxnResponse{}, platform.ErrUncertain
	case faultLostAfter:
		l.table.apply(request)
		return api.TxnResponse{}, platform.ErrUncertain
	case faultLate:
		l.table.delayed = append(l.table.delayed, request)
		return api.TxnResponse{}, platform.ErrUncertain
	}
	return l.table.apply(request), nil
}

func (l *link) Get(_ context.Context, keys ...string) (api.RowsResponse, error) {
	if l.down {
		return api.RowsResponse{}, platform.ErrUnavailable
	}
	rows := l.table.rows
	if l.lag != nil {
		rows = l.table.stateAt(l.lag())
	}
	var response api.RowsResponse
	for _, key := range keys {
		if row, ok := rows[key]; ok {
			response.Rows = append(response.Rows, row)
		}
	}
	return response, nil
}

func (l *link) Scan(context.Context, string, string, int) (api.RowsResponse, error) {
	panic("the configuration does not scan")
}
