package batchhost

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/clock"
	"samphirewell/internal/dispatch"
	"samphirewell/internal/intake"
	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

// advancedClock is a clock that a test moves on.
type advancedClock struct {
	clock.Boot
	by atomic.Int64
}

// SinceBoot implements dispatch.Clock.
func (c *advancedClock) SinceBoot() time.Duration {
	return c.Boot.SinceBoot() + time.Duration(c.by.Load())
}

// Guards against cancel markers that no leader deletes: one that was stored before the leader began, and one that comes while it leads.
func TestLeaderDeletesCancelMarkers(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store, c := memstore.New(), &advancedClock{Boot: clock.NewBoot()}
	src := &domainSources{evacuations: make(chan func([]string), 1)}
	h := New(Options{HostID: "h", Incarnation: "p", Processors: 1, Store: store, Sources: src, WorkerAPI: &endlessWorkers{running: map[string][]dispatch.RunReport{}},
		Clock: c, Metrics: discardMetrics{}, Log: log, Bounds: dispatch.Bounds{LeaseMax: 6 * time.Second}})
	await := func(markers int) {
		t.Helper()
		for end := time.Now().Add(3 * cleanupInterval); h.Status().CancelMarkers != markers && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		must.Eq(t, markers, h.Status().CancelMarkers)
	}
	cancel := func(id string) {
		must.Eq(t, intake.NoJob, h.Intake().Cancel(context.Background(), intake.Call{Path: id, Deadline: time.Now().Add(2 * time.Second)}).Code)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Run(ctx, ctx)
	}()
	defer func() {
		stop()
		<-done
	}()
	<-src.evacuations // the configuration is in force
	cancel("first")
	await(1)
	cancel("second")
	await(2)
	c.by.Store(int64(2 * time.Minute))
	await(0)
	rows, _, err := rowstore.ScanAll(context.Background(), store, intake.TableInbox, intake.InboxPartitions())
	must.NoError(t, err)
	must.SliceEmpty(t, rows)
}
