package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/waitcost"
)

// drawOrder draws the order of a request. Requests of a job have the same age.
func drawOrder(t *rapid.T, name string) requestOrder {
	seq := rapid.IntRange(0, 2).Draw(t, name+" job")
	o := requestOrder{urgency: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, name+" urgency"), beyondGuarantee: rapid.Bool().Draw(t, name+" beyond"),
		precedence: rapid.SampledFrom([]precedence{first, normal, last}).Draw(t, name+" precedence"),
		seq:        seq, acceptedMS: int64(seq / 2), occurrence: rapid.IntRange(0, 1).Draw(t, name+" occurrence"), step: rapid.IntRange(0, 1).Draw(t, name+" step")}
	o.cost.Cost = rapid.SampledFrom([]float64{0, waitcost.Late, waitcost.InTime, 4}).Draw(t, name+" cost")
	o.cost.Tie = rapid.SampledFrom([]float64{0, 1}).Draw(t, name+" tie")
	o.cost.NewestFirst = rapid.Bool().Draw(t, name+" newest first")
	return o
}

// Guards against an order of requests that contradicts itself, so that who comes first depends on chance.
func TestOrderOfRequestsIsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawOrder(t, "a"), drawOrder(t, "b"), drawOrder(t, "c")
		must.Eq(t, a.compare(b), -b.compare(a))
		must.True(t, a.compare(b) > 0 || b.compare(c) > 0 || a.compare(c) <= 0, must.Sprintf("%+v, %+v, %+v", a, b, c))
	})
}
