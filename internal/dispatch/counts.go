package dispatch

import "time"

// Counts are counters of the decisions and ends of a core since they were last taken.
type Counts struct {
	Starts          []StartCount
	Ends            map[string]int      // ends of runs by outcome
	Stops           map[StopKey]int     // stops of task groups
	LostCoreSeconds map[StopKey]float64 // work that was lost by stops
	Jobs            map[JobKey]int      // ended jobs
	RejectedRows    int                 // rows that the store has rejected
}

// StopKey groups stops of task groups by their reason and the priority of what was stopped.
type StopKey struct {
	Reason   string
	Priority int
}

// JobKey groups ended jobs.
type JobKey struct {
	State           string
	Priority        int
	ObjectiveStatus string // "in_time", "late" or "too_late", from the job's age and its objective
}

// StartCount is the start of a run.
type StartCount struct {
	Priority int
	Waited   time.Duration
}

func newCounts() Counts {
	return Counts{Ends: map[string]int{}, Stops: map[StopKey]int{}, LostCoreSeconds: map[StopKey]float64{}, Jobs: map[JobKey]int{}}
}

// TakeCounts returns and clears the counts.
func (c *Core) TakeCounts() Counts {
	out := c.counts
	c.counts = newCounts()
	return out
}

// Overview is the state of a leader at one time.
type Overview struct {
	Jobs    int             // live jobs
	Open    int             // open occurrences of live jobs; a job without a schedule has one
	Tasks   int             // tasks of steps that have been opened, of live jobs
	Held    int             // steps that wait because too many tasks are tracked
	Waiting map[int]int     // tasks that are ready but not placed, by priority
	Free    map[string]int  // free accelerators of usable workers, by failure domain
	Usable  map[string]int  // workers that may get new work, by failure domain
	Workers map[string]int  // registered workers, by failure domain
	Leases  int             // workers with runs, whose leases are renewed
	Used    map[int]float64 // resources that runs hold, by priority, core equivalents
	Unused  float64         // free capacity of usable workers, core equivalents
	// EvacuatedRuns is the number of runs that may exist on workers of evacuated failure domains.
	EvacuatedRuns int
	// Slowness has the estimated factor of the run times on each registered worker, relative to the mean worker.
	Slowness []float64
	Teams    TeamsByStanding // teams under and over their fair part
}

// Overview returns the state of the leader.
func (c *Core) Overview(now time.Duration) Overview {
	o := Overview{Jobs: len(c.liveJobs), Held: c.tracking.held, Waiting: map[int]int{}, Free: map[string]int{}, Usable: map[string]int{}, Workers: map[string]int{}, Used: map[int]float64{}, Teams: c.teamsByStanding()}
	for _, j := range c.liveJobs {
		o.Open += len(j.occurrences)
		for _, occ := range j.occurrences {
			for _, s := range occ.steps {
				for _, g := range s.groups {
					o.Tasks += len(g.tasks)
					if g.ready() {
						o.Waiting[j.Queue.Priority] += len(g.tasks)
					}
				}
			}
		}
	}
	for _, w := range c.workers {
		if len(w.allocs) > 0 {
			o.Leases++
		}
		if c.evacuated(w) {
			o.EvacuatedRuns += w.possibleRuns()
		}
		for _, a := range w.allocs {
			if a.task != nil {
				o.Used[a.task.group.job.Queue.Priority] += a.need.CoreEquivalents()
			}
		}
		if !w.registered {
			continue
		}
		o.Workers[w.Domain]++
		o.Slowness = append(o.Slowness, c.slowness(w))
		if c.usable(w, now) {
			o.Usable[w.Domain]++
			o.Free[w.Domain] += max(0, w.free().Accelerators)
			o.Unused += max(0, w.free().CoreEquivalents())
		}
	}
	return o
}
