package limits

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
)

// fakeTable holds one row. With loseNext, the response to the next transaction is lost after the transaction took effect.
type fakeTable struct {
	platform.Table
	row      api.TableRow
	loseNext bool
	txns     int
}

func (f *fakeTable) Get(context.Context, ...string) (api.RowsResponse, error) {
	return api.RowsResponse{Rows: []api.TableRow{f.row}}, nil
}

func (f *fakeTable) Txn(_ context.Context, req api.TxnRequest) (api.TxnResponse, error) {
	f.txns++
	committed := req.Conditions[0].Version == f.row.Version
	if committed {
		f.row = api.TableRow{Key: RowKey, Version: f.row.Version + 1, Value: req.Writes[0].Value}
	}
	if f.loseNext {
		f.loseNext = false
		return api.TxnResponse{}, errors.Wrap(platform.ErrUncertain, "fake")
	}
	return api.TxnResponse{Committed: committed, Rows: []api.TableRow{f.row}}, nil
}

// Guards against a write that is repeated because its response was lost, and against never using the units that it acquired.
func TestLostTableAnswerIsRecognisedByReading(t *testing.T) {
	n := NewNode("b", "d0", start)
	n.SetPlans(map[string]Plan{"a": {Rate: 100, Burst: 10, Calls: 10}}, []string{"d0"}, start)
	n.OnViewChange(View{ID: "v", Members: []string{"b"}}, start)
	clk, table := clock.NewManual(start), &fakeTable{}
	uncertain := 0
	for range 80 {
		clk.Advance(pollPeriod)
		n.SetViewLease(clk.Now().Add(ViewLease))
		n.Tick(clk.Now())
		if req, ok := n.NextTableRequest(clk.Now()); ok {
			table.loseNext = table.txns == 1 // the first transaction is the fence, the second acquires the units
			if err := n.sendTableRequest(context.Background(), table, req, clk); errors.Is(err, platform.ErrUncertain) {
				uncertain++
			}
		}
	}
	must.Eq(t, 1, uncertain)
	must.Eq(t, 2, table.txns)
	must.Eq(t, int64(QuotaUnits), n.rowWriter.units["a"].units)
	_, ok, _, _ := n.Limiter.Admit("a", clk.Now())
	must.True(t, ok)
}

// Guards against newly started hosts that use units which another domain may have acquired since, while the table is unavailable.
func TestNewHostsUseOnlyTheFloorOfAPeersRow(t *testing.T) {
	n := NewNode("b", "d0", start)
	n.SetPlans(map[string]Plan{"a": {Rate: 1000, Burst: 1000, Calls: 1000}}, []string{"d0", "d1"}, start)
	n.OnViewChange(View{ID: "v", Members: []string{"b"}}, start)
	must.NoError(t, n.ApplyPeerRow(`{"teams":[{"team":"a","domains":[{"domain":"d0","units":400,"want":0}]}]}`))
	must.ErrorIs(t, n.ApplyPeerRow(`{`), ErrBadRow)
	now := start
	for range 80 {
		now = now.Add(pollPeriod)
		n.SetViewLease(now.Add(ViewLease))
		n.Tick(now)
	}
	must.Eq(t, quotaUnits{MinQuotaUnits, MinQuotaUnits}, n.rowWriter.units["a"])
	limit, _, _ := n.holder.teams["a"].team.gate.load()
	must.Eq(t, MinQuotaUnits, limit)
}
