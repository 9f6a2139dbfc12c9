package rowstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	// feedWait is the time that a read of the feed waits for a change. It bounds how long a silent connection hides
	// changes, and stays under the shortest time in which a configuration has to be in force (2 s).
	feedWait = 1000 * time.Millisecond
	// feedSlack is the time beyond feedWait after which an answer counts as lost; several round trips of a slow store.
	feedSlack = 500 * time.Millisecond
	// followRetryMin and followRetryMax bound the pause after a failed read. The maximum is a fraction of the time in which a new configuration has to
	// be in force after an outage.
	followRetryMin = 50 * time.Millisecond
	followRetryMax = 400 * time.Millisecond
)

// Handler receives the contents of a followed table. Calls come one after the other.
type Handler interface {
	// Reset replaces everything that was reported before.
	Reset(rows []Row)
	// Changed reports changed and deleted rows in order.
	Changed(rows []Row)
}

// Follower keeps a Handler up to date with one table.
type Follower struct {
	Store      Store
	Table      string
	Partitions []string // partitions that a listing reads; the feed covers all partitions
	Handler    Handler
	// MinInterval is the shortest time between two reads of the feed. It bounds calls and bytes when a table changes often.
	MinInterval time.Duration
	Log         logrus.FieldLogger

	freshAt atomic.Int64 // time of sending the newest answered read, Unix nanoseconds of the process's steady clock
	start   time.Time
	failing bool
	from    uint64
}

// Age returns for how long the copy has not been confirmed; very large before the first listing.
func (f *Follower) Age(now time.Time) time.Duration {
	at := f.freshAt.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(f.start) - time.Duration(at)
}

// StartAt makes Run begin with the changes after a version instead of a listing.
func (f *Follower) StartAt(version uint64) { f.from = version }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := followRetryMin
	version, listed := f.from, f.from > 0
	for ctx.Err() == nil {
		sent := time.Now()
		var err error
		if listed {
			version, err = f.readChanges(ctx, version)
		} else {
			version, err = f.list(ctx)
			listed = err == nil
		}
		if errors.Is(err, ErrHistoryGone) {
			f.Log.WithField("table", f.Table).Warn("feed history is gone, listing the table again")
			listed = false
			continue
		}
		f.report(ctx, err)
		if err != nil {
			sleep(ctx, pause)
			pause = min(2*pause, followRetryMax)
			continue
		}
		f.freshAt.Store(max(1, int64(sent.Sub(f.start))))
		pause = followRetryMin
		sleep(ctx, f.MinInterval-time.Since(sent))
	}
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(s Store, table string, parts []string, h Handler, minInterval time.Duration, log logrus.FieldLogger) *Follower {
	return &Follower{Store: s, Table: table, Partitions: parts, Handler: h, MinInterval: minInterval, Log: log, start: time.Now()}
}

func (f *Follower) list(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedSlack)
	defer cancel()
	rows, version, err := ScanAll(ctx, f.Store, f.Table, f.Partitions)
	if err != nil {
		return 0, err
	}
	f.Handler.Reset(rows)
	return version, nil
}

func (f *Follower) readChanges(ctx context.Context, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedSlack)
	defer cancel()
	c, err := f.Store.Changes(ctx, f.Table, after, feedWait)
	if err != nil {
		return after, err
	}
	if len(c.Rows) > 0 {
		f.Handler.Changed(c.Rows)
	}
	return max(after, c.Version), nil
}

// report logs when the store is lost and regained.
func (f *Follower) report(ctx context.Context, err error) {
	switch {
	case err != nil && !f.failing && ctx.Err() == nil:
		f.failing = true
		f.Log.WithField("table", f.Table).WithError(err).Warn("lost the feed of a table")
	case err == nil && f.failing:
		f.failing = false
		f.Log.WithField("table", f.Table).Info("regained the feed of a table")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
