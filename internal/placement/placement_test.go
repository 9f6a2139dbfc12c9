package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/batch"
)

var (
	emptyWorker       = batch.Resources{MilliCores: 64000, MemoryMB: 64000, Accelerators: 8}
	eightAccelerators = batch.Resources{MilliCores: 8000, MemoryMB: 1000, Accelerators: 8}
	oneAccelerator    = batch.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: 1}
)

func fleet(racks, perRack int) []Worker {
	var out []Worker
	for r := range racks {
		for i := range perRack {
			rack := fmt.Sprintf("r%d", r)
			out = append(out, Worker{ID: fmt.Sprintf("w%d-%d", r, i), Rack: rack, Labels: []string{"a", rack}, Capacity: emptyWorker, Free: emptyWorker,
				FutureFree: emptyWorker, EventuallyFree: emptyWorker, Usable: true})
		}
	}
	return out
}

// occupy adds a run that holds resources on a worker.
func occupy(in *Input, run Run, worker int, need batch.Resources) {
	in.Workers[worker].Free = in.Workers[worker].Free.Minus(need)
	in.Workers[worker].FutureFree = in.Workers[worker].FutureFree.Minus(need)
	run.Parts = append(run.Parts, Part{worker, need})
	in.Runs = append(in.Runs, run)
}

func racksOf(in Input, workers []int) map[string]bool {
	out := map[string]bool{}
	for _, w := range workers {
		out[in.Workers[w].Rack] = true
	}
	return out
}

// Guards against a gang that is placed on several racks although one is large enough, or of which only some tasks start.
func TestGangStaysOnOneRackOrWaits(t *testing.T) {
	in := Input{Workers: fleet(2, 4)}
	occupy(&in, Run{Priority: 1}, 0, oneAccelerator)
	occupy(&in, Run{Priority: 1}, 4, oneAccelerator)
	r := Request{Step: &batch.Step{Need: eightAccelerators, Gang: true, SameRack: true}, Count: 4, Gang: true, Priority: 1}
	in.Requests = []Request{r}
	must.SliceEmpty(t, Plan(in).Placements, must.Sprint("3 free workers on each rack"))
	in = Input{Workers: fleet(2, 4)}
	occupy(&in, Run{Priority: 1}, 0, oneAccelerator)
	in.Requests = []Request{r}
	d := Plan(in)
	must.Len(t, 1, d.Placements)
	must.MapLen(t, 1, racksOf(in, d.Placements[0].Workers))
	in = Input{Workers: fleet(2, 4), Requests: []Request{{Step: r.Step, Count: 6, Gang: true, Priority: 1}}}
	must.Len(t, 1, Plan(in).Placements, must.Sprint("a gang that fits no rack may use several"))
}

// Guards against preemption that loses more work than the budget of the request allows, and against no preemption within the budget.
func TestPreemptionStaysWithinItsBudget(t *testing.T) {
	build := func(budget float64) Input {
		in := Input{Workers: fleet(1, 1)}
		occupy(&in, Run{ID: "long", Priority: 2, LostWork: 500}, 0, eightAccelerators)
		in.Requests = []Request{{Step: &batch.Step{Need: eightAccelerators}, Count: 1, MayPreempt: true, PreemptionBudget: budget}}
		return in
	}
	must.SliceEmpty(t, Plan(build(100)).Preempted)
	must.Eq(t, []int{0}, Plan(build(math.Inf(1))).Preempted)
}

// Guards against stopping runs that must not be stopped, and against choosing the more expensive of two victims.
func TestCheapestAllowedVictimIsStopped(t *testing.T) {
	in := Input{Workers: fleet(1, 4)}
	occupy(&in, Run{ID: "urgent", Priority: 0, WithinGuarantee: true}, 0, eightAccelerators)
	occupy(&in, Run{ID: "dear", Priority: 2, LostWork: 400}, 1, eightAccelerators)
	occupy(&in, Run{ID: "cheap", Priority: 2, LostWork: 10}, 2, eightAccelerators)
	occupy(&in, Run{ID: "fixed", Priority: 2, NonPreemptible: true}, 3, eightAccelerators)
	in.Requests = []Request{{Step: &batch.Step{Need: eightAccelerators}, Count: 1, MayPreempt: true, WithinGuarantee: true, PreemptionBudget: math.Inf(1)}}
	must.Eq(t, []int{2}, Plan(in).Preempted)
}

// Guards against stopping further runs in each cycle while those that were stopped first have not ended yet.
func TestPreemptorWaitsForStoppingRuns(t *testing.T) {
	in := Input{Workers: fleet(1, 2)}
	occupy(&in, Run{ID: "running", Priority: 2, LostWork: 1}, 0, eightAccelerators)
	in.Workers[1].Free = in.Workers[1].Free.Minus(eightAccelerators) // its run is being stopped
	in.Requests = []Request{{Step: &batch.Step{Need: eightAccelerators}, Count: 1, MayPreempt: true, PreemptionBudget: math.Inf(1)}, {Step: &batch.Step{Need: eightAccelerators}, Count: 1, Priority: 1}}
	d := Plan(in)
	must.SliceEmpty(t, d.Preempted)
	must.SliceEmpty(t, d.Placements)
}

// Guards against requests that don't preempt using the headroom for urgent work.
func TestHeadroomIsForPreemptors(t *testing.T) {
	in := Input{Workers: fleet(1, 1), Headroom: 100}
	in.Requests = []Request{{Step: &batch.Step{Need: oneAccelerator}, Count: 8, Priority: 1}, {Step: &batch.Step{Need: oneAccelerator}, Count: 8, MayPreempt: true}}
	d := Plan(in)
	must.Eq(t, []Placement{{0, []int{0, 0, 0}}, {1, []int{0, 0, 0, 0, 0}}}, d.Placements)
}

// Guards against headroom that stays free while other requests wait: after a burst of urgent work gangs waited 24 s although 184 accelerators were
// free.
func TestHeadroomIsReleasedAfterTheWaitLimit(t *testing.T) {
	plan := func(waitTime time.Duration) int {
		in := Input{Workers: fleet(1, 1), Headroom: 100}
		in.Requests = []Request{{Step: &batch.Step{Need: oneAccelerator, Gang: true}, Count: 8, Gang: true, Priority: 1, WaitTime: waitTime}}
		return len(Plan(in).Placements)
	}
	must.Eq(t, 0, plan(time.Second))
	must.Eq(t, 1, plan(headroomWaitLimit+time.Millisecond))
}

// Guards against a large gang that is starved by a stream of small tasks, which use all capacity that becomes free.
func TestWaitingGangGetsWorkersReserved(t *testing.T) {
	plan := func(occupied int) Decision {
		in := Input{Workers: fleet(2, 2)}
		for w := range in.Workers {
			for range occupied {
				occupy(&in, Run{Priority: 1}, w, oneAccelerator)
			}
		}
		in.Requests = []Request{{Step: &batch.Step{Need: eightAccelerators, Gang: true, SameRack: true}, Count: 2, Gang: true, Priority: 1, WaitTime: 5 * time.Second},
			{Step: &batch.Step{Need: oneAccelerator}, Count: 28, Priority: 2}}
		return Plan(in)
	}
	d := plan(6)
	must.Len(t, 1, d.Placements)
	must.MapLen(t, 1, racksOf(Input{Workers: fleet(2, 2)}, d.Placements[0].Workers), must.Sprint("one rack is reserved"))
	// Reservations kept half of the fleet idle while tasks waited 38 s.
	must.Eq(t, 28, len(plan(1).Placements[0].Workers), must.Sprint("nothing is reserved while most of the capacity is free"))
}

// waitingGang returns a fleet of four racks of two workers with one accelerator of every second worker in use, and a gang that prefers one rack and has
// waited for long.
func waitingGang(occupied int) Input {
	in := Input{Workers: fleet(4, 2), AmpleFor: time.Minute}
	for w := 0; w < len(in.Workers); w += 2 {
		for range occupied {
			occupy(&in, Run{Priority: 2}, w, oneAccelerator)
		}
	}
	in.Requests = []Request{{Step: &batch.Step{Need: eightAccelerators, Gang: true, SameRack: true}, Count: 2, Gang: true, Priority: 1,
		JobIdle: true, WaitTime: time.Minute}}
	return in
}

// Guards against a gang that neither spans racks nor gets workers reserved while no single rack has room for it.
func TestGangSpansRacksOrReservesWorkers(t *testing.T) {
	for occupied := range emptyWorker.Accelerators + 1 {
		in := waitingGang(occupied)
		fits := in.Workers[0].Free.Covers(eightAccelerators)
		d := Plan(in)
		must.Eq(t, 1, len(d.Placements)+len(d.Reserved), must.Sprintf("%d accelerators of half of the workers occupied", occupied))
		must.True(t, fits || len(d.Reserved) == 1 || len(racksOf(in, d.Placements[0].Workers)) == 2)
	}
}

// Guards against a gang that runs slower on several racks although it need not.
func TestGangWaitsForOneRack(t *testing.T) {
	for name, change := range map[string]func(in *Input){
		"waits since recently":          func(in *Input) { in.Requests[0].WaitTime = localityWaitLimit },
		"capacity ample since recently": func(in *Input) { in.AmpleFor = localityWaitLimit },
		"another task of the job runs":  func(in *Input) { in.Requests[0].JobIdle = false },
	} {
		in := waitingGang(1)
		change(&in)
		must.SliceEmpty(t, Plan(in).Placements, must.Sprint(name))
	}
}

// Guards against long-running tasks that wait for the rack of their data while capacity is scarce but sufficient elsewhere.
func TestLongRunningTasksLeaveTheFullRackOfTheirData(t *testing.T) {
	in := Input{Workers: fleet(4, 2)}
	for w := range len(in.Workers) - 1 {
		occupy(&in, Run{Priority: 2}, w, eightAccelerators)
	}
	in.Requests = []Request{{Step: &batch.Step{Need: oneAccelerator, LongRunning: true, DataRack: "r0"}, Count: 1, Priority: 1,
		WaitTime: 3 * time.Second}}
	must.Eq(t, []Placement{{0, []int{7}}}, Plan(in).Placements)
}

// Guards against a long-running task that waits for other workers to become free although one on which it failed is free.
func TestLongRunningTaskReturnsToAWorkerOnWhichItFailed(t *testing.T) {
	in := Input{Workers: fleet(4, 2)}
	for w := range len(in.Workers) - 1 {
		occupy(&in, Run{Priority: 2}, w, eightAccelerators)
	}
	in.Requests = []Request{{Step: &batch.Step{Need: oneAccelerator, LongRunning: true}, Count: 1, Priority: 1,
		AvoidedWorkers: map[int]bool{7: true}, WaitTime: 3 * time.Second}}
	must.Eq(t, []Placement{{0, []int{7}}}, Plan(in).Placements)
}

// Guards against a long-running task that waits for the rack of its data again each time it is interrupted.
func TestInterruptedLongRunningTaskStartsAtOnce(t *testing.T) {
	in := Input{Workers: fleet(2, 1)}
	occupy(&in, Run{Priority: 2}, 0, eightAccelerators)
	in.Requests = []Request{{Step: &batch.Step{Need: oneAccelerator, LongRunning: true, DataRack: "r0"}, Count: 1, Priority: 1, Interrupted: true}}
	must.Eq(t, []Placement{{0, []int{1}}}, Plan(in).Placements)
	in.Requests[0].Interrupted = false
	in.Workers = fleet(2, 1)
	occupy(&in, Run{Priority: 2}, 0, eightAccelerators)
	must.SliceEmpty(t, Plan(in).Placements)
}

// Guards against tasks that run away from their data although some of them fit on its rack.
func TestTasksFillTheRackOfTheirDataFirst(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		in := Input{Workers: fleet(4, 2), AmpleFor: time.Minute}
		occupy(&in, Run{Priority: 2}, 0, eightAccelerators)
		for w := 2; w < len(in.Workers); w++ {
			occupy(&in, Run{Priority: 2}, w, oneAccelerator)
		}
		in.Requests = []Request{{Step: &batch.Step{Need: oneAccelerator, DataRack: "r0", LongRunning: longRunning}, Count: 9, Priority: 1,
			JobIdle: true, WaitTime: time.Minute}}
		must.Eq(t, []Placement{{0, slices.Repeat([]int{1}, 8)}}, Plan(in).Placements)
	}
}

// Guards against a gang that needs a label and neither spans racks nor gets workers reserved.
func TestGangWithLabelSpansRacksOrReservesWorkers(t *testing.T) {
	in := waitingGang(1)
	in.Requests[0].Step.Requires = "fast"
	for w := range 6 {
		in.Workers[w].Labels = []string{"fast"}
	}
	d := Plan(in)
	must.Eq(t, 1, len(d.Placements)+len(d.Reserved))
}

// Guards against requests that wait for a rack on which long-running tasks leave too little room for good.
func TestRacksFullOfLongRunningTasksAreNotWaitedFor(t *testing.T) {
	gang := &batch.Step{Need: eightAccelerators, Gang: true, SameRack: true}
	nearData := &batch.Step{Need: eightAccelerators, DataRack: "r0"}
	for _, step := range []*batch.Step{gang, nearData} {
		in := Input{Workers: fleet(4, 2)}
		for w := range in.Workers {
			switch {
			case w%2 == 0: // a long-running task
				occupy(&in, Run{Priority: 2}, w, eightAccelerators)
				in.Workers[w].EventuallyFree = in.Workers[w].EventuallyFree.Minus(eightAccelerators)
			case w == 1 || w == 7:
				occupy(&in, Run{Priority: 2}, w, eightAccelerators)
			}
		}
		if !step.Gang {
			in.Workers[1].EventuallyFree = in.Workers[1].EventuallyFree.Minus(eightAccelerators)
		}
		in.Requests = []Request{{Step: step, Count: 2, Gang: step.Gang, Priority: 1, WaitTime: time.Minute}}
		must.Eq(t, []Placement{{0, []int{3, 5}}}, Plan(in).Placements)
	}
}

// Guards against workers that stay reserved permanently because the long-running tasks on them don't end.
func TestNothingIsReservedBehindLongRunningTasks(t *testing.T) {
	in := Input{Workers: fleet(1, 2)}
	for w := range in.Workers {
		occupy(&in, Run{Priority: 2}, w, oneAccelerator)
		in.Workers[w].EventuallyFree = in.Workers[w].EventuallyFree.Minus(oneAccelerator)
	}
	in.Requests = []Request{{Step: &batch.Step{Need: eightAccelerators, Gang: true, SameRack: true}, Count: 2, Gang: true, Priority: 1, WaitTime: time.Minute},
		{Step: &batch.Step{Need: oneAccelerator}, Count: 3, Priority: 2}}
	must.Len(t, 1, Plan(in).Placements)
}

// Guards against placements on workers that are unusable, lack a label, are avoided after a failure there, or run too many tasks of the step.
func TestUnsuitableWorkersAreLeftOut(t *testing.T) {
	in := Input{Workers: fleet(1, 4)}
	in.Workers[0].Usable = false
	in.Workers[1].Labels = nil
	in.Requests = []Request{{Step: &batch.Step{Need: oneAccelerator, Requires: "a", MaxPerWorker: 2}, Count: 8, AvoidedWorkers: map[int]bool{2: true}, TasksPerWorker: map[int]int{3: 1}}}
	must.Eq(t, []Placement{{0, []int{3}}}, Plan(in).Placements)
}

func drawRequest(t *rapid.T, i int) Request {
	r := Request{ID: fmt.Sprint(i), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Count: rapid.IntRange(1, 6).Draw(t, "count"),
		Gang: rapid.Bool().Draw(t, "gang"), MaySpanRacks: rapid.Bool().Draw(t, "spread"), WaitTime: time.Duration(rapid.IntRange(0, 5).Draw(t, "waited")) * time.Second,
		WithinGuarantee: rapid.Bool().Draw(t, "within"), SpreadCost: float64(rapid.SampledFrom([]int{0, 100, 1000}).Draw(t, "spread cost")), PreemptionBudget: float64(rapid.SampledFrom([]int{0, 100, 100000}).Draw(t, "budget"))}
	r.MayPreempt = r.Priority == 0
	need := batch.Resources{MilliCores: 1000 * rapid.IntRange(1, 40).Draw(t, "cores"), MemoryMB: 100, Accelerators: rapid.IntRange(0, 8).Draw(t, "accelerators")}
	r.Step = &batch.Step{Need: need, Gang: r.Gang, SameRack: rapid.Bool().Draw(t, "same rack")}
	if rapid.Bool().Draw(t, "limited") {
		r.Step.MaxPerWorker, r.TasksPerWorker = 1, map[int]int{}
	}
	return r
}

// shrink takes eighths of its capacity from a worker, also if runs use them.
func shrink(w *Worker, eighths int) {
	lost := batch.Resources{MilliCores: w.Capacity.MilliCores * eighths / 8, MemoryMB: w.Capacity.MemoryMB * eighths / 8, Accelerators: w.Capacity.Accelerators * eighths / 8}
	w.Capacity, w.Free = w.Capacity.Minus(lost), w.Free.Minus(lost)
	w.FutureFree, w.EventuallyFree = w.FutureFree.Minus(lost), w.EventuallyFree.Minus(lost)
}

// withinCapacity reports whether none of the resources that a placed task needs is overcommitted. A task may start beside others that use too much of
// a resource that it doesn't need.
func withinCapacity(left, need batch.Resources) bool {
	return (need.MilliCores == 0 || left.MilliCores >= 0) && (need.MemoryMB == 0 || left.MemoryMB >= 0) && (need.Accelerators == 0 || left.Accelerators >= 0)
}

// Guards against every placement that workers would refuse, for insufficient capacity, incomplete gangs or too many tasks of a step. Also guards
// against stopping runs that are not preemptible, or that are both protected and of the highest priority.
func TestPlansAreAlwaysPossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Input{Workers: fleet(rapid.IntRange(1, 3).Draw(t, "racks"), rapid.IntRange(1, 4).Draw(t, "per rack")), Headroom: float64(rapid.IntRange(0, 100).Draw(t, "keep"))}
		for i := range rapid.IntRange(0, 10).Draw(t, "runs") {
			run := Run{ID: fmt.Sprint(i), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), WithinGuarantee: rapid.Bool().Draw(t, "protected"),
				NonPreemptible: rapid.Bool().Draw(t, "fixed"), LostWork: float64(rapid.IntRange(0, 500).Draw(t, "loss")), Team: "x"}
			w := rapid.IntRange(0, len(in.Workers)-1).Draw(t, "worker")
			need := batch.Resources{MilliCores: 1000, Accelerators: rapid.IntRange(0, 4).Draw(t, "held")}
			if in.Workers[w].Free.Covers(need) {
				occupy(&in, run, w, need)
			}
		}
		for i := range in.Workers {
			shrink(&in.Workers[i], rapid.SampledFrom([]int{0, 0, 1, 4, 8}).Draw(t, "eighths lost"))
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "requests") {
			in.Requests = append(in.Requests, drawRequest(t, i))
		}
		free := make([]batch.Resources, len(in.Workers))
		for i, w := range in.Workers {
			free[i] = w.Free
		}
		d := Plan(in)
		for _, p := range d.Placements {
			r := in.Requests[p.Request]
			must.True(t, !r.Gang || len(p.Workers) == r.Count, must.Sprint("only a part of the gang is placed"))
			on := map[int]int{}
			for _, w := range p.Workers {
				free[w] = free[w].Minus(r.Step.Need)
				on[w]++
				must.True(t, withinCapacity(free[w], r.Step.Need), must.Sprintf("worker %d exceeds its capacity", w))
				must.True(t, r.Step.MaxPerWorker == 0 || on[w] <= r.Step.MaxPerWorker, must.Sprint("too many tasks of the step"))
			}
		}
		for _, i := range d.Preempted {
			must.False(t, in.Runs[i].NonPreemptible)
			must.True(t, in.Runs[i].Priority > 0 || !in.Runs[i].WithinGuarantee)
		}
	})
}

// Guards against a gang that waits permanently for the rack of its data, which has fewer workers than the gang needs.
func TestGangWiderThanTheRackOfItsDataRuns(t *testing.T) {
	for _, sameRack := range []bool{false, true} {
		in := Input{Workers: fleet(2, 4)}
		in.Requests = []Request{{Step: &batch.Step{Need: eightAccelerators, Gang: true, SameRack: sameRack, DataRack: "r0"}, Count: 6, Gang: true, Priority: 1}}
		must.Len(t, 1, Plan(in).Placements)
	}
}

// Guards against workers that are kept empty for a gang on racks where it doesn't start.
func TestWorkersAreReservedWhereTheGangMayRun(t *testing.T) {
	in := Input{Workers: fleet(2, 4)}
	for w := range 4 { // the rack of the data is fuller than the other
		occupy(&in, Run{Priority: 1}, w, eightAccelerators)
	}
	for w := range in.Workers[4:] {
		for range 3 {
			occupy(&in, Run{Priority: 1}, 4+w, oneAccelerator)
		}
	}
	in.Requests = []Request{{Step: &batch.Step{Need: eightAccelerators, Gang: true, DataRack: "r0"}, Count: 2, Gang: true, Priority: 1, WaitTime: 5 * time.Second},
		{Step: &batch.Step{Need: oneAccelerator}, Count: 20, Priority: 2}}
	d := Plan(in)
	must.Len(t, 1, d.Placements)
	must.Len(t, 20, d.Placements[0].Workers, must.Sprint("tasks on a rack where the waiting gang may not run"))
}
