package speed

import (
	"testing"

	"github.com/shoenig/test/must"
)

func estimatesOf(known int, factors ...float64) []Estimate {
	var out []Estimate
	for i := range known {
		f := factors[i%len(factors)]
		out = append(out, Estimate{f, f / 1.1, f * 1.1})
	}
	return out
}

// Guards against unknown workers that count as slow in a fleet whose workers hardly differ.
func TestUncertaintyIsBoundedByTheSpreadOfTheFleet(t *testing.T) {
	unknown := Estimate{1, 0.64, 1.57}
	for _, tc := range []struct {
		name      string
		estimates []Estimate
		uneven    float64
		high      float64 // of an unknown worker
	}{
		{"nothing is known", []Estimate{unknown, unknown}, 0, 1.57},
		{"equal", append(estimatesOf(20, 1), unknown), 0.83, 1},
		{"slightly different", append(estimatesOf(20, 0.9, 1, 1.1), unknown), 1.01, 1.09},
		{"a third is slow", append(estimatesOf(30, 0.7, 0.7, 1.7), unknown), 2.01, 1.52},
		{"too few are known", append(estimatesOf(3, 0.7, 0.7, 1.7), unknown), 0, 1.57},
	} {
		t.Run(tc.name, func(t *testing.T) {
			must.InDelta(t, tc.uneven, Unevenness(tc.estimates), 0.01)
			BoundUncertainty(tc.estimates)
			must.InDelta(t, tc.high, tc.estimates[len(tc.estimates)-1].High, 0.02)
		})
	}
}
