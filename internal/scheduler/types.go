// Package scheduler decides which gang jobs run where. Plan maps a snapshot of one failure domain to an ordered list of actions. The package does
// no I/O, starts no goroutine and reads no clock. Equal snapshots give equal decisions: ties are broken by ids.
//
// Each team has guaranteed slots, in which its jobs are never preempted. A gang outside a slot is borrowing: it uses resources that no guarantee
// needs at the time, and may be preempted. The package tracks a footprint for each slot, the workers on which the slot can be claimed by preempting
// borrowing gangs only.
package scheduler

import "time"

// Resources is an amount of processor cores, memory and accelerators on one worker.
type Resources struct {
	Cores        int
	MemoryGB     int
	Accelerators int
}

// Adjacency limits how far the parts of a gang may be apart.
type Adjacency uint8

// Adjacencies, from the most to the least restrictive.
const (
	SameWorker Adjacency = iota + 1 // all parts on one worker
	SameRack                        // all parts in one rack
	SameDomain                      // anywhere in the failure domain
)

// MaxParts is the largest number of parts of a gang.
const MaxParts = 64

// Shape is a gang of equal parts.
type Shape struct {
	Parts     int       // number of parts, 1 to MaxParts
	Part      Resources // resources of each part
	Adjacency Adjacency
}

// Accelerators returns the number of accelerators of all parts together.
func (s Shape) Accelerators() int { return s.Parts * s.Part.Accelerators }

// Class is the urgency of a job.
type Class uint8

// Classes in the order in which they are served.
const (
	Urgent Class = iota
	Normal
	Batch
)

// Worker is a worker of the failure domain, usable or not.
type Worker struct {
	ID       string
	Rack     string
	Capacity Resources
	// Usable is false for workers that have failed, are draining or are quarantined. They receive no work, and no guarantee relies on them.
	Usable bool
}

// Guarantee entitles a team to run Count gangs of the shape at the same time.
type Guarantee struct {
	Shape Shape
	Count int
}

// Unlimited is the AcceleratorLimit of a team that has no limit.
const Unlimited = -1

// Team is the plan of one team in the domain of the snapshot.
type Team struct {
	ID               string
	Weight           float64 // share of borrowed resources relative to other teams
	AcceleratorLimit int     // largest number of accelerators in use at a time, including borrowed ones, or Unlimited
	Guarantees       []Guarantee
}

// NoSlot is the slot of a gang that borrows its resources.
const NoSlot = -1

// Job holds the properties that waiting and running gangs share.
type Job struct {
	ID          string
	Team        string
	Kind        string // kind of work, by which run times are estimated
	Class       Class
	Shape       Shape
	Submitted   time.Time
	DeclaredRun time.Duration // run time declared by the submitter; can be far off
	Progress    time.Duration // run time saved in the newest checkpoint: as of the last start if the job runs, as of now if it waits
	Preemptions int           // number of times the job was preempted
}

// Running is a gang that occupies its workers.
type Running struct {
	Job
	Workers       []string // worker of each part
	Slot          int      // slot of the team's guarantees that the gang uses, or NoSlot if it borrows
	Started       time.Time
	CheckpointAge time.Duration // run time since the newest checkpoint, which a preemption loses
}

// Waiting is a job that has no workers.
type Waiting struct {
	Job
	FailedWorkers []string // distinct workers on which the job failed; the job is not placed on them again
}

// Weights are the weights of the scheduling policy. Only their ratio matters.
type Weights struct {
	Completion    float64 // weight of short completion times
	Fragmentation float64 // weight of low fragmentation
}

// Footprint names the workers on which one guaranteed slot can run. Their resources are committed to the slot, but borrowing gangs may use those
// of its unused parts until the slot is claimed.
type Footprint struct {
	Team    string
	Slot    int
	Workers []string // worker of each part
}

// Reservation is the set of workers on which the oldest waiting large job is going to start.
type Reservation struct {
	JobID    string
	Workers  []string  // worker of each part
	Created  time.Time // when the job got its reservation
	Start    time.Time // estimated start
	Deadline time.Time // from this time on, borrowing gangs of younger jobs on these workers are preempted
}

// Snapshot is the input of Plan: one failure domain at one moment.
type Snapshot struct {
	Domain    string
	Now       time.Time
	Workers   []Worker
	Teams     []Team
	Running   []Running
	Waiting   []Waiting
	Weights   Weights
	Estimates *Estimator // only read; if nil, declared run times are used

	Footprints    []Footprint  // Decision.Footprints of the previous cycle; may be empty
	Reservation   *Reservation // Decision.Reservation of the previous cycle; may be nil
	LastMigration time.Time    // time of the most recent migration; limits the rate of migrations
}

// ActionKind is the type of an action.
type ActionKind uint8

// Action kinds.
const (
	Place       ActionKind = iota + 1 // start the waiting job on Workers
	Reserve                           // reserve Workers for the waiting job
	Preempt                           // stop the running gang; it waits again
	Migrate                           // checkpoint and stop the running gang, then start it on Workers
	Refuse                            // the job can never run
	KeepWaiting                       // leave the job in the queue
)

// Action is one step of a decision. The steps are executed in order; a Place may use resources that earlier preemptions release.
type Action struct {
	Kind    ActionKind
	JobID   string
	Workers []string // worker of each part; only for Place, Reserve and Migrate
	Slot    int      // guaranteed slot of a Place or Migrate, or NoSlot
	Reason  Reason
}

// LostGuarantee is a guaranteed slot for which no footprint was found: the team may be unable to claim it.
type LostGuarantee struct {
	Team   string
	Slot   int
	Reason Reason
}

// Decision is the output of Plan. The caller passes Footprints and Reservation back in the next snapshot.
type Decision struct {
	Actions        []Action
	Footprints     []Footprint
	LostGuarantees []LostGuarantee
	Reservation    *Reservation
}
