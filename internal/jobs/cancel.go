package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/platform"
)

const (
	// cancelAttempts bounds the attempts to cancel a job whose row keeps changing.
	cancelAttempts = 5
	// cancelTimeout bounds the write of one batch of cancellations, whose callers may have different deadlines.
	cancelTimeout = 10 * time.Second
)

// Cancellation identifies a job to cancel. If Team is set, a job of another team gives ErrNoJob; if it is empty, the job may belong to any team.
type Cancellation struct{ ID, Team string }

// Cancel requests that the scheduler end the job and returns the resulting record. A job that has already ended is not changed, so the record shows
// whether the cancellation or the end came first.
func (s *Store) Cancel(ctx context.Context, id string) (StoredJob, error) {
	results, err := s.CancelAll(ctx, []Cancellation{{ID: id}})
	if err != nil {
		return StoredJob{}, err
	}
	return results[0].Stored, results[0].Err
}

// CancelAll is Cancel for many jobs, at the cost of one transaction per 32 jobs. The results are in the order of cancellations; their errors are
// ErrNoJob or ErrConflict. After an error of the table, some of the cancellations may have taken effect.
func (s *Store) CancelAll(ctx context.Context, cancellations []Cancellation) ([]Result, error) {
	results := make([]Result, len(cancellations))
	pending := make([]int, len(cancellations))
	for i, c := range cancellations {
		pending[i] = i
		results[i].Err = errors.Wrapf(ErrConflict, "cancel job %s", c.ID)
	}
	for attempt := 0; attempt < cancelAttempts && len(pending) > 0; attempt++ {
		read := s.table.Get
		if attempt > 0 {
			read = s.readCurrent // the rows that were read may have been stale
		}
		found, err := s.lookUp(ctx, cancellations, pending, read)
		if err != nil {
			return nil, err
		}
		if pending, err = s.requestCancel(ctx, cancellations, pending, found, results); err != nil {
			return nil, err
		}
	}
	return results, nil
}

// readRows reads rows; rows that do not exist are missing in the response or have version 0.
type readRows func(ctx context.Context, keys ...string) (api.RowsResponse, error)

func (s *Store) readCurrent(ctx context.Context, keys ...string) (api.RowsResponse, error) {
	resp, err := platform.ReadCurrent(ctx, s.table, keys...)
	return api.RowsResponse{Rows: resp.Rows, NowMS: resp.NowMS}, err
}

// lookupResult is the result of reading a job. Neither field is set if the job does not exist.
type lookupResult struct {
	indexed bool      // the index row of the job exists
	job     StoredJob // its ID is empty if the row moved to another key between the two reads
}

// lookUp reads the records of the pending cancellations and returns them by job id.
func (s *Store) lookUp(ctx context.Context, cancellations []Cancellation, pending []int, read readRows) (map[string]lookupResult, error) {
	byID := make(map[string]lookupResult, len(pending))
	for len(pending) > 0 {
		n := min(scanPageRows, len(pending))
		index := make([]string, 0, n)
		for _, i := range pending[:n] {
			index = append(index, indexPrefix+cancellations[i].ID)
		}
		pending = pending[n:]
		if err := s.lookUpPage(ctx, index, read, byID); err != nil {
			return nil, err
		}
	}
	return byID, nil
}

func (s *Store) lookUpPage(ctx context.Context, index []string, read readRows, byID map[string]lookupResult) error {
	keys, err := read(ctx, index...)
	if err != nil {
		return err
	}
	var rowKeys []string
	for _, row := range keys.Rows {
		if row.Version > 0 {
			byID[row.Key[len(indexPrefix):]] = lookupResult{indexed: true}
			rowKeys = append(rowKeys, row.Value)
		}
	}
	if len(rowKeys) == 0 {
		return nil
	}
	rows, err := read(ctx, rowKeys...)
	if err != nil {
		return err
	}
	for _, row := range rows.Rows {
		if row.Version == 0 {
			continue
		}
		j, err := decode(row)
		if err != nil {
			return err
		}
		byID[j.ID] = lookupResult{true, j}
	}
	return nil
}

// requestCancel writes the cancel requests of the jobs that were found and returns the cancellations that must be retried.
func (s *Store) requestCancel(ctx context.Context, cancellations []Cancellation, pending []int, found map[string]lookupResult, results []Result) ([]int, error) {
	var retry, changed []int
	var changes []Change
	for _, i := range pending {
		l := found[cancellations[i].ID]
		switch j := l.job; {
		case !l.indexed, j.ID != "" && cancellations[i].Team != "" && j.Spec.Team != cancellations[i].Team:
			results[i] = Result{Err: ErrNoJob}
		case j.ID == "":
			retry = append(retry, i)
		case Ended(j.Phase) || j.CancelRequested:
			results[i] = Result{Stored: j}
		default:
			next := j.JobRecord
			next.CancelRequested = true
			changed = append(changed, i)
			changes = append(changes, Change{From: j, To: next})
		}
	}
	updated, err := s.Update(ctx, changes)
	if err != nil {
		return nil, err
	}
	for n, i := range changed {
		if updated[n].Err != nil {
			retry = append(retry, i)
			continue
		}
		results[i] = updated[n]
	}
	return retry, nil
}

// cancelBatcher collects the cancellations that arrive while others are being written into one batch, so that a burst of them costs few writes.
type cancelBatcher struct {
	mu      sync.Mutex
	running bool
	next    *cancelBatch
}

type cancelBatch struct {
	cancellations []Cancellation
	done          chan struct{} // closed when results and err are set
	results       []Result
	err           error
}

// do cancels one job, in a batch with concurrent cancellations if there are any.
func (g *cancelBatcher) do(ctx context.Context, store *Store, c Cancellation) (StoredJob, error) {
	g.mu.Lock()
	if g.next == nil {
		g.next = &cancelBatch{done: make(chan struct{})}
	}
	batch, position := g.next, len(g.next.cancellations)
	batch.cancellations = append(batch.cancellations, c)
	if !g.running {
		g.running = true
		go g.run(store)
	}
	g.mu.Unlock()
	select {
	case <-batch.done:
	case <-ctx.Done():
		return StoredJob{}, errors.Wrap(platform.ErrUncertain, ctx.Err().Error())
	}
	if batch.err != nil {
		return StoredJob{}, batch.err
	}
	return batch.results[position].Stored, batch.results[position].Err
}

// run writes batches until none is pending.
func (g *cancelBatcher) run(store *Store) {
	for {
		g.mu.Lock()
		batch := g.next
		g.next = nil
		g.running = batch != nil
		g.mu.Unlock()
		if batch == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		batch.results, batch.err = store.CancelAll(ctx, batch.cancellations)
		cancel()
		close(batch.done)
	}
}
