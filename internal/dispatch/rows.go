package dispatch

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

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
	// removalCommitRows is the part of a commit that deletions of rows of tasks get. They may wait, and a wide job has thousands of them at its end.
	removalCommitRows = maxCommitRows / 8
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
	queuedAt time.Duration // when its oldest row was queued
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
	shared := maxCommitRows - min(len(q.removals), removalCommitRows)
	urgent := min(len(q.urgent), shared-min(len(q.other), otherCommitRows))
	other := min(len(q.other), shared-urgent)
	removals := min(len(q.removals), maxCommitRows-urgent-other)
	q.urgent = c.moveToCommit(out, q.urgent, urgent)
	q.other = c.moveToCommit(out, q.other, other)
	q.removals = c.moveToCommit(out, q.removals, removals)
	return out
}

// moveToCommit adds the first n queued rows to a commit and returns the others.
func (c *Core) moveToCommit(cm *Commit, queue []queuedRow, n int) []queuedRow {
	for _, r := range queue[:n] {
		c.addToCommit(cm, r)
	}
	return slices.Clone(queue[n:])
}

func (c *Core) addToCommit(cm *Commit, r queuedRow) {
	p := c.rows.queued[r.id]
	delete(c.rows.queued, r.id)
	cm.queuedAt = min(cm.queuedAt, r.at)
	cm.actions = append(cm.actions, p.stored...)
	if p.remove {
		cm.Removes = append(cm.Removes, r.id.key())
	} else if value, ok := c.encode(r.id); ok {
		cm.Puts = append(cm.Puts, rowstore.Row{Key: r.id.key(), Value: value})
	}
}

// HasCommit reports whether there are rows to store.
func (c *Core) HasCommit() bool { return len(c.rows.queued) > 0 }

// HasFullCommit reports whether the rows to store fill a transaction.
func (c *Core) HasFullCommit() bool { return len(c.rows.queued) >= maxCommitRows }

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
				Suspected: g.suspectedRun, Crashed: t.crashedRuns}
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
