package capacity

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/applier"
	"samphirewell/internal/clock"
	"samphirewell/internal/jobs"
	"samphirewell/internal/platform"
	"samphirewell/internal/standin"
	"samphirewell/internal/standin/lease"
)

const (
	gangParts          = 24 // 125 gangs of 24 parts are 3,000 tasks
	partCores          = 4
	partMemoryGB       = 12
	longRunMS          = 24 * 60 * 60 * 1000
	startTimeout       = 60 * time.Second
	workerCores        = 130
	workerMemoryGB     = 500
	workerAccelerators = 8
)

// fleet is the applier of the preferred host of one failure domain, with stand-ins for the workers and the platform. It uses HTTP for both.
type fleet struct {
	platform      *standin.Platform
	table         *platform.Client
	store         *jobs.Store
	workers       []*standin.Worker
	listed        atomic.Int64 // workers in the host list
	meters        meters
	client        fleetClient
	lists         api.Lists
	windowLength  time.Duration // of one measurement
	idleProcessor float64       // processor time without a controller, seconds per second

	controller     *applier.Controller
	stopController func()
	gangs          []string // ids of the running gangs
	submitted      int
}

// permanentLeadership is the leadership of a host that became preferred long ago and stays so.
type permanentLeadership struct{ since time.Time }

// HasAuthority implements applier.Leadership.
func (permanentLeadership) HasAuthority(time.Time) bool { return true }

// Since implements applier.Leadership.
func (p permanentLeadership) Since() time.Time { return p.since }

// backdatedClock makes a controller see a creation time of a minute ago. A new controller requests reports more often until all leases of
// former controllers have expired; the windows measure the steady state after that.
type backdatedClock struct {
	clock.Real
	controllerCreated atomic.Bool // from then on the clock shows the real time
}

// Now implements clock.Clock.
func (c *backdatedClock) Now() time.Time {
	if c.controllerCreated.Load() {
		return time.Now()
	}
	return time.Now().Add(-time.Minute)
}

func newFleet(ctx context.Context, o Options, workers int) (*fleet, error) {
	f := &fleet{windowLength: o.FleetWindow, lists: lists(layout{Domains: 1, Teams: targetTeams})}
	var err error
	if f.platform, err = standin.StartPlatform(standin.PlatformConfig{}); err != nil {
		return nil, err
	}
	f.meters.platformAddr = f.platform.Addr()
	f.table = platform.NewClient(f.platform.URL(), platform.ClientOptions{DialContext: f.meters.dial})
	f.store = jobs.NewStore(f.table)
	for i := range workers {
		w, err := standin.StartWorker(standin.WorkerConfig{
			Lease: lease.Config{
				WorkerID: fmt.Sprintf("worker-%03d", i), Incarnation: "1", Cores: workerCores, MemoryGB: workerMemoryGB, Accelerators: workerAccelerators,
				CheckpointEvery: time.Minute,
			},
			FailureDomain: domainName(0), Rack: fmt.Sprintf("rack-%02d", i/workersPerRack),
		})
		if err != nil {
			f.close()
			return nil, err
		}
		f.workers = append(f.workers, w)
	}
	f.client = fleetClient{http: applier.NewHTTPClient(f.meters.dial), workers: map[string]*standin.Worker{}}
	for _, w := range f.workers {
		f.client.workers[w.Entry().ID] = w
	}
	f.idleProcessor = idleProcessorRate(ctx)
	return f, nil
}

// startController starts a controller without state, which rebuilds its state from the table and the reports of the workers.
func (f *fleet) startController() {
	clk := &backdatedClock{}
	f.controller = applier.New(applier.DefaultSettings(), applier.Deps{
		Domain: domainName(0), Store: f.store, Table: f.table, Workers: f.listedEntries, Clock: clk, Client: &f.client,
		Lists: func() (api.Lists, bool) { return f.lists, true }, Leadership: permanentLeadership{time.Now().Add(-time.Hour)},
	})
	clk.controllerCreated.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func(c *applier.Controller) {
		defer close(done)
		c.Run(ctx)
	}(f.controller)
	f.stopController = func() {
		cancel()
		<-done
	}
}

// controllerHeap stops the controller, returns the heap that it used, and starts a new one.
func (f *fleet) controllerHeap() int64 {
	f.stopController()
	held := heapBytes()
	f.controller = nil
	held -= heapBytes()
	f.startController()
	return held
}

func (f *fleet) listedEntries() []api.HostEntry {
	var out []api.HostEntry
	for _, w := range f.workers[:f.listed.Load()] {
		out = append(out, w.Entry())
	}
	return out
}

func (f *fleet) close() {
	if f.stopController != nil {
		f.stopController()
	}
	if f.client.http != nil {
		f.client.http.Close()
	}
	for _, w := range f.workers {
		w.Close()
	}
	f.table.Close()
	f.platform.Close()
}

// submit submits a job and wakes the controller, as an entry host does.
func (f *fleet) submit(ctx context.Context, parts, runMS int, class api.JobSpecClass) (string, error) {
	f.submitted++
	job, err := f.store.Submit(ctx, api.JobSpec{
		SubmissionKey: fmt.Sprint("job-", f.submitted), Team: teamName(f.submitted % targetTeams), Kind: "tasks", Class: class, Parts: parts,
		Cores: partCores, MemoryGb: partMemoryGB, Adjacency: api.JobSpecAdjacencyDomain, DeclaredRunMS: runMS, Repeatable: true,
	}, domainName(0), int(time.Now().UnixMilli()))
	if err != nil {
		return "", errors.Wrap(err, "submit")
	}
	f.controller.Wake()
	return job.ID, nil
}

// growGangs submits gangs until there are n and waits until all their tasks run.
func (f *fleet) growGangs(ctx context.Context, n int) error {
	for len(f.gangs) < n {
		id, err := f.submit(ctx, gangParts, longRunMS, api.JobSpecClassNormal)
		if err != nil {
			return err
		}
		f.gangs = append(f.gangs, id)
	}
	want := n * gangParts
	if !await(ctx, startTimeout, func() bool { return f.runningTasks() == want }) {
		return errors.Errorf("%d of %d tasks are running", f.runningTasks(), want)
	}
	return nil
}

// runningTasks returns the number of running tasks on all workers.
func (f *fleet) runningTasks() int {
	n := 0
	for _, w := range f.workers {
		for _, t := range w.Report().Tasks {
			if t.State == api.TaskReportStateRunning {
				n++
			}
		}
	}
	return n
}

// runUrgentGang runs an urgent gang to its end and returns the time from its submission until all its parts run on the workers.
func (f *fleet) runUrgentGang(ctx context.Context, parts int) (time.Duration, error) {
	before, began := f.runningTasks(), time.Now()
	const run = 1500 // ms; longer than the start of the gang takes
	if _, err := f.submit(ctx, parts, run, api.JobSpecClassUrgent); err != nil {
		return 0, err
	}
	if !await(ctx, startTimeout, func() bool { return f.runningTasks() >= before+parts }) {
		return 0, errors.New("an urgent gang was not started")
	}
	took := time.Since(began)
	ended := await(ctx, startTimeout, func() bool { return f.runningTasks() <= before })
	if !ended {
		return 0, errors.New("an urgent gang did not end")
	}
	return took, nil
}
