package config

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
)

// listsWithRate returns minimal lists in which the only plan has the given call rate.
func listsWithRate(rate int) string {
	return fmt.Sprintf(`{"failureDomains": ["a"], "policy": {"completionWeight": 1, "fragmentationWeight": 0},
	"teams": [{"name": "survey", "plan": "small"}],
	"plans": [{"name": "small", "services": ["s"], "callsPerSecond": %d, "burstCalls": 5, "concurrentCalls": 4, "weight": 1,
	"acceleratorLimit": 0, "guarantees": []}]}`, rate)
}

// Guards against a put that overwrites a change that the operator has not seen, and against a conflict without the differences.
func TestPutRefusesAnOldVersionWithTheDifferences(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	p := NewPublisher(&link{table: newFakeTable(clk)}, &Holder{}, instantClock{clk})
	put := func(read int, id string, rate int) (Result, error) {
		return p.Put(context.Background(), Change{ReadVersion: read, Author: "iva", RequestID: id, Text: listsWithRate(rate)})
	}
	first, err := put(0, "r1", 21)
	must.NoError(t, err)
	must.Eq(t, 1, first.Accepted.Version)
	_, err = put(1, "r2", 22)
	must.NoError(t, err)
	_, err = put(1, "r3", 23)
	var conflict *Conflict
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, 2, conflict.Current.Version)
	must.True(t, conflict.Complete)
	must.Eq(t, []string{"plan small: calls per second 21 -> 22"}, conflict.Changes)

	again, err := put(0, "r1", 21)
	must.NoError(t, err, must.Sprint("a late retry of an accepted put is recognised after a newer version was accepted"))
	must.True(t, again.Repeated)
	must.Eq(t, 1, again.Accepted.Version)
	_, err = put(0, "r1", 99)
	must.ErrorIs(t, err, ErrRequestIDReused)
	_, err = put(7, "r4", 24)
	must.True(t, errors.As(err, &conflict), must.Sprint("a version that does not exist yet"))
}

// Guards against a version number that starts again at 1, which hosts would ignore, after the table lost its rows.
func TestPutContinuesNumberingAfterTheTableLostItsRows(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	table, holder := newFakeTable(clk), &Holder{}
	p := NewPublisher(&link{table: table}, holder, instantClock{clk})
	for v := range 3 {
		_, err := p.Put(context.Background(), Change{ReadVersion: v, Author: "iva", RequestID: fmt.Sprint(v), Text: listsWithRate(30 + v)})
		must.NoError(t, err)
	}
	clear(table.rows)
	result, err := p.Put(context.Background(), Change{ReadVersion: 3, Author: "iva", RequestID: "x", Text: listsWithRate(40)})
	must.NoError(t, err)
	must.Eq(t, 4, result.Accepted.Version)
	must.Eq(t, 4, holder.Version())
}

// Guards against versions that stay in the table permanently and against a late retry that is wrongly reported as refused.
func TestPutKeepsABoundedNumberOfVersions(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	table := newFakeTable(clk)
	p := NewPublisher(&link{table: table}, &Holder{}, instantClock{clk})
	put := func(read int) error {
		_, err := p.Put(context.Background(), Change{ReadVersion: read, Author: "iva", RequestID: fmt.Sprint(read), Text: listsWithRate(read + 1)})
		return err
	}
	for v := range KeptVersions + 2 {
		must.NoError(t, put(v))
		table.superseded = nil
	}
	must.MapLen(t, KeptVersions+1, table.rows) // the kept versions and RowCurrent
	must.ErrorIs(t, put(0), ErrTooOld)
}

type putRecord struct {
	change Change
	err    error // result of all attempts together
}

// putRace runs operators that read and put concurrently over a table that loses responses.
type putRace struct {
	t        *rapid.T
	table    *fakeTable
	clk      clock.Clock
	nesting  int
	lastID   int
	finished []putRecord
}

// put reads the version and puts a change based on it; before each of its transactions another operator may do the same. After an uncertain result
// the operator repeats the same request through another host.
func (r *putRace) put() {
	r.lastID++
	id := fmt.Sprintf("r%d", r.lastID)
	read := 0
	if row, ok := r.table.rows[RowCurrent]; ok {
		stored, err := decodeRow(row.Value)
		must.NoError(r.t, err)
		read = stored.Version
	}
	change := Change{ReadVersion: read, Author: "op", RequestID: id, Text: listsWithRate(r.lastID)}
	var err error
	uncertain := false
	for range rapid.IntRange(1, 4).Draw(r.t, "repeats") {
		_, err = NewPublisher(r.link(), &Holder{}, instantClock{r.clk}).Put(context.Background(), change)
		uncertain = uncertain || errors.Is(err, platform.ErrUncertain)
		if !isTableFailure(err) {
			break
		}
	}
	if isTableFailure(err) && uncertain {
		err = platform.ErrUncertain // a refused retry does not determine the outcome of earlier attempts
	}
	r.finished = append(r.finished, putRecord{change, err})
}

func (r *putRace) link() *link {
	return &link{table: r.table,
		fault: func() fault { return fault(rapid.IntRange(0, int(faultCount)-1).Draw(r.t, "fault")) },
		beforeTxn: func() {
			if rapid.IntRange(0, 3).Draw(r.t, "late") == 0 {
				r.table.applyDelayed()
			}
			if r.nesting < 2 && rapid.IntRange(0, 3).Draw(r.t, "interleave") == 0 {
				r.nesting++
				r.put()
				r.nesting--
			}
		}}
}

// Guards against acknowledged puts that are lost or applied twice, refused puts that take effect, and two texts with the same version, while
// operators race, responses are lost and writes arrive late.
func TestRacingPutsAreAppliedOnceOrRefused(t *testing.T) {
	acknowledged, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		clk := clock.NewManual(time.Unix(1000, 0))
		r := &putRace{t: t, table: newFakeTable(clk), clk: clk}
		for range rapid.IntRange(1, 6).Draw(t, "puts") {
			r.put()
		}
		r.table.applyDelayed()
		committed := map[string]api.ConfigRow{}
		for i, value := range r.table.commits {
			var row api.ConfigRow
			must.NoError(t, json.Unmarshal([]byte(value), &row))
			must.Eq(t, i+1, row.Version, must.Sprint("each version once, without gaps"))
			_, twice := committed[row.RequestID]
			must.False(t, twice, must.Sprintf("request %s was applied twice", row.RequestID))
			committed[row.RequestID] = row
		}
		for _, p := range r.finished {
			row, applied := committed[p.change.RequestID]
			switch {
			case p.err == nil:
				acknowledged++
				must.True(t, applied, must.Sprintf("acknowledged put %s is lost", p.change.RequestID))
				must.Eq(t, p.change.Text, row.Text)
				must.Eq(t, p.change.ReadVersion+1, row.Version)
			case !errors.Is(p.err, platform.ErrUncertain):
				refused++
				must.False(t, applied, must.Sprintf("refused put %s took effect: %v", p.change.RequestID, p.err))
			}
		}
	})
	must.Greater(t, 0, acknowledged)
	must.Greater(t, 0, refused)
}
