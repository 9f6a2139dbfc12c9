package simevent

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against events of the same time running in another order than they were added, which would make simulations irreproducible.
func TestEventsRunByTimeAndThenByOrderOfAdding(t *testing.T) {
	var q Queue
	var got []int
	for i, at := range []time.Duration{3, 1, 3, 2, 1} {
		q.Add(at, func() { got = append(got, i) })
	}
	last := time.Duration(0)
	for {
		next, ok := q.Next()
		if !ok {
			break
		}
		at, run := q.Pop()
		must.Eq(t, next, at)
		must.GreaterEq(t, last, at)
		last = at
		run()
	}
	must.Eq(t, []int{1, 4, 3, 0, 2}, got)
	must.Eq(t, 5, q.Added())
}
