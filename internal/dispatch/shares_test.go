package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"samphirewell/internal/batch"
	"samphirewell/internal/fairshare"
)

// teamJob returns a job of a team with an objective that it can't miss.
func teamJob(id, team string, tasks int, need batch.Resources) batch.Job {
	j := simpleJob(id, "batch", 2, tasks, need)
	j.Team, j.Queue.Target = team, time.Hour
	return j
}

// shareDelay is the longest time until a team without any capacity is served: the wait after which its request counts, the rise of its deficit to 0.45 with a
// time constant of 5 s (3 s), two cycles, and the run time of the tasks of the other team (2 s).
const shareDelay = scarceAfter + 2*replanInterval + 5*time.Second

// runUntilStarted runs the system until a task of the job runs, and returns how long that took, at most limit.
func (s *system) runUntilStarted(job string, limit time.Duration) time.Duration {
	check := waitCheck{system: s, job: job}
	for waited := time.Duration(0); waited < limit; waited += testStep {
		if check.hasStarted() {
			return waited
		}
		s.run(testStep)
	}
	return limit
}

// Guards against a team whose job waits until a large job of another team, which has begun and is therefore worth more, has ended.
func TestTeamBelowItsPartIsServedBeforeATeamAboveIts(t *testing.T) {
	for _, fair := range []bool{true, false} {
		s := newSystem(t, 1, 1, 1)
		s.leaders[0].core.SetFairShares(fair)
		s.run(2 * testStep)
		s.submit(teamJob("large", "red", 200, smallNeed)) // 8 tasks at a time
		s.run(4 * time.Second)
		s.submit(teamJob("small", "blue", 1, smallNeed))
		waited := s.runUntilStarted("small", 2*shareDelay)
		must.Eq(t, fair, waited <= shareDelay, must.Sprint(fair, waited))
		s.mustHaveNoViolations()
	}
}

// Guards against large gangs of a team that starve behind the single tasks of another one.
func TestLargeGangOfATeamBelowItsPartIsServed(t *testing.T) {
	s := newSystem(t, 1, 1, 8)
	s.run(2 * testStep)
	for i := range 1000 {
		s.submit(teamJob(fmt.Sprint("small-", i), "red", 1, smallNeed))
	}
	s.run(4 * time.Second)
	gang := teamJob("gang", "blue", 2, batch.Resources{MilliCores: 8000, Accelerators: 8})
	gang.Steps[0].Gang = true
	s.submit(gang)
	must.Less(t, 15*time.Second, s.runUntilStarted("gang", 15*time.Second))
	s.mustHaveNoViolations()
}

// Guards against teams that change the order of requests while capacity is ample, and against a state of a new leader that isn't rebuilt from the runs.
func TestSharesFollowScarcity(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	s.run(2 * testStep)
	standings := func() []fairshare.Standing {
		core := s.leaders[len(s.leaders)-1].core
		var out []fairshare.Standing
		for _, team := range []string{"red", "blue"} {
			out = append(out, core.shareOf("svc", &job{Job: teamJob("j", team, 1, smallNeed)}))
		}
		return out
	}
	s.submit(teamJob("r", "red", 6, smallNeed))
	s.submit(teamJob("b", "blue", 1, smallNeed))
	s.run(time.Second)
	must.Eq(t, []fairshare.Standing{fairshare.Even, fairshare.Even}, standings())
	s.submit(teamJob("large", "red", 200, smallNeed))
	s.run(6 * time.Second)
	s.submit(teamJob("huge", "blue", 1, batch.Resources{MilliCores: 32000, Accelerators: 8}))
	s.run(scarceAfter + 8*time.Second)
	must.Eq(t, []fairshare.Standing{fairshare.Over, fairshare.Under}, standings())
	must.Eq(t, map[string]int{"under": 1, "over": 1}, s.leaders[0].core.Overview(s.fleet.now).Teams[2])
	s.elect()
	must.Eq(t, []fairshare.Standing{fairshare.Even, fairshare.Even}, standings())
	s.run(scarceAfter + 8*time.Second)
	must.Eq(t, []fairshare.Standing{fairshare.Over, fairshare.Under}, standings())
}

// Guards against logs from which it can't be seen that a team waits because others are served first, and for how long.
func TestLogTellsTheSharesOfTeams(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	log, hook := logtest.NewNullLogger()
	s.leaders[0].core.log = log
	s.run(2 * testStep)
	s.submit(teamJob("large", "red", 200, smallNeed))
	s.run(4 * time.Second)
	s.submit(teamJob("huge", "blue", 1, batch.Resources{MilliCores: 32000, Accelerators: 8}))
	s.run(8 * time.Second)
	var waits, teams []logrus.Fields
	for _, e := range hook.AllEntries() {
		switch {
		case e.Message == "still waiting for room" && e.Data["job"] == "large":
			waits = append(waits, e.Data)
		case e.Message == "capacity of a priority":
			teams = append(teams, e.Data)
		}
	}
	must.SliceNotEmpty(t, waits)
	must.SliceNotEmpty(t, teams)
	must.Eq(t, any("over"), waits[len(waits)-1]["team_share"])
	must.Eq(t, any("wait"), waits[len(waits)-1]["outlook"])
	must.Positive(t, waits[len(waits)-1]["expected_wait_ms"].(int64))
	must.Eq(t, any([]string{"blue"}), teams[len(teams)-1]["teams_under"])
	must.Eq(t, any([]string{"red"}), teams[len(teams)-1]["teams_over"])
}
