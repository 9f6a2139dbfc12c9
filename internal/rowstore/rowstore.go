// Package rowstore defines the durable table service that holds everything that must outlive a host, and a follower that
// keeps a copy of one table.
package rowstore

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store. Any other error means that the call had no effect and that repeating it is useless.
var (
	// ErrNotDone means that the call certainly had no effect, for example because the store refused it.
	ErrNotDone = errors.New("the store did not carry out the call")
	// ErrUncertain means that no answer came. A transaction may have been carried out, or may still be.
	ErrUncertain = errors.New("no answer from the store")
	// ErrHistoryGone means that the changes after the requested version are no longer kept.
	ErrHistoryGone = errors.New("the store no longer keeps the requested history")
)

// Key identifies a row by its table, the partition of the table and its key within the partition.
type Key struct{ Table, Partition, Key string }

// Row is a row of a table. Version is the version of the transaction that wrote it.
type Row struct {
	Key
	Value   []byte
	Version uint64
	Deleted bool // only among changes
}

// Condition requires that a row has a version; 0 requires that the row doesn't exist.
type Condition struct {
	Key
	Version uint64
}

// Tx is a transaction. All its rows belong to one partition.
type Tx struct {
	Conditions []Condition
	Puts       []Row // Version is ignored
	Removes    []Key
}

// MaxTxRows is the number of conditions, puts and removes that one transaction may hold.
const MaxTxRows = 100

// TxResult is the outcome of a transaction that the store decided on.
type TxResult struct {
	Applied bool
	Version uint64 // of the applied transaction
	Current []Row  // rows of the conditions as they are, if not applied
}

// Range limits a scan to keys from From up to but without To; an empty To means no limit.
type Range struct{ From, To string }

// ScanResult is a part of a table at one moment.
type ScanResult struct {
	Rows    []Row // by key, ascending
	More    bool  // the result was cut
	Version uint64
}

// Changes is what changed in a table after a version.
type Changes struct {
	Rows    []Row
	Version uint64 // continue from here
}

// Store is the table service. Implementations are safe for concurrent use.
type Store interface {
	Commit(ctx context.Context, tx Tx) (TxResult, error)
	// Scan returns rows of one part in the order of their keys.
	Scan(ctx context.Context, table, part string, r Range) (ScanResult, error)
	// Changes waits at most for wait until there is a change after the version.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// ScanAll returns all rows of the parts of a table and the oldest version of the scans. Changes after that version may be contained already. The parts
// are read at the same time, since each answer of a slow store takes long.
func ScanAll(ctx context.Context, s Store, table string, parts []string) ([]Row, uint64, error) {
	type result struct {
		rows    []Row
		version uint64
		err     error
	}
	results := make([]result, len(parts))
	var group sync.WaitGroup
	for i, part := range parts {
		group.Go(func() {
			rows, version, err := scanPart(ctx, s, table, part)
			results[i] = result{rows, version, err}
		})
	}
	group.Wait()
	var rows []Row
	oldest := uint64(0)
	for i, r := range results {
		if r.err != nil {
			return nil, 0, r.err
		}
		rows = append(rows, r.rows...)
		if i == 0 || r.version < oldest {
			oldest = r.version
		}
	}
	return rows, oldest, nil
}

// scanPart returns all rows of a part and the version of its first page.
func scanPart(ctx context.Context, s Store, table, part string) (rows []Row, version uint64, err error) {
	from := ""
	for first := true; ; first = false {
		r, err := s.Scan(ctx, table, part, Range{From: from})
		if err != nil {
			return nil, 0, err
		}
		if first {
			version = r.Version
		} else if len(r.Rows) > 0 && r.Rows[0].Key.Key == from {
			r.Rows = r.Rows[1:] // the last row of the page before
		}
		rows = append(rows, r.Rows...)
		if !r.More || len(r.Rows) == 0 {
			return rows, version, nil
		}
		from = r.Rows[len(r.Rows)-1].Key.Key
	}
}
