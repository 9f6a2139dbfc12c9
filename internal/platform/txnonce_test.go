package platform_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
	"samphirewell/internal/platform/memtable"
)

const logKey = "log"

// TestMain fixes the seed and the number of cases of the property test, so that every run checks the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.checks", "300"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// interleavedTable calls before ahead of each transaction of a client, so that other work happens between the attempts of TxnOnce.
type interleavedTable struct {
	*memtable.Table
	before func()
}

func (i interleavedTable) Txn(ctx context.Context, req api.TxnRequest) (api.TxnResponse, error) {
	i.before()
	return i.Table.Txn(ctx, req)
}

// appendRequest returns a transaction that appends an id to the row's list of ids if the row still has the version that was read.
func appendRequest(row api.TableRow, id string) api.TxnRequest {
	return api.TxnRequest{
		Conditions: []api.TableCondition{{Key: logKey, Version: row.Version}},
		Writes:     []api.TableWrite{{Key: logKey, Value: row.Value + id + ","}},
	}
}

func newestRow(t must.T, table *memtable.Table) api.TableRow {
	f := table.Faults()
	table.SetFaults(memtable.Faults{})
	defer table.SetFaults(f)
	resp, err := platform.ReadCurrent(context.Background(), table, logKey)
	must.NoError(t, err)
	return resp.Rows[0]
}

// Guards against a write that takes effect twice or whose reported outcome is wrong. Lost, dropped and delayed requests, outages and writes of other
// clients are drawn between the attempts.
func TestTxnOnceReportsItsEffectTruly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		table := memtable.NewTable(clock.NewManual(time.Unix(100, 0)), 1)
		reported := map[string]string{}
		for step := range rapid.IntRange(1, 12).Draw(rt, "steps") {
			table.SetFaults(drawFaults(rt))
			otherWrites := 0
			interleaved := interleavedTable{table, func() {
				switch rapid.SampledFrom([]string{"none", "none", "write", "write", "release", "outage"}).Draw(rt, "between") {
				case "write":
					otherWrites++
					writeDirectly(rt, table, fmt.Sprintf("r%d.%d", step, otherWrites))
				case "release":
					table.ReleaseHeld()
				case "outage":
					f := table.Faults()
					f.Outage = !f.Outage
					table.SetFaults(f)
				}
			}}
			id := fmt.Sprintf("c%d", step)
			resp, err := platform.TxnOnce(ctx, interleaved, appendRequest(newestRow(rt, table), id), logKey)
			reported[id] = outcomeOf(rt, resp, err)
		}
		table.ReleaseHeld()
		ids := strings.Split(newestRow(rt, table).Value, ",")
		for id, outcome := range reported {
			checkOutcome(rt, id, outcome, count(ids, id))
		}
	})
}

func drawFaults(rt *rapid.T) memtable.Faults {
	faultCount := rapid.SampledFrom([]int{0, 0, 0, 1, 2})
	return memtable.Faults{
		Outage: rapid.IntRange(0, 5).Draw(rt, "outage") == 0, NextLost: faultCount.Draw(rt, "lost"),
		NextDropped: faultCount.Draw(rt, "dropped"), NextHeld: faultCount.Draw(rt, "held"), NextConflicts: faultCount.Draw(rt, "conflicts"),
	}
}

func writeDirectly(t must.T, table *memtable.Table, id string) {
	f := table.Faults()
	table.SetFaults(memtable.Faults{})
	defer table.SetFaults(f)
	resp, err := table.Txn(context.Background(), appendRequest(newestRow(t, table), id))
	must.NoError(t, err)
	must.True(t, resp.Committed)
}

func outcomeOf(t must.T, resp api.TxnResponse, err error) string {
	switch {
	case err == nil && resp.Committed:
		return "committed"
	case err == nil || errors.Is(err, platform.ErrUnavailable):
		return "not committed"
	}
	must.True(t, errors.Is(err, platform.ErrUncertain) || errors.Is(err, platform.ErrOverwritten))
	return "unknown"
}

func checkOutcome(t must.T, id, outcome string, times int) {
	switch outcome {
	case "committed":
		must.Eq(t, 1, times, must.Sprint(id))
	case "not committed":
		must.Eq(t, 0, times, must.Sprint(id))
	default:
		must.LessEq(t, 1, times, must.Sprint(id))
	}
}

func count(ids []string, id string) int {
	return len(ids) - len(slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id }))
}

// Guards against an unknown outcome after a lost response although one read of the marker row determines it.
func TestTxnOnceRecognisesItsWriteAfterALostAnswer(t *testing.T) {
	table := memtable.NewTable(clock.NewManual(time.Unix(100, 0)), 1)
	table.SetFaults(memtable.Faults{NextLost: 1})
	resp, err := platform.TxnOnce(context.Background(), table, appendRequest(api.TableRow{}, "a"), logKey)
	must.NoError(t, err)
	must.True(t, resp.Committed)
	must.Eq(t, "a,", newestRow(t, table).Value)
}

// Guards against sending a transaction whose effect could not be recognised after a lost response.
func TestTxnOnceRefusesAnUnconditionalMarker(t *testing.T) {
	table := memtable.NewTable(clock.NewManual(time.Unix(100, 0)), 1)
	req := api.TxnRequest{Writes: []api.TableWrite{{Key: logKey, Value: "a"}}}
	_, err := platform.TxnOnce(context.Background(), table, req, logKey)
	must.ErrorIs(t, err, platform.ErrBadMarker)
	must.Eq(t, uint64(0), table.Stats().Writes)
}
