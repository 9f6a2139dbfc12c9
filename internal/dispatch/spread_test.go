package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// Guards against overload by urgent gangs that makes them more expensive: beyond its team's guarantee a gang that is to run on one rack waits for it.
func TestUrgentGangBeyondItsGuaranteeIsNotSpreadOverRacks(t *testing.T) {
	const racks, perRack = 2, 4
	for team, spread := range map[string]bool{"blue": false, "red": true} {
		t.Run(team, func(t *testing.T) {
			s := newSystem(t, 1, racks, perRack)
			p := testPolicy()
			p.Version = 2
			for i := range p.Teams {
				p.Teams[i].GuaranteedAccelerators = map[string]int{"red": 80, "blue": 8}[p.Teams[i].Name]
			}
			s.leaders[0].core.SetPolicy(p.Index())
			s.run(2 * testStep)
			whole := batch.Resources{MilliCores: 8000, Accelerators: 8}
			for rack := range racks {
				j := simpleJob(fmt.Sprintf("busy-%d", rack), "urgent", 0, perRack-1, whole)
				j.Steps[0].Requires = fmt.Sprintf("rack-%d", rack)
				s.submit(j)
			}
			s.run(2 * testStep)
			s.fleet.setRunTime("busy", 5*time.Second)
			gang := simpleJob("gang", "urgent", 0, 2, whole)
			gang.Team, gang.Steps[0].Gang, gang.Steps[0].SameRack = team, true, true
			s.submit(gang)
			s.run(4 * time.Second)
			_, started := s.fleet.firstStart["gang"]
			must.Eq(t, spread, started)
			s.run(4 * time.Second)
			must.MapContainsKey(t, s.fleet.firstStart, "gang")
			s.mustHaveNoViolations()
		})
	}
}
