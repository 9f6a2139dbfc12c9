package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against urgent starts that wait until the rows of a burst of other work are stored.
func TestRowsOfUrgentJobsAreStoredFirst(t *testing.T) {
	c := New(1, testPolicy(), testBounds, discardLog())
	for i := range 3 * maxCommitRows {
		c.AddJob(simpleJob(fmt.Sprintf("b%d", i), "batch", 2, 1, smallNeed), 0)
	}
	c.AddJob(simpleJob("u", "urgent", 0, 1, smallNeed), 0)
	cm := c.TakeCommit()
	must.Eq(t, "u", cm.Puts[0].Key.Key)
	must.SliceLen(t, maxCommitRows, cm.Puts)
	for i := range 3 * maxCommitRows {
		c.AddJob(simpleJob(fmt.Sprintf("u%d", i), "urgent", 0, 1, smallNeed), 0)
	}
	others := 0
	for _, r := range c.TakeCommit().Puts {
		if r.Key.Key[0] == 'b' {
			others++
		}
	}
	must.Eq(t, otherCommitRows, others, must.Sprint("a stream of urgent rows must not delay other rows without bound"))
}

// Guards against rows or actions that are lost, stored twice or carried out before their row is stored, and against rows of a job in another order than they
// were changed.
func TestEachRowIsStoredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(1, testPolicy(), testBounds, discardLog())
		jobs := rapid.IntRange(1, 200).Draw(t, "jobs")
		for i := range jobs {
			c.AddJob(simpleJob(fmt.Sprint(i), "q", rapid.IntRange(0, 2).Draw(t, "priority"), 1, smallNeed), 0)
		}
		for cm := c.TakeCommit(); cm != nil; cm = c.TakeCommit() {
			c.OnStored(cm, 0)
		}
		ran, stored, latest := map[string]int{}, map[rowID]int{}, map[string]int{}
		for n := range rapid.IntRange(1, 500).Draw(t, "changes") {
			id := fmt.Sprint(rapid.IntRange(0, jobs-1).Draw(t, "job"))
			row := rowID{kind: taskRows, job: id, chunk: n}
			c.now = time.Duration(n)
			c.put(row)
			c.afterStored(row, func() {
				ran[id]++
				must.Greater(t, latest[id]-1, n)
				latest[id] = n + 1
				stored[row]++
			})
		}
		total := 0
		for cm := c.TakeCommit(); cm != nil; cm = c.TakeCommit() {
			must.LessEq(t, maxCommitRows, len(cm.actions))
			total += len(cm.actions)
			c.OnStored(cm, 0)
		}
		must.Eq(t, total, len(stored))
		must.False(t, c.HasCommit())
	})
}

// Guards against a wide job whose end holds up all other work: the rows of its tasks were deleted before the rows of other jobs were stored, also those that
// had never been stored.
func TestEndOfAWideJobDelaysNoOtherRows(t *testing.T) {
	c := New(1, testPolicy(), testBounds, discardLog())
	commit := func() *Commit {
		cm := c.TakeCommit()
		must.NotNil(t, cm)
		c.OnStored(cm, 0)
		return cm
	}
	c.AddJob(simpleJob("waits", "batch", 2, 20_000, smallNeed), 0)
	c.AddJob(simpleJob("runs", "batch", 2, 20_000, smallNeed), 0)
	for _, g := range c.jobs["runs"].occurrences[0].steps[0].groups[:10_000] {
		c.putTasks(g)
	}
	for c.HasCommit() {
		commit()
	}
	c.Cancel("waits", 0)
	c.Cancel("runs", 0)
	commit()
	rows := 10_000/tasksPerRow + 1
	must.MapLen(t, rows, c.rows.queued, must.Sprint("only stored rows have to be deleted"))
	c.AddJob(simpleJob("next", "batch", 2, 2, smallNeed), 0)
	cm := commit()
	must.Len(t, 1, cm.Puts)
	must.Eq(t, stateRow("next").key(), cm.Puts[0].Key)
	for n := range 100 * maxCommitRows {
		c.AddJob(simpleJob(fmt.Sprint(n), "urgent", n%2, 1, smallNeed), 0)
	}
	removed := len(cm.Removes)
	for range rows/removalCommitRows + 1 {
		cm, urgent := commit(), 0
		for _, r := range cm.Puts {
			if c.jobs[r.Key.Key].Queue.Priority == 0 {
				urgent++
			}
		}
		must.Eq(t, maxCommitRows-otherCommitRows, urgent, must.Sprint("deletions must not take the part of urgent rows"))
		removed += len(cm.Removes)
	}
	must.Eq(t, rows, removed, must.Sprint("deletions must not wait without bound"))
}
