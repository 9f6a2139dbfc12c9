package dispatch

import (
	"time"

	"samphirewell/internal/batch"
)

// Order is a call to a worker.
type Order struct {
	Worker   batch.Worker
	Epoch    uint64
	Task     string
	Run      int
	Payload  string        // of a start
	LeaseEnd time.Duration // of a start: end of the lease on the worker's clock
	Resume   string        // of a start: checkpoint, or empty
	Ticket   string        // of a start: permission of the adviser, or empty
	Stop     bool          // a stop instead of a start
	// StillAllowed is called right before a copy is sent; if it returns false, the copy is not sent and its result is TooLate. Nil always allows it.
	StillAllowed func() bool
}

// allowed reports whether a copy of the order may be sent now.
func (o *Order) allowed() bool { return o.StillAllowed == nil || o.StillAllowed() }

// Kind returns the name of what is ordered, for logs and metrics.
func (o *Order) Kind() string {
	if o.Stop {
		return "stop"
	}
	return "start"
}

// Result is the outcome of an order.
type Result uint8

// Results of an order.
const (
	Accepted   Result = iota + 1
	Deposed           // the worker has seen a newer epoch
	Superseded        // this or a newer run has ended there or was stopped
	TooLate           // the lease had ended, or StillAllowed forbade the copy
	InsufficientCapacity
	NoTicket         // the ticket is missing or has expired
	Unhealthy        // the worker refused and has done nothing
	OtherIncarnation // another incarnation of the worker responded
	Invalid          // the worker can't interpret the order
	NoConnection     // this host could not open a connection for lack of descriptors: this copy was not carried out, which tells nothing about the worker
	NotSent          // no connection to the worker: this copy was not carried out
	Unknown          // no response: the order may still be carried out
)

// String returns the name for logs.
func (r Result) String() string {
	return [...]string{"", "accepted", "deposed", "superseded", "too_late", "no_room", "no_ticket", "unhealthy", "other_boot", "invalid", "no_connection", "not_sent", "unknown"}[r]
}

// Renewal is a call to a worker that renews the lease of all its runs, acknowledges ended runs and reads which runs are present.
type Renewal struct {
	Worker    batch.Worker
	Epoch     uint64
	AckedEnds uint64        // ends up to this number (EndReport.N) are stored, and the worker may forget them; 0 acknowledges nothing
	LeaseEnd  time.Duration // new end of the lease on the worker's clock; 0 renews nothing
	Wait      time.Duration // how long the worker may wait for the end of a run before it responds
}

// EndKind is how a run ended.
type EndKind uint8

// Kinds of ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	EndLeaseExpired
	EndGangBroken     // another member of the gang ended
	EndGangIncomplete // the other members of the gang didn't start in time
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

// EndReport is a run that a worker lists as ended. N counts the ends of one incarnation of the worker from 1.
type EndReport struct {
	N          uint64
	Task       string
	Run        int
	Kind       EndKind
	Checkpoint string
}

// WorkerReport is the response to a renewal.
type WorkerReport struct {
	Incarnation int64 // of the worker, see batch.Worker; 0 if it doesn't report it
	Clock       time.Duration
	Running     []RunReport
	Ended       []EndReport
	// Incomplete is set if the lists may lack runs: a part of them could not be read, or the worker lists the oldest ends only. A run that isn't listed
	// may be present then, or may have ended in any way.
	Incomplete bool
}
