package policybench

import (
	"slices"
	"time"

	"samphirewell/internal/scheduler"
)

// measures integrates resource usage and fragmentation of one domain over the arrival window.
type measures struct {
	sim                  *sim
	free                 []scheduler.Resources // of each worker
	largestShape         scheduler.Shape       // largest guaranteed shape
	totalAccelerators    int                   // accelerators of the domain
	usedAccelerators     int                   // accelerators in use
	fragmentationStale   bool                  // usage has changed since currentFragmentation was computed
	currentFragmentation float64               // share of the free accelerators that cannot serve largestShape; negative if none is free
	integratedTo         time.Duration
	currentFloor         float64 // least fragmentation that any packing of the free accelerators could reach
	floorSum             float64 // currentFloor x seconds
	fragmentationSum     float64 // currentFragmentation x seconds
	fragmentationSeconds float64 // seconds in which at least one accelerator was free
	usedSum              float64 // accelerator seconds
	lostSum              float64 // accelerator seconds lost to preemptions and migrations
	migrations           int
	preemptions          int
}

func newMeasures(s *sim) *measures {
	m := &measures{sim: s, fragmentationStale: true, largestShape: largestGuaranteedShape(s.mix.Teams)}
	for _, w := range s.workers {
		m.free = append(m.free, w.Capacity)
		m.totalAccelerators += w.Capacity.Accelerators
	}
	return m
}

// largestGuaranteedShape returns the guaranteed shape with the most accelerators.
func largestGuaranteedShape(teams []scheduler.Team) scheduler.Shape {
	var largest scheduler.Shape
	for _, t := range teams {
		for _, g := range t.Guarantees {
			if g.Shape.Accelerators() > largest.Accelerators() {
				largest = g.Shape
			}
		}
	}
	return largest
}

// advance integrates up to a time, at most the end of the arrival window.
func (m *measures) advance(to time.Duration) {
	to = min(to, m.sim.mix.window())
	if to <= m.integratedTo {
		return
	}
	sec := (to - m.integratedTo).Seconds()
	m.integratedTo = to
	m.usedSum += float64(m.usedAccelerators) * sec
	if m.fragmentationStale {
		m.currentFragmentation = m.fragmentation()
		m.fragmentationStale = false
	}
	if m.currentFragmentation >= 0 {
		m.fragmentationSum += m.currentFragmentation * sec
		m.floorSum += m.currentFloor * sec
		m.fragmentationSeconds += sec
	}
}

// fragmentation returns the share of free accelerators on available workers that cannot be part of any placement of the largest guaranteed shape, or
// -1 if no accelerator is free. It also sets currentFloor.
func (m *measures) fragmentation() float64 {
	free, usable := 0, 0
	for i := 0; i < len(m.sim.workers); {
		parts, rackFree, rack := 0, 0, m.sim.workers[i].Rack
		for ; i < len(m.sim.workers) && m.sim.workers[i].Rack == rack; i++ {
			if m.sim.activeOutages[i] > 0 {
				continue
			}
			parts += fitCount(m.free[i], m.largestShape.Part)
			rackFree += m.free[i].Accelerators
		}
		free += rackFree
		if parts >= m.largestShape.Parts {
			usable += parts * m.largestShape.Part.Accelerators
		}
	}
	if free == 0 {
		return -1
	}
	packedParts := free / m.largestShape.Part.Accelerators
	if packedParts < m.largestShape.Parts {
		packedParts = 0
	}
	m.currentFloor = 1 - float64(packedParts*m.largestShape.Part.Accelerators)/float64(free)
	return 1 - float64(usable)/float64(free)
}

// fitCount returns how many parts fit into the free resources, at most 16 x scheduler.MaxParts.
func fitCount(free, part scheduler.Resources) int {
	n := scheduler.MaxParts * 16
	for _, d := range [][2]int{{free.Cores, part.Cores}, {free.MemoryGB, part.MemoryGB}, {free.Accelerators, part.Accelerators}} {
		if d[1] > 0 {
			n = min(n, max(0, d[0])/d[1])
		}
	}
	return n
}

// adjustUsage adds the resources of a job to the usage of its workers, or subtracts them if sign is -1.
func (m *measures) adjustUsage(j *job, sign int) {
	m.fragmentationStale = true
	m.usedAccelerators += sign * j.Shape.Accelerators()
	p := j.Shape.Part
	for _, id := range j.workers {
		f := &m.free[m.sim.workerIndex[id]]
		f.Cores -= sign * p.Cores
		f.MemoryGB -= sign * p.MemoryGB
		f.Accelerators -= sign * p.Accelerators
	}
}

// recordPreemption counts a preemption that loses the given run time.
func (m *measures) recordPreemption(j *job, run time.Duration) {
	m.preemptions++
	m.lostSum += (run + restoreCost).Seconds() * float64(j.Shape.Accelerators())
}

func (m *measures) recordMigration(j *job) {
	m.migrations++
	m.lostSum += restoreCost.Seconds() * float64(j.Shape.Accelerators())
}

// claims measures the wait of guarantee claims. A claim is a waiting job whose team has an unused slot of a guarantee for its shape. A running job
// counts for the guarantee whose slot the policy gave it, or else for its own shape. Pending claims of a team and shape end in the order of their
// beginning.
type claims struct {
	sim          *sim
	pendingSince map[claimKey][]time.Duration // beginning of each pending claim, oldest first
	waits        []time.Duration              // of the ended claims that were not excused
	excused      int                          // claims that waited longer than ClaimTarget and were infeasible at some time
	missed       int                          // other claims that waited longer than ClaimTarget
	infeasible   map[claimKey]bool            // at some time since claims are pending, the workers for them were down or used by guaranteed jobs
}

// claimKey identifies a guarantee.
type claimKey struct {
	team  string
	shape scheduler.Shape
}

// ClaimTarget is the longest allowed wait of a guarantee claim whose workers are available.
const ClaimTarget = 4500 * time.Millisecond

func newClaims(s *sim) *claims {
	return &claims{sim: s, pendingSince: map[claimKey][]time.Duration{}, infeasible: map[claimKey]bool{}}
}

// updateBeforeCycle records the pending claims before the decision of a cycle is applied. New claims count from cycleDelay ago, the earliest time at
// which they can have begun.
func (c *claims) updateBeforeCycle() { c.update(max(0, c.sim.now-cycleDelay)) }

// updateAfterCycle ends the claims of the jobs that the cycle started.
func (c *claims) updateAfterCycle() { c.update(c.sim.now) }

func (c *claims) update(begin time.Duration) {
	inUse, used, claimable := map[string]int{}, map[claimKey]int{}, map[claimKey]int{}
	for _, j := range c.sim.active {
		inUse[j.Team] += j.Shape.Accelerators()
		used[claimKey{j.Team, c.usedShape(j)}]++
	}
	for _, j := range c.sim.queue {
		if len(c.sim.health.FailedWorkers(j.ID)) == 0 {
			claimable[claimKey{j.Team, j.Shape}]++
		}
	}
	for i := range c.sim.mix.Teams {
		t := &c.sim.mix.Teams[i]
		for _, g := range t.Guarantees {
			key := claimKey{t.ID, g.Shape}
			unused := g.Count - used[key]
			if a := g.Shape.Accelerators(); t.AcceleratorLimit != scheduler.Unlimited && a > 0 {
				unused = min(unused, (t.AcceleratorLimit-inUse[t.ID])/a)
			}
			c.updatePending(key, min(max(0, unused), claimable[key]), begin)
		}
	}
}

// usedShape returns the guaranteed shape whose slot the running job uses, or its own shape if it uses no slot.
func (c *claims) usedShape(j *job) scheduler.Shape {
	if j.slot == scheduler.NoSlot {
		return j.Shape
	}
	n := j.slot
	for _, t := range c.sim.mix.Teams {
		if t.ID != j.Team {
			continue
		}
		for _, g := range t.Guarantees {
			if n < g.Count {
				return g.Shape
			}
			n -= g.Count
		}
	}
	return j.Shape
}

// updatePending adjusts the pending claims of a guarantee to their present number.
func (c *claims) updatePending(key claimKey, pending int, begin time.Duration) {
	starts := c.pendingSince[key]
	for len(starts) < pending {
		starts = append(starts, begin)
	}
	for len(starts) > pending {
		c.endClaim(key, starts[0])
		starts = starts[1:]
	}
	c.pendingSince[key] = starts
	if pending > 0 && !c.feasible(key.shape) {
		c.infeasible[key] = true
	} else if pending == 0 {
		delete(c.infeasible, key)
	}
}

func (c *claims) endClaim(key claimKey, since time.Duration) {
	wait := c.sim.now + stopDelay - since // the gang may have to wait until its victims have stopped
	if wait > ClaimTarget && c.infeasible[key] {
		c.excused++
		return
	}
	c.waits = append(c.waits, wait)
	if wait > ClaimTarget {
		c.missed++
	}
}

// feasible reports whether the shape fits on the usable workers beside the jobs that run in guarantee slots.
func (c *claims) feasible(shape scheduler.Shape) bool {
	free := make([]scheduler.Resources, len(c.sim.workers))
	for i, w := range c.sim.workers {
		if w.Usable {
			free[i] = w.Capacity
		}
	}
	for _, j := range c.sim.active {
		if j.slot == scheduler.NoSlot {
			continue
		}
		for _, id := range j.workers {
			f := &free[c.sim.workerIndex[id]]
			f.Cores -= j.Shape.Part.Cores
			f.MemoryGB -= j.Shape.Part.MemoryGB
			f.Accelerators -= j.Shape.Part.Accelerators
		}
	}
	return fitsAnywhere(free, c.sim.workers, shape)
}

// fitsAnywhere reports whether the shape fits into the free resources.
func fitsAnywhere(free []scheduler.Resources, workers []scheduler.Worker, shape scheduler.Shape) bool {
	partsInRack, partsInDomain := map[string]int{}, 0
	for i, w := range workers {
		n := fitCount(free[i], shape.Part)
		partsInRack[w.Rack] += n
		partsInDomain += n
		if n >= shape.Parts || shape.Adjacency == sameRack && partsInRack[w.Rack] >= shape.Parts {
			return true
		}
	}
	return shape.Adjacency == sameDomain && partsInDomain >= shape.Parts
}

// quantile returns the q quantile of the durations in seconds, 0 if there are none.
func quantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	d = slices.Clone(d)
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)].Seconds()
}

func mean(d []time.Duration) float64 {
	sum := 0.0
	for _, x := range d {
		sum += x.Seconds()
	}
	return sum / max(1, float64(len(d)))
}
