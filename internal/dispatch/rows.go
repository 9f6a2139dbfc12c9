package dispatch

import (
	"encoding/json"
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
	// chunkTasks is the number of tasks of a step in one row. A smaller number writes fewer bytes a change, a larger one fewer rows a step.
	chunkTasks = 24
	// commitRows bounds the rows of a commit; the leader row and its condition take two of the transaction.
	commitRows = rowstore.MaxTxRows - 2
)

type rowKind uint8

const (
	stateRows rowKind = iota
	taskRows
	waveRows
)

// rowID names a row of the dispatcher.
type rowID struct {
	kind       rowKind
	job        string
	occurrence int
	step       int
	chunk      int
}

func stateRow(job string) rowID { return rowID{kind: stateRows, job: job} }

func (t *task) row() rowID {
	return rowID{taskRows, t.id.Job, t.id.Occurrence, t.id.Step, t.id.Index / chunkTasks}
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

// rowQueue holds the rows that have to be written, oldest change first.
type rowQueue struct {
	order  []rowID
	marked map[rowID]bool // true if the row is to be deleted
}

func (q *rowQueue) mark(id rowID) {
	if _, ok := q.marked[id]; ok {
		return
	}
	q.marked[id] = false
	q.order = append(q.order, id)
}

func (q *rowQueue) remove(id rowID) {
	if _, ok := q.marked[id]; !ok {
		q.order = append(q.order, id)
	}
	q.marked[id] = true
}

// effect is something that may happen once a row is stored.
type effect struct {
	row  rowID
	then func()
}

// afterStored runs then once the present contents of the row are stored.
func (c *Core) afterStored(row rowID, then func()) {
	c.effects = append(c.effects, effect{row, then})
}

// Commit is a set of rows to store in one transaction, and what may happen after that.
type Commit struct {
	Puts    []rowstore.Row
	Removes []rowstore.Key
	effects []effect
}

// TakeCommit returns the next rows to store, or nil. The next call must follow only after OnStored was called with the result.
func (c *Core) TakeCommit() *Commit {
	n := min(len(c.rows.order), commitRows)
	if n == 0 {
		return nil
	}
	out := &Commit{}
	taken := make(map[rowID]bool, n)
	for _, id := range c.rows.order[:n] {
		taken[id] = true
		remove := c.rows.marked[id]
		delete(c.rows.marked, id)
		value, ok := c.encode(id)
		switch {
		case remove:
			out.Removes = append(out.Removes, id.key())
		case ok:
			out.Puts = append(out.Puts, rowstore.Row{Key: id.key(), Value: value})
		}
	}
	c.rows.order = append([]rowID(nil), c.rows.order[n:]...)
	rest := c.effects[:0:0]
	for _, e := range c.effects {
		if taken[e.row] {
			out.effects = append(out.effects, e)
		} else {
			rest = append(rest, e)
		}
	}
	c.effects = rest
	return out
}

// HasCommit reports whether rows wait to be stored.
func (c *Core) HasCommit() bool { return len(c.rows.order) > 0 }

// OnStored runs the actions that waited until the rows of the commit were stored.
func (c *Core) OnStored(cm *Commit, now time.Duration) {
	c.now = now
	for _, e := range cm.effects {
		e.then()
	}
}

// stateValue is the row of a job's state.
type stateValue struct {
	Queue     string      `json:"q"`
	State     batch.State `json:"s"`
	Scheduled bool        `json:"d,omitempty"` // has a schedule
}

// taskValue is a task in the row of its chunk.
type taskValue struct {
	Index      int    `json:"i"`
	Done       bool   `json:"d,omitempty"`
	Active     bool   `json:"a,omitempty"` // may run on Worker
	Run        int    `json:"r,omitempty"`
	Worker     string `json:"w,omitempty"`
	Boot       int64  `json:"b,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	Failed     []int  `json:"f,omitempty"` // runs that failed
}

// encode returns the present contents of a row; false if its job is forgotten.
func (c *Core) encode(id rowID) ([]byte, bool) {
	if id.kind == waveRows {
		return c.encodeWave(id.job)
	}
	j := c.jobs[id.job]
	if j == nil {
		return nil, false
	}
	if id.kind == stateRows {
		return mustEncode(stateValue{Queue: j.Queue.Name, State: j.state, Scheduled: j.Schedule != nil}), true
	}
	return mustEncode(c.chunk(j, id)), true
}

func (c *Core) chunk(j *job, id rowID) []taskValue {
	var out []taskValue
	first := id.chunk * chunkTasks
	for _, u := range j.steps[id.occurrence][id.step].units {
		for _, t := range u.tasks {
			if t.id.Index < first || t.id.Index >= first+chunkTasks || t.phase == waiting && u.run == 0 {
				continue
			}
			v := taskValue{Index: t.id.Index, Done: t.phase == done, Run: u.run, Checkpoint: t.checkpoint, Failed: u.failed}
			if t.phase == assigned || t.phase.located() {
				v.Active, v.Worker, v.Boot = true, t.worker, t.boot
			}
			out = append(out, v)
		}
	}
	return out
}

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "the types of rows can always be encoded"))
	}
	return data
}

// StateOf reads a row of the table of states. The leader row and rows of other writers give false.
func StateOf(r rowstore.Row) (queue string, s batch.State, scheduled, ok bool) {
	if r.Key.Key == LeaderKey {
		return "", "", false, false
	}
	var v stateValue
	if err := json.Unmarshal(r.Value, &v); err != nil || v.State == "" {
		return "", "", false, false
	}
	return v.Queue, v.State, v.Scheduled, true
}

// LeaderKey is the key of the leader row in the table of states; ids of jobs never look like it.
const LeaderKey = "leader"
