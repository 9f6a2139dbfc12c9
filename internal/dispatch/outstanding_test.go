package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/batch"
)

// runCountingLoss runs the system for a time and returns the largest number of tasks of a job that one maintenance has ended.
func (f *fakeMachines) runCountingLoss(job string, d time.Duration) int {
	worst := 0
	for end := f.s.fleet.now + d; f.s.fleet.now < end; {
		down, at := len(f.upAt), len(f.s.fleet.runsOf(job))
		f.run(testStep)
		if len(f.upAt) > down {
			worst = max(worst, at-len(f.s.fleet.runsOf(job)))
		}
	}
	return worst
}

// Guards against a maintenance order that got no response, is repeated after new work was placed on the machine, and ends more tasks of a step than may be
// unavailable, under the same leader or the next one.
func TestNothingStartsOnAMachineWithAnOutstandingOrder(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprint("takeover=", takeover), func(t *testing.T) {
			s := newSystem(t, 1, 1, 3)
			s.fleet.noFaults = false
			f := newFakeMachines(s)
			s.submit(longRunningJob("others", 2))
			f.run(3 * time.Second)
			var free string
			for _, id := range s.fleet.ids() {
				if len(s.fleet.workers[id].running) == 0 {
					free = id
				}
			}
			wave := batch.Wave{ID: "1", Machines: []string{"m-" + free}, TargetDuration: 20 * time.Second, MaxInMaintenance: 1}
			f.ordersToLose = 3 // the first one and those that are repeated while the list is recent
			s.leader().SetWaves([]batch.Wave{wave}, s.fleet.now)
			for range 100 {
				if len(f.orders) > 0 {
					break
				}
				f.run(testStep)
			}
			must.MapNotEmpty(t, f.orders)
			f.listFailsUntil = s.fleet.now + 4900*time.Millisecond
			if takeover {
				s.elect()
				s.leader().SetWaves([]batch.Wave{wave}, s.fleet.now)
			}
			j := simpleJob("j", "batch", 2, 4, smallNeed)
			j.Steps[0].LongRunning, j.Steps[0].MaxUnavailable = true, 1
			s.submit(j)
			must.LessEq(t, 1, f.runCountingLoss("j", 20*time.Second))
			must.Eq(t, 1, f.maintained["m-"+free])
			must.SliceLen(t, 4, s.fleet.runsOf("j"))
			s.mustHaveNoViolations()
		})
	}
}

// Guards against any order of lost orders, lost responses, silences of the machine provider, overlapping waves and takeovers in which a maintenance ends
// more tasks of a step than may be unavailable.
func TestMaintenanceEndsNoMoreTasksThanMayBeUnavailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t, rapid.Uint64().Draw(t, "seed"), 2, 3)
		s.fleet.noFaults = false
		f := newFakeMachines(s)
		f.keepsIDs = rapid.Bool().Draw(t, "keeps ids")
		waves := []batch.Wave{{ID: "1", Machines: f.ids()[:3], TargetDuration: 15 * time.Second, MaxInMaintenance: 1},
			{ID: "2", Machines: f.ids()[2:], TargetDuration: 15 * time.Second, MaxInMaintenance: 1}}
		s.submit(longRunningJob("others", 5))
		f.run(4 * time.Second)
		j := simpleJob("j", "batch", 2, 4, smallNeed)
		j.Steps[0].LongRunning, j.Steps[0].MaxUnavailable = true, 1
		s.leader().SetWaves(waves, s.fleet.now)
		events := rapid.IntRange(1, 8).Draw(t, "events")
		submitAt := rapid.IntRange(0, events-1).Draw(t, "job comes at")
		worst := 0
		for i := range events {
			if i == submitAt {
				s.submit(j)
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				f.ordersToLose = 1
			case 1:
				f.responsesToLose, f.listOutage = 1, 3*time.Second
			case 2:
				f.listFailsUntil, f.ordersToLose = s.fleet.now+4900*time.Millisecond, 3
			case 3:
				s.elect()
				s.leader().SetWaves(waves, s.fleet.now)
			}
			worst = max(worst, f.runCountingLoss("j", time.Duration(rapid.IntRange(1, 60).Draw(t, "steps"))*testStep))
		}
		worst = max(worst, f.runCountingLoss("j", 10*time.Second))
		if worst > 1 {
			t.Fatalf("a maintenance has ended %d tasks of a step, at most 1 may be unavailable", worst)
		}
		s.mustHaveNoViolations()
	})
}
