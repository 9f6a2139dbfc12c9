package dispatch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
	"samphirewell/internal/lead"
	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

// rejectTasksOf makes a store reject all rows of tasks of some jobs.
func rejectTasksOf(store *memstore.Store, prefix string) {
	store.SetRejects(func(r rowstore.Row) bool { return r.Table == TableTasks && strings.HasPrefix(r.Key.Key, prefix) })
}

// Guards against a transaction that the store rejects each time and that is repeated for ever: nothing was stored any more, by any leader. The job at fault
// ends, and everything else goes on, also under the next leader.
func TestRejectedRowHoldsUpNothingElse(t *testing.T) {
	for _, when := range []string{"before its start", "while it runs", "before a takeover"} {
		t.Run(when, func(t *testing.T) {
			s := newSystem(t, 5, 2, 4)
			if when == "before its start" {
				rejectTasksOf(s.store, "bad")
			}
			for n := range 6 {
				s.submit(simpleJob(fmt.Sprint("good", n), "normal", n%3, 30, batch.Resources{MilliCores: 1000}))
			}
			for n := range 3 {
				s.submit(simpleJob(fmt.Sprint("bad", n), "normal", n, 40, batch.Resources{MilliCores: 1000}))
			}
			s.run(400 * time.Millisecond)
			rejectTasksOf(s.store, "bad")
			if when == "before a takeover" {
				s.leaders[0].frozen = true
				s.elect()
			}
			s.run(20 * time.Second)
			must.False(t, s.leaders[len(s.leaders)-1].core.Deposed())
			s.elect()
			s.submit(simpleJob("late", "urgent", 0, 4, smallNeed))
			s.run(10 * time.Second)
			s.mustHaveNoViolations()
			for n := range 6 {
				must.Eq(t, batch.Completed, s.state(fmt.Sprint("good", n)))
			}
			must.Eq(t, batch.Completed, s.state("late"))
			for n := range 3 {
				must.Eq(t, batch.Failed, s.state(fmt.Sprint("bad", n)))
				must.Eq(t, 0, s.taskRowsOf(fmt.Sprint("bad", n)))
			}
			for _, w := range s.fleet.workers {
				must.SliceEmpty(t, w.endReports, must.Sprint("ends that are never acknowledged"))
			}
		})
	}
}

// Guards against a runner that takes a rejected row for the loss of leadership, or that doesn't store the rows beside it.
func TestRunnerStoresTheRowsBesideARejectedOne(t *testing.T) {
	store := memstore.New()
	store.SetRejects(func(r rowstore.Row) bool { return r.Key.Key == "j7" })
	session, err := lead.Claim(context.Background(), store, testKey, rowstore.Row{}, lead.Row{Host: "h", Incarnation: "a"})
	must.NoError(t, err)
	core := New(session.Epoch(), testPolicy(), testBounds, discardLog())
	r := NewRunner(core, session, nil, realClock{time.Now()}, noMetrics{}, discardLog())
	for n := range 20 {
		core.AddJob(simpleJob(fmt.Sprint("j", n), "normal", 1, 1, smallNeed), 0)
	}
	must.NoError(t, r.commit(context.Background(), false))
	stored := func() int {
		rows, _, err := rowstore.ScanAll(context.Background(), store, TableStates, []string{Partition})
		must.NoError(t, err)
		return len(rows) - 1 // the leader row
	}
	must.Eq(t, 19, stored())
	must.Eq(t, 1, core.TakeCounts().RejectedRows)
	must.False(t, core.HasCommit())
	store.SetRejects(nil)
	core.Tick(r.clock.SinceBoot()+rejectedRetryPause, 0)
	must.NoError(t, r.commit(context.Background(), true))
	must.Eq(t, 20, stored())
	must.ErrorIs(t, session.Commit(context.Background(), nil, nil), nil)
}

// Guards against transactions that exceed the size that the store takes, although each row is short enough.
func TestCommitsAreBoundedByTheirBytes(t *testing.T) {
	c := New(1, testPolicy(), testBounds, discardLog())
	j := simpleJob("j", "normal", 1, 100*tasksPerRow, smallNeed)
	c.AddJob(j, 0)
	for _, g := range c.jobs["j"].occurrences[0].steps[0].groups {
		g.run, g.tasks[0].checkpoint = 1, strings.Repeat("x", 2000)
		c.putTasks(g)
	}
	rows := 0
	for cm := c.TakeCommit(); cm != nil; cm = c.TakeCommit() {
		size := 0
		for _, r := range cm.Puts {
			size += len(r.Value)
		}
		must.LessEq(t, 700<<10, size)
		rows += len(cm.Puts)
	}
	must.Eq(t, 101, rows)
}
