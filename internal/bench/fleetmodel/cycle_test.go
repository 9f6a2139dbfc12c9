package fleetmodel

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// BenchmarkCycle measures the processor time of a scheduling cycle, with the copying of the state and the carrying out of the decisions, on a loaded fleet
// of 1,100 and 2,200 workers. The load grows with the fleet.
func BenchmarkCycle(b *testing.B) {
	for _, scale := range []int{1, 2} {
		s := loadLarge(b, scale)
		b.Run(fmt.Sprintf("%d-workers", s.Fleet.Racks*s.Fleet.WorkersPerRack), func(b *testing.B) {
			sim := s.newSimulation(1, Policies()[0])
			for sim.fleet.now < 12*time.Second {
				sim.step()
			}
			b.ResetTimer()
			for range b.N {
				sim.core.Replan()
				sim.core.Plan(sim.fleet.now)
			}
		})
	}
}

// loadLarge returns the scenario of the large fleet with a multiple of its workers and load.
func loadLarge(tb testing.TB, scale int) Scenario {
	text, err := os.ReadFile("../../../examples/fleet/blue-mahoe-large.json")
	must.NoError(tb, err)
	s, err := ParseScenario(text)
	must.NoError(tb, err)
	s.Fleet.Racks *= scale
	for i := range s.Classes {
		s.Classes[i].PerSecond *= float64(scale)
	}
	return s
}

// BenchmarkTakeover measures the processor time in which a new leader restores the jobs and tasks of a loaded fleet of 1,100 workers.
func BenchmarkTakeover(b *testing.B) {
	s := loadLarge(b, 1)
	sim := s.newSimulation(1, Policies()[0])
	for sim.fleet.now < 25*time.Second {
		sim.step()
	}
	b.ReportMetric(float64(sim.nextArrival), "jobs")
	b.ReportMetric(float64(len(sim.storedRows)), "rows")
	b.ResetTimer()
	for range b.N {
		sim.startLeader()
	}
}
