package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/batch"
)

// unevenFleet returns a fleet in which each third worker is slow.
func unevenFleet(racks, perRack int) []Worker {
	workers := fleet(racks, perRack)
	for i := range workers {
		workers[i].Slowness = 0.7
		if i%3 == 2 {
			workers[i].Slowness = 1.7
		}
	}
	return workers
}

func slownessOf(in *Input, workers []int) (lowest, highest float64) {
	lowest = in.Workers[workers[0]].Slowness
	for _, w := range workers {
		lowest, highest = min(lowest, in.Workers[w].Slowness), max(highest, in.Workers[w].Slowness)
	}
	return lowest, highest
}

// Guards against work with a tight objective on slow workers, and against patient work that takes the fast ones.
func TestTightObjectivesGetFastWorkersAndPatientWorkSlowOnes(t *testing.T) {
	for _, tc := range []struct {
		name            string
		limit           float64
		count           int
		gang            bool
		lowest, highest float64
	}{
		{"tight gang", 1.4, 3, true, 0.7, 0.7},
		{"tight tasks", 1.4, 3, false, 0.7, 0.7},
		{"patient gang", 3, 4, true, 1.7, 1.7},
		{"patient tasks", 3, 4, false, 1.7, 1.7},
		{"no limit is met by best fit alone", 0, 1, false, 0.7, 0.7},
		{"tight gang that needs slow workers too", 1.4, 9, true, 0.7, 1.7},
		{"patient tasks beyond the slow workers", 3, 6, false, 0.7, 1.7},
	} {
		t.Run(tc.name, func(t *testing.T) {
			in := Input{Workers: unevenFleet(2, 6), Requests: []Request{{Step: &batch.Step{Need: eightAccelerators, Gang: tc.gang}, Gang: tc.gang, Count: tc.count,
				Priority: 1, SlownessLimit: tc.limit}}}
			got := Plan(in).Placements
			must.Len(t, 1, got)
			must.Len(t, tc.count, got[0].Workers)
			lowest, highest := slownessOf(&in, got[0].Workers)
			must.Eq(t, tc.lowest, lowest)
			must.Eq(t, tc.highest, highest)
		})
	}
}

// Guards against a gang on a rack whose fast workers don't suffice although another rack has enough of them, and against one that is spread over racks,
// where it takes longer than on slow workers.
func TestTightGangPrefersRackWithEnoughFastWorkers(t *testing.T) {
	step := &batch.Step{Need: eightAccelerators, Gang: true, SameRack: true}
	in := Input{Workers: unevenFleet(2, 6), Requests: []Request{{Step: step, Gang: true, Count: 4, MayPreempt: true, SlownessLimit: 1.4, AwaitsFastWorker: true}}}
	occupy(&in, Run{Priority: 0}, 0, eightAccelerators)
	got := Plan(in).Placements
	must.Len(t, 1, got)
	must.MapLen(t, 1, racksOf(in, got[0].Workers))
	_, highest := slownessOf(&in, got[0].Workers)
	must.Eq(t, 0.7, highest)

	in = Input{Workers: unevenFleet(2, 6), Requests: []Request{{Step: step, Gang: true, Count: 6, MayPreempt: true, SlownessLimit: 1.4}}}
	got = Plan(in).Placements
	must.Len(t, 1, got)
	must.MapLen(t, 1, racksOf(in, got[0].Workers), must.Sprint("one rack with its slow workers"))
}

// Guards against an urgent request that starts on a slow worker although stopping patient work or waiting would let it meet its objective, against stopping
// work beyond its budget, and against a request that waits for fast workers for too long.
func TestUrgentRequestPreemptsOnFastWorkersWithinItsBudget(t *testing.T) {
	for _, tc := range []struct {
		name      string
		budget    float64
		awaits    bool
		preempted int
		placed    int
	}{
		{"within the budget", 1000, true, 1, 0},
		{"beyond the budget", 1, true, 0, 0},
		{"no time left to wait", 1000, false, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			workers := fleet(1, 2)
			workers[0].Slowness, workers[1].Slowness = 0.7, 1.7
			in := Input{Workers: workers}
			occupy(&in, Run{Priority: 2, LostWork: 100}, 0, eightAccelerators)
			in.Requests = []Request{{Step: &batch.Step{Need: eightAccelerators}, Count: 1, MayPreempt: true, SlownessLimit: 1.4, AwaitsFastWorker: tc.awaits,
				PreemptionBudget: tc.budget, WaitTime: 100 * time.Millisecond}}
			got := Plan(in)
			must.Len(t, tc.preempted, got.Preempted)
			must.Len(t, tc.placed, got.Placements)
		})
	}
}

// Guards against capacity that stays idle for the sake of speed: whatever the speeds, a request that doesn't wait for a fast worker starts as many tasks as
// it would on workers that are equally fast.
func TestSpeedLeavesNoCapacityIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		even := Input{Workers: fleet(2, 4)}
		for i := range rapid.IntRange(0, 6).Draw(t, "runs") {
			occupy(&even, Run{Priority: 2}, rapid.IntRange(0, 7).Draw(t, "worker"), batch.Resources{MilliCores: 1000 * (i + 1), Accelerators: 1})
		}
		gang := rapid.Bool().Draw(t, "gang")
		request := Request{Step: &batch.Step{Need: batch.Resources{MilliCores: 8000, Accelerators: rapid.IntRange(1, 8).Draw(t, "accelerators")}, Gang: gang}, Gang: gang,
			Count: rapid.IntRange(1, 12).Draw(t, "count"), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}
		request.MayPreempt = request.Priority == 0
		uneven := Input{Workers: append([]Worker(nil), even.Workers...), Runs: even.Runs}
		for i := range uneven.Workers {
			uneven.Workers[i].Slowness = rapid.Float64Range(0.5, 2).Draw(t, "slowness")
		}
		even.Requests = []Request{request}
		request.SlownessLimit = rapid.Float64Range(0.4, 4).Draw(t, "limit")
		uneven.Requests = []Request{request}
		must.Eq(t, started(Plan(even)), started(Plan(uneven)))
	})
}

func started(d Decision) int {
	n := 0
	for _, p := range d.Placements {
		n += len(p.Workers)
	}
	return n
}
