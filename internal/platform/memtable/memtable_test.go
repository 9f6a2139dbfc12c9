package memtable

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
)

// TestMain fixes the seed of the property tests, so that every run checks the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func manualClock() *clock.Manual { return clock.NewManual(time.Unix(1000, 0)) }

func mustPut(t must.T, table *Table, key, value string) {
	resp, err := table.Txn(context.Background(), api.TxnRequest{Writes: []api.TableWrite{{Key: key, Value: value}}})
	must.NoError(t, err)
	must.True(t, resp.Committed)
}

// Guards against a transaction that commits although a condition is violated, takes effect only in part, or returns wrong rows.
func TestTxnFollowsASerialModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := NewTable(manualClock(), 1)
		keys := []string{"a", "b", "c"}
		model := map[string]api.TableRow{} // existing rows; a missing row reads as version 0
		last := map[string]int{}           // highest version so far
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			req, holds := drawTxn(rt, keys, model)
			resp, err := table.Txn(context.Background(), req)
			must.NoError(rt, err)
			must.Eq(rt, holds, resp.Committed)
			if holds {
				for _, w := range req.Writes {
					last[w.Key]++
					model[w.Key] = api.TableRow{Key: w.Key, Version: last[w.Key], Value: w.Value}
					if w.Remove {
						delete(model, w.Key)
					}
				}
			}
			for i, c := range req.Conditions {
				want := model[c.Key]
				want.Key = c.Key
				must.Eq(rt, want, resp.Rows[i])
			}
			checkScan(rt, table, keys, model)
		}
	})
}

// drawTxn returns a transaction and whether its conditions hold in the model.
func drawTxn(rt *rapid.T, keys []string, model map[string]api.TableRow) (api.TxnRequest, bool) {
	var req api.TxnRequest
	holds := true
	for _, key := range keys {
		if rapid.Bool().Draw(rt, "condition") {
			version := model[key].Version + rapid.SampledFrom([]int{0, 0, 0, 1, -1}).Draw(rt, "offset")
			holds = holds && version == model[key].Version
			req.Conditions = append(req.Conditions, api.TableCondition{Key: key, Version: version})
		}
		if rapid.Bool().Draw(rt, "write") {
			remove := rapid.IntRange(0, 3).Draw(rt, "remove") == 0
			req.Writes = append(req.Writes, api.TableWrite{Key: key, Value: fmt.Sprint(rapid.IntRange(0, 99).Draw(rt, "value")), Remove: remove})
		}
	}
	return req, holds
}

func checkScan(rt *rapid.T, table *Table, keys []string, model map[string]api.TableRow) {
	after := rapid.SampledFrom(append([]string{""}, keys...)).Draw(rt, "after")
	limit := rapid.IntRange(1, 4).Draw(rt, "limit")
	want := []api.TableRow{}
	for _, key := range keys {
		if row, ok := model[key]; ok && key > after && len(want) < limit {
			want = append(want, row)
		}
	}
	got, err := table.Scan(context.Background(), "", after, limit)
	must.NoError(rt, err)
	must.Eq(rt, want, got.Rows)
}

// Guards against transactions that interleave: concurrent transfers between two rows must not change the total, and no read may return the row of one
// side before and of the other side after a transfer.
func TestConcurrentTransfersAreSerialisable(t *testing.T) {
	const clients, transfers, total = 4, 200, 1000
	table := NewTable(clock.Real{}, 1)
	mustPut(t, table, "x", fmt.Sprint(total))
	mustPut(t, table, "y", "0")
	var wg sync.WaitGroup
	failures := make([]error, clients)
	for i := range clients {
		wg.Go(func() { failures[i] = transfer(table, transfers, total) })
	}
	wg.Wait()
	for _, err := range failures {
		must.NoError(t, err)
	}
	rows, err := table.Get(context.Background(), "y")
	must.NoError(t, err)
	must.Eq(t, fmt.Sprint(clients*transfers), rows.Rows[0].Value)
}

// transfer moves 1 from x to y, times times, and checks the total at each read.
func transfer(table *Table, times, total int) error {
	for done := 0; done < times; {
		rows, err := table.Get(context.Background(), "x", "y")
		if err != nil {
			return err
		}
		var x, y int
		if _, err := fmt.Sscan(rows.Rows[0].Value+" "+rows.Rows[1].Value, &x, &y); err != nil {
			return err
		}
		if x+y != total {
			return errors.Errorf("read half of a transfer: %d and %d", x, y)
		}
		resp, err := table.Txn(context.Background(), api.TxnRequest{
			Conditions: []api.TableCondition{{Key: "x", Version: rows.Rows[0].Version}, {Key: "y", Version: rows.Rows[1].Version}},
			Writes:     []api.TableWrite{{Key: "x", Value: fmt.Sprint(x - 1)}, {Key: "y", Value: fmt.Sprint(y + 1)}},
		})
		if err != nil {
			return err
		}
		if resp.Committed {
			done++
		}
	}
	return nil
}

// Guards against the fault StaleBy returning current rows, and against a transaction whose conditions are evaluated on stale rows.
func TestStaleReadsDoNotReachTransactions(t *testing.T) {
	c := manualClock()
	table := NewTable(c, 1)
	mustPut(t, table, "a", "old")
	c.Advance(time.Minute)
	mustPut(t, table, "a", "new")
	mustPut(t, table, "b", "new")
	table.SetFaults(Faults{StaleBy: time.Second})
	rows, err := table.Scan(context.Background(), "", "", 10)
	must.NoError(t, err)
	must.Eq(t, []api.TableRow{{Key: "a", Version: 1, Value: "old"}}, rows.Rows)
	resp, err := platform.ReadCurrent(context.Background(), table, "a", "b")
	must.NoError(t, err)
	must.Eq(t, "new", resp.Rows[0].Value)
	c.Advance(time.Second)
	rows, err = table.Get(context.Background(), "a")
	must.NoError(t, err)
	must.Eq(t, "new", rows.Rows[0].Value)
}

// Guards against an injected fault whose effect on the table differs from its description in Faults.
func TestFaultsHaveTheAnnouncedEffect(t *testing.T) {
	cases := map[string]struct {
		faults Faults
		want   error
		effect bool
	}{
		"outage":   {Faults{Outage: true}, platform.ErrUnavailable, false},
		"dropped":  {Faults{NextDropped: 1}, platform.ErrUncertain, false},
		"lost":     {Faults{NextLost: 1}, platform.ErrUncertain, true},
		"lost all": {Faults{LostRate: 1}, platform.ErrUncertain, true},
		"held":     {Faults{NextHeld: 1}, platform.ErrUncertain, false},
		"conflict": {Faults{NextConflicts: 1}, nil, false},
		"none":     {Faults{}, nil, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable(manualClock(), 1)
			table.SetFaults(c.faults)
			resp, err := table.Txn(context.Background(), api.TxnRequest{Writes: []api.TableWrite{{Key: "a", Value: "1"}}})
			must.ErrorIs(t, err, c.want)
			must.Eq(t, c.effect && c.want == nil, resp.Committed)
			table.SetFaults(Faults{})
			rows, err := table.Get(context.Background(), "a")
			must.NoError(t, err)
			must.Eq(t, c.effect, len(rows.Rows) == 1)
			must.Eq(t, c.faults.NextHeld, table.ReleaseHeld())
		})
	}
}

func hostIDs(t *testing.T, h *HostList) []string {
	resp, err := h.Hosts(context.Background())
	must.NoError(t, err)
	ids := []string{}
	for _, e := range resp.Hosts {
		ids = append(ids, e.ID)
	}
	return ids
}

// Guards against a host list that ignores the lag, reports the wrong age, or keeps injecting faults after they were cleared.
func TestHostListLagsFlapsAndEmpties(t *testing.T) {
	c := manualClock()
	h := NewHostList(c, time.Second)
	h.AddHost(api.HostEntry{ID: "a"})
	h.AddHost(api.HostEntry{ID: "b"})
	must.Eq(t, []string{}, hostIDs(t, h))
	c.Advance(time.Second)
	must.Eq(t, []string{"a", "b"}, hostIDs(t, h))
	h.RemoveHost("a")
	h.SetLeaving("b", true)
	must.Eq(t, []string{"a", "b"}, hostIDs(t, h))

	h.SetFaults(Faults{FrozenHostList: true})
	c.Advance(time.Minute)
	resp, err := h.Hosts(context.Background())
	must.NoError(t, err)
	must.Len(t, 2, resp.Hosts)
	must.False(t, resp.Hosts[1].Leaving)
	must.Eq(t, 61_000, resp.NowMS-resp.AsOfMS)

	h.SetFaults(Faults{EmptyHosts: true})
	must.Eq(t, []string{}, hostIDs(t, h))
	h.SetFaults(Faults{FlappingHosts: true})
	must.NotEq(t, hostIDs(t, h), hostIDs(t, h))
	h.SetFaults(Faults{})
	resp, err = h.Hosts(context.Background())
	must.NoError(t, err)
	must.Len(t, 1, resp.Hosts)
	must.True(t, resp.Hosts[0].Leaving)
}
