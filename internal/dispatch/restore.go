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

// Restore restores what earlier leaders have stored: the accepted jobs, and the rows of the dispatcher's tables. wallMS is the time of day in Unix
// milliseconds.
func (c *Core) Restore(jobs []batch.Job, states, tasks []rowstore.Row, now time.Duration, wallMS int64) {
	c.now, c.timeOfDayMS = now, wallMS
	storedStates := map[string]stateValue{}
	for _, r := range states {
		v, ok := decodeState(r)
		if !ok {
			continue
		}
		storedStates[r.Key.Key] = v
		if v.State.Terminal() {
			c.endedJobs[r.Key.Key] = endedJob{v.Queue, v.State, now}
		}
	}
	for _, j := range jobs {
		if _, ended := c.endedJobs[j.ID]; ended {
			c.finalized = append(c.finalized, FinalizedJob{j.ID, j.Queue.Name})
			continue
		}
		n := c.insert(j, now)
		n.acceptedAt = now - ageOf(&j, wallMS)
		n.state = batch.Pending
		if v, ok := storedStates[j.ID]; ok {
			n.state = v.State
			n.restoreOccurrences(v)
		} else {
			c.put(stateRow(j.ID))
		}
		c.logJob(n).Info("job taken over")
	}
	for _, r := range tasks {
		c.restoreTaskRow(r, now)
	}
	for _, j := range c.liveJobs {
		c.recomputeProgress(j, now)
	}
	c.log.WithFields(logrus.Fields{"epoch": c.epoch, "jobs": len(c.liveJobs), "ended": len(c.endedJobs), "task_rows": len(tasks)}).Info("took over jobs")
}

// ageOf returns the time since the acceptance of a job. It is wrong by the difference between the hosts' clocks, but never negative.
func ageOf(j *batch.Job, wallMS int64) time.Duration {
	return max(0, time.Duration(wallMS-j.AcceptedMS)*time.Millisecond)
}

func (c *Core) restoreTaskRow(r rowstore.Row, now time.Duration) {
	if id, ok := strings.CutPrefix(r.Key.Key, waveKeyPrefix); ok {
		c.restoreWave(r, id)
		return
	}
	id, ok := parseTaskRowKey(r.Key.Key)
	if !ok {
		return
	}
	j, o := c.findOccurrence(id)
	if o == nil {
		c.remove(id) // of an ended job or of a complete occurrence, whose deletion was not stored
		return
	}
	var values []taskValue
	if err := json.Unmarshal(r.Value, &values); err != nil {
		c.log.WithFields(logrus.Fields{"row": r.Key.Key}).WithError(err).Error("unreadable row of tasks")
		return
	}
	s := o.steps[id.step]
	if !s.opened {
		c.tracking.add(j.Team, s, j.Steps[id.step].Tasks, sharedLane)
		c.openStep(j, o, id.step, now)
	}
	if id.chunk < len(s.stored) {
		s.stored[id.chunk] = true
	}
	for _, v := range values {
		t := c.task(batch.TaskID{Job: j.ID, Occurrence: o.index, Step: id.step, Index: v.Index}.String())
		if t != nil {
			c.restoreTask(t, v, now)
		}
	}
}

func (c *Core) restoreTask(t *task, v taskValue, now time.Duration) {
	g := t.group
	if v.Run > 0 {
		g.readySince = now
	}
	g.run = max(g.run, v.Run)
	t.checkpoint = v.Checkpoint
	if len(v.Failed) > len(g.failedRuns) {
		g.failedRuns = v.Failed
	}
	g.suspectedRun, t.crashes = max(g.suspectedRun, v.Suspected), nil
	for i, run := range v.Crashed {
		crash := taskCrash{run: run}
		if i < len(v.CrashedWorkers) {
			crash.worker = v.CrashedWorkers[i]
		}
		t.crashes = append(t.crashes, crash)
	}
	switch {
	case v.Done:
		c.setPhase(t, done)
		g.finished = true
	case v.Active:
		t.worker, t.incarnation, t.inherited = v.Worker, v.Incarnation, true
		c.setPhase(t, running)
		t.confirmed, t.confirmedAt, t.startedAt, t.percentChangedAt, t.progressAt = true, now, now, now, now
		w := c.workers[v.Worker]
		if w == nil {
			w = c.newWorker(v.Worker, now)
		}
		// Runs of an earlier incarnation may be stored as well; the next report lacks them.
		w.Incarnation, w.incarnationAt = max(w.Incarnation, v.Incarnation), now
		// A worker that has seen the new epoch can't carry out older orders, so its next report is complete.
		w.setAlloc(t.key(), &alloc{task: t, need: g.spec().Need, startSettled: true, startSettledAt: now, delivered: true})
		c.requestRenewal(w)
	}
}

// recomputeProgress derives a job's progress from the phases of its tasks.
func (c *Core) recomputeProgress(j *job, now time.Duration) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, g := range s.groups {
				if g.finished {
					s.tasksLeft -= len(g.tasks)
					c.finishGang(g)
				} else if g.active() && !g.allInPhase(running) {
					c.stopGroup(g, now, "partly_running")
				}
			}
		}
		if o.complete() {
			c.completeOccurrence(j, o, now)
		}
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, g := range s.groups {
				c.failExhausted(g, 0, now) // the newest crash may not be certain
			}
		}
	}
	c.openSteps(j, now)
}

// finishGang marks those members of a finished gang as done whose rows the earlier leader has not stored as done.
func (c *Core) finishGang(g *taskGroup) {
	for _, t := range g.tasks {
		if t.phase == done {
			continue
		}
		if w := c.workers[t.worker]; w != nil && w.allocs[t.key()] != nil {
			w.detach(w.allocs[t.key()])
		}
		c.setPhase(t, done)
		c.putTask(t)
	}
}

func (g *taskGroup) allInPhase(p phase) bool {
	for _, t := range g.tasks {
		if t.phase != p {
			return false
		}
	}
	return true
}

// findOccurrence returns the job of a stored row of tasks and its occurrence, or nil if that has ended.
func (c *Core) findOccurrence(id rowID) (*job, *occurrence) {
	j := c.jobs[id.job]
	if j == nil || id.occurrence >= j.Occurrences() || id.step >= len(j.Steps) {
		return nil, nil
	}
	j.openUpTo(id.occurrence + 1) // the earlier leader opened it, and so all before it
	return j, j.occurrence(id.occurrence)
}

// parseTaskRowKey parses the key of a row of tasks.
func parseTaskRowKey(key string) (rowID, bool) {
	p := strings.Split(key, "/")
	if len(p) != 3 {
		return rowID{}, false
	}
	k, s, dot := strings.Cut(p[1], ".")
	occurrence, err1 := strconv.Atoi(k)
	step, err2 := strconv.Atoi(s)
	chunk, err3 := strconv.Atoi(p[2])
	if !dot || err1 != nil || err2 != nil || err3 != nil || occurrence < 0 || step < 0 || chunk < 0 {
		return rowID{}, false
	}
	return rowID{taskRows, p[0], occurrence, step, chunk}, true
}
