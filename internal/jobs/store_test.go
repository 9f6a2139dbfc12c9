package jobs

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
	"samphirewell/internal/platform/memtable"
)

var ctx = context.Background()

func newStore() (*Store, *memtable.Table) {
	table := memtable.NewTable(clock.NewManual(time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)), 1)
	return NewStore(table), table
}

func testSpec(key string) api.JobSpec {
	return api.JobSpec{
		SubmissionKey: key, Team: "t", Kind: "k", Class: api.JobSpecClassNormal, Parts: 2, Cores: 1, MemoryGb: 1,
		Adjacency: api.JobSpecAdjacencyDomain, DeclaredRunMS: 1000,
	}
}

func mustSubmit(t *testing.T, s *Store, key string) StoredJob {
	t.Helper()
	j, err := s.Submit(ctx, testSpec(key), "d1", 5)
	must.NoError(t, err)
	return j
}

func succeededRecord(j StoredJob) api.JobRecord {
	r := j.JobRecord
	r.Phase = api.JobRecordPhaseSucceeded
	return r
}

// Guards against a second job, a lost job or a wrong error for one submission key when responses or requests are lost.
func TestSubmitIsRepeatable(t *testing.T) {
	for name, tc := range map[string]struct {
		faults memtable.Faults
		want   error // of the first submission
	}{
		"no fault":       {},
		"answer lost":    {faults: memtable.Faults{NextLost: 1}},
		"all reads lost": {faults: memtable.Faults{NextLost: 3}, want: platform.ErrUncertain},
		"never arrived":  {faults: memtable.Faults{NextDropped: 1}, want: platform.ErrUncertain},
		"outage":         {faults: memtable.Faults{Outage: true}, want: platform.ErrUnavailable},
		"conflict":       {faults: memtable.Faults{NextConflicts: 1}, want: platform.ErrUncertain},
	} {
		t.Run(name, func(t *testing.T) {
			s, table := newStore()
			table.SetFaults(tc.faults)
			first, err := s.Submit(ctx, testSpec("a"), "d1", 5)
			if tc.want == nil {
				must.NoError(t, err)
				must.EqOp(t, ID("t", "a"), first.ID)
			} else {
				must.ErrorIs(t, err, tc.want)
			}
			table.SetFaults(memtable.Faults{})
			again := mustSubmit(t, s, "a")
			if tc.want == nil {
				must.EqOp(t, first.Version, again.Version)
			}
			live, err := s.Live(ctx, "d1")
			must.NoError(t, err)
			must.SliceLen(t, 1, live)
		})
	}
}

// Guards against a submission key of a team that identifies two different jobs.
func TestSubmissionKeyKeepsItsSpecification(t *testing.T) {
	s, _ := newStore()
	mustSubmit(t, s, "a")
	other := testSpec("a")
	other.Parts = 3
	_, err := s.Submit(ctx, other, "d1", 6)
	must.ErrorIs(t, err, ErrKeyReused)
}

// Guards against an ended job that stays among the live rows, and against its loss when the row moves.
func TestEndMovesTheRow(t *testing.T) {
	s, _ := newStore()
	j := mustSubmit(t, s, "a")
	results, err := s.Update(ctx, []Change{{From: j, To: succeededRecord(j)}})
	must.NoError(t, err)
	must.NoError(t, results[0].Err)
	live, err := s.Live(ctx, "d1")
	must.NoError(t, err)
	must.SliceEmpty(t, live)
	got, err := s.Get(ctx, j.ID)
	must.NoError(t, err)
	must.EqOp(t, api.JobRecordPhaseSucceeded, got.Phase)
	must.EqOp(t, results[0].Stored.Version, got.Version)
	again := mustSubmit(t, s, "a")
	must.EqOp(t, api.JobRecordPhaseSucceeded, again.Phase)
	teamJobs, err := s.ListByTeam(ctx, "t")
	must.NoError(t, err)
	must.SliceLen(t, 1, teamJobs)
}

// Guards against one stale record that blocks the other records of its transaction.
func TestUpdateIsolatesConflicts(t *testing.T) {
	s, table := newStore()
	var changes []Change
	for i := range 70 {
		j := mustSubmit(t, s, fmt.Sprint(i))
		changes = append(changes, Change{From: j, To: succeededRecord(j)})
	}
	_, err := s.Cancel(ctx, changes[40].From.ID)
	must.NoError(t, err)
	before := table.Stats().Writes
	results, err := s.Update(ctx, changes)
	must.NoError(t, err)
	for i, r := range results {
		must.EqOp(t, i == 40, r.Err != nil)
	}
	must.EqOp(t, 3+32, table.Stats().Writes-before) // three batches, and 32 single changes in the batch with the stale record
}

// Guards against a change that takes effect although its guard row has changed.
func TestUpdateWithGuard(t *testing.T) {
	s, table := newStore()
	j := mustSubmit(t, s, "a")
	_, err := table.Txn(ctx, api.TxnRequest{Writes: []api.TableWrite{{Key: "guard", Value: "x"}}})
	must.NoError(t, err)
	for version, conflict := range map[int]bool{0: true, 2: true, 1: false} {
		to := j.JobRecord
		to.Reason = "moved"
		results, err := s.Update(ctx, []Change{{From: j, To: to}}, api.TableCondition{Key: "guard", Version: version})
		must.NoError(t, err)
		must.EqOp(t, conflict, results[0].Err != nil)
		if !conflict {
			j = results[0].Stored
		}
	}
}

// Guards against a cancellation that changes an ended job, and against one that is not stored in the record of a live job.
func TestCancel(t *testing.T) {
	s, _ := newStore()
	live, done := mustSubmit(t, s, "live"), mustSubmit(t, s, "done")
	_, err := s.Update(ctx, []Change{{From: done, To: succeededRecord(done)}})
	must.NoError(t, err)
	got, err := s.Cancel(ctx, done.ID)
	must.NoError(t, err)
	must.EqOp(t, api.JobRecordPhaseSucceeded, got.Phase)
	got, err = s.Cancel(ctx, live.ID)
	must.NoError(t, err)
	must.True(t, got.CancelRequested)
	results, err := s.Update(ctx, []Change{{From: live, To: succeededRecord(live)}})
	must.NoError(t, err)
	must.ErrorIs(t, results[0].Err, ErrConflict, must.Sprint("a change to an ended phase that was based on the row before the cancellation must conflict"))
	_, err = s.Cancel(ctx, "unknown")
	must.ErrorIs(t, err, ErrNoJob)
}

// Guards against rows that a scan misses at a page boundary, and against stale rows in Current.
func TestScansAreCompleteAndCurrentIsFresh(t *testing.T) {
	s, table := newStore()
	var first StoredJob
	for i := range 2*scanPageRows + 1 {
		first = mustSubmit(t, s, fmt.Sprint(i))
	}
	live, err := s.Live(ctx, "d1")
	must.NoError(t, err)
	must.SliceLen(t, 2*scanPageRows+1, live)
	table.SetFaults(memtable.Faults{StaleBy: time.Hour})
	stale, err := s.Live(ctx, "d1")
	must.NoError(t, err)
	must.SliceEmpty(t, stale)
	rows, err := s.Current(ctx, "jobs/d1/none", first.Key)
	must.NoError(t, err)
	must.EqOp(t, "", rows[0].ID)
	must.EqOp(t, first.Version, rows[1].Version)
}

// Guards against extra transactions for many cancellations, and against a wrong result for one of them.
func TestCancelAll(t *testing.T) {
	s, table := newStore()
	var list []Cancellation
	for i := range 100 {
		list = append(list, Cancellation{mustSubmit(t, s, fmt.Sprint(i)).ID, "t"})
	}
	list[7].ID, list[8].Team = "unknown", "other"
	before := table.Stats()
	results, err := s.CancelAll(ctx, list)
	must.NoError(t, err)
	must.EqOp(t, 4, table.Stats().Writes-before.Writes)
	must.EqOp(t, 2, table.Stats().Reads-before.Reads)
	for i, r := range results {
		if i == 7 || i == 8 {
			must.ErrorIs(t, r.Err, ErrNoJob)
			continue
		}
		must.NoError(t, r.Err)
		must.True(t, r.Stored.CancelRequested)
		must.EqOp(t, list[i].ID, r.Stored.ID)
	}
}

// Guards against a cancellation that fails because the rows that it read are stale.
func TestCancelWithStaleReads(t *testing.T) {
	manual := clock.NewManual(time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC))
	table := memtable.NewTable(manual, 1)
	s := NewStore(table)
	j := mustSubmit(t, s, "a")
	manual.Advance(time.Second)
	to := j.JobRecord
	to.Reason = "changed"
	_, err := s.Update(ctx, []Change{{From: j, To: to}})
	must.NoError(t, err)
	table.SetFaults(memtable.Faults{StaleBy: time.Second})
	got, err := s.Cancel(ctx, j.ID)
	must.NoError(t, err)
	must.EqOp(t, "changed", got.Reason)
}

// Guards against a wrong result when many callers cancel concurrently, and against a transaction for each of them: cancellations that arrive while
// the first one is being written share transactions.
func TestCancelBatcher(t *testing.T) {
	manual := clock.NewManual(time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC))
	table := memtable.NewTable(manual, 1)
	s := NewStore(table)
	var ids []string
	for i := range 200 {
		ids = append(ids, mustSubmit(t, s, fmt.Sprint(i)).ID)
	}
	before := table.Stats().Writes
	var g cancelBatcher
	var wg sync.WaitGroup
	errs := make([]error, len(ids))
	cancel := func(i int) {
		wg.Go(func() {
			got, err := g.do(ctx, s, Cancellation{ids[i], "t"})
			if err == nil && (got.ID != ids[i] || !got.CancelRequested) {
				err = ErrNoJob
			}
			errs[i] = err
		})
	}
	waitFor := func(state func() bool) {
		for ok := false; !ok; runtime.Gosched() {
			g.mu.Lock()
			ok = state()
			g.mu.Unlock()
		}
	}
	table.SetFaults(memtable.Faults{Delay: time.Second})
	cancel(0)
	waitFor(func() bool { return g.running && g.next == nil })
	for i := 1; i < len(ids); i++ {
		cancel(i)
	}
	waitFor(func() bool { return g.next != nil && len(g.next.cancellations) == len(ids)-1 })
	table.SetFaults(memtable.Faults{})
	for ok := false; !ok; runtime.Gosched() {
		manual.Advance(time.Second)
		g.mu.Lock()
		ok = !g.running
		g.mu.Unlock()
	}
	wg.Wait()
	for _, err := range errs {
		must.NoError(t, err)
	}
	must.EqOp(t, 1+7, table.Stats().Writes-before)
}
