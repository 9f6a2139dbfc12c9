package dispatch

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/rowstore"
)

// Restore takes over what earlier leaders have stored: jobs that were accepted, and the rows of the dispatcher's tables. wallMS is the time of day.
func (c *Core) Restore(jobs []batch.Job, states, tasks []rowstore.Row, now time.Duration, wallMS int64) {
	c.now, c.wall = now, wallMS
	known := map[string]batch.State{}
	for _, r := range states {
		queue, s, _, ok := StateOf(r)
		if !ok {
			continue
		}
		known[r.Key.Key] = s
		if s.Terminal() {
			c.ended[r.Key.Key] = endedJob{queue, s, now}
		}
	}
	for _, j := range jobs {
		if _, over := c.ended[j.ID]; over {
			c.retire = append(c.retire, FinalizedJob{j.ID, j.Queue.Name})
			continue
		}
		n := c.insert(j, now)
		n.known = now - ageOf(&j, wallMS)
		n.state = batch.Pending
		if s, ok := known[j.ID]; ok {
			n.state = s
		} else {
			c.rows.mark(stateRow(j.ID))
		}
		c.logJob(n).Info("job taken over")
	}
	for _, r := range tasks {
		c.restoreChunk(r, now)
	}
	for _, j := range c.live {
		c.recount(j, now)
	}
	c.log.WithFields(logrus.Fields{"epoch": c.epoch, "jobs": len(c.live), "ended": len(c.ended), "task_rows": len(tasks)}).Info("took over jobs")
}

// ageOf returns the time since the acceptance of a job. Clocks that disagree make it wrong by their difference, but never negative.
func ageOf(j *batch.Job, wallMS int64) time.Duration {
	return max(0, time.Duration(wallMS-j.AcceptedMS)*time.Millisecond)
}

func (c *Core) restoreChunk(r rowstore.Row, now time.Duration) {
	if id, ok := strings.CutPrefix(r.Key.Key, waveKeyPrefix); ok {
		c.restoreWave(r, id)
		return
	}
	j, k, step, ok := c.chunkOf(r.Key.Key)
	if !ok {
		// The row of an ended job whose deletion was not stored.
		if id, ok := parseChunk(r.Key.Key); ok {
			c.rows.remove(id)
		}
		return
	}
	var values []taskValue
	if err := json.Unmarshal(r.Value, &values); err != nil {
		c.log.WithFields(logrus.Fields{"row": r.Key.Key}).WithError(err).Error("unreadable row of tasks")
		return
	}
	if !j.steps[k][step].opened {
		c.openStep(j, k, step, now)
	}
	for _, v := range values {
		t := c.task(batch.TaskID{Job: j.ID, Occurrence: k, Step: step, Index: v.Index}.String())
		if t != nil {
			c.restoreTask(t, v, now)
		}
	}
}

func (c *Core) restoreTask(t *task, v taskValue, now time.Duration) {
	u := t.unit
	if v.Run > 0 {
		u.readySince = now
	}
	u.run = max(u.run, v.Run)
	t.checkpoint = v.Checkpoint
	if len(v.Failed) > len(u.failed) {
		u.failed = v.Failed
	}
	switch {
	case v.Done:
		t.phase = done
		u.finished = true
	case v.Active:
		t.phase, t.worker, t.boot, t.inherited = running, v.Worker, v.Boot, true
		t.confirmed, t.confirmedAt, t.startedAt, t.percentAt = true, now, now, now
		w := c.workers[v.Worker]
		if w == nil {
			w = c.newWorker(v.Worker, now)
			w.Incarnation = v.Boot
		}
		// A worker that has seen the new epoch can't carry out older orders, so its next list is complete.
		w.occupants[t.key()] = &occupant{task: t, need: u.spec().Need, cleared: true, clearedAt: now}
		c.wantHold(w)
	}
}

// recount restores what follows from the phases of a job's tasks.
func (c *Core) recount(j *job, now time.Duration) {
	j.stepsLeft = 0
	for _, steps := range j.steps {
		for _, s := range steps {
			for _, u := range s.units {
				if u.finished {
					s.left -= len(u.tasks)
					c.finishMembers(u)
				} else if u.active() && !u.wholly(running) {
					c.stopUnit(u, now, "partly_running")
				}
			}
			if s.left > 0 {
				j.stepsLeft++
			}
		}
	}
	if j.stepsLeft == 0 {
		c.finish(j, batch.Completed, now)
		return
	}
	for _, steps := range j.steps {
		for _, s := range steps {
			for _, u := range s.units {
				if !u.finished && len(u.failed) >= j.Queue.Attempts && !u.spec().LongRunning && !j.ending() {
					c.finish(j, batch.Failed, now)
				}
			}
		}
	}
	c.openSteps(j, now)
}

// finishMembers marks the members of a finished gang whose own rows weren't stored yet.
func (c *Core) finishMembers(u *unit) {
	for _, t := range u.tasks {
		if t.phase == done {
			continue
		}
		if w := c.workers[t.worker]; w != nil && w.occupants[t.key()] != nil {
			w.occupants[t.key()].task = nil
		}
		t.phase = done
		c.rows.mark(t.row())
	}
}

func (u *unit) wholly(p phase) bool {
	for _, t := range u.tasks {
		if t.phase != p {
			return false
		}
	}
	return true
}

func (c *Core) chunkOf(key string) (j *job, occurrence, step int, ok bool) {
	id, ok := parseChunk(key)
	if !ok {
		return nil, 0, 0, false
	}
	j = c.jobs[id.job]
	if j == nil || id.occurrence >= len(j.steps) || id.step >= len(j.Steps) {
		return nil, 0, 0, false
	}
	return j, id.occurrence, id.step, true
}

// parseChunk reads the key of a row of tasks.
func parseChunk(key string) (rowID, bool) {
	p := strings.Split(key, "/")
	if len(p) != 3 {
		return rowID{}, false
	}
	k, s, dot := strings.Cut(p[1], ".")
	occurrence, err1 := strconv.Atoi(k)
	step, err2 := strconv.Atoi(s)
	chunk, err3 := strconv.Atoi(p[2])
	if !dot || err1 != nil || err2 != nil || err3 != nil {
		return rowID{}, false
	}
	return rowID{taskRows, p[0], occurrence, step, chunk}, true
}
