package placement

import (
	"testing"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// Guards against log lines that don't show whether a gang lacks room on every rack or in the whole fleet.
func TestRoomIsCountedByRackAndInTheFleet(t *testing.T) {
	workers := fleet(3, 4)
	for _, w := range []int{0, 1, 4, 5, 6, 8} {
		workers[w].Free = workers[w].Free.Minus(oneAccelerator)
	}
	gang := &Request{Step: &batch.Step{Need: eightAccelerators, SameRack: true}, Count: 5, Gang: true}
	must.Eq(t, Room{Fleet: 5, Rack: 3}, RoomFor(gang, workers))
	gang.Step.DataRack = "r1"
	must.Eq(t, Room{Fleet: 5, Rack: 1}, RoomFor(gang, workers))
	workers[9].Usable = false
	gang.AvoidedWorkers = map[int]bool{10: true, 11: true}
	must.Eq(t, Room{Fleet: 3, Rack: 1}, RoomFor(gang, workers))
}

// Guards against a free share that is not that of the scarcest resource, or that counts unusable workers.
func TestFreeShareIsThatOfTheScarcestResource(t *testing.T) {
	workers := fleet(1, 3)
	workers[0].Free = workers[0].Free.Minus(eightAccelerators)
	must.Eq(t, 2.0/3, FreeShare(workers))
	workers[1].Usable = false
	must.Eq(t, 0.5, FreeShare(workers))
	must.Eq(t, 1, FreeShare(nil))
}

// Guards against capacity that counts as scarce because idle workers get no new work for some seconds.
func TestSuspectedWorkersCountAsCapacity(t *testing.T) {
	workers := fleet(1, 2)
	workers[0].Usable, workers[0].Suspected = false, true
	workers[1].Free = workers[1].Free.Minus(eightAccelerators)
	must.Eq(t, 0.5, FreeShare(workers))
}
