package scheduler

// neverRuns reports whether the job can never run, and why. Unusable workers count as capacity, because they may become usable again.
func (s *state) neverRuns(w *Waiting) (Reason, bool) {
	shape := w.Shape
	if !shape.valid() {
		return Reason{Code: BadShape, Need: shape.Parts, Have: MaxParts}, true
	}
	t, ok := s.teamIndex[w.Team]
	if !ok {
		return Reason{Code: UnknownTeam}, true
	}
	if n := len(w.FailedWorkers); n >= MaxFailedWorkers {
		return Reason{Code: FailedOnWorkers, Need: n}, true
	}
	if limit := s.teams[t].AcceleratorLimit; limit != Unlimited && shape.Accelerators() > limit {
		return Reason{Code: LargerThanPlan, Need: shape.Accelerators(), Have: limit}, true
	}
	return s.partCapacityOf(shape).tooSmall(shape)
}

// partCapacity is how many parts of a shape fit on empty workers, at most.
type partCapacity struct {
	memoryGB  int // memory of the worker with the most memory, in GB
	perWorker int // parts on one worker
	perRack   int // parts in one rack
	perDomain int // parts in the domain
}

func (s *state) partCapacityOf(shape Shape) partCapacity {
	key := Shape{Part: shape.Part}
	if c, ok := s.partCapacities[key]; ok {
		return c
	}
	var c partCapacity
	inRack := make([]int, len(s.racks))
	for i := range s.workers {
		w := &s.workers[i]
		n := w.total.count(shape.Part)
		c.memoryGB = max(c.memoryGB, w.total.MemoryGB)
		c.perWorker = max(c.perWorker, n)
		c.perDomain += n
		inRack[w.rack] += n
		c.perRack = max(c.perRack, inRack[w.rack])
	}
	if s.partCapacities == nil {
		s.partCapacities = map[Shape]partCapacity{}
	}
	s.partCapacities[key] = c
	return c
}

func (c partCapacity) tooSmall(shape Shape) (Reason, bool) {
	switch {
	case shape.Part.MemoryGB > c.memoryGB:
		return Reason{Code: MemoryTooLarge, Need: shape.Part.MemoryGB, Have: c.memoryGB}, true
	case c.perWorker == 0, shape.Adjacency == SameWorker && c.perWorker < shape.Parts:
		return Reason{Code: LargerThanWorker, Need: shape.Parts, Have: c.perWorker}, true
	case shape.Adjacency == SameRack && c.perRack < shape.Parts:
		return Reason{Code: LargerThanRack, Need: shape.Parts, Have: c.perRack}, true
	case c.perDomain < shape.Parts:
		return Reason{Code: LargerThanDomain, Need: shape.Parts, Have: c.perDomain}, true
	}
	return Reason{}, false
}
