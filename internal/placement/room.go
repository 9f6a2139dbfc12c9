package placement

import "samphirewell/internal/batch"

// Room is the number of tasks of a request that fit on free capacity, at most as many as the request has.
type Room struct {
	Fleet int // on all workers together
	Rack  int // on the rack of the data, or else on the rack with the most room
}

// RoomFor returns how many tasks of a request fit on the free capacity of the workers.
func RoomFor(r *Request, workers []Worker) Room {
	shape := shapeOf(r.Step)
	fleet, racks := 0, map[string]int{}
	for w := range workers {
		n := r.limitFit(w, min(r.Count, shape.fitCount(&workers[w], freeCapacity)))
		fleet += n
		racks[workers[w].Rack] += n
	}
	rack := racks[r.Step.DataRack]
	if r.Step.DataRack == "" {
		for _, n := range racks {
			rack = max(rack, n)
		}
	}
	return Room{Fleet: min(fleet, r.Count), Rack: min(rack, r.Count)}
}

// FreeShare returns the free share of the scarcest resource of the usable and the suspected workers.
func FreeShare(workers []Worker) float64 { return freeShare(capacityOf(workers)) }

// HasAmpleCapacity reports whether so much of each resource of the workers is free that waiting requests may use it in a wasteful way.
func HasAmpleCapacity(workers []Worker) bool { return FreeShare(workers) >= ampleFreeShare }

// capacityOf returns the free and the whole capacity of the usable and the suspected workers.
func capacityOf(workers []Worker) (free, total batch.Resources) {
	for _, w := range workers {
		if w.Usable || w.Suspected {
			free, total = free.Plus(w.Free), total.Plus(w.Capacity)
		}
	}
	return free, total
}

func freeShare(free, total batch.Resources) float64 {
	share := 1.0
	for _, r := range [][2]int{{free.MilliCores, total.MilliCores}, {free.MemoryMB, total.MemoryMB}, {free.Accelerators, total.Accelerators}} {
		if r[1] > 0 {
			share = min(share, float64(r[0])/float64(r[1]))
		}
	}
	return share
}
