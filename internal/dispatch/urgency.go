package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// preemptionBudgetFactor is the work that an urgent request may discard without waiting, relative to its own work. Urgent work is valued several
	// times higher than other work of the same size, but the caller of a preempted run has to wait for the whole run again.
	preemptionBudgetFactor = 1.5
	// unboundedBudgetAfter is the wait after which a request within a guarantee may stop any run that it may preempt. It leaves time for the stops
	// (0.9 s) within the shortest time in which a guarantee has to be met (2.7 s).
	unboundedBudgetAfter = 1000 * time.Millisecond
	// demandWindow and demandSampleInterval are the length and the sample interval of the record of urgent work. The window covers several runs of
	// urgent tasks.
	demandWindow         = 20 * time.Second
	demandSampleInterval = 250 * time.Millisecond
	// demandQuantile is the quantile of the recorded usage up to which capacity is kept free.
	demandQuantile = 0.8
	// maxHeadroomShare bounds the headroom, as a share of the capacity of all usable workers.
	maxHeadroomShare = 0.25
)

// preemptionBudgetOf returns the work that preemptions may discard so that the group can start now, in core-seconds.
func (c *Core) preemptionBudgetOf(g *taskGroup, withinGuarantee bool, waited time.Duration) float64 {
	if g.job.Queue.Priority != 0 {
		return 0
	}
	if withinGuarantee && waited > unboundedBudgetAfter {
		return math.Inf(1)
	}
	return preemptionBudgetFactor * c.expectedWork(g) * (1 + waited.Seconds())
}

// expectedWork returns the work of a whole run of the group, in core-seconds.
func (c *Core) expectedWork(g *taskGroup) float64 {
	return float64(len(g.tasks)) * g.spec().Need.CoreEquivalents() * c.expectedRunTime(&g.job.Job, g.step).Seconds()
}

// spreadCost returns the work that a run of the group takes in addition where its workers are not on the rack that its step prefers, in core-seconds.
func (c *Core) spreadCost(g *taskGroup) float64 {
	return max(0, c.bounds.FarFactor-1) * c.expectedWork(g)
}

// urgentDemand records how much capacity urgent work uses.
type urgentDemand struct {
	samples   []float64 // core equivalents, newest last
	sampledAt time.Duration
	total     float64 // capacity of all usable workers
}

func (d *urgentDemand) record(now time.Duration, usage, total float64) {
	d.total = total
	if now-d.sampledAt < demandSampleInterval {
		return
	}
	d.sampledAt = now
	d.samples = append(d.samples, usage)
	if len(d.samples) > int(demandWindow/demandSampleInterval) {
		d.samples = d.samples[1:]
	}
}

// headroom returns the capacity to keep free for future urgent work, beyond what urgent work uses now.
func (d *urgentDemand) headroom(usage float64) float64 {
	if len(d.samples) == 0 {
		return 0
	}
	sorted := slices.Clone(d.samples)
	slices.Sort(sorted)
	usual := sorted[int(demandQuantile*float64(len(sorted)-1))]
	return min(max(0, usual-usage), maxHeadroomShare*d.total)
}

// urgentUsage returns the resources that urgent tasks use, in core equivalents.
func urgentUsage(workers []*worker) float64 {
	sum := 0.0
	for _, w := range workers {
		sum += w.currentView().urgentUse.CoreEquivalents()
	}
	return sum
}
