package scheduler

import "math"

func (r Resources) plus(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.MemoryGB + o.MemoryGB, r.Accelerators + o.Accelerators}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.MemoryGB - o.MemoryGB, r.Accelerators - o.Accelerators}
}

func (r Resources) times(n int) Resources {
	return Resources{r.Cores * n, r.MemoryGB * n, r.Accelerators * n}
}

// componentMin returns the smaller amount in each dimension.
func (r Resources) componentMin(o Resources) Resources {
	return Resources{min(r.Cores, o.Cores), min(r.MemoryGB, o.MemoryGB), min(r.Accelerators, o.Accelerators)}
}

// contains reports whether o fits into r.
func (r Resources) contains(o Resources) bool {
	return o.Cores <= r.Cores && o.MemoryGB <= r.MemoryGB && o.Accelerators <= r.Accelerators
}

// count returns the number of parts that fit into r, or 0 if r is negative in a dimension that the part uses.
func (r Resources) count(part Resources) int {
	n := math.MaxInt32
	if part.Cores > 0 {
		n = min(n, r.Cores/part.Cores)
	}
	if part.MemoryGB > 0 {
		n = min(n, r.MemoryGB/part.MemoryGB)
	}
	if part.Accelerators > 0 {
		n = min(n, r.Accelerators/part.Accelerators)
	}
	return max(n, 0)
}

// valid reports whether the fields of the shape are in range.
func (s Shape) valid() bool {
	p := s.Part
	return s.Parts >= 1 && s.Parts <= MaxParts && s.Adjacency >= SameWorker && s.Adjacency <= SameDomain &&
		p.Cores >= 0 && p.MemoryGB >= 0 && p.Accelerators >= 0 && p != Resources{}
}
