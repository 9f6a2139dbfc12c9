package rowstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/clock"
)

const (
	// feedWait is how long a read of the feed waits for a change. It bounds how long a connection that has stopped responding hides changes, and
	// stays under the shortest time in which a configuration has to be in force (2 s).
	feedWait = 1000 * time.Millisecond
	// feedSlack is the time beyond feedWait after which a response counts as lost; it allows for several round trips to a slow store.
	feedSlack = 500 * time.Millisecond
	// followRetryMin and followRetryMax bound the pause after a failed read. The maximum is a fraction of the time in which a new configuration has to
	// be in force after an outage.
	followRetryMin = 50 * time.Millisecond
	followRetryMax = 400 * time.Millisecond
)

// Handler receives the contents of a followed table. Its methods are never called concurrently.
type Handler interface {
	// Reset replaces all rows that were reported before.
	Reset(rows []Row)
	// Changed reports changed and deleted rows in the order of the changes.
	Changed(rows []Row)
}

// Follower keeps a Handler up to date with one table: it lists the table, then reads the feed of its changes.
type Follower struct {
	Store      Store
	Table      string
	Partitions []string // partitions that a listing reads; the feed covers all partitions
	Handler    Handler
	// MinInterval is the shortest time between two reads of the feed. It bounds calls and bytes when a table changes often.
	MinInterval time.Duration
	// Interval replaces MinInterval if it is set; it is called before each pause.
	Interval func() time.Duration
	Log      logrus.FieldLogger

	confirmedAt   atomic.Int64 // when the newest successful read was sent, in nanoseconds after start on the monotonic clock; 0 without one
	confirmedBoot atomic.Int64 // the same time in nanoseconds since the boot of the machine
	start         time.Time
	failing       bool   // a failed read was logged, and no read has succeeded since
	startVersion  uint64 // Run begins after this version; 0 makes it begin with a listing
}

// Age returns the time since the copy was last confirmed by a read, or the largest duration before the first one.
func (f *Follower) Age(now time.Time) time.Duration {
	at := f.confirmedAt.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(f.start) - time.Duration(at)
}

// AgeSinceBoot is Age by a clock that advances while the machine is suspended.
func (f *Follower) AgeSinceBoot() time.Duration {
	at := f.confirmedBoot.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return clock.Boot{}.SinceBoot() - time.Duration(at)
}

// StartAfter makes Run begin with the changes after a version instead of a listing. It must be called before Run.
func (f *Follower) StartAfter(version uint64) { f.startVersion = version }

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := followRetryMin
	version, listed := f.startVersion, f.startVersion > 0
	for ctx.Err() == nil {
		sent, sentBoot := time.Now(), clock.Boot{}.SinceBoot()
		var err error
		if listed {
			version, err = f.readChanges(ctx, version)
		} else {
			version, err = f.list(ctx)
			listed = err == nil
		}
		if errors.Is(err, ErrHistoryGone) {
			f.Log.WithField("table", f.Table).Warn("the feed no longer has the changes after the last read, listing the table again")
			listed = false
			continue
		}
		f.logAvailability(ctx, err)
		if err != nil {
			sleep(ctx, pause)
			pause = min(2*pause, followRetryMax)
			continue
		}
		f.confirmedBoot.Store(max(1, int64(sentBoot)))
		f.confirmedAt.Store(max(1, int64(sent.Sub(f.start))))
		pause = followRetryMin
		sleep(ctx, f.interval()-time.Since(sent))
	}
}

func (f *Follower) interval() time.Duration {
	if f.Interval != nil {
		return f.Interval()
	}
	return f.MinInterval
}

// NewFollower returns a follower of a table; Run starts it.
func NewFollower(s Store, table string, partitions []string, h Handler, minInterval time.Duration, log logrus.FieldLogger) *Follower {
	return &Follower{Store: s, Table: table, Partitions: partitions, Handler: h, MinInterval: minInterval, Log: log, start: time.Now()}
}

func (f *Follower) list(ctx context.Context) (uint64, error) {
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

// logAvailability logs when reads begin to fail and when they succeed again.
func (f *Follower) logAvailability(ctx context.Context, err error) {
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
