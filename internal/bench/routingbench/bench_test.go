package routingbench

import (
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a routing change after which the p99 wait of urgent calls exceeds half of that with random routing, or after which executors refuse
// no fewer calls. The simulation has a fixed seed and simulated time.
func TestUrgentWaitIsAtMostHalfOfRandom(t *testing.T) {
	random, picked := Measure("random", 0.9, 2*time.Second, 1), Measure("two-choices", 0.9, 2*time.Second, 1)
	must.LessEq(t, random.Wait99/2, picked.Wait99)
	must.Less(t, random.RefusedPerCall, picked.RefusedPerCall)
}

// Guards against urgent calls that miss their deadline under overload because they wait behind calls of other classes.
func TestUrgentCallsMeetDeadlinesUnderOverload(t *testing.T) {
	must.GreaterEq(t, 99.9, Measure("two-choices", 1.5, 2*time.Second, 1).MetPercent)
}

func BenchmarkReport(b *testing.B) {
	for b.Loop() {
		Report(os.Stdout, 4*time.Second, 1)
	}
}
