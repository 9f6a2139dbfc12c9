package dispatch

import (
	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
)

// maxTrackedTasks bounds the tasks of opened steps, except for one step that is wider than the share of its team. A task takes some 500 bytes, so that this
// bound and the widest step (batch.MaxTasks) together take half of the soft memory limit of the smallest host (184 MB).
const maxTrackedTasks = 60_000

// lane is the part of the bound on tracked tasks that a step counts against.
type lane uint8

const (
	noLane     lane = iota // not opened
	sharedLane             // maxTrackedTasks
	wideLane               // holds one step at a time
)

// taskTracking counts the tasks that the leader keeps in memory. Callers choose the number of tasks, and a leader that exceeds its memory limit is ended,
// and so is each of its successors.
type taskTracking struct {
	total  int            // tasks of steps in the shared lane
	byTeam map[string]int // of total
	wide   *stepState     // the step in the wide lane, or nil
	held   int            // steps that waited for a lane at the last check
}

// laneFor returns the lane in which a step may open now, or noLane. Any team may use the first half of the bound; the second half is shared equally, so that
// one team can't keep the steps of another from opening.
func (t *taskTracking) laneFor(team string, tasks, teams int) lane {
	share := maxTrackedTasks / 2 / max(1, teams)
	switch {
	case t.total+tasks <= maxTrackedTasks/2, t.total+tasks <= maxTrackedTasks && t.byTeam[team]+tasks <= share:
		return sharedLane
	case tasks > share && t.wide == nil:
		return wideLane
	}
	return noLane
}

func (t *taskTracking) add(team string, s *stepState, tasks int, l lane) {
	s.lane = l
	if l == wideLane {
		t.wide = s
		return
	}
	t.total += tasks
	t.byTeam[team] += tasks
}

func (t *taskTracking) remove(team string, s *stepState, tasks int) {
	switch {
	case s.lane == sharedLane:
		t.total -= tasks
		if t.byTeam[team] -= tasks; t.byTeam[team] == 0 {
			delete(t.byTeam, team)
		}
	case t.wide == s:
		t.wide = nil
	}
	s.lane = noLane
}

// mayTrack reports whether a step may open now, and counts its tasks if so.
func (c *Core) mayTrack(j *job, s *stepState, spec *batch.Step) bool {
	teams := 1
	if c.policy != nil {
		teams = len(c.policy.Teams)
	}
	l := c.tracking.laneFor(j.Team, spec.Tasks, teams)
	if l == noLane {
		c.tracking.held++
		if !s.held {
			s.held = true
			c.logJob(j).WithFields(logrus.Fields{"tasks": spec.Tasks, "tracked_tasks": c.tracking.total, "team_tasks": c.tracking.byTeam[j.Team]}).Warn("step is held, too many tasks are tracked")
		}
		return false
	}
	c.tracking.add(j.Team, s, spec.Tasks, l)
	return true
}

// untrack removes the tasks of an occurrence from the count.
func (c *Core) untrack(j *job, o *occurrence) {
	for i, s := range o.steps {
		c.tracking.remove(j.Team, s, j.Steps[i].Tasks)
	}
}

// openHeldSteps opens the steps that were held, as far as possible now, those of urgent and old jobs first.
func (c *Core) openHeldSteps() {
	if c.tracking.held == 0 {
		return
	}
	c.tracking.held = 0
	for _, j := range c.liveByPriority() {
		c.openSteps(j, c.now)
	}
}
