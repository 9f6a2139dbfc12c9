package applier

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/standin/lease"
)

// Guards the whole life cycle of a gang: it is placed, its leases are renewed past the first expiry, and its result is written to the row.
func TestGangRunsToItsEnd(t *testing.T) {
	f := newFleet(4)
	c := f.ready(&directClient{f: f})
	id, err := f.submit(spec("a", 3, 4, 25*time.Second))
	must.NoError(t, err)
	f.run(10*time.Second, c)
	must.EqOp(t, api.JobRecordPhaseRunning, f.phase(id))
	f.run(25*time.Second, c)
	must.EqOp(t, api.JobRecordPhaseSucceeded, f.phase(id))
	must.SliceEmpty(t, lease.DoubleRuns(f.history(), f.clock.Now()))
	must.SliceEmpty(t, lease.PartialGangs(f.history(), f.parts, 3*commandTime, f.clock.Now()))
	must.SliceLen(t, 3, f.history())
	must.EqOp(t, 1, f.count(api.EventKindGangEnded))
}

// Guards against slow starts after a failover: a waiting job is running 2.5 s after the host became preferred.
func TestFreshHostPlacesSoon(t *testing.T) {
	f := newFleet(4)
	id, err := f.submit(spec("a", 3, 4, time.Minute))
	must.NoError(t, err)
	f.run(2500*time.Millisecond, f.controller(&directClient{f: f}, alwaysPreferred(testStart)))
	must.EqOp(t, api.JobRecordPhaseRunning, f.phase(id))
	must.SliceLen(t, 3, f.history())
}

// Guards against a guaranteed job that waits in a cluster full of borrowed work: urgent work has to start within 4.5 s, and here the job is
// running 1.5 s after its submission. The preempted jobs wait again with their checkpointed progress.
func TestGuaranteedJobPreemptsBorrowers(t *testing.T) {
	f := newFleet(4)
	c := f.ready(&directClient{f: f})
	f.submitAll(t, 8, 1, 2, time.Minute)
	f.run(12*time.Second, c)
	must.SliceLen(t, 8, f.history())
	claim := spec("claim", 2, 4, time.Minute)
	claim.Team, claim.Cores, claim.MemoryGb = "t1", 4, 8
	id, err := f.submit(claim)
	must.NoError(t, err)
	f.run(1500*time.Millisecond, c)
	must.EqOp(t, api.JobRecordPhaseRunning, f.phase(id))
	must.EqOp(t, 4, f.count(api.EventKindGangPreempted))
	rows, err := f.store.Live(context.Background(), testDomain)
	must.NoError(t, err)
	waiting := 0
	for _, r := range rows {
		if r.Phase == api.JobRecordPhaseWaiting {
			waiting++
			must.EqOp(t, 1, r.Preemptions)
			must.Positive(t, r.CheckpointProgressMS)
		}
	}
	must.EqOp(t, 4, waiting)
	must.SliceEmpty(t, lease.DoubleRuns(f.history(), f.clock.Now()))
}
