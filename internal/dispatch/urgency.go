package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// claimBudget is the work that an urgent claim may throw away at once, relative to its own work. Urgent work is valued several times
	// higher than other work of the same size, but a stopped run costs its caller the whole wait again.
	claimBudget = 1.5
	// patience is the wait after which a claim within a guarantee may stop whatever is in its way. It leaves time for the stops (0.9 s)
	// inside the shortest time in which a guarantee has to be served (2.7 s).
	patience = 1000 * time.Millisecond
	// demandSpan and demandSample are the length and the period of the record of urgent work. The span covers several runs of urgent tasks.
	demandSpan   = 20 * time.Second
	demandSample = 250 * time.Millisecond
	// demandQuantile is the share of the record that lies under what is kept ready.
	demandQuantile = 0.8
	// maxKeep bounds what is kept ready, as a share of all room.
	maxKeep = 0.25
)

// budgetOf returns the work that a unit may throw away to start now, in core-seconds.
func (c *Core) budgetOf(u *unit, within bool, waited time.Duration) float64 {
	if u.job.Queue.Priority != 0 {
		return 0
	}
	if within && waited > patience {
		return math.Inf(1)
	}
	own := float64(len(u.tasks)) * u.spec().Need.CoreEquivalents() * c.runTime(&u.job.Job, u.step).Seconds()
	return claimBudget * own * (1 + waited.Seconds())
}

// inTime reports whether the job of a unit that starts now is expected to meet its objective.
func (c *Core) inTime(u *unit) bool {
	j := u.job
	chain := c.runTime(&j.Job, u.step)
	objective := time.Duration(j.Queue.Stretch*float64(chain)) + j.Queue.Target
	return c.now-j.known+chain <= objective
}

// demand records how much room urgent work uses.
type demand struct {
	samples []float64 // core equivalents, newest last
	lastAt  time.Duration
	total   float64 // of all usable workers
}

func (d *demand) record(now time.Duration, use, total float64) {
	d.total = total
	if now-d.lastAt < demandSample {
		return
	}
	d.lastAt = now
	d.samples = append(d.samples, use)
	if len(d.samples) > int(demandSpan/demandSample) {
		d.samples = d.samples[1:]
	}
}

// keep returns the room to keep ready for urgent work to come, beyond what it uses now.
func (d *demand) keep(use float64) float64 {
	if len(d.samples) == 0 {
		return 0
	}
	sorted := slices.Clone(d.samples)
	slices.Sort(sorted)
	usual := sorted[int(demandQuantile*float64(len(sorted)-1))]
	return min(max(0, usual-use), maxKeep*d.total)
}

// urgentUse returns the room that urgent tasks use, in core equivalents.
func urgentUse(workers []*worker) float64 {
	sum := 0.0
	for _, w := range workers {
		for _, o := range w.occupants {
			if o.task != nil && o.task.unit.job.Queue.Priority == 0 {
				sum += o.need.CoreEquivalents()
			}
		}
	}
	return sum
}
