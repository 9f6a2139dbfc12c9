// Package batch holds the types that all packages for job scheduling on a fleet of workers share: jobs and their steps, the policy set by operators,
// and workers. Packages that implement an external protocol translate into these types.
package batch

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Resources is an amount of the resources of a worker, such as its capacity, its free capacity or the need of a task.
type Resources struct {
	MilliCores   int `json:"c,omitempty"` // thousandths of a core
	MemoryMB     int `json:"m,omitempty"` // MB
	Accelerators int `json:"a,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns the difference; it may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{n * r.MilliCores, n * r.MemoryMB, n * r.Accelerators}
}

// Covers reports whether r is at least o in each resource that o needs.
func (r Resources) Covers(o Resources) bool {
	return covers(r.MilliCores, o.MilliCores) && covers(r.MemoryMB, o.MemoryMB) && covers(r.Accelerators, o.Accelerators)
}

// covers reports whether the amount satisfies the need. A need of 0 is always satisfied, also if the resource is overcommitted (a negative amount).
func covers(amount, need int) bool { return need == 0 || amount >= need }

// FitCount returns how many times o fits into r, at most limit.
func (r Resources) FitCount(o Resources, limit int) int {
	n := limit
	for _, pair := range [3][2]int{{r.MilliCores, o.MilliCores}, {r.MemoryMB, o.MemoryMB}, {r.Accelerators, o.Accelerators}} {
		if pair[1] > 0 {
			n = min(n, max(0, pair[0]/pair[1]))
		}
	}
	return n
}

// DominantShare returns the largest share of a capacity that r takes of any resource, at least 0. Resources that the capacity lacks don't count. It is the
// dominant share of dominant resource fairness (Ghodsi et al., NSDI 2011).
func (r Resources) DominantShare(capacity Resources) float64 {
	share := 0.0
	for _, pair := range [3][2]int{{r.MilliCores, capacity.MilliCores}, {r.MemoryMB, capacity.MemoryMB}, {r.Accelerators, capacity.Accelerators}} {
		if pair[1] > 0 {
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share
}

// acceleratorCores is the number of cores that an accelerator counts as when amounts of work are compared. The users gave this value.
const acceleratorCores = 8

// CoreEquivalents returns the cores and accelerators as a number of cores, with acceleratorCores for each accelerator. Memory doesn't count.
func (r Resources) CoreEquivalents() float64 {
	return float64(r.MilliCores)/1000 + acceleratorCores*float64(r.Accelerators)
}

// Step is a number of equal tasks of a job.
type Step struct {
	Tasks          int           `json:"n"`
	Need           Resources     `json:"need"`
	Estimate       time.Duration `json:"est,omitempty"`   // estimated run time of a task
	After          []int         `json:"after,omitempty"` // indexes of earlier steps whose tasks must have completed before these start
	Checkpoints    bool          `json:"ckpt,omitempty"`
	Gang           bool          `json:"gang,omitempty"`     // the tasks run only all at the same time
	SameRack       bool          `json:"rack,omitempty"`     // the tasks are slow when they are on several racks
	Requires       string        `json:"req,omitempty"`      // label that the worker must have
	DataRack       string        `json:"data,omitempty"`     // rack of the input data; the tasks are slow on other racks
	MaxPerWorker   int           `json:"apart,omitempty"`    // most tasks of the step and occurrence on one worker; 0 means no limit
	LongRunning    bool          `json:"long,omitempty"`     // the tasks run until the job is cancelled
	LatencyTarget  time.Duration `json:"tail,omitempty"`     // bound on response times of latency-sensitive tasks; 0 means none
	BestEffort     bool          `json:"fill,omitempty"`     // runs on processor time that other tasks leave unused
	MaxUnavailable int           `json:"may_miss,omitempty"` // most long-running tasks that may be unavailable at a time
}

// Schedule repeats the steps of a job.
type Schedule struct {
	Count      int   `json:"n"`     // number of occurrences
	FirstMS    int64 `json:"first"` // due time of the first occurrence, Unix milliseconds
	IntervalMS int64 `json:"every"` // between the due times of two occurrences
}

// Job is an accepted job as it is stored. Queue holds the settings of the queue at the time of acceptance.
type Job struct {
	ID       string    `json:"id"`
	Queue    Queue     `json:"queue"`
	Team     string    `json:"team"`
	Payload  string    `json:"payload"` // passed to the workers unchanged
	Steps    []Step    `json:"steps"`
	Schedule *Schedule `json:"schedule,omitempty"`
	// AcceptedMS is the time of acceptance by the clock of the accepting host, Unix milliseconds. Clocks of hosts differ by some milliseconds and may
	// jump, so it is used only to order jobs and to compute their ages.
	AcceptedMS int64 `json:"at"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	if j.Schedule == nil {
		return 1
	}
	return j.Schedule.Count
}

// TaskCount returns the number of tasks of one occurrence.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Tasks
	}
	return n
}

// bytesPerJob and bytesPerStep are the memory that a leader takes for a live job and for each of its steps, without its tasks.
const (
	bytesPerJob  = 1500
	bytesPerStep = 400
)

// MemoryBytes estimates the memory that a leader takes for the job while it is live, without its tasks.
func (j *Job) MemoryBytes() int {
	n := bytesPerJob + len(j.Payload)
	for i := range j.Steps {
		n += bytesPerStep + len(j.Steps[i].Requires) + len(j.Steps[i].DataRack) + 8*len(j.Steps[i].After)
	}
	return n
}

// Due returns when an occurrence may start, Unix milliseconds; 0 means immediately.
func (j *Job) Due(occurrence int) int64 {
	if j.Schedule == nil {
		return 0
	}
	return j.Schedule.FirstMS + int64(occurrence)*j.Schedule.IntervalMS
}

// Bounds of a job. Sums and products of such numbers don't overflow.
const (
	MaxTasks       = 50_000  // tasks of all steps of a job
	MaxOccurrences = 100_000 // occurrences of a job times its number of steps
	// maxAmount bounds the amount of each resource that a task needs. It exceeds the capacity of any worker.
	maxAmount = 1 << 32
	// maxStepTime bounds the times of a step.
	maxStepTime = 10 * 365 * 24 * time.Hour
	// maxDueMS bounds the due times of occurrences, Unix milliseconds: the end of the year 9999.
	maxDueMS = 253_402_300_799_999
)

// Check returns what is wrong with the steps of a submitted job, or an empty string.
func (j *Job) Check() string {
	if len(j.Steps) == 0 {
		return "a job needs at least one step"
	}
	if j.Occurrences() < 1 || j.Occurrences() > MaxOccurrences/len(j.Steps) {
		return fmt.Sprintf("%d occurrences of %d steps are out of bounds", j.Occurrences(), len(j.Steps))
	}
	if s := j.Schedule; s != nil && !s.inRange() {
		return fmt.Sprintf("occurrences that are due from %d ms on, every %d ms, are out of range", s.FirstMS, s.IntervalMS)
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Tasks < 1 {
			return fmt.Sprintf("step %d has no tasks", i)
		}
		if s.Tasks > MaxTasks-tasks {
			return fmt.Sprintf("a job has at most %d tasks", MaxTasks)
		}
		tasks += s.Tasks
		if problem := s.checkNumbers(); problem != "" {
			return fmt.Sprintf("step %d: %s", i, problem)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Sprintf("step %d depends on step %d, which is not an earlier one", i, a)
			}
		}
	}
	return ""
}

// inRange reports whether the due times of all occurrences can be represented and don't fall.
func (s *Schedule) inRange() bool {
	return s.FirstMS >= 0 && s.FirstMS <= maxDueMS && s.IntervalMS >= 0 && s.IntervalMS <= (maxDueMS-s.FirstMS)/int64(max(1, s.Count-1))
}

// checkNumbers returns which number of the step is out of range, or an empty string.
func (s *Step) checkNumbers() string {
	for _, n := range [...]int{s.Need.MilliCores, s.Need.MemoryMB, s.Need.Accelerators} {
		if n < 0 || n > maxAmount {
			return fmt.Sprintf("a need of %d is out of range", n)
		}
	}
	if s.Estimate < 0 || s.Estimate > maxStepTime || s.LatencyTarget < 0 || s.LatencyTarget > maxStepTime {
		return "the estimate or the latency target is out of range"
	}
	if s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return "a negative limit"
	}
	return ""
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the id that is sent to workers: JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses the format of String.
func ParseTaskID(s string) (TaskID, bool) {
	p := strings.Split(s, ".")
	if len(p) != 4 {
		return TaskID{}, false
	}
	var n [3]int
	for i, text := range p[1:] {
		v, err := strconv.Atoi(text)
		if err != nil || v < 0 {
			return TaskID{}, false
		}
		n[i] = v
	}
	return TaskID{p[0], n[0], n[1], n[2]}, true
}

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	Pending   State = "pending"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Terminal reports whether the job has ended, so that its state no longer changes.
func (s State) Terminal() bool { return s == Completed || s == Failed || s == Cancelled }

// Worker is a worker as the registry reports it.
type Worker struct {
	ID          string
	Service     string
	Address     string
	Domain      string // failure domain
	Rack        string
	Labels      []string
	Capacity    Resources
	Draining    bool
	Remaining   time.Duration // while it drains, how long it keeps running at least
	Incarnation int64         // start time of the worker, Unix milliseconds; changes with each restart
}

// HasLabel reports whether the worker has the label; every worker has the empty label.
func (w *Worker) HasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }
