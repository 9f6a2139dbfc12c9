package dispatch

import (
	"time"

	"samphirewell/internal/batch"
)

// Order is a call to a worker.
type Order struct {
	Worker  batch.Worker
	Epoch   uint64
	Task    string
	Run     int
	Payload string        // of a start
	Lease   time.Duration // of a start: end of the lease on the worker's clock
	Resume  string        // of a start: checkpoint, or empty
	Ticket  string        // of a start: permission of the adviser, or empty
	Stop    bool          // a stop instead of a start
}

// Result is the outcome of an order.
type Result uint8

// Results of an order.
const (
	Accepted   Result = iota + 1
	Deposed           // the worker has seen a newer epoch
	Superseded        // this or a newer run has ended there or was stopped
	TooLate           // the lease had ended
	NoRoom
	NoTicket  // the ticket is missing or has expired
	Unhealthy // the worker refused and has done nothing
	OtherBoot // another life of the worker answered
	Invalid   // the worker can't make sense of the order
	Unknown   // no answer: the order may still be carried out
)

// String returns the name for logs.
func (r Result) String() string {
	return [...]string{"", "accepted", "deposed", "superseded", "too_late", "no_room", "no_ticket", "unhealthy", "other_boot", "invalid", "unknown"}[r]
}

// Hold renews the lease of everything on a worker, acknowledges ends and reads what runs.
type Hold struct {
	Worker batch.Worker
	Epoch  uint64
	Acked  uint64        // ends up to here may be forgotten
	Lease  time.Duration // end of the lease on the worker's clock; 0 renews nothing
	Wait   time.Duration // wait for an end
}

// EndKind is how a run ended.
type EndKind uint8

// Kinds of ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	EndLapsed
	EndBroken // another member of the gang ended
	EndAlone  // the other members of the gang didn't come
)

// String returns the name for logs.
func (k EndKind) String() string {
	return [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone"}[k]
}

// RunReport is a run that a worker lists as present.
type RunReport struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int
}

// EndReport is a run that a worker lists as ended. N counts the ends of one life of the worker from 1.
type EndReport struct {
	N          uint64
	Task       string
	Run        int
	Kind       EndKind
	Checkpoint string
}

// Report is the answer to a hold.
type Report struct {
	Boot    int64 // 0 if the worker doesn't say
	Clock   time.Duration
	Running []RunReport
	Ended   []EndReport
}
