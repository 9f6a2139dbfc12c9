package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/lead"
	"samphirewell/internal/rowstore"
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
	err := r.store(ctx, cm, write)
	if errors.Is(err, errStoredInParts) {
		err = r.store(ctx, &Commit{}, write)
	}
	return err
}

// errStoredInParts means that the store rejected a transaction, and that its rows were stored in parts as far as it takes them.
var errStoredInParts = errors.New("stored in parts")

// store stores the rows of a commit. If the store rejects the transaction, its halves are stored apart, until the row at fault is alone. Only the whole
// transaction is written by write, its parts are written by Session.Commit.
func (r *Runner) store(ctx context.Context, cm *Commit, write func(context.Context, []rowstore.Row, []rowstore.Key) error) error {
	began := r.clock.SinceBoot()
	err := write(ctx, cm.Puts, cm.Removes)
	if errors.Is(err, rowstore.ErrRejected) && len(cm.rows) > 0 {
		return r.storeParts(ctx, cm, err)
	}
	if err != nil {
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

// storeParts stores a rejected commit in parts and gives up a single row.
func (r *Runner) storeParts(ctx context.Context, cm *Commit, cause error) error {
	if len(cm.rows) == 1 {
		r.Do(func(c *Core, now time.Duration) { c.OnRejected(cm, cause, now) })
		return errStoredInParts
	}
	first, second := cm.split()
	for _, part := range []*Commit{first, second} {
		if err := r.store(ctx, part, r.session.Commit); err != nil && !errors.Is(err, errStoredInParts) {
			return err
		}
	}
	return errStoredInParts
}
