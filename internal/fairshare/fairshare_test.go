package fairshare

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func drawLoads(t *rapid.T) []Load {
	loads := make([]Load, rapid.IntRange(1, 8).Draw(t, "teams"))
	for i := range loads {
		loads[i] = Load{Team: fmt.Sprint(i), Weight: rapid.Float64Range(0.5, 4).Draw(t, "weight"), Usage: rapid.Float64Range(0, 1).Draw(t, "usage"),
			Demand: rapid.SampledFrom([]float64{0, 0, 0.01, 0.3, 2}).Draw(t, "demand")}
	}
	return loads
}

// Guards against parts that don't add up to what is held, that exceed what a team requests, or that leave a waiting team less for its weight than another one.
func TestPartsAreTheMaxMinDivision(t *testing.T) {
	const tiny = 1e-9
	rapid.Check(t, func(t *rapid.T) {
		loads := drawLoads(t)
		parts := Parts(loads)
		sum := 0.0
		for i, l := range loads {
			sum += l.Usage - parts[i]
			must.LessEq(t, l.Usage+l.Demand+tiny, parts[i])
			for k, other := range loads {
				unmet := parts[i] < l.Usage+l.Demand-tiny
				must.True(t, !unmet || parts[k]/other.Weight <= parts[i]/l.Weight+tiny, must.Sprint(loads, parts))
			}
		}
		must.InDelta(t, 0, sum, tiny*10)
		for i := range loads {
			loads[i].Demand = 0
		}
		for i, part := range Parts(loads) {
			must.InDelta(t, loads[i].Usage, part, tiny)
		}
	})
}

// Guards against standings that change the order while nothing waits, and against deficits that outlast the load.
func TestNothingChangesWhileNothingWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker Tracker
		now := time.Duration(0)
		for range rapid.IntRange(0, 10).Draw(t, "loaded") {
			now += time.Second
			tracker.Update(drawLoads(t), now)
		}
		now += time.Millisecond
		idle := drawLoads(t)
		for i := range idle {
			idle[i].Demand = 0
		}
		tracker.Update(idle, now)
		for _, team := range tracker.Teams() {
			must.Eq(t, Even, team.Standing)
		}
		tracker.Update(nil, now+6*TimeConstant)
		must.SliceEmpty(t, tracker.Teams())
		must.Eq(t, Even, tracker.Standing("0"))
	})
}

// simulatedTask is a task of the test of waits.
type simulatedTask struct {
	team, size int
	runTime    time.Duration
	key        int // order among the other teams
	end        time.Duration
}

// Guards against a team that waits while teams that have their parts get more, for longer than Delay: whatever the loads, the sizes of tasks, their run times and
// the order among teams that aren't under their part. Capacity that a team under its part waits for isn't given to others, as with reservations.
func TestNoTeamBelowItsPartWaitsForTeamsAboveTheirs(t *testing.T) {
	const cycle, capacity = 250 * time.Millisecond, 40
	rapid.Check(t, func(t *rapid.T) {
		teams := rapid.IntRange(2, 6).Draw(t, "teams")
		rates := rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 4, 12}), teams, teams).Draw(t, "tasks in a burst")
		var tracker Tracker
		var waiting, running []simulatedTask
		lackingSince := map[int]time.Duration{}
		for now := cycle; now < 40*time.Second; now += cycle {
			running = slices.DeleteFunc(running, func(x simulatedTask) bool { return x.end <= now })
			if rapid.IntRange(0, 5).Draw(t, "burst") == 0 {
				team := rapid.IntRange(0, teams-1).Draw(t, "team")
				size, runTime := rapid.SampledFrom([]int{1, 2, 5, 12}).Draw(t, "size"), time.Duration(rapid.IntRange(1, 11).Draw(t, "run time"))*time.Second
				for range rates[team] {
					waiting = append(waiting, simulatedTask{team: team, size: size, runTime: runTime, key: rapid.IntRange(0, 99).Draw(t, "key")})
				}
			}
			usage, demand := make([]float64, teams), make([]float64, teams)
			for _, x := range running {
				usage[x.team] += float64(x.size) / capacity
			}
			for _, x := range waiting {
				demand[x.team] += float64(x.size) / capacity
			}
			var loads []Load
			for i := range teams {
				loads = append(loads, Load{Team: fmt.Sprint(i), Weight: 1, Usage: usage[i], Demand: demand[i]})
			}
			tracker.Update(loads, now)
			parts := Parts(loads)
			longest := time.Duration(0)
			for i := range teams {
				if demand[i] == 0 || parts[i] == 0 || (parts[i]-usage[i])/parts[i] < Tolerance {
					delete(lackingSince, i)
				} else if _, ok := lackingSince[i]; !ok {
					lackingSince[i] = now
				} else {
					longest = max(longest, now-lackingSince[i])
				}
			}
			slices.SortStableFunc(waiting, func(a, b simulatedTask) int {
				first := func(x simulatedTask) int { return int(min(Even, tracker.Standing(fmt.Sprint(x.team)))) }
				return cmp.Or(cmp.Compare(first(a), first(b)), cmp.Compare(a.key, b.key))
			})
			free := capacity
			for _, x := range running {
				free -= x.size
			}
			var left []simulatedTask
			for _, x := range waiting {
				if x.size > free {
					left = append(left, x)
					if tracker.Standing(fmt.Sprint(x.team)) == Under {
						free = 0 // kept for the team
					}
					continue
				}
				stillWaits := slices.ContainsFunc(left, func(l simulatedTask) bool {
					since, ok := lackingSince[l.team]
					return ok && now-since > Delay+cycle
				})
				must.False(t, stillWaits && usage[x.team] >= parts[x.team], must.Sprintf("team %d gets more than its part while a team has lacked its part for %v", x.team, longest))
				free -= x.size
				x.end = now + x.runTime
				running = append(running, x)
			}
			for i, since := range lackingSince {
				if now-since > Delay+cycle {
					must.Eq(t, Under, tracker.Standing(fmt.Sprint(i)))
				}
			}
			waiting = left
		}
	})
}

// Guards against an order that changes with each start and end of a task around the part.
func TestStandingHasHysteresis(t *testing.T) {
	var tracker Tracker
	now, changes, last := time.Duration(0), 0, Even
	for i := range 400 {
		now += 250 * time.Millisecond
		lacking := enterLevel - 0.1 + 0.2*float64(i%2)
		tracker.Update([]Load{{"a", 1, 0.5 * (1 - lacking), 1}, {"b", 1, 0.5 * (1 + lacking), 1}}, now)
		if s := tracker.Standing("a"); s != last {
			changes, last = changes+1, s
		}
	}
	must.Eq(t, 1, changes)
	must.Eq(t, []string{"under", "over"}, []string{tracker.Standing("a").String(), tracker.Standing("b").String()})
}

// Guards against a team that is served first at once because it waits after a long time without any request.
func TestTimeWithoutRequestsDoesNotCount(t *testing.T) {
	var tracker Tracker
	tracker.Update([]Load{{"a", 1, 0.5, 0}}, 0)
	tracker.Update([]Load{{"a", 1, 0, 1}, {"b", 1, 1, 1}}, time.Hour)
	must.Eq(t, Even, tracker.Standing("a"))
	for i := range 3 {
		tracker.Update([]Load{{"a", 1, 0, 1}, {"b", 1, 1, 1}}, time.Hour+time.Duration(i+1)*time.Second)
	}
	must.Eq(t, Under, tracker.Standing("a"))
}
