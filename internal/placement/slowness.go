package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// slownessStep is the ratio of slowness within which workers count as equally fast, so that best fit decides between them.
	slownessStep = 1.25
	// tightMargin is how many times as slow as the slow workers a request has to tolerate to be placed on slow workers first. It covers the errors of
	// estimated run times.
	tightMargin = 1.25
	// slowQuantile is the quantile of the slowness of the workers that counts as that of the slow ones. Workers beyond it, such as those that are slowed down
	// for some seconds, are judged one by one.
	slowQuantile = 0.8
)

// slowness is the factor by which run times on the worker differ from those on the mean worker.
func (w *Worker) slowness() float64 {
	if w.Slowness <= 0 {
		return 1
	}
	return w.Slowness
}

func (w *Worker) likelySlowness() float64 { return max(w.slowness(), w.LikelySlowness) }

// slownessClass is the number of slowness steps that the worker is above or below the mean worker. The upper end of the estimate counts, so that work with a
// tight objective goes to workers that are known to be fast, and patient work to the others, which shows how fast these are.
func (w *Worker) slownessClass() int {
	return int(math.Round(math.Log(w.likelySlowness()) / math.Log(slownessStep)))
}

// indexSlowness classifies the workers by their slowness.
func (p *planner) indexSlowness() {
	p.slownessClass = make([]int, len(p.workers))
	var usable []float64
	for i := range p.workers {
		p.slownessClass[i] = p.workers[i].slownessClass()
		if p.workers[i].Usable {
			usable = append(usable, p.workers[i].likelySlowness())
		}
	}
	if len(usable) == 0 {
		return
	}
	slices.Sort(usable)
	p.slow = usable[int(math.Ceil(slowQuantile*float64(len(usable)-1)))]
	p.uneven = usable[len(usable)-1] > usable[0]*slownessStep
}

// speedPreference is which workers a request gets first.
type speedPreference int8

const (
	anySpeed     speedPreference = 0
	fastestFirst speedPreference = 1
	slowestFirst speedPreference = -1
)

// speedPreference returns slowestFirst for a request that meets its objective on the slow workers, so that fast workers stay free for requests that need
// them, and fastestFirst for one that doesn't.
func (p *planner) speedPreference(r *Request) speedPreference {
	switch {
	case !p.uneven || r.SlownessLimit <= 0:
		return anySpeed
	case r.SlownessLimit < p.slow*tightMargin:
		return fastestFirst
	}
	return slowestFirst
}

// compareSpeed orders workers by the preference of a request. Workers on which it misses its objective come last.
func (p *planner) compareSpeed(r *Request, preference speedPreference, a, b int) int {
	if preference == slowestFirst {
		if c := compareBool(p.workers[a].slowness() > r.SlownessLimit, p.workers[b].slowness() > r.SlownessLimit); c != 0 {
			return c
		}
	}
	return int(preference) * cmp.Compare(p.slownessClass[a], p.slownessClass[b])
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// slowestNeeded returns the slowness class of the slowest worker that count tasks of the request get on a rack that has sufficient capacity, if the fastest
// workers are used.
func (p *planner) slowestNeeded(r *Request, rack []int, count int, kind capacityKind) int {
	order := slices.Clone(rack)
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(p.slownessClass[a], p.slownessClass[b]) })
	for _, w := range order {
		if count -= p.fitCount(r, w, count, kind); count <= 0 {
			return p.slownessClass[w]
		}
	}
	return math.MaxInt32
}

// limitedToFastWorkers reports whether the request is tried first on those workers only on which it meets its objective. Single tasks of a larger request
// don't need that, since each is placed by itself.
func (p *planner) limitedToFastWorkers(r *Request) bool {
	return r.AwaitsFastWorker && (r.Gang || r.Count == 1) && p.speedPreference(r) == fastestFirst
}

// takeSpeedProbe reports whether a patient task should run on the worker so that its speed becomes known.
func (p *planner) takeSpeedProbe(w int) bool {
	if p.speedProbes <= 0 || !p.workers[w].SpeedUnknown {
		return false
	}
	p.speedProbes--
	p.workers[w].SpeedUnknown = false
	return true
}

// tooSlow reports whether a request should rather wait than run on the workers.
func (p *planner) tooSlow(r *Request, workers []int) bool {
	return p.limitedToFastWorkers(r) &&
		slices.ContainsFunc(workers, func(w int) bool { return p.workers[w].slowness() > r.SlownessLimit })
}

// placeOnFastWorkers places a request on workers that meet its slowness limit: on free capacity, on capacity that is about to become free, or by
// preempting runs within its budget. It returns false and changes nothing if that isn't possible.
func (p *planner) placeOnFastWorkers(i int) bool {
	r := &p.requests[i]
	r.fastOnly = true
	defer func() { r.fastOnly = false }()
	if placed := p.fit(r, r.Count, freeCapacity); len(placed) == r.Count {
		p.place(i, placed)
		return true
	}
	if claimed := p.fit(r, r.Count, futureFreeCapacity); len(claimed) == r.Count {
		p.allocate(r, claimed)
		return true
	}
	workers, victims, cost := p.selectVictims(r, r.Count)
	if len(workers) < r.Count || cost > r.PreemptionBudget {
		return false
	}
	for _, v := range victims {
		p.preempt(v, i)
	}
	p.allocate(r, workers)
	return true
}
