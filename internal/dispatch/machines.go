package dispatch

import (
	"context"
	"sync"
	"time"

	"samphirewell/internal/batch"
)

// machinesTickInterval is the period in which the runner checks for work on machines.
const machinesTickInterval = 100 * time.Millisecond

// MachineProvider lists the machines that workers run on and carries out orders for their maintenance. Implementations are safe for concurrent use
// and bound the time of each call.
type MachineProvider interface {
	List(ctx context.Context) ([]batch.Machine, error)
	Maintain(ctx context.Context, m Maintenance) MaintenanceResult
	// Report reports a wave to operators.
	Report(ctx context.Context, r WaveReport) error
}

// SetMachines sets the provider of machines. It must be called before Run.
func (r *Runner) SetMachines(m MachineProvider) { r.machines = m }

// machinesLoop reads the list of machines, sends maintenance orders and reports waves until ctx ends.
func (r *Runner) machinesLoop(ctx context.Context, group *sync.WaitGroup) {
	ticker := time.NewTicker(machinesTickInterval)
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
		if r.hasAuthority(r.clock.SinceBoot()) {
			reports = r.core.TakeWaveReports()
		}
		if r.hasMachineAuthority() {
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
		r.log.WithError(err).Info("reading the list of machines failed")
		return
	}
	r.Do(func(c *Core, _ time.Duration) { c.OnMachines(list, sent) })
}

// hasMachineAuthority reports whether the last successful write is recent enough for maintenance orders. The clock continues while the host is
// suspended.
func (r *Runner) hasMachineAuthority() bool {
	return r.leadErr == nil && r.clock.SinceBoot()-r.lastWrite() < machineOrderAuthority
}

func (r *Runner) maintain(ctx context.Context, m Maintenance) {
	m.StillAllowed = func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.hasMachineAuthority() && r.core.wantsMaintenance(m)
	}
	result := r.machines.Maintain(ctx, m)
	if ctx.Err() == nil {
		r.Do(func(c *Core, now time.Duration) { c.OnMaintenance(m, result, now) })
	}
}

func (r *Runner) report(ctx context.Context, w WaveReport) {
	if err := r.machines.Report(ctx, w); err != nil {
		r.log.WithField("wave", w.ID).WithError(err).Info("reporting a wave failed")
		r.Do(func(c *Core, _ time.Duration) { c.RequeueWaveReport(w.ID) })
	}
}
