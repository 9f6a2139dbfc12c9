package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// testWorkers returns n workers with 8 accelerators in racks of 2.
func testWorkers(n int) []Worker {
	var out []Worker
	for i := range n {
		out = append(out, Worker{ID: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2), Usable: true,
			Capacity: Resources{Cores: 16, MemoryGB: 64, Accelerators: 8}})
	}
	return out
}

func gpus(parts, accelerators int, adj Adjacency) Shape {
	return Shape{Parts: parts, Part: Resources{Cores: 1, MemoryGB: 1, Accelerators: accelerators}, Adjacency: adj}
}

func waitingJob(id string, shape Shape, class Class, age time.Duration) Waiting {
	return Waiting{Job: Job{ID: id, Team: "t", Kind: id, Class: class, Shape: shape, Submitted: testStart.Add(-age), DeclaredRun: time.Hour}}
}

func running(id string, shape Shape, left, checkpointAge time.Duration, workers ...string) Running {
	return Running{Job: Job{ID: id, Team: "t", Kind: id, Class: Batch, Shape: shape, Submitted: testStart.Add(-time.Minute), DeclaredRun: left + time.Minute},
		Workers: workers, Slot: NoSlot, Started: testStart.Add(-time.Minute), CheckpointAge: checkpointAge}
}

func actionOf(d Decision, id string) Action {
	for _, a := range d.Actions {
		if a.JobID == id {
			return a
		}
	}
	return Action{}
}

// Guards against jobs that can never run but stay in the queue instead of being refused.
func TestJobsThatNeverRunAreRefusedWithTheReason(t *testing.T) {
	tooMuchMemory := gpus(1, 1, SameWorker)
	tooMuchMemory.Part.MemoryGB = 65
	failed := waitingJob("j", gpus(1, 1, SameWorker), Normal, 0)
	failed.FailedWorkers = []string{"a", "b", "c"}
	unknownTeam := waitingJob("j", gpus(1, 1, SameWorker), Normal, 0)
	unknownTeam.Team = "unknown"
	cases := map[ReasonCode]Waiting{
		BadShape:         waitingJob("j", gpus(MaxParts+1, 1, SameDomain), Normal, 0),
		LargerThanWorker: waitingJob("j", gpus(2, 5, SameWorker), Normal, 0),
		LargerThanRack:   waitingJob("j", gpus(3, 8, SameRack), Normal, 0),
		LargerThanDomain: waitingJob("j", gpus(5, 8, SameDomain), Normal, 0),
		LargerThanPlan:   waitingJob("j", gpus(4, 8, SameDomain), Normal, 0),
		MemoryTooLarge:   waitingJob("j", tooMuchMemory, Normal, 0),
		FailedOnWorkers:  failed,
		UnknownTeam:      unknownTeam,
	}
	for code, w := range cases {
		team := Team{ID: "t", Weight: 1, AcceleratorLimit: Unlimited}
		if code == LargerThanPlan {
			team.AcceleratorLimit = 31
		}
		a := actionOf(Plan(Snapshot{Now: testStart, Workers: testWorkers(4), Teams: []Team{team}, Waiting: []Waiting{w}}), "j")
		must.EqOp(t, Refuse, a.Kind, must.Sprint(code))
		must.EqOp(t, code, a.Reason.Code)
		must.NotEq(t, string(code), a.Reason.String(), must.Sprint("the code has no text for operators"))
	}
}

// Guards against preempting a gang although another one would lose less work and release the same resources, and against a fourth preemption of a
// gang while other victims suffice.
func TestReclaimLosesTheLeastWork(t *testing.T) {
	snap := Snapshot{Now: testStart, Workers: testWorkers(3), Waiting: []Waiting{waitingJob("claim", gpus(1, 8, SameWorker), Normal, 0)},
		Teams: []Team{{ID: "t", Weight: 1, AcceleratorLimit: Unlimited, Guarantees: []Guarantee{{gpus(1, 8, SameWorker), 1}}}},
		Running: []Running{
			running("a", gpus(1, 8, SameWorker), time.Hour, 9*time.Minute, "w0"),
			running("b", gpus(1, 8, SameWorker), time.Hour, 5*time.Minute, "w1"),
			running("c", gpus(1, 8, SameWorker), time.Hour, time.Minute, "w2"),
		}}
	must.EqOp(t, ReclaimedBy, actionOf(Plan(snap), "c").Reason.Code)
	snap.Running[2].Preemptions = MaxPreemptions
	d := Plan(snap)
	must.EqOp(t, Preempt, actionOf(d, "b").Kind)
	must.Eq(t, Action{Kind: Place, JobID: "claim", Workers: []string{"w1"}, Slot: 0, Reason: Reason{Code: WithinGuarantee}}, d.Actions[1])
}

// Guards against a job within its team's guarantee that waits because less urgent jobs of the team have used up the accelerator limit: in the demo
// such a job started only after 8.4 s, when a background job of the team ended.
func TestClaimTakesTheLimitFromLessUrgentJobsOfItsTeam(t *testing.T) {
	own := func(id string, class Class, worker string) Running {
		r := running(id, gpus(1, 8, SameWorker), time.Hour, time.Minute, worker)
		r.Class = class
		return r
	}
	snap := Snapshot{Now: testStart, Workers: testWorkers(4),
		Teams:   []Team{{ID: "t", Weight: 1, AcceleratorLimit: 16, Guarantees: []Guarantee{{gpus(1, 8, SameWorker), 1}}}},
		Running: []Running{own("normal", Normal, "w0"), own("batch", Batch, "w1")},
		Waiting: []Waiting{waitingJob("claim", gpus(1, 8, SameWorker), Urgent, 0)}}
	d := Plan(snap)
	must.EqOp(t, Place, actionOf(d, "claim").Kind)
	must.EqOp(t, Preempt, actionOf(d, "batch").Kind)
	must.EqOp(t, 0, actionOf(d, "normal").Kind, must.Sprint("more gangs are preempted than needed"))

	snap.Waiting[0].Class = Batch
	must.EqOp(t, OverLimit, actionOf(Plan(snap), "claim").Reason.Code, must.Sprint("a gang of the same class is preempted"))
}

// Guards against a wrong run time estimate that delays a job with a reservation for longer than MaxReservationTime, and against preempting older
// gangs for it.
func TestReservedJobStartsAtItsDeadline(t *testing.T) {
	large := waitingJob("large", gpus(2, 8, SameRack), Batch, MaxReservationWait)
	snap := Snapshot{Now: testStart, Workers: testWorkers(4), Teams: []Team{{ID: "t", Weight: 1, AcceleratorLimit: Unlimited}}, Waiting: []Waiting{large}}
	snap.Running = []Running{
		running("old", gpus(2, 8, SameRack), time.Hour, 0, "w0", "w1"),
		running("young", gpus(2, 8, SameRack), 100*time.Hour, 0, "w2", "w3"),
	}
	snap.Running[0].Submitted = testStart.Add(-2 * MaxReservationWait)
	d := Plan(snap)
	must.EqOp(t, Reserve, actionOf(d, "large").Kind)
	must.Eq(t, []string{"w2", "w3"}, d.Reservation.Workers)
	must.EqOp(t, MaxReservationTime, d.Reservation.Deadline.Sub(testStart))

	short := waitingJob("short", gpus(1, 1, SameWorker), Batch, 0)
	snap.Waiting = append(snap.Waiting, short)
	snap.Reservation, snap.Now = d.Reservation, d.Reservation.Deadline
	d = Plan(snap)
	must.EqOp(t, ReservationDue, actionOf(d, "young").Reason.Code)
	must.EqOp(t, ReservationStart, actionOf(d, "large").Reason.Code)
	must.EqOp(t, ActionKind(0), actionOf(d, "old").Kind)
}

// Guards against backfilled jobs that delay a reservation because they are estimated to end after its start.
func TestBackfillEndsBeforeTheReservation(t *testing.T) {
	snap := Snapshot{Now: testStart, Workers: testWorkers(2), Teams: []Team{{ID: "t", Weight: 1, AcceleratorLimit: Unlimited}}, Estimates: NewEstimator(),
		Running: []Running{running("r", gpus(1, 8, SameWorker), time.Hour, 0, "w0")},
		Waiting: []Waiting{waitingJob("large", gpus(2, 8, SameRack), Batch, MaxReservationWait),
			waitingJob("short", gpus(1, 1, SameWorker), Batch, 0), waitingJob("long", gpus(1, 1, SameWorker), Batch, 0)}}
	for range minSamples { // the declared time of both is an hour
		snap.Estimates.RecordRun("t", "short", 10*time.Minute)
		snap.Estimates.RecordRun("t", "long", 10*time.Hour)
	}
	d := Plan(snap)
	must.EqOp(t, Backfilled, actionOf(d, "short").Reason.Code)
	must.EqOp(t, InsufficientCapacity, actionOf(d, "long").Reason.Code)
}

// Guards against placing a job before one of a more urgent class, or before one of the same class whose team has a smaller share.
func TestBorrowersAreServedByClassAndShare(t *testing.T) {
	mine, other := waitingJob("a", gpus(1, 8, SameWorker), Batch, time.Hour), waitingJob("b", gpus(1, 8, SameWorker), Batch, 0)
	other.Team = "u"
	snap := Snapshot{Now: testStart, Workers: testWorkers(2), Teams: []Team{{ID: "t", Weight: 1, AcceleratorLimit: Unlimited}, {ID: "u", Weight: 1, AcceleratorLimit: Unlimited}},
		Running: []Running{running("r", gpus(1, 8, SameWorker), time.Minute, 0, "w0")}, Waiting: []Waiting{mine, other}}
	must.EqOp(t, Place, actionOf(Plan(snap), "b").Kind)
	snap.Waiting[0].Class = Urgent
	must.EqOp(t, Place, actionOf(Plan(snap), "a").Kind)
}

// Guards against estimates that use declared run times although there are samples, and against samples older than the newest sampleCount.
func TestEstimatorUsesRecentRunTimes(t *testing.T) {
	e, j := NewEstimator(), &Job{Team: "t", Kind: "k", DeclaredRun: time.Hour}
	must.EqOp(t, time.Hour, e.Remaining(j, 0, 0.5))
	for i := range 2 * sampleCount {
		run := time.Minute
		if i >= sampleCount {
			run = time.Duration(i) * time.Second
		}
		e.RecordRun("t", "k", run)
	}
	must.EqOp(t, (sampleCount+sampleCount/2)*time.Second, e.Remaining(j, 0, 0.5))
	must.EqOp(t, time.Second, e.Remaining(j, (2*sampleCount-2)*time.Second, 0.9))
	must.EqOp(t, time.Hour, e.Remaining(j, time.Hour, 0.5))
}

// Guards against migrations that lose more work than the freed accelerators are worth, and against more than one per migrateInterval.
func TestMigrationOnlyWhenTheGainOutweighsTheLostWork(t *testing.T) {
	snap := Snapshot{Now: testStart, Workers: testWorkers(4), Weights: Weights{Completion: 1, Fragmentation: 1},
		Teams: []Team{{ID: "t", Weight: 1, AcceleratorLimit: Unlimited, Guarantees: []Guarantee{{gpus(2, 8, SameRack), 1}}}},
		Running: []Running{
			running("a", gpus(1, 2, SameWorker), 5*time.Hour, time.Minute, "w0"),
			running("b", gpus(1, 2, SameWorker), 5*time.Hour, time.Minute, "w2"),
		}}
	d := Plan(snap)
	must.Len(t, 1, d.Actions)
	must.EqOp(t, Migrate, d.Actions[0].Kind)
	snap.LastMigration = testStart
	must.SliceEmpty(t, Plan(snap).Actions)
	snap.LastMigration = time.Time{}
	snap.Running[0].CheckpointAge, snap.Running[1].CheckpointAge = 50*time.Hour, 50*time.Hour
	must.SliceEmpty(t, Plan(snap).Actions)
}
