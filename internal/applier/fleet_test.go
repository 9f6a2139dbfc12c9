package applier

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/jobs"
	"samphirewell/internal/platform/memtable"
	"samphirewell/internal/standin/lease"
)

var testStart = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

const testDomain = "d1"

// fleet is a failure domain with simulated workers, an in-memory table and a manual clock.
type fleet struct {
	clock    *clock.Manual
	table    *memtable.Table
	store    *jobs.Store
	entries  []api.HostEntry
	machines map[string]*lease.StateMachine
	lists    api.Lists
	events   []api.Event
	parts    map[string]int // number of parts, by job id
}

// unlimited is an accelerator limit above the capacity of every test fleet.
const unlimited = 1_000_000

func newFleet(workers int) *fleet {
	f := &fleet{clock: clock.NewManual(testStart), machines: map[string]*lease.StateMachine{}, parts: map[string]int{}}
	f.table = memtable.NewTable(f.clock, 1)
	f.store = jobs.NewStore(f.table)
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		f.entries = append(f.entries, api.HostEntry{
			ID: id, Incarnation: "1", Rack: fmt.Sprintf("r%02d", i/8), FailureDomain: testDomain, Role: api.HostEntryRoleWorker,
			Cores: 16, MemoryGb: 64, Accelerators: 4,
		})
		f.machines[id] = lease.New(lease.Config{
			WorkerID: id, Incarnation: "1", Cores: 16, MemoryGB: 64, Accelerators: 4, CheckpointEvery: 4 * time.Second,
		}, f.clock)
	}
	f.lists = api.Lists{
		FailureDomains: []string{testDomain, "there", "lost"}, Policy: api.Policy{CompletionWeight: 1, FragmentationWeight: 1},
		Teams: []api.Team{{Name: "t1", Plan: "p"}, {Name: "t2", Plan: "p2"}},
		Plans: []api.Plan{{Name: "p", Weight: 1, AcceleratorLimit: unlimited, Guarantees: []api.Guarantee{
			{FailureDomain: testDomain, Count: 1, Parts: 2, Cores: 4, MemoryGb: 8, Accelerators: 4, Adjacency: api.GuaranteeAdjacencyDomain},
		}}, {Name: "p2", Weight: 1, AcceleratorLimit: unlimited}},
	}
	return f
}

// alwaysPreferred is the Leadership of a host that has been preferred since the given time.
type alwaysPreferred time.Time

func (alwaysPreferred) HasAuthority(time.Time) bool { return true }
func (a alwaysPreferred) Since() time.Time          { return time.Time(a) }

func (f *fleet) controller(client WorkerClient, lead Leadership) *Controller {
	return New(Settings{Concurrency: 1}, Deps{
		Domain: testDomain, Store: f.store, Table: f.table, Clock: f.clock, Client: client, Leadership: lead,
		Workers: func() []api.HostEntry { return slices.Clone(f.entries) },
		Lists:   func() (api.Lists, bool) { return f.lists, true },
		Events:  func(e api.Event) { f.events = append(f.events, e) },
	})
}

// ready returns a controller that has been preferred for long enough that it may place any job.
func (f *fleet) ready(client WorkerClient) *Controller {
	c := f.controller(client, alwaysPreferred(f.clock.Now()))
	f.run(10*time.Second, c)
	return c
}

func spec(key string, parts, accelerators int, run time.Duration) api.JobSpec {
	return api.JobSpec{
		SubmissionKey: key, Team: "t2", Kind: "k", Class: api.JobSpecClassNormal, Parts: parts, Cores: 2, MemoryGb: 4,
		Accelerators: accelerators, Adjacency: api.JobSpecAdjacencyDomain, DeclaredRunMS: int(run.Milliseconds()), Repeatable: true,
	}
}

func (f *fleet) submit(s api.JobSpec) (string, error) {
	j, err := f.store.Submit(context.Background(), s, testDomain, int(f.clock.Now().UnixMilli()))
	if err == nil {
		f.parts[j.ID] = s.Parts
	}
	return j.ID, err
}

func (f *fleet) phase(id string) api.JobRecordPhase {
	j, err := f.store.Get(context.Background(), id)
	if err != nil {
		return ""
	}
	return j.Phase
}

// run advances the clock by d in increments of 250 ms and executes a step of each controller after each.
func (f *fleet) run(d time.Duration, controllers ...*Controller) {
	for range int(d / (250 * time.Millisecond)) {
		f.clock.Advance(250 * time.Millisecond)
		for _, c := range controllers {
			c.Step(context.Background())
		}
	}
}

func (f *fleet) history() []lease.Run {
	var runs []lease.Run
	for _, e := range f.entries {
		runs = append(runs, f.machines[e.ID].History()...)
	}
	return runs
}

func (f *fleet) count(kind api.EventKind) int {
	n := 0
	for _, e := range f.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

var errCommandLost = errors.New("no response")

// directClient is a WorkerClient that calls the simulated workers directly and can inject a fault into each command.
type directClient struct {
	f        *fleet
	block    func(worker string) // called before each command; may block it
	mu       sync.Mutex
	faultFor func(worker, command string) commandFault
	messages int
	counts   map[string]int
}

// commandTime is the duration of a command to a worker.
const commandTime = time.Millisecond

// commandFault is the fault that is injected into one command.
type commandFault struct {
	dropRequest, loseResponse bool
	twice                     bool
	delay                     func(deliver func()) // receives the delivery to call later; the response is lost
}

func deliver[T any](d *directClient, worker, command string, do func(*lease.StateMachine) T) (T, error) {
	var zero T
	if d.block != nil {
		d.block(worker)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.messages++
	d.f.clock.Advance(commandTime) // gives the starts and ends of runs distinct times
	if d.counts != nil {
		d.counts[command]++
	}
	m := d.f.machines[worker]
	var fault commandFault
	if d.faultFor != nil {
		fault = d.faultFor(worker, command)
	}
	if m == nil || fault.dropRequest {
		return zero, errCommandLost
	}
	if fault.delay != nil {
		fault.delay(func() { do(m) })
		return zero, errCommandLost
	}
	out := do(m)
	if fault.twice {
		out = do(m)
	}
	if fault.loseResponse {
		return zero, errCommandLost
	}
	return out, nil
}

func (d *directClient) Reserve(_ context.Context, w api.HostEntry, reqs []api.ReserveRequest) (api.LeaseResponse, error) {
	return deliver(d, w.ID, "reserve", func(m *lease.StateMachine) (out api.LeaseResponse) {
		for _, r := range reqs {
			out.Results = append(out.Results, m.Reserve(r))
		}
		return out
	})
}

func (d *directClient) each(w api.HostEntry, name string, cmd api.LeaseCommand,
	run func(*lease.StateMachine, api.LeaseRef, time.Duration) api.LeaseResult) (api.LeaseResponse, error) {
	return deliver(d, w.ID, name, func(m *lease.StateMachine) (out api.LeaseResponse) {
		for _, r := range cmd.Leases {
			out.Results = append(out.Results, run(m, r, time.Duration(cmd.TtlMS)*time.Millisecond))
		}
		return out
	})
}

func (d *directClient) Commit(_ context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return d.each(w, "commit", cmd, (*lease.StateMachine).Commit)
}

func (d *directClient) Renew(_ context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return d.each(w, "renew", cmd, (*lease.StateMachine).Renew)
}

func (d *directClient) Checkpoint(_ context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return d.each(w, "checkpoint", cmd, (*lease.StateMachine).Checkpoint)
}

func (d *directClient) Throttle(_ context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return d.each(w, "throttle", cmd, (*lease.StateMachine).Throttle)
}

func (d *directClient) Stop(_ context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	return d.each(w, "stop", cmd, func(m *lease.StateMachine, r api.LeaseRef, _ time.Duration) api.LeaseResult { return m.Stop(r) })
}

func (d *directClient) Report(_ context.Context, w api.HostEntry) (api.WorkerReport, error) {
	return deliver(d, w.ID, "report", (*lease.StateMachine).Report)
}
