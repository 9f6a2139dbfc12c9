package dispatch

import "time"

// Counts are what a core has decided and learned since they were last taken.
type Counts struct {
	Starts          []StartCount
	Ends            map[string]int      // ends of runs by outcome
	Stops           map[StopKey]int     // stops of units
	LostCoreSeconds map[StopKey]float64 // work that was lost by stops
	Jobs            map[JobKey]int      // ended jobs
}

// StopKey groups stops of units by their reason and the priority of what was stopped.
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

// TakeCounts returns what was counted since the last call.
func (c *Core) TakeCounts() Counts {
	out := c.counts
	c.counts = newCounts()
	return out
}

// Overview is the state of a leader at a moment.
type Overview struct {
	Jobs    int             // live jobs
	Waiting map[int]int     // tasks that are ready and run nowhere, by priority
	Free    map[string]int  // free accelerators of usable workers, by failure domain
	Usable  map[string]int  // workers that may get new work, by failure domain
	Workers map[string]int  // registered workers, by failure domain
	Leases  int             // workers with runs, whose leases are renewed
	Used    map[int]float64 // room that runs hold, by priority, core equivalents
	Unused  float64         // free room of usable workers, core equivalents
}

// Overview returns the state of the leader.
func (c *Core) Overview(now time.Duration) Overview {
	o := Overview{Jobs: len(c.live), Waiting: map[int]int{}, Free: map[string]int{}, Usable: map[string]int{}, Workers: map[string]int{}, Used: map[int]float64{}}
	for _, j := range c.live {
		for _, steps := range j.steps {
			for _, s := range steps {
				for _, u := range s.units {
					if u.ready() {
						o.Waiting[j.Queue.Priority] += len(u.tasks)
					}
				}
			}
		}
	}
	for _, w := range c.workers {
		if len(w.occupants) > 0 {
			o.Leases++
		}
		for _, occ := range w.occupants {
			if occ.task != nil {
				o.Used[occ.task.unit.job.Queue.Priority] += occ.need.CoreEquivalents()
			}
		}
		if !w.registered {
			continue
		}
		o.Workers[w.Domain]++
		if c.usable(w, now) {
			o.Usable[w.Domain]++
			o.Free[w.Domain] += max(0, w.free().Accelerators)
			o.Unused += max(0, w.free().CoreEquivalents())
		}
	}
	return o
}
