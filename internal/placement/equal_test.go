package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/batch"
)

// drawInput draws a fleet with runs and requests of all kinds.
func drawInput(t *rapid.T) Input {
	in := Input{Workers: fleet(rapid.IntRange(1, 5).Draw(t, "racks"), rapid.IntRange(1, 5).Draw(t, "per rack")), Headroom: float64(rapid.IntRange(0, 100).Draw(t, "headroom")),
		AmpleFor: time.Duration(rapid.IntRange(0, 4).Draw(t, "ample")) * time.Second}
	for i := range in.Workers {
		w := &in.Workers[i]
		w.Usable = rapid.IntRange(0, 9).Draw(t, "usable") > 0
		w.HealthPenalty = float64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "penalty"))
		w.LatencySensitive = rapid.IntRange(0, 5).Draw(t, "latency sensitive") == 0
		if !w.LatencySensitive && rapid.IntRange(0, 5).Draw(t, "best effort") == 0 {
			w.BestEffort, w.BestEffortTasks = true, 1 // of a run that isn't listed
		}
		if rapid.IntRange(0, 5).Draw(t, "unlabelled") == 0 {
			w.Labels = nil
		}
	}
	for i := range rapid.IntRange(0, 25).Draw(t, "runs") {
		run := Run{ID: fmt.Sprint(i), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), WithinGuarantee: rapid.Bool().Draw(t, "protected"), Team: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team"),
			NonPreemptible: rapid.IntRange(0, 5).Draw(t, "fixed") == 0, LostWork: float64(rapid.IntRange(0, 500).Draw(t, "loss"))}
		need := batch.Resources{MilliCores: 1000, Accelerators: rapid.SampledFrom([]int{1, 1, 2, 4, 8}).Draw(t, "held")}
		for range rapid.IntRange(1, 3).Draw(t, "parts") {
			w := &in.Workers[rapid.IntRange(0, len(in.Workers)-1).Draw(t, "worker")]
			if !w.Free.Covers(need) {
				continue
			}
			w.Free, w.FutureFree = w.Free.Minus(need), w.FutureFree.Minus(need)
			run.Parts = append(run.Parts, Part{slices.IndexFunc(in.Workers, func(o Worker) bool { return o.ID == w.ID }), need})
		}
		if len(run.Parts) > 0 {
			run.BestEffort = rapid.IntRange(0, 3).Draw(t, "disturbs") == 0
			for _, part := range run.Parts {
				if w := &in.Workers[part.Worker]; run.BestEffort {
					w.BestEffort, w.BestEffortTasks = true, w.BestEffortTasks+1
				}
			}
			in.Runs = append(in.Runs, run)
		}
	}
	for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
		in.Requests = append(in.Requests, drawAnyRequest(t, i, len(in.Workers)))
	}
	return in
}

// drawAnyRequest draws a request with any of the properties of a step. Few different shapes make requests share them.
func drawAnyRequest(t *rapid.T, i, workers int) Request {
	r := drawRequest(t, i)
	r.Step.Need = batch.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: rapid.SampledFrom([]int{0, 1, 4, 8}).Draw(t, "shape")}
	r.Team = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "requesting team")
	r.JobIdle, r.Interrupted = rapid.Bool().Draw(t, "idle"), rapid.Bool().Draw(t, "interrupted")
	r.Step.LongRunning = rapid.IntRange(0, 4).Draw(t, "long") == 0
	r.Step.BestEffort = rapid.IntRange(0, 4).Draw(t, "fills") == 0
	if rapid.IntRange(0, 4).Draw(t, "serves") == 0 {
		r.Step.LatencyTarget = time.Second
	}
	if rapid.IntRange(0, 4).Draw(t, "needs label") == 0 {
		r.Step.Requires = "a"
	}
	if rapid.IntRange(0, 2).Draw(t, "near data") == 0 {
		r.Step.DataRack = rapid.SampledFrom([]string{"r0", "r1", "r9"}).Draw(t, "data rack")
	}
	if rapid.IntRange(0, 3).Draw(t, "avoids") == 0 {
		r.AvoidedWorkers = map[int]bool{rapid.IntRange(0, workers-1).Draw(t, "avoided"): true}
	}
	if rapid.IntRange(0, 4).Draw(t, "has tickets") == 0 {
		r.AllowedWorkers = map[int]bool{0: true, rapid.IntRange(0, workers-1).Draw(t, "allowed"): true}
	}
	return r
}

// clone copies what a plan changes.
func clone(in Input) Input {
	in.Workers, in.Requests = slices.Clone(in.Workers), slices.Clone(in.Requests)
	for i := range in.Requests {
		if counts := in.Requests[i].TasksPerWorker; counts != nil {
			in.Requests[i].TasksPerWorker = map[int]int{}
			for w, n := range counts {
				in.Requests[i].TasksPerWorker[w] = n
			}
		}
	}
	return in
}

// Guards against an index of the planner that isn't up to date after a placement, a preemption or a reservation: decisions must equal those of the plain
// planner.
func TestPlanEqualsThePlainPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		want := plainPlan(clone(in))
		must.Eq(t, want, Plan(in))
	})
}

// Guards against a cost of decisions that grows with the fleet times the waiting requests: workers are matched once for each shape of step, not for each request.
func TestWorkersAreMatchedOnceForEachShape(t *testing.T) {
	in := Input{Workers: fleet(20, 8)}
	for i := range 300 {
		need := batch.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: []int{1, 2, 4, 8}[i%4]}
		in.Requests = append(in.Requests, Request{ID: fmt.Sprint(i), Step: &batch.Step{Need: need, Gang: true, SameRack: true}, Count: 1 + i%9, Gang: true, MayPreempt: i%3 == 0})
	}
	p := newPlanner(in)
	for i := range in.Requests {
		p.planRequest(i)
	}
	must.SliceLen(t, 4, p.slotIndexList)
}
