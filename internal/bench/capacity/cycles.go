package capacity

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"samphirewell/internal/scheduler"
)

const (
	workersPerRack        = 8
	workersPerAccelerated = 4.4 // one worker in 4.4 has accelerators: 200 of 880
	waitingJobs           = 60  // jobs in the queue of a snapshot
)

// gangSizes are the numbers of parts of the gangs of a snapshot, used cyclically. Their mean is near 24.
var gangSizes = []int{32, 16, 64, 8, 32, 1, 32, 16, 24}

// measureCycles measures scheduling cycles in the steady state: the jobs of the queue don't fit and footprints are held for the guarantees.
func measureCycles(ctx context.Context, o Options, r *Report) error {
	for _, c := range o.Cycles {
		r.measureCycleSize(ctx, o, groupCycle, "workers, 24 tasks each, all domains in one snapshot", float64(c.Workers), c)
	}
	for _, c := range o.CyclesOne {
		r.measureCycleSize(ctx, o, groupDomainCycle, "tasks on 126 workers", float64(c.Tasks), c)
	}
	return nil
}

func (r *Report) measureCycleSize(ctx context.Context, o Options, group, size string, x float64, c cycleSize) {
	snap := snapshot(c)
	for range 2 { // the first cycle chooses the footprints for the guarantees, later cycles keep them
		d := scheduler.Plan(snap)
		snap.Footprints, snap.Reservation = d.Footprints, d.Reservation
	}
	for range o.Repeats {
		if ctx.Err() != nil {
			return
		}
		var before, after runtime.MemStats
		wallTimes := make([]float64, 0, o.CycleRuns)
		runtime.GC()
		runtime.ReadMemStats(&before)
		processor := processorTime()
		for range o.CycleRuns {
			began := time.Now()
			scheduler.Plan(snap)
			wallTimes = append(wallTimes, time.Since(began).Seconds()*1000)
		}
		used := (processorTime() - processor).Seconds() * 1000
		runtime.ReadMemStats(&after)
		slices.Sort(wallTimes)
		runs := float64(o.CycleRuns)
		r.series(group, "cycle, median", "ms", size).add(x, wallTimes[len(wallTimes)/2])
		r.series(group, "cycle, longest", "ms", size).add(x, wallTimes[len(wallTimes)-1])
		r.series(group, "cycle, processor time", "ms", size).add(x, used/runs)
		r.series(group, "allocations", "1 per cycle", size).add(x, float64(after.Mallocs-before.Mallocs)/runs)
		r.series(group, "allocated", "B per cycle", size).add(x, float64(after.TotalAlloc-before.TotalAlloc)/runs)
	}
}

// snapshot returns a snapshot with workers that run the tasks, and with a queue.
func snapshot(c cycleSize) scheduler.Snapshot {
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	s := scheduler.Snapshot{Domain: domainName(0), Now: now, Weights: scheduler.Weights{Completion: 1, Fragmentation: 1}}
	for i := range c.Workers {
		w := scheduler.Worker{
			ID: fmt.Sprintf("worker-%04d", i), Rack: fmt.Sprintf("rack-%03d", i/workersPerRack), Usable: true,
			Capacity: scheduler.Resources{Cores: 64, MemoryGB: 256},
		}
		if float64(i) < float64(c.Workers)/workersPerAccelerated {
			w.Capacity = scheduler.Resources{Cores: 130, MemoryGB: 500, Accelerators: 8}
		}
		s.Workers = append(s.Workers, w)
	}
	s.Teams = snapshotTeams()
	s.Running = runningGangs(c, now)
	for i := range waitingJobs {
		parts := gangSizes[i%len(gangSizes)]
		s.Waiting = append(s.Waiting, scheduler.Waiting{Job: newJob(fmt.Sprintf("waiting-%04d", i), i, parts, now)})
	}
	return s
}

// snapshotTeams returns the teams of the target; every second one has a guarantee.
func snapshotTeams() []scheduler.Team {
	var out []scheduler.Team
	for i := range targetTeams {
		t := scheduler.Team{ID: teamName(i), Weight: float64(1 + i%3)}
		if i%2 == 0 {
			t.Guarantees = []scheduler.Guarantee{{Count: 1, Shape: scheduler.Shape{
				Parts: 1 + i%2, Part: scheduler.Resources{Cores: 4, MemoryGB: 8}, Adjacency: scheduler.SameDomain,
			}}}
		}
		out = append(out, t)
	}
	return out
}

func newJob(id string, i, parts int, now time.Time) scheduler.Job {
	return scheduler.Job{
		ID: id, Team: teamName(i % targetTeams), Kind: "tasks", Class: scheduler.Class(i % 3), Submitted: now.Add(-time.Hour), DeclaredRun: 8 * time.Hour,
		Shape: scheduler.Shape{Parts: parts, Part: scheduler.Resources{Cores: 2, MemoryGB: 6}, Adjacency: scheduler.SameDomain},
	}
}

// runningGangs returns gangs with c.Tasks parts in all, which are assigned to the workers round-robin.
func runningGangs(c cycleSize, now time.Time) []scheduler.Running {
	var out []scheduler.Running
	for tasks := 0; tasks < c.Tasks; {
		i := len(out)
		parts := min(gangSizes[i%len(gangSizes)], c.Tasks-tasks)
		run := scheduler.Running{Job: newJob(fmt.Sprintf("running-%05d", i), i, parts, now), Slot: scheduler.NoSlot, Started: now.Add(-time.Hour)}
		run.CheckpointAge = time.Duration(i%20) * time.Minute
		for range parts {
			run.Workers = append(run.Workers, fmt.Sprintf("worker-%04d", tasks%c.Workers))
			tasks++
		}
		out = append(out, run)
	}
	return out
}
