package dispatch

import (
	"context"
	"sync"
	"time"

	"samphirewell/internal/batch"
)

// machinesTick is the period in which the runner looks whether something about machines is to be done.
const machinesTick = 100 * time.Millisecond

// MachineProvider lists the machines that workers run on and carries out orders for their maintenance. Implementations are safe for concurrent use
// and bound the time of each call.
type MachineProvider interface {
	List(ctx context.Context) ([]batch.Machine, error)
	Maintain(ctx context.Context, m Maintenance) MaintenanceResult
	// Report tells operators about a wave.
	Report(ctx context.Context, r WaveReport) error
}

// SetMachines sets the provider of machines. It must be called before Run.
func (r *Runner) SetMachines(m MachineProvider) { r.machines = m }

// machinesLoop reads the list of machines, orders maintenance and reports waves until ctx ends.
func (r *Runner) machinesLoop(ctx context.Context, group *sync.WaitGroup) {
	ticker := time.NewTicker(machinesTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.readMachines(ctx)
		r.mu.Lock()
		var orders []Maintenance
		var reports []WaveReport
		if r.mayAct(r.clock.SinceBoot()) {
			reports = r.core.TakeWaveReports()
		}
		if r.mayOrderMachines() {
			orders = r.core.TakeMaintenance()
		}
		r.mu.Unlock()
		for _, m := range orders {
			group.Go(func() { r.maintain(ctx, m) })
		}
		for _, w := range reports {
			r.report(ctx, w)
		}
	}
}

func (r *Runner) readMachines(ctx context.Context) {
	r.mu.Lock()
	needs := r.core.NeedsMachines(r.clock.SinceBoot())
	r.mu.Unlock()
	if !needs {
		return
	}
	sent := r.clock.SinceBoot()
	list, err := r.machines.List(ctx)
	if err != nil {
		r.log.WithError(err).Info("list of machines not read")
		return
	}
	r.Do(func(c *Core, _ time.Duration) { c.OnMachines(list, sent) })
}

// mayOrderMachines reports whether the last successful write is recent enough for orders to machines. The clock goes on while the host is suspended.
func (r *Runner) mayOrderMachines() bool {
	return r.failed == nil && r.clock.SinceBoot()-r.sentAt < machinesAuthority
}

func (r *Runner) maintain(ctx context.Context, m Maintenance) {
	m.StillAllowed = func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.mayOrderMachines()
	}
	result := r.machines.Maintain(ctx, m)
	if ctx.Err() == nil {
		r.Do(func(c *Core, now time.Duration) { c.OnMaintenance(m, result, now) })
	}
}

func (r *Runner) report(ctx context.Context, w WaveReport) {
	if err := r.machines.Report(ctx, w); err != nil {
		r.log.WithField("wave", w.ID).WithError(err).Info("wave not reported")
		r.Do(func(c *Core, _ time.Duration) { c.RequeueWaveReport(w.ID) })
	}
}
