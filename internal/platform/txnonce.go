package platform

import (
	"context"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
)

// MaxTxnAttempts is the number of times that TxnOnce sends the transaction.
const MaxTxnAttempts = 3

// impossibleVersion is a version that no row has. A transaction conditional on it always conflicts and returns the current rows.
const impossibleVersion = -1

// ErrOverwritten means that the response was lost and that the marker row was written more than once since, so that it no longer shows the outcome:
// the transaction may have committed and been overwritten, or may have had no effect.
var ErrOverwritten = errors.New("row was overwritten after a lost answer")

// ErrBadMarker means that the transaction does not write the marker row under a condition on its version, so that its effect could not be recognised.
// Nothing was sent.
var ErrBadMarker = errors.New("transaction does not conditionally write the marker row")

// ReadCurrent returns the current rows of keys. Unlike Table.Get it never returns stale rows, because the table evaluates the conditions of a
// transaction on current rows only. It costs one transaction. Absent rows have version 0.
func ReadCurrent(ctx context.Context, table Table, keys ...string) (api.TxnResponse, error) {
	req := api.TxnRequest{Conditions: make([]api.TableCondition, 0, len(keys))}
	for _, key := range keys {
		req.Conditions = append(req.Conditions, api.TableCondition{Key: key, Version: impossibleVersion})
	}
	return table.Txn(ctx, req)
}

// TxnOnce commits the transaction at most once. If a response is lost, it reads the marker row before it sends the transaction again and recognises
// its own write by the row's value. The transaction must write the marker row with a value that no other transaction writes, such as one that
// contains a request id, and must have a condition on the version of that row. The condition also prevents a delayed first attempt from taking effect
// after a later one.
//
// Errors wrap ErrUnavailable if the transaction certainly had no effect, ErrUncertain if its effect is unknown, ErrOverwritten or ErrBadMarker. A
// conflict is reported in the response, as with Table.Txn.
func TxnOnce(ctx context.Context, table Table, req api.TxnRequest, marker string) (api.TxnResponse, error) {
	ownValue, expectedVersion, ok := markerWrite(req, marker)
	if !ok {
		return api.TxnResponse{}, errors.Wrap(ErrBadMarker, marker)
	}
	resp, err := table.Txn(ctx, req)
	for attempt := 1; errors.Is(err, ErrUncertain); attempt++ {
		current, readErr := ReadCurrent(ctx, table, marker)
		if readErr != nil {
			return api.TxnResponse{}, errors.Wrapf(ErrUncertain, "read after a lost answer: %v", readErr)
		}
		row := findRow(current.Rows, marker)
		if row.Version != expectedVersion {
			return resolveOutcome(current, row, ownValue, expectedVersion)
		}
		if attempt == MaxTxnAttempts {
			return api.TxnResponse{}, err
		}
		resp, err = retry(ctx, table, req, marker)
	}
	return resp, err
}

// retry sends the transaction again after an attempt with unknown effect. It must not report that the transaction had no effect unless the first
// attempt can no longer take effect.
func retry(ctx context.Context, table Table, req api.TxnRequest, marker string) (api.TxnResponse, error) {
	ownValue, expectedVersion, _ := markerWrite(req, marker)
	resp, err := table.Txn(ctx, req)
	if errors.Is(err, ErrUnavailable) {
		return resp, errors.Wrap(ErrUncertain, err.Error())
	}
	if err != nil || resp.Committed {
		return resp, err
	}
	if row := findRow(resp.Rows, marker); row.Version != expectedVersion {
		return resolveOutcome(resp, row, ownValue, expectedVersion)
	}
	if !violated(req.Conditions, resp.Rows) {
		return resp, errors.Wrap(ErrUncertain, "conflict without a violated condition; the first attempt may still take effect")
	}
	return resp, nil
}

// violated reports whether a condition doesn't hold for its row. Versions only grow, so such a transaction can never commit.
func violated(conditions []api.TableCondition, rows []api.TableRow) bool {
	for _, c := range conditions {
		if findRow(rows, c.Key).Version != c.Version {
			return true
		}
	}
	return false
}

// resolveOutcome decides from the current marker row whether the transaction took effect.
func resolveOutcome(current api.TxnResponse, row api.TableRow, ownValue string, expectedVersion int) (api.TxnResponse, error) {
	current.Committed = row.Version == expectedVersion+1 && row.Value == ownValue
	if !current.Committed && row.Version != expectedVersion+1 {
		return api.TxnResponse{}, errors.Wrapf(ErrOverwritten, "row %q has version %d, expected %d", row.Key, row.Version, expectedVersion+1)
	}
	return current, nil
}

// markerWrite returns the value that req writes to the marker row and the version that its condition expects. ok is false if it lacks either.
func markerWrite(req api.TxnRequest, marker string) (ownValue string, expectedVersion int, ok bool) {
	written, conditional := false, false
	for _, w := range req.Writes {
		if w.Key == marker && !w.Remove {
			ownValue, written = w.Value, true
		}
	}
	for _, c := range req.Conditions {
		if c.Key == marker {
			expectedVersion, conditional = c.Version, true
		}
	}
	return ownValue, expectedVersion, written && conditional
}

func findRow(rows []api.TableRow, key string) api.TableRow {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return api.TableRow{Key: key}
}
