package placement

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// twoHalfFreeRacks returns two racks of four workers, of which two each run less urgent work that loses as much when it is stopped, and an urgent gang
// as large as a rack that may run on both racks.
func twoHalfFreeRacks(lostWork, spreadCost float64) Input {
	in := Input{Workers: fleet(2, 4)}
	for _, w := range []int{0, 1, 4, 5} {
		occupy(&in, Run{Priority: 2, LostWork: lostWork}, w, eightAccelerators)
	}
	in.Requests = []Request{{Step: &batch.Step{Need: eightAccelerators, Gang: true, SameRack: true}, Count: 4, Gang: true, WithinGuarantee: true, MayPreempt: true,
		MaySpanRacks: true, PreemptionBudget: math.Inf(1), SpreadCost: spreadCost}}
	return in
}

// Guards against an urgent gang that takes several times as much capacity on several racks, although stopping little work would give it one rack.
func TestUrgentGangStopsLittleWorkInsteadOfSpreading(t *testing.T) {
	d := Plan(twoHalfFreeRacks(10, 1000))
	must.SliceEmpty(t, d.Placements, must.Sprint("started on both racks"))
	must.Eq(t, []int{0, 1}, d.Preempted)
}

// Guards against an urgent gang that stops more work for one rack than it costs to run on several.
func TestUrgentGangSpreadsWhereARackCostsMore(t *testing.T) {
	in := twoHalfFreeRacks(600, 1000)
	d := Plan(in)
	must.SliceEmpty(t, d.Preempted)
	must.Len(t, 1, d.Placements)
	must.MapLen(t, 2, racksOf(in, d.Placements[0].Workers))
}

// Guards against an urgent gang that runs on several racks while one is being freed for it.
func TestUrgentGangWaitsForTheRackThatIsBeingFreed(t *testing.T) {
	in := twoHalfFreeRacks(600, 1000)
	for _, w := range []int{0, 1} {
		in.Workers[w].FutureFree = emptyWorker
	}
	in.Runs = in.Runs[2:]
	d := Plan(in)
	must.SliceEmpty(t, d.Placements)
	must.SliceEmpty(t, d.Preempted)
}
