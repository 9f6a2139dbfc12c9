package batchhost

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/dispatch"
	"samphirewell/internal/intake"
	"samphirewell/internal/rowstore"
)

const (
	// cleanupInterval is the time between two cleanups by the leader. Jobs that end within it share transactions.
	cleanupInterval = 5 * time.Second
	// cleanupTimeout bounds one transaction that replaces the submission of an ended job by a tombstone or deletes it.
	cleanupTimeout = time.Second
)

// cleanup replaces the submissions of ended jobs by tombstones, and deletes the submissions of jobs whose state is no longer kept, old cancel
// markers and the rows of stale hosts. A failed replacement is repeated by the next leader.
func (h *Host) cleanup(ctx context.Context, r *dispatch.Runner, misplaced []intake.Move) {
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	h.moveMisplacedRows(ctx, misplaced)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var finalized []dispatch.FinalizedJob
		var forgotten []string
		r.Do(func(c *dispatch.Core, _ time.Duration) { finalized, forgotten = c.TakeFinalized(), c.TakeForgotten() })
		ended := make([]intake.EndedJob, len(finalized))
		for i, j := range finalized {
			ended[i] = intake.EndedJob(j)
		}
		txs, err := intake.EndJobs(ended)
		if err != nil {
			h.options.Log.WithError(err).Error("cannot encode tombstones")
		}
		for _, id := range forgotten {
			txs = append(txs, intake.DeleteJob(id))
		}
		txs = append(txs, h.markers.Expired(h.options.Clock.SinceBoot(), h.options.Clock.WallMS())...)
		for _, tx := range txs {
			h.commitCleanup(ctx, tx)
		}
		h.removeStaleHosts(ctx)
	}
}

// moveMisplacedRows moves rows of the inbox that an earlier version has stored in other partitions. What fails is repeated by the next leader.
func (h *Host) moveMisplacedRows(ctx context.Context, moves []intake.Move) {
	for _, m := range moves {
		if h.commitCleanup(ctx, m.Copy) {
			h.commitCleanup(ctx, m.Remove)
		}
	}
}

// commitCleanup stores one transaction and reports whether its result is known.
func (h *Host) commitCleanup(ctx context.Context, tx rowstore.Tx) bool {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	_, err := h.options.Store.Commit(ctx, tx)
	if err != nil {
		h.options.Log.WithFields(logrus.Fields{"puts": len(tx.Puts), "removes": len(tx.Removes)}).WithError(err).Info("could not clean up the inbox")
	}
	return err == nil
}
