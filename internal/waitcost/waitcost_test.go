package waitcost

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func drawJob(t *rapid.T) Job {
	second := func(name string) time.Duration {
		return time.Duration(rapid.IntRange(0, 40_000).Draw(t, name)) * time.Millisecond
	}
	return Job{Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Age: second("age"), Objective: second("objective"), Rest: second("rest"),
		RemainingShare: rapid.Float64Range(0, 1).Draw(t, "remaining"), Work: rapid.Float64Range(0, 10).Draw(t, "work"), LongRunning: rapid.IntRange(0, 9).Draw(t, "long") == 0}
}

// Guards against a worth that rises with the delay, a slack that doesn't end where the worth falls, and late jobs that are worth as much as others.
func TestWorthFallsAtTheEndOfTheSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t)
		slack := j.Slack()
		if j.LongRunning || slack < 0 {
			must.True(t, j.LongRunning || j.Worth(0) == 0)
			return
		}
		must.Eq(t, j.Worth(0), j.Worth(slack))
		must.Less(t, j.Worth(slack), j.Worth(slack+1))
	})
	j := Job{Objective: 10 * time.Second, Rest: 4 * time.Second, RemainingShare: 0.5}
	must.Eq(t, []float64{InTime, Late, Late, 0}, []float64{j.Worth(6 * time.Second), j.Worth(6*time.Second + 1), j.Worth(26 * time.Second), j.Worth(26*time.Second + 1)})
	must.Eq(t, 2, j.Value())
}

// Guards against an order in which the large jobs of a class come after the others, or before them.
func TestOrderDoesNotDependOnTheSizeOfJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := rapid.SliceOfN(rapid.Custom(drawJob), 1, 20).Draw(t, "jobs")
		keys := ByValue(jobs)
		for i := range jobs {
			jobs[i].Work = rapid.Float64Range(0, 1000).Draw(t, "other work")
		}
		must.Eq(t, keys, ByValue(jobs))
	})
}

// Guards against newer jobs that overtake older ones while all will meet their objective, and against jobs that all just miss it under overload.
func TestNewestFirstOnlyUnderOverload(t *testing.T) {
	inTime, late := Job{Priority: 1, Objective: 9 * time.Second, Rest: time.Second, RemainingShare: 1}, Job{Priority: 1, Age: 9 * time.Second, Objective: 9 * time.Second, Rest: time.Second, RemainingShare: 1}
	must.Eq(t, []Key{{Cost: InTime}, {Cost: InTime}}, ByValue([]Job{inTime, inTime}))
	must.Eq(t, []Key{{Cost: InTime, NewestFirst: true}, {Cost: Late}}, ByValue([]Job{inTime, late}))
	inTime.Priority, late.Priority = 0, 0
	must.Eq(t, []Key{{Cost: InTime}, {Cost: Late}}, ByValue([]Job{inTime, late}))
}

// simulatedJob is a job of the test of waits.
type simulatedJob struct {
	Job
	arrived    time.Duration
	work, left float64 // seconds of the whole fleet
}

// Guards against an order in which a job of any class or size waits longer than the overload lasts. The work of a priority and of those before it that arrives
// within any t seconds is at most burst + rate*t, with a rate below 1. Then each job ends within burst/(1-rate) seconds, since no order that leaves no capacity
// idle has a longer busy period. Values change with the age, the done share and the overload while jobs wait.
func TestWaitsOfAllClassesAndSizesAreBounded(t *testing.T) {
	const step = 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		priorities := rapid.IntRange(1, 3).Draw(t, "priorities")
		burst, rate := rapid.Float64Range(1, 5).Draw(t, "burst"), rapid.Float64Range(0.1, 0.8).Draw(t, "rate")
		tokens := make([]float64, priorities) // work of each priority that may arrive now
		for p := range tokens {
			tokens[p] = burst / float64(priorities)
		}
		var waiting []simulatedJob
		for now := time.Duration(0); now < 15*time.Second; now += step {
			for p := range tokens {
				tokens[p] = min(burst, tokens[p]*float64(priorities)+rate*step.Seconds()) / float64(priorities)
				if size := rapid.SampledFrom([]float64{0, 0.05, 0.3, 1.5}).Draw(t, "size"); size > 0 && size <= tokens[p] {
					tokens[p] -= size
					objective := time.Duration(rapid.IntRange(100, 5000).Draw(t, "objective")) * time.Millisecond
					waiting = append(waiting, simulatedJob{Job: Job{Priority: p, Objective: objective, Rest: time.Second, Work: size}, arrived: now, work: size, left: size})
				}
			}
			serve(waiting, now, priorities, step.Seconds())
			waiting = slices.DeleteFunc(waiting, func(j simulatedJob) bool { return j.left < 1e-9 })
			for _, j := range waiting {
				share := float64(j.Priority+1) / float64(priorities)
				bound := time.Duration(share * burst / (1 - share*rate) * float64(time.Second))
				must.LessEq(t, bound+step, now+step-j.arrived, must.Sprintf("priority %d, size %.2f", j.Priority, j.work))
			}
		}
	})
}

// serve does an amount of work of the waiting jobs in their order.
func serve(waiting []simulatedJob, now time.Duration, priorities int, work float64) {
	for p := range priorities {
		var index []int
		var jobs []Job
		for i := range waiting {
			if j := &waiting[i]; j.Priority == p {
				j.Age, j.RemainingShare = now-j.arrived, j.left/j.work
				index, jobs = append(index, i), append(jobs, j.Job)
			}
		}
		keys := ByValue(jobs)
		order := make([]int, len(jobs))
		for i := range order {
			order[i] = i
		}
		slices.SortFunc(order, func(a, b int) int {
			age := cmp.Compare(index[a], index[b])
			if keys[a].NewestFirst {
				age = -age
			}
			return cmp.Or(keys[a].Compare(keys[b]), age)
		})
		for _, o := range order {
			j := &waiting[index[o]]
			done := min(j.left, work)
			j.left, work = j.left-done, work-done
		}
	}
}

// Guards against a decision to refuse that becomes a decision to wait behind more work, and against expected waits that overflow.
func TestOutlookGetsWorseWithTheWorkAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t)
		share := rapid.Float64Range(1e-9, 1).Draw(t, "share")
		less := rapid.Float64Range(0, 1e6).Draw(t, "less")
		more := less + rapid.Float64Range(0, 1e6).Draw(t, "more")
		a, b := j.Outlook(less, share), j.Outlook(more, share)
		must.LessEq(t, b.Wait, a.Wait)
		must.LessEq(t, b.Decision, a.Decision)
		must.Between(t, 0, a.Wait, maxWait)
	})
	j := Job{Objective: 10 * time.Second, Rest: 4 * time.Second, RemainingShare: 1}
	must.Eq(t, Outlook{Start, 0}, j.Outlook(0, 0.5))
	must.Eq(t, Outlook{Wait, 26 * time.Second}, j.Outlook(13, 0.5))
	must.Eq(t, Outlook{Refuse, 27 * time.Second}, j.Outlook(13.5, 0.5))
	must.Eq(t, "refuse", Refuse.String())
}
