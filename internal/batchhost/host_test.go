package batchhost

import (
	"context"
	"encoding/json"
	"io"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/clock"
	"samphirewell/internal/dispatch"
	"samphirewell/internal/lead"
	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

// lateReturn is how long the stand-ins take to return after the end of the context.
const lateReturn = 50 * time.Millisecond

// silentPeers don't respond. entered is closed at the first call.
type silentPeers struct {
	calls   atomic.Int32
	entered chan struct{}
}

// Call implements Peers.
func (p *silentPeers) Call(ctx context.Context, _, _ string, _, _ any) error {
	if p.calls.Add(1) == 1 {
		close(p.entered)
	}
	<-ctx.Done()
	time.Sleep(lateReturn)
	return ctx.Err()
}

// emptySources have no configuration, waves or workers.
type emptySources struct{}

// FollowOperator implements Sources.
func (emptySources) FollowOperator(ctx context.Context, _ func(*batch.Policy), _ func([]batch.Wave), _ func([]string)) {
	<-ctx.Done()
}

// PolicyAge implements Sources.
func (emptySources) PolicyAge() time.Duration { return time.Hour }

// WorkersAge implements Sources.
func (emptySources) WorkersAge() time.Duration { return 0 }

// FollowWorkers implements Sources.
func (emptySources) FollowWorkers(ctx context.Context, _ func([]batch.Worker)) { <-ctx.Done() }

// discardMetrics implements Metrics.
type discardMetrics struct{}

func (discardMetrics) Committed(int, time.Duration)                           {}
func (discardMetrics) Planned(time.Duration)                                  {}
func (discardMetrics) Locked(time.Duration)                                   {}
func (discardMetrics) RowsWaited(time.Duration)                               {}
func (discardMetrics) CopySent(dispatch.Order, dispatch.Result)               {}
func (discardMetrics) CopyWithheld(dispatch.Order, string)                    {}
func (discardMetrics) Ordered(dispatch.Order, dispatch.Result, time.Duration) {}
func (discardMetrics) Counted(dispatch.Counts)                                {}
func (discardMetrics) Leading(uint64)                                         {}

// hostGoroutines returns the stacks of the running goroutines that methods of a Host have started or called.
func hostGoroutines() []string {
	buf := make([]byte, 1<<20)
	var out []string
	for _, stack := range strings.Split(string(buf[:runtime.Stack(buf, true)]), "\n\n") {
		if strings.Contains(stack, "batchhost.(*Host)") {
			out = append(out, stack)
		}
	}
	return out
}

// Guards against goroutines that still run or log after the host has stopped, since its log and connections are closed then.
func TestNoGoroutineOutlivesRun(t *testing.T) {
	store, peers := memstore.New(), &silentPeers{entered: make(chan struct{})}
	row, err := json.Marshal(lead.Row{Host: "other", Address: "127.0.0.1:1", Epoch: 1, Seq: 1})
	must.NoError(t, err)
	store.Put(leaderKey, row)
	var returned atomic.Bool
	var late atomic.Int32
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(countAfter{&returned, &late})
	h := New(Options{HostID: "h", Incarnation: "p", Address: "127.0.0.1:2", Processors: 1, Store: store, Peers: peers, Sources: emptySources{},
		Clock: clock.NewBoot(), Metrics: discardMetrics{}, Log: log})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Run(ctx, ctx)
	}()
	<-peers.entered
	stop()
	<-done
	returned.Store(true)
	must.Eq(t, "", strings.Join(hostGoroutines(), "\n\n"))
	time.Sleep(2 * lateReturn)
	must.Eq(t, 0, late.Load())
}

// countAfter counts the log lines after returned is set.
type countAfter struct {
	returned *atomic.Bool
	late     *atomic.Int32
}

// Levels implements logrus.Hook.
func (countAfter) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (c countAfter) Fire(*logrus.Entry) error {
	if c.returned.Load() {
		c.late.Add(1)
	}
	return nil
}

// silentStore carries out no transaction and responds to none.
type silentStore struct{ *memstore.Store }

func (silentStore) Commit(ctx context.Context, _ rowstore.Tx) (rowstore.TxResult, error) {
	<-ctx.Done()
	return rowstore.TxResult{}, rowstore.ErrUncertain
}

// Guards against hosts that repeat their claims without end: at the start of 300 hosts the claims kept the table so busy that no response came in time, the
// leader's transactions failed too, and no job ever started.
func TestClaimEndsOnceAnotherHostLeads(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := New(Options{HostID: "h", Incarnation: "p", Store: silentStore{memstore.New()}, Sources: emptySources{}, Clock: clock.NewBoot(), Metrics: discardMetrics{}, Log: log})
	leaderRow := func(incarnation string, version uint64) rowstore.Row {
		value, err := json.Marshal(lead.Row{Host: "x", Incarnation: incarnation, Epoch: 1})
		must.NoError(t, err)
		return rowstore.Row{Key: leaderKey, Value: value, Version: version}
	}
	h.leaderWatch.Observe([]rowstore.Row{leaderRow("p", 3)}, true, time.Now())
	must.False(t, h.leaderWatch.ClaimedByOther(0, "p"), must.Sprint("the host's own claim took effect although its response was lost"))
	result := make(chan error, 1)
	go func() {
		_, err := h.claim(context.Background(), rowstore.Row{})
		result <- err
	}()
	select {
	case err := <-result:
		t.Fatalf("the claim ended without a reason: %v", err)
	case <-time.After(3 * claimCheckInterval):
	}
	h.leaderWatch.Observe([]rowstore.Row{leaderRow("other", 4)}, false, time.Now())
	must.ErrorIs(t, <-result, lead.ErrDeposed)
}
