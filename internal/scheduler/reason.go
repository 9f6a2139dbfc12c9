package scheduler

import (
	"fmt"
	"time"
)

// ReasonCode is the type of a reason.
type ReasonCode string

// Reason codes.
const (
	WithinGuarantee      ReasonCode = "within_guarantee"   // placed in a guaranteed slot
	Borrowed             ReasonCode = "borrowed"           // placed on borrowed resources
	Backfilled           ReasonCode = "backfilled"         // placed on reserved workers, because it is estimated to end before the reservation starts
	ReservationStart     ReasonCode = "reservation_start"  // placed on its reserved workers
	ReclaimedBy          ReasonCode = "reclaimed_by"       // preempted for a job that claims a guarantee
	YieldedTo            ReasonCode = "yielded_to"         // preempted for a borrowing job that is much shorter
	ReservationDue       ReasonCode = "reservation_due"    // preempted because a reservation reached its deadline
	OldestLarge          ReasonCode = "oldest_large"       // reserved as the oldest waiting large job
	Defragment           ReasonCode = "defragment"         // migrated to free resources for the largest guaranteed shape
	InsufficientCapacity ReasonCode = "no_room"            // waits: insufficient capacity
	OverLimit            ReasonCode = "over_limit"         // waits: the accelerator limit of the team is reached
	WaitsReserved        ReasonCode = "waits_reserved"     // waits for its reservation to start
	BadShape             ReasonCode = "bad_shape"          // parts, resources or adjacency out of range
	UnknownTeam          ReasonCode = "unknown_team"       // the team has no plan
	LargerThanWorker     ReasonCode = "larger_than_worker" // a part, or a gang that must share a worker, exceeds every worker
	MemoryTooLarge       ReasonCode = "memory_too_large"   // a part exceeds the memory of every worker
	LargerThanRack       ReasonCode = "larger_than_rack"   // the gang exceeds every rack
	LargerThanDomain     ReasonCode = "larger_than_domain" // the gang exceeds the failure domain
	LargerThanPlan       ReasonCode = "larger_than_plan"   // the gang exceeds the accelerator limit of the plan
	FailedOnWorkers      ReasonCode = "failed_on_workers"  // failed on MaxFailedWorkers distinct workers
	WorkersMissing       ReasonCode = "workers_missing"    // the live workers cannot hold all guarantees
	PlansExceedCapacity  ReasonCode = "plans_exceed_room"  // all workers together cannot hold all guarantees
)

// Reason explains to an operator why an action was taken.
type Reason struct {
	Code     ReasonCode
	OtherJob string        // id of the other job, if any
	Need     int           // what the job needs, in the unit of the code
	Have     int           // what is available at most, in the same unit; for Defragment, the accelerators of the guaranteed shape
	After    time.Duration // lost run time or time until the start, depending on the code
}

// String returns the reason as one sentence.
func (r Reason) String() string {
	switch r.Code {
	case WithinGuarantee:
		return "placed within the guarantee of the team"
	case Borrowed:
		return "placed on borrowed room; may be preempted by guaranteed claims"
	case Backfilled:
		return fmt.Sprintf("placed on reserved room, which it is estimated to leave before the reservation starts in %s", r.After)
	case ReservationStart:
		return "placed on its reservation"
	case ReclaimedBy:
		return fmt.Sprintf("preempted for guaranteed job %s; loses %s of work per accelerator", r.OtherJob, r.After)
	case YieldedTo:
		return fmt.Sprintf("preempted for the much shorter job %s; loses %s of work per accelerator", r.OtherJob, r.After)
	case ReservationDue:
		return fmt.Sprintf("preempted because the reservation of job %s is %s past its start", r.OtherJob, r.After)
	case OldestLarge:
		return fmt.Sprintf("oldest waiting large job; expected start in %s", r.After)
	case Defragment:
		return fmt.Sprintf("moved to make room for %d accelerators of the largest guaranteed shape", r.Have)
	case InsufficientCapacity:
		return "waits for room"
	case OverLimit:
		return fmt.Sprintf("waits because the team would use %d accelerators, its limit is %d", r.Need, r.Have)
	case WaitsReserved:
		return fmt.Sprintf("waits for its reservation, expected start in %s", r.After)
	}
	return r.refusal()
}

// refusal returns the sentence for refusals and lost guarantees.
func (r Reason) refusal() string {
	switch r.Code {
	case BadShape:
		return fmt.Sprintf("parts must be 1 to %d with room above 0 and a known adjacency, the job has %d", r.Have, r.Need)
	case UnknownTeam:
		return "the team has no plan"
	case LargerThanWorker:
		return fmt.Sprintf("the largest worker holds %d of the %d parts that must share a worker", r.Have, r.Need)
	case MemoryTooLarge:
		return fmt.Sprintf("a part needs %d GB of memory, the largest worker has %d GB", r.Need, r.Have)
	case LargerThanRack:
		return fmt.Sprintf("the gang has %d parts, the largest rack holds %d", r.Need, r.Have)
	case LargerThanDomain:
		return fmt.Sprintf("the gang has %d parts, the failure domain holds %d", r.Need, r.Have)
	case LargerThanPlan:
		return fmt.Sprintf("the gang needs %d accelerators, the plan allows %d", r.Need, r.Have)
	case FailedOnWorkers:
		return fmt.Sprintf("the job failed on %d distinct workers", r.Need)
	case WorkersMissing:
		return "no room can be kept for this guarantee: workers are missing and teams before this one come first"
	case PlansExceedCapacity:
		return "no room can be kept for this guarantee even if all workers lived"
	}
	return string(r.Code)
}
