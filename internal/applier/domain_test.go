package applier

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/jobs"
	"samphirewell/internal/platform"
	"samphirewell/internal/platform/memtable"
	"samphirewell/internal/standin/lease"
)

// partitionedTable is a table whose transactions and scans fail while unreachable is set, as behind a network partition.
type partitionedTable struct {
	platform.Table
	unreachable bool
}

func (c *partitionedTable) Txn(ctx context.Context, req api.TxnRequest) (api.TxnResponse, error) {
	if c.unreachable {
		return api.TxnResponse{}, platform.ErrUnavailable
	}
	return c.Table.Txn(ctx, req)
}

func (c *partitionedTable) Scan(ctx context.Context, prefix, after string, limit int) (api.RowsResponse, error) {
	if c.unreachable {
		return api.RowsResponse{}, platform.ErrUnavailable
	}
	return c.Table.Scan(ctx, prefix, after, limit)
}

// Guards against double runs of jobs of a domain that is cut off from the platform: a job that is not repeatable runs there until the horizon
// and elsewhere only afterwards. A repeatable one is taken over earlier, and the domain stops it when it reaches the table again.
func TestCutOffDomain(t *testing.T) {
	const horizon = 5 * time.Minute
	here, there := newFleet(2), newFleet(2)
	there.clock, there.table, there.store = here.clock, here.table, here.store
	for i, e := range there.entries {
		there.machines[e.ID] = lease.New(lease.Config{WorkerID: "there" + e.ID, Cores: 16, MemoryGB: 64, Accelerators: 4}, here.clock)
		there.entries[i].FailureDomain = "there"
	}
	table := &partitionedTable{Table: here.table}
	cutOff := there.controller(&directClient{f: there}, alwaysPreferred(testStart))
	cutOff.deps.Domain, cutOff.deps.Table, cutOff.deps.Store = "there", table, jobs.NewStore(table)
	cutOff.cfg.Horizon = horizon
	c := here.controller(&directClient{f: here}, alwaysPreferred(testStart))
	lastResponse := testStart
	c.deps.LostDomains = func() []LostDomain {
		return []LostDomain{{Domain: "there", UnresponsiveFor: here.clock.Now().Sub(lastResponse)}}
	}
	once := spec("once", 1, 1, 30*time.Minute)
	once.Repeatable = false
	var ids []string
	for _, s := range []api.JobSpec{once, spec("again", 1, 1, 30*time.Minute)} {
		j, err := here.store.Submit(context.Background(), s, "there", 0)
		must.NoError(t, err)
		ids = append(ids, j.ID)
	}
	here.run(20*time.Second, cutOff)
	must.SliceLen(t, 2, there.history())
	table.unreachable, lastResponse = true, here.clock.Now()
	here.run(90*time.Second, c, cutOff)
	must.SliceLen(t, 1, here.history(), must.Sprint("only the repeatable job moves before the horizon"))
	must.EqOp(t, ids[1], here.history()[0].JobID)
	here.run(horizon, c, cutOff)
	must.SliceLen(t, 2, here.history())
	table.unreachable = false
	here.run(30*time.Second, c, cutOff)
	var runs []lease.Run
	for _, r := range append(here.history(), there.history()...) {
		must.True(t, r.WorkerID[0] == 'w' || !r.End.IsZero(), must.Sprint("the domain that returned still runs a moved job"))
		if r.JobID == ids[0] {
			runs = append(runs, r)
		}
	}
	must.SliceLen(t, 2, runs)
	must.SliceEmpty(t, lease.DoubleRuns(runs, here.clock.Now()))
	must.MapLen(t, 0, cutOff.jobs)
}

// Guards the platform against a burst of writes after a table outage: records are written within the budget, those of urgent jobs first.
func TestCatchUpIsPaced(t *testing.T) {
	f := newFleet(30)
	c := f.ready(&directClient{f: f})
	f.submitAll(t, 100, 1, 0, 5*time.Second)
	s := spec("urgent", 1, 0, 5*time.Second)
	s.Class = api.JobSpecClassUrgent
	urgent, err := f.submit(s)
	must.NoError(t, err)
	f.run(2*time.Second, c)
	must.SliceLen(t, 101, f.history())
	f.table.SetFaults(memtable.Faults{Outage: true})
	f.run(10*time.Second, c)
	f.table.SetFaults(memtable.Faults{})
	c.writes = newWriteBudget(1, 1)
	f.run(time.Second, c)
	before := f.table.Stats().Writes
	must.EqOp(t, api.JobRecordPhaseSucceeded, f.phase(urgent))
	must.EqOp(t, 101-maxTxnChanges, f.live(t))
	f.run(5*time.Second, c)
	must.EqOp(t, 0, f.live(t))
	must.LessEq(t, 5, f.table.Stats().Writes-before)
}
