package dispatch

import (
	"context"
	"time"

	"samphirewell/internal/lead"
)

// commitLoop stores rows, and renews the leader row when nothing else is written.
func (r *Runner) commitLoop(outer, run context.Context, stop context.CancelFunc) {
	defer stop()
	for {
		last, began := outer.Err() != nil, time.Now()
		err := r.commit(run, last)
		r.mu.Lock()
		if err != nil && run.Err() == nil {
			r.leadErr = lead.ErrDeposed
		}
		leadErr := r.leadErr
		r.mu.Unlock()
		if leadErr != nil || last {
			return
		}
		r.awaitCommit(outer, began)
	}
}

// wakeCommit lets the commit loop store rows if there are any.
func (r *Runner) wakeCommit() {
	if !r.core.HasCommit() && !r.core.Deposed() {
		return
	}
	select {
	case r.commitWakeup <- struct{}{}:
	default:
	}
}

// awaitCommit waits until there are rows to store, or lead.RenewInterval after the last transaction began. Transactions begin at least commitInterval
// apart, unless the rows fill another one.
func (r *Runner) awaitCommit(ctx context.Context, began time.Time) {
	renewal := time.NewTimer(time.Until(began.Add(lead.RenewInterval)))
	defer renewal.Stop()
	select {
	case <-ctx.Done():
		return
	case <-renewal.C:
		return
	case <-r.commitWakeup:
	}
	if pause := time.Until(began.Add(commitInterval)); pause > 0 && !r.hasFullCommit() {
		r.awaitWakeup(ctx, nil, pause)
	}
}

func (r *Runner) hasFullCommit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.HasFullCommit()
}

func (r *Runner) commit(ctx context.Context, release bool) error {
	r.mu.Lock()
	if r.core.Deposed() {
		r.mu.Unlock()
		return lead.ErrDeposed
	}
	if release {
		r.core.StopStarting()
	}
	began := r.clock.SinceBoot()
	cm := r.core.TakeCommit()
	r.mu.Unlock()
	if cm == nil {
		cm = &Commit{}
	} else {
		r.metrics.RowsWaited(began - cm.queuedAt)
	}
	write := r.session.Commit
	if release {
		write = r.session.Release
	}
	if err := write(ctx, cm.Puts, cm.Removes); err != nil {
		return err
	}
	r.Do(func(c *Core, now time.Duration) {
		// The age counts from before the first attempt, because that may be the one that took effect. This clock continues while the host is
		// suspended.
		r.sentAt.Store(int64(began))
		r.metrics.Committed(len(cm.Puts)+len(cm.Removes), now-began)
		c.OnStored(cm, now)
		close(r.stored)
		r.stored = make(chan struct{})
	})
	return nil
}
