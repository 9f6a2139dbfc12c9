package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/platform"
)

// RowCurrent is the key of the row with the accepted version.
const RowCurrent = "config/current"

// KeptVersions is the number of accepted versions whose texts stay in the table, for differences and for late retries of
// requests. At 350 changes a day it covers about 17 hours.
const KeptVersions = 256

// versionKey returns the key of the row that keeps one accepted version. Its value is the one that RowCurrent had for that version.
func versionKey(version int) string { return fmt.Sprintf("config/versions/%012d", version) }

// freshRows reads rows through a transaction without writes, which a stale replica cannot serve. ExpectedVersion is the row version that RowCurrent
// probably has; a wrong value costs nothing, because the response to a conflict contains the current rows.
func freshRows(ctx context.Context, table platform.Table, expectedVersion int, moreKeys ...string) (map[string]api.TableRow, error) {
	conditions := []api.TableCondition{{Key: RowCurrent, Version: expectedVersion}}
	for _, key := range moreKeys {
		conditions = append(conditions, api.TableCondition{Key: key, Version: 1})
	}
	response, err := table.Txn(ctx, api.TxnRequest{Conditions: conditions, Writes: []api.TableWrite{}})
	if err != nil {
		return nil, asTableError(err, "read the accepted configuration")
	}
	return existingRows(response.Rows), nil
}

// asTableError wraps err. Every error that is not one of the table, for example a cancelled context, becomes platform.ErrUncertain.
func asTableError(err error, operation string) error {
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain) {
		return errors.Wrap(err, operation)
	}
	return errors.Wrapf(platform.ErrUncertain, "%s: %v", operation, err)
}

// existingRows indexes rows by key and omits rows that do not exist.
func existingRows(rows []api.TableRow) map[string]api.TableRow {
	byKey := make(map[string]api.TableRow, len(rows))
	for _, row := range rows {
		if row.Version > 0 {
			byKey[row.Key] = row
		}
	}
	return byKey
}

// versionAt returns the version stored under key, or nil if the row does not exist. The error is ErrCorrupt, wrapped.
func versionAt(rows map[string]api.TableRow, key string) (*Accepted, error) {
	row, ok := rows[key]
	if !ok {
		return nil, nil
	}
	stored, err := decodeRow(row.Value)
	if err != nil {
		return nil, err
	}
	return AcceptedFromRow(stored)
}

// writeVersion commits a as the accepted version if RowCurrent still has the row version currentRowVersion, and reports whether it did.
func writeVersion(ctx context.Context, table platform.Table, currentRowVersion int, a *Accepted) (bool, error) {
	value, err := json.Marshal(a.Row())
	if err != nil {
		return false, errors.Wrap(err, "encode the accepted configuration")
	}
	request := api.TxnRequest{
		Conditions: []api.TableCondition{{Key: RowCurrent, Version: currentRowVersion}},
		Writes: []api.TableWrite{
			{Key: RowCurrent, Value: string(value)},
			{Key: versionKey(a.Version), Value: string(value)},
		},
	}
	if expiredVersion := a.Version - KeptVersions; expiredVersion > 0 {
		request.Writes = append(request.Writes, api.TableWrite{Key: versionKey(expiredVersion), Remove: true})
	}
	response, err := table.Txn(ctx, request)
	if err != nil {
		return false, asTableError(err, "write the accepted configuration")
	}
	return response.Committed, nil
}
