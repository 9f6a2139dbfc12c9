package applier

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// BenchmarkStep measures the steps of one second at the target size. The in-memory table and the simulated workers run in the same process.
func BenchmarkStep(b *testing.B) {
	const workers, gangs, parts = 880, 2640, 8
	f := newFleet(workers)
	for i := range gangs {
		s := spec(fmt.Sprint(i), parts, 0, 24*time.Hour)
		s.Cores, s.MemoryGb = 0, 2
		_, err := f.submit(s)
		must.NoError(b, err)
	}
	c := f.ready(&directClient{f: f})
	f.run(10*time.Second, c)
	must.EqOp(b, gangs*parts, len(f.history()))
	b.ResetTimer()
	for range b.N {
		for range 4 {
			f.clock.Advance(idlePeriod)
			c.Step(context.Background())
		}
	}
}
