package capacity

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
)

const (
	// jobRunMS is the run time of the jobs of measureJobs.
	jobRunMS = 500
)

// measureFleet measures the applier of a preferred host at each size of the fleet: workers without gangs first, then running gangs.
func measureFleet(ctx context.Context, o Options, r *Report) error {
	if len(o.Fleet) == 0 {
		return nil
	}
	last := o.Fleet[len(o.Fleet)-1]
	f, err := newFleet(ctx, o, last.Workers)
	if err != nil {
		return err
	}
	defer f.close()
	f.startController()
	for _, p := range o.Fleet {
		f.listed.Store(int64(p.Workers))
		if err := f.growGangs(ctx, p.Gangs); err != nil {
			return err
		}
		if err := f.measureSize(ctx, o.Repeats, p, p.Workers == last.Workers, r); err != nil {
			return err
		}
	}
	f.client.direct.Store(true)
	pause(ctx, f.windowLength)
	for range o.Repeats {
		w := f.measureWindow(ctx)
		r.series(groupGangs, "processor, commands without connections", "% of a core", "gangs of 24 parts, all workers").add(float64(last.Gangs), w.processor)
	}
	f.client.direct.Store(false)
	return f.measureUrgentGangs(ctx, o.Repeats, r)
}

// measureUrgentGangs measures the start of urgent gangs while all other gangs run.
func (f *fleet) measureUrgentGangs(ctx context.Context, repeats int, r *Report) error {
	for _, parts := range []int{1, 64} {
		for range repeats {
			if parts > len(f.workers) {
				continue
			}
			took, err := f.runUrgentGang(ctx, parts)
			if err != nil {
				return err
			}
			r.series(groupGangs, "urgent gang started", "s", "parts of the gang").add(float64(parts), took.Seconds())
		}
	}
	return nil
}

// fleetUsage is the use of the applier per second; processor is in % of a core.
type fleetUsage struct{ commands, sent, received, tableSent, tableReceived, reads, writes, processor float64 }

func (f *fleet) measureWindow(ctx context.Context) fleetUsage {
	counters := func() []float64 {
		s := f.platform.Stats()
		return []float64{
			float64(f.client.commands.Load()), float64(f.meters.others.sent.Load()), float64(f.meters.others.received.Load()),
			float64(f.meters.platform.sent.Load()), float64(f.meters.platform.received.Load()), float64(s.Reads), float64(s.Writes),
		}
	}
	before, began, processor := counters(), time.Now(), processorTime()
	pause(ctx, f.windowLength)
	if len(f.gangs) > 0 { // on a slow machine one round of renewals may take longer than the window
		round := int64(before[0]) + f.listed.Load()
		await(ctx, startTimeout, func() bool { return f.client.commands.Load() >= round })
	}
	seconds := time.Since(began).Seconds()
	used := (processorTime() - processor).Seconds()
	after := counters()
	for i := range after {
		after[i] = (after[i] - before[i]) / seconds
	}
	return fleetUsage{after[0], after[1], after[2], after[3], after[4], after[5], after[6], 100 * (used/seconds - f.idleProcessor)}
}

func (f *fleet) measureSize(ctx context.Context, repeats int, p fleetSize, allWorkers bool, r *Report) error {
	group, size, x := groupWorkers, "workers, no gangs", float64(p.Workers)
	if p.Gangs > 0 {
		group, size, x = groupGangs, "gangs of 24 parts, all workers", float64(p.Gangs)
	}
	if p.Gangs > 0 {
		pause(ctx, f.windowLength)
	}
	heap := float64(f.controllerHeap())
	r.series(group, "heap of the controller", "B", size).add(x, heap)
	if allWorkers && p.Gangs == 0 {
		r.series(groupGangs, "heap of the controller", "B", "gangs of 24 parts, all workers").add(0, heap)
	}
	pause(ctx, f.windowLength) // the new controller reads the rows and the reports of the workers
	if p.Gangs > 0 {
		f.windowLength *= 2 // to cover several rounds of renewals, which are 2 s apart
		defer func() { f.windowLength /= 2 }()
	}
	for range repeats {
		w := f.measureWindow(ctx)
		f.record(r, group, size, x, w)
		if allWorkers && p.Gangs == 0 {
			f.record(r, groupGangs, "gangs of 24 parts, all workers", 0, w)
		}
	}
	if want := p.Gangs * gangParts; f.runningTasks() != want {
		return errors.Errorf("%d of %d tasks are running after a restart of the controller", f.runningTasks(), want)
	}
	return nil
}

func (f *fleet) record(r *Report, group, size string, x float64, w fleetUsage) {
	add := func(name, unit string, v float64) { r.series(group, name, unit, size).add(x, v) }
	add("commands to workers", "1/s", w.commands)
	add("worker bytes sent", "B/s", w.sent)
	add("worker bytes received", "B/s", w.received)
	add("table bytes sent", "B/s", w.tableSent)
	add("table bytes received", "B/s", w.tableReceived)
	add("table reads", "1/s", w.reads)
	add("table writes", "1/s", w.writes)
	add("processor, worker and table stand-ins included", "% of a core", w.processor)
}

// measureJobs measures the table requests per job, for batches of jobs that run until they finish and for jobs submitted at fixed rates.
func measureJobs(ctx context.Context, o Options, r *Report) error {
	const workers = 16
	f, err := newFleet(ctx, o, workers)
	if err != nil {
		return err
	}
	defer f.close()
	f.listed.Store(workers)
	f.startController()
	pause(ctx, f.windowLength)
	base := f.measureWindow(ctx)
	for _, n := range o.JobBatches {
		reads, writes, err := f.runBatch(ctx, n, base)
		if err != nil {
			return err
		}
		r.series(groupJobs, "table reads above the idle rate", "requests", "jobs to their end").add(float64(n), reads)
		r.series(groupJobs, "table writes above the idle rate", "requests", "jobs to their end").add(float64(n), writes)
	}
	for _, rate := range o.JobRates {
		if err := f.measureRate(ctx, rate, r); err != nil {
			return err
		}
	}
	return nil
}

// runBatch runs n jobs until they finish and returns the table requests above those of an idle controller.
func (f *fleet) runBatch(ctx context.Context, n int, base fleetUsage) (reads, writes float64, err error) {
	before, began := f.platform.Stats(), time.Now()
	for range n {
		if _, err := f.submit(ctx, 2, jobRunMS, api.JobSpecClassNormal); err != nil {
			return 0, 0, err
		}
	}
	allEnded := func() bool {
		resp, err := f.platform.Table.Scan(ctx, "jobs/", "", 1)
		return err == nil && len(resp.Rows) == 0
	}
	// Each poll reads the table once; polls are subtracted from the reads.
	polls := uint64(0)
	if !await(ctx, startTimeout, func() bool { polls++; return allEnded() }) {
		return 0, 0, errors.New("jobs did not end")
	}
	seconds, after := time.Since(began).Seconds(), f.platform.Stats()
	return float64(after.Reads-before.Reads-polls) - base.reads*seconds, float64(after.Writes-before.Writes) - base.writes*seconds, nil
}

// measureRate measures one window while jobs are submitted at a fixed rate.
func (f *fleet) measureRate(ctx context.Context, perSecond float64, r *Report) error {
	submitCtx, cancel := context.WithCancel(ctx)
	submitErr := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-submitCtx.Done():
				submitErr <- nil
				return
			case <-ticker.C:
				if _, err := f.submit(ctx, 2, jobRunMS, api.JobSpecClassNormal); err != nil {
					submitErr <- err
					return
				}
			}
		}
	}()
	pause(ctx, f.windowLength/2)
	w := f.measureWindow(ctx)
	cancel()
	r.series(groupRate, "table reads", "1/s", "jobs a second").add(perSecond, w.reads)
	r.series(groupRate, "table writes", "1/s", "jobs a second").add(perSecond, w.writes)
	return <-submitErr
}
