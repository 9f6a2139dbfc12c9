package dispatch

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/rowstore"
)

// Tables of the dispatcher. Their rows share one partition, so that one transaction can write them under the leader's condition.
const (
	TableStates = "states" // state of each job, and the leader row
	TableTasks  = "tasks"  // runs of the tasks of jobs that haven't ended
	Partition   = ""       // of all rows of both tables
)

const (
	// tasksPerRow is the number of tasks of a step in one row. A smaller number writes fewer bytes per change, a larger one fewer rows per step.
	tasksPerRow = 24
	// maxCommitRows bounds the rows of a commit. The leader row and its condition take two rows of the transaction.
	maxCommitRows = rowstore.MaxTxRows - 2
	// otherCommitRows is the part of a commit that rows of jobs without the highest priority get even while urgent rows would fill it.
	otherCommitRows = maxCommitRows / 4
	// removalCommitRows is the part of otherCommitRows that deletions of rows of tasks get. They may wait, and a wide job has thousands of them at its end.
	removalCommitRows = otherCommitRows / 2
	// maxCommitBytes bounds the values of a commit, of which the store takes 1 MB in base64 with keys and braces.
	maxCommitBytes = 600 << 10
	// rejectedRetryPause is the time after which a row that the store rejected is tried again.
	rejectedRetryPause = 5 * time.Second
)

type rowKind uint8

const (
	stateRows rowKind = iota
	taskRows
	waveRows
)

// rowID identifies a row of the dispatcher.
type rowID struct {
	kind       rowKind
	job        string // id of the job; of a wave row that of the wave
	occurrence int
	step       int
	chunk      int // a chunk is tasksPerRow tasks of a step
}

func stateRow(job string) rowID { return rowID{kind: stateRows, job: job} }

func (t *task) row() rowID {
	return rowID{taskRows, t.id.Job, t.id.Occurrence, t.id.Step, t.id.Index / tasksPerRow}
}

func (r rowID) key() rowstore.Key {
	if r.kind == stateRows {
		return rowstore.Key{Table: TableStates, Partition: Partition, Key: r.job}
	}
	if r.kind == waveRows {
		return rowstore.Key{Table: TableTasks, Partition: Partition, Key: waveKeyPrefix + r.job}
	}
	key := r.job + "/" + strconv.Itoa(r.occurrence) + "." + strconv.Itoa(r.step) + "/" + strconv.Itoa(r.chunk)
	return rowstore.Key{Table: TableTasks, Partition: Partition, Key: key}
}

// rowQueue holds the rows that have to be written: those of urgent jobs first, deletions of rows of tasks last, and among them the oldest change first. The
// rows of a job that are written keep their order.
type rowQueue struct {
	urgent, other, removals []queuedRow
	rejected                []queuedRow // rows that the store rejected; at is when they are tried again
	queued                  map[rowID]*pendingRow
}

type queuedRow struct {
	id rowID
	at time.Duration // when it was queued
}

// pendingRow is what has to happen to a queued row.
type pendingRow struct {
	remove bool     // delete it
	stored []func() // actions to run once its current contents are stored
}

// put queues a row to be written, unless it is queued to be deleted.
func (c *Core) put(id rowID) { c.queueRow(id) }

// putTask queues the row of a task to be written.
func (c *Core) putTask(t *task) {
	c.put(t.row())
	t.group.state.stored[t.id.Index/tasksPerRow] = true
}

// remove queues a row to be deleted.
func (c *Core) remove(id rowID) {
	if c.rows.queued[id] == nil && id.kind == taskRows {
		c.rows.queued[id] = &pendingRow{}
		c.rows.removals = append(c.rows.removals, queuedRow{id, c.now})
	}
	c.queueRow(id).remove = true
	if i := slices.IndexFunc(c.rows.rejected, func(r queuedRow) bool { return r.id == id }); i >= 0 {
		c.rows.rejected = slices.Delete(c.rows.rejected, i, i+1)
		c.rows.removals = append(c.rows.removals, queuedRow{id, c.now})
	}
}

func (c *Core) queueRow(id rowID) *pendingRow {
	if p := c.rows.queued[id]; p != nil {
		return p
	}
	p := &pendingRow{}
	c.rows.queued[id] = p
	if j := c.jobs[id.job]; id.kind != waveRows && j != nil && j.Queue.Priority == 0 {
		c.rows.urgent = append(c.rows.urgent, queuedRow{id, c.now})
	} else {
		c.rows.other = append(c.rows.other, queuedRow{id, c.now})
	}
	return p
}

// afterStored runs an action once the current contents of a queued row are stored.
func (c *Core) afterStored(id rowID, run func()) {
	p := c.queueRow(id)
	p.stored = append(p.stored, run)
}

// Commit is a set of rows to store in one transaction, with the actions to run after that.
type Commit struct {
	Puts     []rowstore.Row
	Removes  []rowstore.Key
	actions  []func()
	rows     []commitRow
	queuedAt time.Duration // when its oldest row was queued
	bytes    int           // of all values
}

// commitRow is a row of a commit with the actions that wait for it.
type commitRow struct {
	id      rowID
	value   []byte // nil if the row is deleted or no longer tracked
	pending *pendingRow
}

func (cm *Commit) add(r commitRow) {
	cm.rows = append(cm.rows, r)
	cm.bytes += len(r.value)
	cm.actions = append(cm.actions, r.pending.stored...)
	switch {
	case r.pending.remove:
		cm.Removes = append(cm.Removes, r.id.key())
	case r.value != nil:
		cm.Puts = append(cm.Puts, rowstore.Row{Key: r.id.key(), Value: r.value})
	}
}

// split returns two commits with one half of the rows each, in their order.
func (cm *Commit) split() (first, second *Commit) {
	first, second = &Commit{queuedAt: cm.queuedAt}, &Commit{queuedAt: cm.queuedAt}
	for i, r := range cm.rows {
		if 2*i < len(cm.rows) {
			first.add(r)
		} else {
			second.add(r)
		}
	}
	return first, second
}

// TakeCommit returns and clears the next rows to store; nil if there are none. It must not be called again before OnStored was called with the
// returned commit.
func (c *Core) TakeCommit() *Commit {
	if !c.HasCommit() {
		return nil
	}
	out := &Commit{queuedAt: math.MaxInt64}
	q := &c.rows
	// A share of each transaction is for less urgent rows, so that a stream of urgent ones doesn't delay them without bound.
	urgent := min(len(q.urgent), maxCommitRows-min(len(q.other)+len(q.removals), otherCommitRows))
	other := min(len(q.other), maxCommitRows-urgent-min(len(q.removals), removalCommitRows))
	removals := min(len(q.removals), maxCommitRows-urgent-other)
	q.urgent = c.moveToCommit(out, q.urgent, urgent)
	q.other = c.moveToCommit(out, q.other, other)
	q.removals = c.moveToCommit(out, q.removals, removals)
	return out
}

// moveToCommit adds the first n queued rows to a commit and returns the others.
func (c *Core) moveToCommit(cm *Commit, queue []queuedRow, n int) []queuedRow {
	moved := 0
	for moved < n && c.addToCommit(cm, queue[moved]) {
		moved++
	}
	return slices.Clone(queue[moved:])
}

// addToCommit adds a queued row to a commit; false if the values of the commit would be too long together.
func (c *Core) addToCommit(cm *Commit, r queuedRow) bool {
	p := c.rows.queued[r.id]
	var value []byte
	if !p.remove {
		value, _ = c.encode(r.id)
	}
	if len(cm.rows) > 0 && cm.bytes+len(value) > maxCommitBytes {
		return false
	}
	delete(c.rows.queued, r.id)
	cm.queuedAt = min(cm.queuedAt, r.at)
	cm.add(commitRow{r.id, value, p})
	return true
}

// commitLength returns the number of rows that may be stored now.
func (q *rowQueue) commitLength() int { return len(q.urgent) + len(q.other) + len(q.removals) }

// HasCommit reports whether there are rows to store.
func (c *Core) HasCommit() bool { return c.rows.commitLength() > 0 }

// HasFullCommit reports whether the rows to store fill a transaction.
func (c *Core) HasFullCommit() bool { return c.rows.commitLength() >= maxCommitRows }

// OnRejected handles a commit of one row that the store rejects. A job whose tasks can't be stored can't go on: starts and ends of its tasks take effect only
// once they are stored, and unacknowledged ends hold up the other ends of their workers. It ends as failed, which deletes the row. Other rows are tried again.
func (c *Core) OnRejected(cm *Commit, cause error, now time.Duration) {
	c.now = now
	for _, r := range cm.rows {
		c.log.WithFields(logrus.Fields{"epoch": c.epoch, "row": r.id.key().Key, "job": r.id.job, "bytes": len(r.value)}).WithError(cause).Error("the store rejects a row")
		c.counts.RejectedRows++
		p := c.rows.queued[r.id]
		if p == nil {
			p = &pendingRow{}
			c.rows.queued[r.id] = p
			c.rows.rejected = append(c.rows.rejected, queuedRow{r.id, now + rejectedRetryPause})
		}
		p.stored = append(slices.Clip(r.pending.stored), p.stored...)
		p.remove = p.remove || r.pending.remove
		if j := c.jobs[r.id.job]; j != nil && r.id.kind == taskRows && !j.ending() {
			c.logJob(j).Error("job ends, its tasks can't be stored")
			c.finish(j, batch.Failed, now)
		}
	}
}

// retryRejected queues the rejected rows that are due to be tried again.
func (c *Core) retryRejected(now time.Duration) {
	q := &c.rows
	q.rejected = slices.DeleteFunc(q.rejected, func(r queuedRow) bool {
		due := now >= r.at
		if due {
			q.other = append(q.other, queuedRow{r.id, now})
		}
		return due
	})
}

// OnStored runs the actions that waited until the rows of the commit were stored.
func (c *Core) OnStored(cm *Commit, now time.Duration) {
	c.now = now
	for _, run := range cm.actions {
		run()
	}
}

// stateValue is the stored value of a job's state.
type stateValue struct {
	Queue     string      `json:"q"`
	State     batch.State `json:"s"`
	Scheduled bool        `json:"d,omitempty"` // has a schedule
	Team      string      `json:"t,omitempty"` // of a live job
	Bytes     int         `json:"z,omitempty"` // memory that a live job takes, see batch.Job.MemoryBytes
	// Opened is the number of occurrences that have been opened, which are the first ones. They are complete except for those in Unfinished.
	Opened     int   `json:"n,omitempty"`
	Unfinished []int `json:"u,omitempty"`
}

// taskValue is one task in the stored value of a row of tasks.
type taskValue struct {
	Index       int    `json:"i"`
	Done        bool   `json:"d,omitempty"`
	Active      bool   `json:"a,omitempty"` // may run on Worker
	Run         int    `json:"r,omitempty"`
	Worker      string `json:"w,omitempty"`
	Incarnation int64  `json:"b,omitempty"`
	Checkpoint  string `json:"c,omitempty"`
	Failed      []int  `json:"f,omitempty"` // runs that failed
	Suspected   int    `json:"s,omitempty"` // run from which it is suspected to crash workers
	Crashed     []int  `json:"k,omitempty"` // runs that may have been the only cause of a crash
	// CrashedWorkers are the workers of the runs in Crashed; absent in the rows of earlier versions.
	CrashedWorkers []string `json:"kw,omitempty"`
}

// encode returns the current contents of a row; false if its job is no longer tracked.
func (c *Core) encode(id rowID) ([]byte, bool) {
	if id.kind == waveRows {
		return c.encodeWave(id.job)
	}
	j := c.jobs[id.job]
	if j == nil {
		return nil, false
	}
	if id.kind == stateRows {
		return mustEncode(stateValueOf(j)), true
	}
	o := j.occurrence(id.occurrence)
	if o == nil {
		return nil, false
	}
	return mustEncode(taskValues(o, id)), true
}

func taskValues(o *occurrence, id rowID) []taskValue {
	var out []taskValue
	first := id.chunk * tasksPerRow
	for _, g := range o.steps[id.step].groups {
		for _, t := range g.tasks {
			if t.id.Index < first || t.id.Index >= first+tasksPerRow || t.phase == waiting && g.run == 0 {
				continue
			}
			v := taskValue{Index: t.id.Index, Done: t.phase == done, Run: g.run, Checkpoint: t.checkpoint, Failed: g.failedRuns,
				Suspected: g.suspectedRun}
			for _, crash := range t.crashes {
				v.Crashed, v.CrashedWorkers = append(v.Crashed, crash.run), append(v.CrashedWorkers, crash.worker)
			}
			if t.phase == assigned || t.phase.mayBeRunning() {
				v.Active, v.Worker, v.Incarnation = true, t.worker, t.incarnation
			}
			out = append(out, v)
		}
	}
	return out
}

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "encode a row"))
	}
	return data
}

// StateOf decodes a row of the states table. ok is false for the leader row and for rows of other writers.
func StateOf(r rowstore.Row) (queue string, s batch.State, scheduled, ok bool) {
	v, ok := decodeState(r)
	return v.Queue, v.State, v.Scheduled, ok
}

// LiveJob is what the stored state of a job tells about its size.
type LiveJob struct {
	Team  string
	Bytes int
}

// LiveJobOf returns the size of a live job from its row in the states table; false if the job has ended or the row tells no size.
func LiveJobOf(r rowstore.Row) (LiveJob, bool) {
	v, ok := decodeState(r)
	return LiveJob{v.Team, v.Bytes}, ok && v.Bytes > 0
}

func decodeState(r rowstore.Row) (stateValue, bool) {
	var v stateValue
	if r.Key.Key == LeaderKey || json.Unmarshal(r.Value, &v) != nil || v.State == "" {
		return stateValue{}, false
	}
	return v, true
}

// LeaderKey is the key of the leader row in the states table. No job may have this id, since the row of its state would replace the leader row; the intake
// refuses it.
const LeaderKey = "leader"
