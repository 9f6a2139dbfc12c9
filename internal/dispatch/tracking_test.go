package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/batch"
)

// wideJob is a job of the team blue that can't run, since no worker has its label.
func wideJob(id string, tasks int) batch.Job {
	j := simpleJob(id, "batch", 2, tasks, smallNeed)
	j.Team, j.Steps[0].Requires = "blue", "none"
	return j
}

// Guards against a leader that creates the tasks of all accepted jobs at once: some wide jobs took each leader in turn above its memory limit. The jobs of
// other teams, and small ones, have to start nevertheless.
func TestWideJobsDoNotExhaustTheMemoryOfALeader(t *testing.T) {
	const halfOfSoftLimit = smallestHostMemory * 6 / 10 / 2
	for _, x := range []struct{ jobs, tasks int }{{20, batch.MaxTasks}, {200, 5000}, {3000, 400}} {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			s := newSystem(t, 1, 1, 3)
			s.run(2 * testStep)
			before := heapBytes()
			for n := range x.jobs {
				s.submit(wideJob(fmt.Sprint("wide", n), x.tasks))
			}
			s.run(2 * testStep)
			must.Less(t, halfOfSoftLimit, heapBytes()-before, must.Sprint("after submission"))
			s.leaders[0] = nil
			s.leaders = nil
			s.elect()
			s.submit(simpleJob("urgent", "urgent", 0, 4, smallNeed))
			s.run(500 * time.Millisecond)
			must.MapContainsKey(t, s.fleet.firstStart, "urgent")
			must.Less(t, halfOfSoftLimit, heapBytes()-before, must.Sprint("after a takeover"))
			must.Positive(t, s.leaders[0].core.Overview(s.fleet.now).Held)
			s.run(5 * time.Second)
			must.Eq(t, batch.Completed, s.state("urgent"))
			s.mustHaveNoViolations()
			runtime.KeepAlive(s)
		})
	}
}

// Guards against steps that are held for ever: they open as soon as others have ended.
func TestHeldStepsOpenInTurn(t *testing.T) {
	s := newSystem(t, 2, 1, 3)
	for n := range 4 {
		s.submit(wideJob(fmt.Sprint("wide", n), batch.MaxTasks))
	}
	last := simpleJob("last", "batch", 2, batch.MaxTasks, batch.Resources{MilliCores: 1000})
	s.submit(last)
	s.run(2 * testStep)
	must.MapNotContainsKey(t, s.fleet.firstStart, "last")
	for n := range 4 {
		s.cancel(fmt.Sprint("wide", n))
		s.run(4 * testStep)
	}
	must.MapContainsKey(t, s.fleet.firstStart, "last")
	must.Eq(t, 0, s.leaders[0].core.Overview(s.fleet.now).Held)
	s.cancel("last")
	s.run(10 * time.Second)
	must.Eq(t, 0, s.leaders[0].core.tracking.total)
	must.MapEmpty(t, s.leaders[0].core.tracking.byTeam)
	must.Nil(t, s.leaders[0].core.tracking.wide)
}

// Guards against a bound on tracked tasks that is exceeded, that drifts, or that lets one team keep others from opening their steps.
func TestTrackedTasksAreBoundedAndShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := rapid.IntRange(1, 30).Draw(t, "teams")
		share := maxTrackedTasks / 2 / teams
		tracking := taskTracking{byTeam: map[string]int{}}
		type open struct {
			team  string
			step  *stepState
			tasks int
		}
		var steps []open
		for range rapid.IntRange(1, 300).Draw(t, "changes") {
			if len(steps) > 0 && rapid.IntRange(0, 3).Draw(t, "close") == 0 {
				i := rapid.IntRange(0, len(steps)-1).Draw(t, "which")
				tracking.remove(steps[i].team, steps[i].step, steps[i].tasks)
				steps = append(steps[:i], steps[i+1:]...)
				continue
			}
			team := fmt.Sprint(rapid.IntRange(0, teams-1).Draw(t, "team"))
			tasks := rapid.OneOf(rapid.IntRange(1, 50), rapid.IntRange(1, batch.MaxTasks)).Draw(t, "tasks")
			l := tracking.laneFor(team, tasks, teams)
			if l == noLane && tracking.byTeam[team]+tasks <= share {
				t.Fatalf("team %s with %d tasks may not open %d more, its share is %d", team, tracking.byTeam[team], tasks, share)
			}
			if l != noLane {
				steps = append(steps, open{team, &stepState{}, tasks})
				tracking.add(team, steps[len(steps)-1].step, tasks, l)
			}
			sum := 0
			for _, n := range tracking.byTeam {
				sum += n
			}
			must.Eq(t, tracking.total, sum)
			must.LessEq(t, maxTrackedTasks, sum)
		}
		for _, s := range steps {
			tracking.remove(s.team, s.step, s.tasks)
		}
		must.Zero(t, tracking.total)
		must.MapEmpty(t, tracking.byTeam)
		must.Nil(t, tracking.wide)
	})
}
