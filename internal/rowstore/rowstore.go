// Package rowstore defines the interface of the durable table service, which stores all state that must survive the loss of a host, and a follower
// that keeps a copy of one table.
package rowstore

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store.
var (
	// ErrNotDone means that the call certainly had no effect, for example because the store refused it.
	ErrNotDone = errors.New("the store did not carry out the call")
	// ErrUncertain means that no response came. A transaction may have been carried out, or may still be carried out later.
	ErrUncertain = errors.New("no answer from the store")
	// ErrRejected means that the call had no effect and that the store rejects it each time, for example because a value is too long.
	ErrRejected = errors.New("the store rejects the call")
	// ErrHistoryGone means that the store no longer keeps the changes after the requested version.
	ErrHistoryGone = errors.New("the store no longer keeps the requested history")
)

// Key identifies a row by its table, the partition of the table and its key within the partition.
type Key struct{ Table, Partition, Key string }

// Row is a row of a table. Version is the version of the transaction that wrote it.
type Row struct {
	Key
	Value   []byte
	Version uint64
	Deleted bool // set only in Changes
}

// Condition requires that a row has the given version; 0 requires that the row doesn't exist.
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

// MinRowBytes is the least size that a store allows for the value of a row, bytes.
const MinRowBytes = 64 << 10

// MaxTxRows is the number of conditions, puts and removes that one transaction may hold.
const MaxTxRows = 100

// TxResult is the outcome of a transaction that the store decided on.
type TxResult struct {
	Applied bool
	Version uint64 // of the applied transaction
	Current []Row  // current rows of the conditions, if not applied
}

// Range limits a scan to keys from From up to but without To; an empty To means no limit.
type Range struct{ From, To string }

// ScanResult is a page of rows of one partition at one moment.
type ScanResult struct {
	Rows    []Row  // by key, ascending
	More    bool   // there are further rows in the range
	Version uint64 // the page may lack changes after this version
}

// Changes holds the changes of a table after a version.
type Changes struct {
	Rows    []Row
	Version uint64 // request the next changes after this version
}

// Store is the table service. Implementations are safe for concurrent use.
type Store interface {
	// Commit applies a transaction if all its conditions hold.
	Commit(ctx context.Context, tx Tx) (TxResult, error)
	// Scan returns rows of one partition in the order of their keys.
	Scan(ctx context.Context, table, partition string, r Range) (ScanResult, error)
	// Changes returns the changes of a table after a version. If there are none, it waits for one for at most wait.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// ScanAll returns all rows of the given partitions of a table and the oldest version of the scans. The rows may already contain changes after that
// version. The partitions are read concurrently, since each response of a slow store takes long.
func ScanAll(ctx context.Context, s Store, table string, partitions []string) ([]Row, uint64, error) {
	type result struct {
		rows    []Row
		version uint64
		err     error
	}
	results := make([]result, len(partitions))
	var group sync.WaitGroup
	for i, partition := range partitions {
		group.Go(func() {
			rows, version, err := scanPartition(ctx, s, table, partition)
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

// pageTimeout bounds the scan of one page. A listing as a whole isn't bounded, since its time grows with the table.
const pageTimeout = 1500 * time.Millisecond

// scanPage returns the first rows of a partition from a key on.
func scanPage(ctx context.Context, s Store, table, partition, from string) (ScanResult, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return s.Scan(ctx, table, partition, Range{From: from})
}

// scanPartition returns all rows of a partition and the version of the first page.
func scanPartition(ctx context.Context, s Store, table, partition string) (rows []Row, version uint64, err error) {
	from := ""
	for first := true; ; first = false {
		r, err := scanPage(ctx, s, table, partition, from)
		if err != nil {
			return nil, 0, err
		}
		if first {
			version = r.Version
		} else if len(r.Rows) > 0 && r.Rows[0].Key.Key == from {
			r.Rows = r.Rows[1:] // the last row of the previous page
		}
		rows = append(rows, r.Rows...)
		if !r.More || len(r.Rows) == 0 {
			return rows, version, nil
		}
		from = r.Rows[len(r.Rows)-1].Key.Key
	}
}
