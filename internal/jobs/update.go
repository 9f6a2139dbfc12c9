package jobs

import (
	"context"

	"samphirewell/internal/api"
)

// maxTxnChanges is the maximum number of job changes in one transaction.
const maxTxnChanges = 32

// Change replaces a record that was read with another one. Changing the failure domain or ending the job moves the row.
type Change struct {
	From StoredJob
	To   api.JobRecord
}

// Result is the outcome of one change: the new record, or ErrConflict.
type Result struct {
	Stored StoredJob
	Err    error
}

// Update writes the changes in transactions of up to 32 changes each. When a transaction conflicts, its changes are written one at a time, so that
// one stale record does not block the others. An error of the table ends the call; changes of earlier transactions have then taken effect, and the
// caller must read the rows again before it continues. The guards are conditions of every transaction; if one does not hold, all changes of the
// transaction conflict.
func (s *Store) Update(ctx context.Context, changes []Change, guards ...api.TableCondition) ([]Result, error) {
	results := make([]Result, 0, len(changes))
	for len(changes) > 0 {
		n := min(maxTxnChanges, len(changes))
		batch, err := s.updateBatch(ctx, changes[:n], guards)
		results = append(results, batch...)
		if err != nil {
			return results, err
		}
		changes = changes[n:]
	}
	return results, nil
}

func (s *Store) updateBatch(ctx context.Context, changes []Change, guards []api.TableCondition) ([]Result, error) {
	req := transaction(changes)
	req.Conditions = append(req.Conditions, guards...)
	resp, err := s.table.Txn(ctx, req)
	if err != nil {
		return nil, err
	}
	if resp.Committed {
		return resultsOf(changes, resp.Rows), nil
	}
	if len(changes) == 1 {
		return []Result{{Err: ErrConflict}}, nil
	}
	results := make([]Result, 0, len(changes))
	for i := range changes {
		single, err := s.updateBatch(ctx, changes[i:i+1], guards)
		if err != nil {
			return results, err
		}
		results = append(results, single...)
	}
	return results, nil
}

// transaction makes each change conditional on the version that was read and, if the row moves, on the absence of a row at the new key. The new key
// is among the conditions, so that the response contains its new version.
func transaction(changes []Change) api.TxnRequest {
	var req api.TxnRequest
	for _, c := range changes {
		key := rowKey(c.To)
		req.Conditions = append(req.Conditions, api.TableCondition{Key: c.From.Key, Version: c.From.Version})
		req.Writes = append(req.Writes, api.TableWrite{Key: key, Value: encode(c.To)})
		if key == c.From.Key {
			continue
		}
		req.Conditions = append(req.Conditions, api.TableCondition{Key: key})
		req.Writes = append(req.Writes, api.TableWrite{Key: c.From.Key, Remove: true}, api.TableWrite{Key: indexPrefix + c.To.ID, Value: key})
	}
	return req
}

func resultsOf(changes []Change, rows []api.TableRow) []Result {
	results := make([]Result, 0, len(changes))
	for _, c := range changes {
		key := rowKey(c.To)
		results = append(results, Result{Stored: StoredJob{JobRecord: c.To, Key: key, Version: versionOf(rows, key)}})
	}
	return results
}
