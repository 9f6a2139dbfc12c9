package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// loadedSnapshot returns a domain without free capacity: about 24 running tasks and 3 waiting jobs per worker, accelerators on a quarter of the
// workers, and 37 teams.
func loadedSnapshot(workers int) Snapshot {
	rnd := rand.New(rand.NewPCG(uint64(workers), 3))
	snap := Snapshot{Now: testStart, Weights: Weights{1, 1}, Estimates: NewEstimator()}
	for i := range workers {
		w := Worker{ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/8), Usable: true, Capacity: Resources{Cores: 64, MemoryGB: 256}}
		if i%32 < 8 {
			w.Capacity = Resources{Cores: 130, MemoryGB: 500, Accelerators: 8}
		}
		snap.Workers = append(snap.Workers, w)
	}
	for i := range 37 {
		snap.Teams = append(snap.Teams, Team{ID: fmt.Sprintf("t%02d", i), Weight: float64(1 + i%4), AcceleratorLimit: Unlimited, Guarantees: []Guarantee{
			{Shape{Parts: 1, Part: Resources{Cores: 16, MemoryGB: 32, Accelerators: 2}, Adjacency: SameWorker}, max(1, workers/440)},
		}})
	}
	shapes := []Shape{
		{Parts: 32, Part: Resources{Cores: 2, MemoryGB: 8}, Adjacency: SameDomain},
		{Parts: 8, Part: Resources{Cores: 3, MemoryGB: 12}, Adjacency: SameRack},
		{Parts: 2, Part: Resources{Cores: 60, MemoryGB: 200, Accelerators: 8}, Adjacency: SameRack},
		{Parts: 1, Part: Resources{Cores: 16, MemoryGB: 32, Accelerators: 2}, Adjacency: SameWorker},
	}
	for i := range 3 * workers {
		snap.Waiting = append(snap.Waiting, Waiting{Job: Job{
			ID: fmt.Sprintf("j%05d", i), Team: snap.Teams[rnd.IntN(37)].ID, Kind: fmt.Sprint(i % 4), Class: Class(rnd.IntN(3)),
			Shape: shapes[rnd.IntN(len(shapes))], Submitted: testStart.Add(-time.Duration(rnd.IntN(86400)) * time.Second), DeclaredRun: time.Hour,
		}})
	}
	return fillWorkers(snap, rnd)
}

// fillWorkers starts the jobs that Plan places and keeps a waiting copy of every job under another id.
func fillWorkers(snap Snapshot, rnd *rand.Rand) Snapshot {
	d := Plan(snap)
	jobs := map[string]Job{}
	for _, w := range snap.Waiting {
		jobs[w.ID] = w.Job
	}
	snap.Waiting = append([]Waiting(nil), snap.Waiting...)
	for i := range snap.Waiting {
		snap.Waiting[i].ID += "b"
	}
	for _, a := range d.Actions {
		if a.Kind == Place {
			snap.Running = append(snap.Running, Running{Job: jobs[a.JobID], Workers: a.Workers, Slot: a.Slot,
				Started: snap.Now.Add(-time.Duration(rnd.IntN(3600)) * time.Second), CheckpointAge: time.Duration(rnd.IntN(1200)) * time.Second})
		}
	}
	snap.Footprints, snap.Reservation = d.Footprints, d.Reservation
	return snap
}

func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{50, 110, 220, 440, 880} {
		snap := loadedSnapshot(workers)
		tasks := 0
		for _, r := range snap.Running {
			tasks += len(r.Workers)
		}
		b.Run(fmt.Sprintf("workers=%d/tasks=%d/waiting=%d", workers, tasks, len(snap.Waiting)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(snap)
			}
		})
	}
}
