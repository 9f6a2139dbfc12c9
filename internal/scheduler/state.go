package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// worker is the working copy of a Worker. Invariants: used+borrowed <= total, and committed <= total.
type worker struct {
	id              string
	rack            int32
	usable          bool
	total           Resources
	used            Resources // resources in use by guaranteed gangs, which cannot be preempted
	borrowed        Resources // resources in use by borrowing gangs
	committed       Resources // resources of the footprints of all guaranteed slots, used or not
	reserved        Resources // resources kept for the reservation
	borrowingGangs  []int32   // borrowing gangs with parts on this worker, one entry per part
	guaranteedGangs []int32   // guaranteed gangs with parts on this worker, one entry per part
}

// free returns the resources that are not in use.
func (w *worker) free() Resources {
	return w.total.minus(w.used).minus(w.borrowed)
}

// uncommitted returns the resources that belong to no footprint. Borrowing gangs may use them, and footprints may be moved to them.
func (w *worker) uncommitted() Resources {
	return w.total.minus(w.committed)
}

// rack holds the usable workers of one rack, as indices in id order.
type rack struct {
	id               string
	workers          []int32
	freeAccelerators int // accelerators that are not in use
}

// gang is the working copy of a Running gang.
type gang struct {
	*Running
	team       int32
	workers    []int32 // worker of each part; -1 for workers that are not in the snapshot
	borrows    bool
	slot       int32   // index of the slot that a guaranteed gang uses
	removed    bool    // preempted or migrated earlier in this plan
	visited    bool    // set temporarily by borrowersOn to skip duplicates
	victimRank int32   // position in the order of preemption, lowest first
	lostWork   float64 // work that a preemption loses, in accelerator seconds
}

// team is the working copy of a Team.
type team struct {
	*Team
	slots             []slot
	acceleratorsInUse int
	borrowed          Resources
}

// state is the working copy of a Snapshot and the decision made so far.
type state struct {
	snap           *Snapshot
	workers        []worker
	racks          []rack
	usableWorkers  []int32 // indices of the usable workers of all racks
	teams          []team
	gangs          []gang
	victims        []int32 // borrowing gangs in the order of preemption
	totalCapacity  Resources
	teamIndex      map[string]int32
	workerIndex    map[string]int32
	decision       Decision
	buf            buffers
	partCapacities map[Shape]partCapacity // by a Shape of which only Part is set

	largestRack Resources // most cores and most accelerators of any rack, computed on first use

	noFitUnreserved  map[Shape]bool // shapes that do not fit into unreserved resources, which only shrink while borrowing jobs are placed
	noFitFree        map[Shape]bool // shapes that do not fit into free resources, reserved ones included
	noFitByYielding  map[Shape]bool // shapes for which no running gangs can yield; see fitByYielding
	yieldSearches    int            // searches for yielding gangs in this cycle
	reservationStart time.Time      // time until which backfilled jobs may use the reserved resources; zero without a reservation

	trialFreed []Resources // resources released tentatively, by worker; see trial
	trialParts []int       // 1 + number of parts that fit after the tentative releases, by worker; 0 for workers that are not in the trial
}

// newState copies the snapshot into slices, workers ordered by rack and id, teams and gangs by id. It costs O(W log W + parts of running gangs)
// for W workers.
func newState(snap *Snapshot) *state {
	s := &state{snap: snap}
	s.addWorkers()
	s.addTeams()
	s.addGangs()
	return s
}

func (s *state) addWorkers() {
	s.workers = make([]worker, len(s.snap.Workers))
	order := sortedIndex(len(s.snap.Workers), func(a, b int) int {
		x, y := &s.snap.Workers[a], &s.snap.Workers[b]
		return cmp.Or(cmp.Compare(x.Rack, y.Rack), cmp.Compare(x.ID, y.ID))
	})
	s.workerIndex = make(map[string]int32, len(order))
	for i, from := range order {
		in := &s.snap.Workers[from]
		if len(s.racks) == 0 || s.racks[len(s.racks)-1].id != in.Rack {
			s.racks = append(s.racks, rack{id: in.Rack})
		}
		r := int32(len(s.racks) - 1)
		s.workers[i] = worker{id: in.ID, rack: r, usable: in.Usable, total: in.Capacity}
		s.workerIndex[in.ID] = int32(i)
		if in.Usable {
			s.racks[r].workers = append(s.racks[r].workers, int32(i))
			s.racks[r].freeAccelerators += in.Capacity.Accelerators
			s.usableWorkers = append(s.usableWorkers, int32(i))
			s.totalCapacity = s.totalCapacity.plus(in.Capacity)
		}
	}
}

func (s *state) addTeams() {
	s.teams = make([]team, len(s.snap.Teams))
	order := sortedIndex(len(s.snap.Teams), func(a, b int) int {
		return cmp.Compare(s.snap.Teams[a].ID, s.snap.Teams[b].ID)
	})
	s.teamIndex = make(map[string]int32, len(order))
	for i, from := range order {
		t := &s.snap.Teams[from]
		s.teams[i] = team{Team: t, slots: newSlots(t)}
		s.teamIndex[t.ID] = int32(i)
	}
}

func (s *state) addGangs() {
	s.gangs = make([]gang, len(s.snap.Running))
	order := sortedIndex(len(s.snap.Running), func(a, b int) int {
		return cmp.Compare(s.snap.Running[a].ID, s.snap.Running[b].ID)
	})
	parts := 0
	for i := range s.snap.Running {
		parts += len(s.snap.Running[i].Workers)
	}
	buf := make([]int32, 0, parts)
	for i, from := range order {
		run := &s.snap.Running[from]
		g := &s.gangs[i]
		*g = gang{Running: run, team: -1}
		if t, ok := s.teamIndex[run.Team]; ok {
			g.team = t
		}
		begin := len(buf)
		for _, id := range run.Workers {
			w, ok := s.workerIndex[id]
			if !ok {
				w = -1
			}
			buf = append(buf, w)
		}
		g.workers = buf[begin:len(buf):len(buf)]
		g.borrows = !s.assignSlot(g)
		g.lostWork = run.CheckpointAge.Seconds() * float64(workUnits(run.Shape))
		s.addUsage(int32(i), 1)
	}
	s.sortVictims()
}

// assignSlot assigns a guaranteed gang to its slot and reports whether it has one. If its slot no longer exists or no longer covers it, the gang
// gets another slot that covers it; if there is none, the gang is treated as borrowing.
func (s *state) assignSlot(g *gang) bool {
	if g.Slot < 0 || g.team < 0 {
		return false
	}
	slots := s.teams[g.team].slots
	i := g.Slot
	if i >= len(slots) || !slots[i].covers(g.Shape) {
		if i = s.teams[g.team].findSlot(g.Shape); i < 0 {
			return false
		}
	}
	g.slot = int32(i)
	slots[i].addUsedParts(g.workers, g.Shape.Part)
	return true
}

// addUsage adds (sign 1) or subtracts (sign -1) the resources of gang i on its workers and in the totals of its team. With sign 1 it also adds the
// gang to the lists of its workers; with sign -1 it leaves these lists unchanged.
func (s *state) addUsage(i int32, sign int) {
	g := &s.gangs[i]
	amount := g.Shape.Part.times(sign)
	for _, w := range g.workers {
		if w < 0 {
			continue
		}
		wk := &s.workers[w]
		if wk.usable {
			s.racks[wk.rack].freeAccelerators -= amount.Accelerators
		}
		if g.borrows {
			wk.borrowed = wk.borrowed.plus(amount)
			if sign > 0 {
				wk.borrowingGangs = append(wk.borrowingGangs, i)
			}
		} else {
			wk.used = wk.used.plus(amount)
			if sign > 0 {
				wk.guaranteedGangs = append(wk.guaranteedGangs, i)
			}
		}
	}
	if g.team >= 0 {
		t := &s.teams[g.team]
		t.acceleratorsInUse += sign * g.Shape.Accelerators()
		if g.borrows {
			t.borrowed = t.borrowed.plus(g.Shape.Part.times(sign * g.Shape.Parts))
		}
	}
}

// sortVictims sets the order in which borrowing gangs are preempted: those preempted fewer than MaxPreemptions times first, then by the work lost.
func (s *state) sortVictims() {
	for i := range s.gangs {
		if s.gangs[i].borrows {
			s.victims = append(s.victims, int32(i))
		}
	}
	slices.SortFunc(s.victims, func(a, b int32) int {
		x, y := &s.gangs[a], &s.gangs[b]
		return cmp.Or(cmp.Compare(x.lastResort(), y.lastResort()), cmp.Compare(x.lostWork, y.lostWork), cmp.Compare(a, b))
	})
	for i, g := range s.victims {
		s.gangs[g].victimRank = int32(i)
	}
}

// lastResort returns 1 for gangs that are preempted only if no other victims suffice, else 0.
func (g *gang) lastResort() int {
	if g.Preemptions >= MaxPreemptions {
		return 1
	}
	return 0
}

// workUnits returns the size of a gang by which run times are weighted: its accelerators or, if it uses none, 1/100 of its cores (at least 1).
func workUnits(s Shape) int {
	if a := s.Accelerators(); a > 0 {
		return a
	}
	return max(1, s.Parts*s.Part.Cores/100)
}

func sortedIndex(n int, compare func(a, b int) int) []int {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, compare)
	return order
}
