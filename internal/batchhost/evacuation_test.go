package batchhost

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/clock"
	"samphirewell/internal/dispatch"
	"samphirewell/internal/intake"
	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

// domainSources has one queue, a worker in each of the failure domains a and b, and an evacuation of a that is read before the configuration.
type domainSources struct {
	evacuations chan func([]string) // receives the callback for further evacuations
	age         atomic.Int64        // of the operator's table, nanoseconds
}

// FollowOperator implements Sources.
func (s *domainSources) FollowOperator(ctx context.Context, policy func(*batch.Policy), _ func([]batch.Wave), evacuations func([]string)) {
	evacuations([]string{"a"})
	p := &batch.Policy{Version: 1, Queues: []batch.Queue{{Name: "q", Service: "svc", Attempts: 3, Stretch: 3, Public: true}}, Services: []batch.Service{{Name: "svc", EnforcesCapacity: true}}}
	policy(p.Index())
	s.evacuations <- evacuations
	<-ctx.Done()
}

// PolicyAge implements Sources.
func (s *domainSources) PolicyAge() time.Duration { return time.Duration(s.age.Load()) }

// WorkersAge implements Sources.
func (s *domainSources) WorkersAge() time.Duration { return 0 }

// FollowWorkers implements Sources.
func (s *domainSources) FollowWorkers(ctx context.Context, report func([]batch.Worker)) {
	worker := func(domain string) batch.Worker {
		return batch.Worker{ID: "w" + domain, Service: "svc", Address: domain + ":1", Domain: domain, Incarnation: 1, Capacity: batch.Resources{Accelerators: 4}}
	}
	report([]batch.Worker{worker("a"), worker("b")})
	<-ctx.Done()
}

// endlessWorkers accept all starts; the runs never end.
type endlessWorkers struct {
	dispatch.WorkerAPI
	mu      sync.Mutex
	running map[string][]dispatch.RunReport // by failure domain
}

// Order implements dispatch.WorkerAPI.
func (w *endlessWorkers) Order(_ context.Context, o dispatch.Order) dispatch.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !o.Stop {
		w.running[o.Worker.Domain] = append(w.running[o.Worker.Domain], dispatch.RunReport{Task: o.Task, Run: o.Run})
	}
	return dispatch.Accepted
}

// Renew implements dispatch.WorkerAPI.
func (w *endlessWorkers) Renew(ctx context.Context, r dispatch.Renewal) (dispatch.WorkerReport, error) {
	select {
	case <-ctx.Done():
	case <-time.After(r.Wait):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return dispatch.WorkerReport{Incarnation: 1, Clock: clock.Boot{}.SinceBoot(), Running: append([]dispatch.RunReport(nil), w.running[r.Worker.Domain]...)}, nil
}

func (w *endlessWorkers) runs() [2]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return [2]int{len(w.running["a"]), len(w.running["b"])}
}

// Guards against a new leader that plans before it has the evacuations that its host read earlier, a leader that misses later ones, and starts by a leader
// whose copy of the operator's table is too old.
func TestLeaderHasTheEvacuationsOfItsHost(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store, workers := memstore.New(), &endlessWorkers{running: map[string][]dispatch.RunReport{}}
	src := &domainSources{evacuations: make(chan func([]string), 1)}
	h := New(Options{HostID: "h", Incarnation: "p", Processors: 1, Store: store, Sources: src, WorkerAPI: workers, Clock: clock.NewBoot(), Metrics: discardMetrics{}, Log: log,
		Bounds: dispatch.Bounds{LeaseMax: 6 * time.Second, Evacuation: 5 * time.Second}})
	submit := func(id string, tasks int) {
		job, err := json.Marshal(batch.Job{ID: id, Queue: batch.Queue{Name: "q", Service: "svc", Attempts: 3, Stretch: 3}, AcceptedMS: time.Now().UnixMilli(),
			Steps: []batch.Step{{Tasks: tasks, Need: batch.Resources{Accelerators: 1}, Estimate: time.Minute}}})
		must.NoError(t, err)
		store.Put(rowstore.Key{Table: intake.TableInbox, Partition: "0", Key: id}, job)
	}
	// awaitRuns waits for the numbers of runs, and checks that they stay for some scheduling cycles.
	awaitRuns := func(a, b int) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); workers.runs() != [2]int{a, b} && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(600 * time.Millisecond)
		must.Eq(t, [2]int{a, b}, workers.runs())
	}
	submit("first", 6)
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
	evacuations := <-src.evacuations
	awaitRuns(0, 4)
	must.Eq(t, 1, h.Status().EvacuatedDomains)
	evacuations(nil)
	awaitRuns(2, 4)
	src.age.Store(int64(4*time.Second + time.Millisecond))
	time.Sleep(200 * time.Millisecond)
	submit("second", 1)
	awaitRuns(2, 4)
	src.age.Store(0)
	awaitRuns(3, 4)
	evacuations([]string{"a", "b"})
	submit("third", 1)
	awaitRuns(3, 4)
}
