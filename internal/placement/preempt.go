package placement

import (
	"cmp"
	"math"
	"slices"

	"samphirewell/internal/batch"
)

// makeRoom returns workers for count tasks, the runs to stop for them and the work that this throws away; for a gang that can't be served, nothing.
func (p *planner) makeRoom(r *Request, count int) (workers, victims []int, lost float64) {
	p.indexRuns()
	bestCost := math.Inf(1)
	for _, group := range p.groups(r) {
		t := newTrial(p, r)
		got := t.fill(group, count)
		if len(got) < count && (r.Gang || len(got) <= len(workers)) {
			continue
		}
		if cost := t.cost + missingCost*float64(count-len(got)); cost < bestCost {
			workers, victims, bestCost, lost = got, t.victims, cost, t.cost
		}
	}
	return workers, victims, lost
}

// missingCost is the cost of a task that stays without a worker, in core-seconds; it exceeds that of any victim.
const missingCost = 1e9

// groups returns the sets of workers in which the request may be placed together.
func (p *planner) groups(r *Request) [][]int {
	if p.waitsForData(r) {
		return [][]int{p.racks[r.Step.DataRack]}
	}
	if !r.Step.SameRack {
		return [][]int{p.all}
	}
	var out [][]int
	for _, name := range p.rackNames {
		out = append(out, p.racks[name])
	}
	if r.MaySpanRacks || !p.fitsSomeRack(r) {
		out = append(out, p.all)
	}
	return out
}

// indexRuns lists the runs of each worker, cheapest first.
func (p *planner) indexRuns() {
	if p.byWorker != nil {
		return
	}
	p.byWorker = make([][]int, len(p.workers))
	for i, run := range p.runs {
		for _, part := range run.Parts {
			if on := p.byWorker[part.Worker]; len(on) == 0 || on[len(on)-1] != i {
				p.byWorker[part.Worker] = append(on, i)
			}
		}
	}
	for _, on := range p.byWorker {
		slices.SortFunc(on, func(a, b int) int {
			return cmp.Or(cmp.Compare(p.runs[a].cost(), p.runs[b].cost()), cmp.Compare(a, b))
		})
	}
}

// cost is what stopping the run costs, in core-seconds. Work of a more urgent class counts more.
func (r *Run) cost() float64 {
	weight := 1.0
	if r.Priority < len(lossWeights) {
		weight = lossWeights[r.Priority]
	}
	return weight*r.LostWork + victimCost
}

// mayStop reports whether the request may take the room of the run.
func mayStop(r *Request, run *Run) bool {
	if run.NonPreemptible {
		return false
	}
	if run.Priority > r.Priority {
		return true
	}
	return r.WithinGuarantee && run.Priority == r.Priority && !run.Protected && run.Team != r.Team
}

// trial is an attempt to make room, without effect on the planner.
type trial struct {
	p       *planner
	r       *Request
	room    map[int]batch.Resources
	used    map[int]int
	chosen  map[int]bool
	victims []int
	cost    float64
}

func newTrial(p *planner, r *Request) *trial {
	return &trial{p: p, r: r, room: map[int]batch.Resources{}, used: map[int]int{}, chosen: map[int]bool{}}
}

// fill takes the cheapest place for one task after the other.
func (t *trial) fill(group []int, count int) []int {
	var out []int
	for len(out) < count {
		worker, victims, ok := t.cheapest(group)
		if !ok {
			return out
		}
		for _, v := range victims {
			t.choose(v)
		}
		t.room[worker] = t.roomOn(worker).Minus(t.r.Step.Need)
		t.used[worker]++
		out = append(out, worker)
	}
	return out
}

func (t *trial) roomOn(w int) batch.Resources {
	if room, ok := t.room[w]; ok {
		return room
	}
	return t.p.workers[w].FutureFree
}

func (t *trial) choose(run int) {
	t.chosen[run] = true
	t.victims = append(t.victims, run)
	t.cost += t.p.runs[run].cost()
	for _, part := range t.p.runs[run].Parts {
		t.room[part.Worker] = t.roomOn(part.Worker).Plus(part.Need)
	}
}

// cheapest returns the worker on which one more task costs least.
func (t *trial) cheapest(group []int) (worker int, victims []int, ok bool) {
	bestCost := math.Inf(1)
	for _, w := range group {
		if !t.allowed(w) {
			continue
		}
		v, cost, fits := t.victimsOn(w)
		cost += t.p.workers[w].HealthPenalty
		if fits && cost < bestCost {
			worker, victims, bestCost, ok = w, v, cost, true
		}
		if ok && bestCost == 0 {
			return worker, victims, ok
		}
	}
	return worker, victims, ok
}

func (t *trial) allowed(w int) bool {
	whole := func(worker *Worker) batch.Resources { return worker.Capacity }
	if t.p.times(t.r, w, 1, whole) == 0 {
		return false
	}
	limit := t.r.Step.MaxPerWorker
	return limit == 0 || t.r.TasksPerWorker[w]+t.used[w] < limit
}

// victimsOn returns the runs to stop on a worker so that one more task fits, and their cost.
func (t *trial) victimsOn(w int) (victims []int, cost float64, ok bool) {
	room, need := t.roomOn(w), t.r.Step.Need
	for _, i := range t.p.byWorker[w] {
		if room.Covers(need) {
			break
		}
		run := &t.p.runs[i]
		if t.chosen[i] || t.p.stopped[i] || !mayStop(t.r, run) {
			continue
		}
		for _, part := range run.Parts {
			if part.Worker == w {
				room = room.Plus(part.Need)
			}
		}
		victims = append(victims, i)
		cost += run.cost()
	}
	return victims, cost, room.Covers(need)
}
