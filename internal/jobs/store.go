// Package jobs stores job records in the platform's table and serves the job interface to callers.
//
// A live job is stored in the row jobs/<failure domain>/<id>, an ended one in finished/<team>/<id>; job-index/<id> contains the key of that row.
// The scheduler of a failure domain scans only its live rows, so its reads do not grow with the number of ended jobs.
package jobs

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/platform"
)

// Key prefixes of the rows.
const (
	livePrefix     = "jobs/"
	finishedPrefix = "finished/"
	indexPrefix    = "job-index/"
)

// scanPageRows is the maximum number of rows per read.
const scanPageRows = 500

// idBytes is the length of a job id before encoding; 80 bits make a collision within a million jobs unlikely (under 1e-12).
const idBytes = 10

// ErrNoJob means that no such job exists.
var ErrNoJob = errors.New("no such job")

// ErrKeyReused means that the submission key belongs to a job with another specification.
var ErrKeyReused = errors.New("submission key belongs to a job with another specification")

// ErrConflict means that the row changed since it was read.
var ErrConflict = errors.New("job record has changed")

// StoredJob is a job record with the key and version of its row.
type StoredJob struct {
	api.JobRecord
	Key     string
	Version int
}

// Store reads and writes job records.
type Store struct{ table platform.Table }

// NewStore returns a store on top of the platform's table.
func NewStore(table platform.Table) *Store { return &Store{table: table} }

// ID returns the job id of a team's submission key. It is a function of both, so that a repeated submission finds the first job.
func ID(team, submissionKey string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + submissionKey))
	return hex.EncodeToString(sum[:idBytes])
}

// Ended reports whether phase is final.
func Ended(phase api.JobRecordPhase) bool {
	switch phase {
	case api.JobRecordPhaseSucceeded, api.JobRecordPhaseFailed, api.JobRecordPhaseCancelled, api.JobRecordPhaseRefused:
		return true
	}
	return false
}

func rowKey(r api.JobRecord) string {
	if Ended(r.Phase) {
		return finishedPrefix + r.Spec.Team + "/" + r.ID
	}
	return livePrefix + r.FailureDomain + "/" + r.ID
}

// Submit stores the job in the failure domain and returns its record. A repeated submission returns the existing job. A submitted job is never lost:
// the error is platform.ErrUnavailable only if no row was written, and platform.ErrUncertain if a second read could not determine whether one was
// written.
func (s *Store) Submit(ctx context.Context, spec api.JobSpec, domain string, nowMs int) (StoredJob, error) {
	rec := api.JobRecord{
		ID: ID(spec.Team, spec.SubmissionKey), FailureDomain: domain, Spec: spec, Phase: api.JobRecordPhaseWaiting,
		SubmittedMS: nowMs, Placements: []api.Placement{}, FailedWorkers: []string{}, Slot: -1,
	}
	key := rowKey(rec)
	index := indexPrefix + rec.ID
	resp, err := s.table.Txn(ctx, api.TxnRequest{
		Conditions: []api.TableCondition{{Key: index}, {Key: key}},
		Writes:     []api.TableWrite{{Key: index, Value: key}, {Key: key, Value: encode(rec)}},
	})
	if err == nil && resp.Committed {
		return StoredJob{JobRecord: rec, Key: key, Version: versionOf(resp.Rows, key)}, nil
	}
	if errors.Is(err, platform.ErrUnavailable) {
		return StoredJob{}, err
	}
	existing, getErr := s.Get(ctx, rec.ID)
	switch {
	case getErr == nil && existing.Spec != spec:
		return StoredJob{}, ErrKeyReused
	case getErr == nil:
		return existing, nil
	case err != nil:
		return StoredJob{}, err
	}
	return StoredJob{}, errors.WithMessage(platform.ErrUncertain, getErr.Error())
}

// Get returns one job, or ErrNoJob.
func (s *Store) Get(ctx context.Context, id string) (StoredJob, error) {
	// The row may move between the two reads, for instance when the job ends; the second iteration then finds its new key.
	for range 2 {
		index, err := s.table.Get(ctx, indexPrefix+id)
		if err != nil {
			return StoredJob{}, err
		}
		if len(index.Rows) == 0 {
			return StoredJob{}, ErrNoJob
		}
		row, err := s.table.Get(ctx, index.Rows[0].Value)
		if err != nil {
			return StoredJob{}, err
		}
		if len(row.Rows) == 1 {
			return decode(row.Rows[0])
		}
	}
	return StoredJob{}, errors.Wrapf(ErrConflict, "row of job %s moved while it was read", id)
}

// Live returns all jobs of a failure domain that have not ended, in the order of their ids.
func (s *Store) Live(ctx context.Context, domain string) ([]StoredJob, error) {
	return s.scan(ctx, livePrefix+domain+"/", noneCached)
}

// LiveChanged is Live for a caller that has cached some rows: it does not decode the rows for which cached returns true, and returns them with key
// and version only.
func (s *Store) LiveChanged(ctx context.Context, domain string, cached func(key string, version int) bool) ([]StoredJob, error) {
	return s.scan(ctx, livePrefix+domain+"/", cached)
}

// IDFromKey returns the job id that the key of a row contains.
func IDFromKey(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// ListByTeam returns the jobs of a team in all failure domains, live ones first.
func (s *Store) ListByTeam(ctx context.Context, team string) ([]StoredJob, error) {
	live, err := s.scan(ctx, livePrefix, noneCached)
	if err != nil {
		return nil, err
	}
	out := make([]StoredJob, 0, len(live))
	for _, j := range live {
		if j.Spec.Team == team {
			out = append(out, j)
		}
	}
	ended, err := s.scan(ctx, finishedPrefix+team+"/", noneCached)
	if err != nil {
		return nil, err
	}
	return append(out, ended...), nil
}

func noneCached(string, int) bool { return false }

func (s *Store) scan(ctx context.Context, prefix string, cached func(key string, version int) bool) ([]StoredJob, error) {
	var out []StoredJob
	after := ""
	for {
		resp, err := s.table.Scan(ctx, prefix, after, scanPageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range resp.Rows {
			after = row.Key
			if cached(row.Key, row.Version) {
				out = append(out, StoredJob{Key: row.Key, Version: row.Version})
				continue
			}
			j, err := decode(row)
			if err != nil {
				return nil, err
			}
			out = append(out, j)
		}
		if len(resp.Rows) < scanPageRows {
			return out, nil
		}
	}
}

// Current returns the newest state of the rows of jobs, by one transaction; Live may return an older one. The record of a row that does not exist,
// because the job ended or moved, has an empty id. The order is that of keys.
func (s *Store) Current(ctx context.Context, keys ...string) ([]StoredJob, error) {
	resp, err := platform.ReadCurrent(ctx, s.table, keys...)
	if err != nil {
		return nil, err
	}
	byKey := make(map[string]StoredJob, len(keys))
	for _, row := range resp.Rows {
		if row.Version == 0 {
			continue
		}
		if byKey[row.Key], err = decode(row); err != nil {
			return nil, err
		}
	}
	out := make([]StoredJob, 0, len(keys))
	for _, key := range keys {
		out = append(out, byKey[key])
	}
	return out, nil
}

func encode(r api.JobRecord) string {
	data, err := json.Marshal(r)
	if err != nil {
		panic("job record cannot be encoded: " + err.Error()) // plain data; cannot fail
	}
	return string(data)
}

func decode(row api.TableRow) (StoredJob, error) {
	var r api.JobRecord
	if err := json.NewDecoder(strings.NewReader(row.Value)).Decode(&r); err != nil {
		return StoredJob{}, errors.Wrapf(err, "row %s", row.Key)
	}
	return StoredJob{JobRecord: r, Key: row.Key, Version: row.Version}, nil
}

func versionOf(rows []api.TableRow, key string) int {
	for _, r := range rows {
		if r.Key == key {
			return r.Version
		}
	}
	return 0
}
