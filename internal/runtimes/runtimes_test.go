package runtimes

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against an estimate that follows the last few runs, whose times differ widely.
func TestMeanIsThatOfManyRuns(t *testing.T) {
	e := New()
	for i := range 100 {
		e.AddSample("q", time.Duration(1+i%2*4)*time.Second, 0)
		if mean, _ := e.Mean("q"); i > 10 {
			must.Between(t, 2700*time.Millisecond, mean, 3300*time.Millisecond)
			must.Eq(t, mean, e.Expect("q", 0))
		}
	}
	e.AddSample("q", 0, 0)
	_, samples := e.Mean("q")
	must.Eq(t, 100, samples)
}

// Guards against expected run times that ignore what callers declare, although they are right, and against ones that follow declared times that say nothing.
// Errors of either kind make tasks with time left look late, and late ones look in time.
func TestDeclaredRunTimesCountByTheirAccuracy(t *testing.T) {
	for _, tc := range []struct {
		name                string
		bias, error, spread float64
		maxError            float64 // mean error of the logarithm
	}{
		{"accurate, tasks differ", 1, 0.1, 0.6, 0.15},
		{"accurate but for a factor", 3, 0.1, 0.6, 0.2},
		{"useless, tasks are alike", 1, 1.5, 0.1, 0.25},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e, random := New(), rand.New(rand.NewPCG(1, 2))
			sum, n := 0.0, 0.0
			for i := range 300 {
				took := 5 * math.Exp(tc.spread*random.NormFloat64())
				declared := seconds(took / tc.bias * math.Exp(tc.error*random.NormFloat64()))
				if i >= 100 {
					sum, n = sum+math.Abs(math.Log(e.Expect("q", declared).Seconds()/took)), n+1
				}
				e.AddSample("q", seconds(took), declared)
			}
			must.Less(t, tc.maxError, sum/n)
		})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against expected run times outside of what callers declare, corrected by their usual error, and what earlier tasks took.
func TestExpectedRunTimeIsBetweenItsSources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New()
		durations := rapid.Int64Range(1, int64(100*time.Hour))
		for range rapid.IntRange(0, 50).Draw(t, "samples") {
			e.AddSample("q", time.Duration(durations.Draw(t, "took")), time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "declared")))
		}
		declared := time.Duration(durations.Draw(t, "estimate"))
		expected := e.Expect("q", declared)
		mean, samples := e.Mean("q")
		if samples == 0 {
			must.Eq(t, declared, expected)
			return
		}
		corrected := declared.Seconds() * math.Exp(e.queues["q"].logRatio.mean)
		lowest, highest := min(corrected, mean.Seconds()), max(corrected, mean.Seconds())
		must.Between(t, lowest*0.999-1e-8, expected.Seconds(), highest*1.001+1e-8)
	})
}
