package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

const (
	stopTime = 100 * time.Millisecond // time that a stop takes, below StopMs
	listMax  = 500                    // ends in one response
	tick     = 10 * time.Millisecond
	startup  = 300 * time.Millisecond // after which a lasting work item is at work
	// heartbeat is HeartbeatMs; an entry goes after three of them without a report.
	heartbeat = 1500 * time.Millisecond
)

// holdMax is the longest lease of the executors, HoldMaxMs.
var holdMax = 6 * time.Second

// resources is an amount of capacity as the protocol names it.
type resources struct {
	CPU        int `json:"Cpu"`
	MemMb, Gpu int
}

func (r resources) plus(o resources) resources {
	return resources{r.CPU + o.CPU, r.MemMb + o.MemMb, r.Gpu + o.Gpu}
}

func (r resources) covers(o resources) bool {
	return r.CPU >= o.CPU && r.MemMb >= o.MemMb && r.Gpu >= o.Gpu
}

// spec is the payload of the jobs that the cases submit; the executors read the work items' needs and times from it.
type spec struct {
	RunMs   int
	Need    resources
	Lasting bool
	Fills   bool
}

// counted returns what counts against the capacity of an executor: the Cpu of what fills doesn't.
func (s spec) counted() resources {
	if s.Fills {
		return resources{MemMb: s.Need.MemMb, Gpu: s.Need.Gpu}
	}
	return s.Need
}

// execution is a run of a work item on an executor.
type execution struct {
	run       int
	spec      spec
	startedAt time.Time
	stopAt    time.Time // when a stop takes effect; zero without one
}

// executor plays one executor of the platform. Crash and boot end and begin its lives.
type executor struct {
	id, rack string
	fleet    *fleet
	capacity resources

	mu       sync.Mutex
	address  string
	alive    bool
	silentAt time.Time // when it crashed
	server   *http.Server
	born     time.Time
	fence    uint64
	leaseEnd time.Duration
	running  map[string]*execution
	highest  map[string]int
	ended    [][]any
	endCount uint64
	changed  chan struct{}
	channels map[net.Conn]struct{} // open ones
}

// fleet is the executors of a service, and what the platform saw of them.
type fleet struct {
	store     *memstore.Store
	record    *recorder
	executors []*executor
	// onStart is called after an executor has begun a work item; nil does nothing.
	onStart func(e *executor, task string, run int)
	// onStop is called, with the executor locked, when a work item that runs is told to stop; nil does nothing.
	onStop func(e *executor, task string, x *execution)

	mu         sync.Mutex
	starts     map[string]int            // by work item
	ends       map[string]map[string]int // by work item and outcome, as listed by executors
	notedDone  map[string]bool           // work items whose end done was taken note of
	violations []string
}

func newFleet(s *memstore.Store, r *recorder) *fleet {
	return &fleet{store: s, record: r, starts: map[string]int{}, ends: map[string]map[string]int{}, notedDone: map[string]bool{}}
}

func (f *fleet) add(id, rack string, capacity resources) *executor {
	e := &executor{id: id, rack: rack, fleet: f, capacity: capacity}
	f.executors = append(f.executors, e)
	e.boot()
	go e.loop()
	return e
}

func (f *fleet) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.record.line("VIOLATION %s", text)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, text)
}

// boot begins a life of the executor at the address that it had, or at a free one.
func (e *executor) boot() {
	e.mu.Lock()
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		e.mu.Unlock()
		e.fleet.record.fail("executor %s cannot listen: %v", e.id, err)
		return
	}
	e.address, e.alive, e.born = ln.Addr().String(), true, time.Now()
	e.fence, e.leaseEnd, e.endCount, e.ended = 0, 0, 0, nil
	e.running, e.highest, e.changed = map[string]*execution{}, map[string]int{}, make(chan struct{})
	e.channels = map[net.Conn]struct{}{}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ConnState: e.trackChannel}
	server := e.server
	go func() { _ = server.Serve(ln) }()
	e.mu.Unlock()
	e.register("ready")
	e.fleet.record.line("executor %s up at %s", e.id, e.address)
}

// crash ends the executor's life at once: its runs are gone and its connections are reset.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return
	}
	e.alive, e.silentAt = false, time.Now()
	var lost []string
	for task, x := range e.running {
		lost = append(lost, fmt.Sprintf("%s run %d after %d ms", task, x.run, time.Since(x.startedAt).Milliseconds()))
	}
	e.running = map[string]*execution{}
	_ = e.server.Close()
	e.fleet.record.line("executor %s crashes; running: %s", e.id, strings.Join(lost, ", "))
}

func (e *executor) register(state string) {
	e.mu.Lock()
	entry := map[string]any{"Backend": "svc", "Address": e.address, "Zone": "z", "Version": "1", "Slots": 8, "State": state,
		"Labels": []string{"kind-a", e.rack}, "Capacity": e.capacity, "born": e.born.UnixMilli(), "ColdLeftMs": 0, "Seq": 1}
	if state == "draining" {
		entry["RemainingMs"] = leaveNotice.Milliseconds()
	}
	e.mu.Unlock()
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // plain types
	}
	e.fleet.store.Put(rowstore.Key{Table: "servers", Key: e.id}, data)
}

func (e *executor) clock() time.Duration { return time.Since(e.born) }

// loop ends runs that are done, stopped or without a lease, and removes the entry of a silent executor.
func (e *executor) loop() {
	for range time.Tick(tick) {
		e.mu.Lock()
		remove := !e.alive && !e.silentAt.IsZero() && time.Since(e.silentAt) > 3*heartbeat
		if remove {
			e.silentAt = time.Time{}
		}
		for task, x := range e.running {
			switch {
			case e.clock() > e.leaseEnd:
				e.end(task, "lapsed")
			case !x.stopAt.IsZero() && time.Now().After(x.stopAt):
				e.end(task, "stopped")
			case !x.spec.Lasting && time.Since(x.startedAt) >= time.Duration(x.spec.RunMs)*time.Millisecond:
				e.end(task, "done")
			}
		}
		e.mu.Unlock()
		if remove {
			e.fleet.store.Remove(rowstore.Key{Table: "servers", Key: e.id})
			e.fleet.record.line("entry of executor %s removed", e.id)
		}
	}
}

// end ends a run. The caller holds e.mu.
func (e *executor) end(task, how string) {
	x := e.running[task]
	delete(e.running, task)
	e.highest[task] = max(e.highest[task], x.run)
	e.endCount++
	e.ended = append(e.ended, []any{e.endCount, task, x.run, how, ""})
	close(e.changed)
	e.changed = make(chan struct{})
	e.fleet.record.line("executor %s ends %s run %d: %s", e.id, task, x.run, how)
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if e.fleet.ends[task] == nil {
		e.fleet.ends[task] = map[string]int{}
	}
	e.fleet.ends[task][how]++
}

// call is the body of all calls to an executor.
type call struct {
	Task         string
	Run          int
	Spec         string
	UntilMs      int64
	FencingToken uint64
	LastSeen     uint64
	WaitMs       int64
}

func (e *executor) serve(w http.ResponseWriter, r *http.Request) {
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if !e.alive {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	reason, started := "", false
	switch {
	case c.FencingToken < e.fence:
		reason = "fence"
	case strings.HasSuffix(r.URL.Path, "/run-start"):
		e.fence = c.FencingToken
		reason, started = e.start(c)
	case strings.HasSuffix(r.URL.Path, "/run-stop"):
		e.fence = c.FencingToken
		e.stop(c)
	default:
		e.fence = c.FencingToken
		e.hold(c)
	}
	clock := e.clock().Milliseconds()
	e.mu.Unlock()
	if started && e.fleet.onStart != nil {
		e.fleet.onStart(e, c.Task, c.Run)
	}
	switch {
	case reason != "":
		reply(w, http.StatusConflict, map[string]any{"ClockMs": clock, "Reason": reason})
	case strings.HasSuffix(r.URL.Path, "/hold"):
		e.report(w, time.Duration(c.WaitMs)*time.Millisecond)
	default:
		reply(w, http.StatusOK, map[string]any{"ClockMs": clock})
	}
}

func (e *executor) extendLease(untilMs int64) {
	if untilMs > 0 {
		e.leaseEnd = max(e.leaseEnd, min(time.Duration(untilMs)*time.Millisecond, e.clock()+holdMax))
	}
}

// start begins a work item or returns the reason for a refusal. The caller holds e.mu.
func (e *executor) start(c call) (reason string, started bool) {
	if x := e.running[c.Task]; x != nil && x.run == c.Run {
		return "", false
	}
	var s spec
	if err := json.Unmarshal([]byte(c.Spec), &s); err != nil {
		e.fleet.violate("%s was started with another Spec", c.Task)
	}
	used := s.counted()
	for _, x := range e.running {
		used = used.plus(x.spec.counted())
	}
	switch {
	case c.Run <= e.highest[c.Task]:
		e.extendLease(c.UntilMs)
		return "old", false
	case time.Duration(c.UntilMs)*time.Millisecond <= e.clock():
		return "late", false
	case !e.capacity.covers(used):
		e.extendLease(c.UntilMs)
		return "room", false
	}
	if len(e.running) == 0 {
		e.leaseEnd = 0
	}
	e.extendLease(c.UntilMs)
	e.running[c.Task] = &execution{run: c.Run, spec: s, startedAt: time.Now()}
	e.fleet.record.line("executor %s starts %s run %d, token %d", e.id, c.Task, c.Run, c.FencingToken)
	e.fleet.mu.Lock()
	e.fleet.starts[c.Task]++
	again := e.fleet.notedDone[c.Task]
	e.fleet.mu.Unlock()
	if again {
		e.fleet.violate("TWICE: %s run %d starts on %s after its end done was taken note of", c.Task, c.Run, e.id)
	}
	return "", true
}

func (e *executor) stop(c call) {
	if x := e.running[c.Task]; x != nil && x.run <= c.Run && x.stopAt.IsZero() {
		x.stopAt = time.Now().Add(stopTime)
		if e.fleet.onStop != nil {
			e.fleet.onStop(e, c.Task, x)
		}
	}
	e.highest[c.Task] = max(e.highest[c.Task], c.Run)
}

func (e *executor) hold(c call) {
	e.extendLease(c.UntilMs)
	for len(e.ended) > 0 && e.ended[0][0].(uint64) <= c.LastSeen {
		if e.ended[0][3] == "done" {
			e.fleet.mu.Lock()
			e.fleet.notedDone[e.ended[0][1].(string)] = true
			e.fleet.mu.Unlock()
		}
		e.ended = e.ended[1:]
	}
}

func (e *executor) report(w http.ResponseWriter, wait time.Duration) {
	e.mu.Lock()
	changed, pending := e.changed, len(e.ended) > 0
	e.mu.Unlock()
	if !pending && wait > 0 {
		select {
		case <-changed:
		case <-time.After(min(wait, 2*time.Second)):
		}
	}
	e.mu.Lock()
	if !e.alive {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for task, x := range e.running {
		percent := 100
		if x.spec.Lasting && time.Since(x.startedAt) < startup {
			percent = 0
		}
		if !x.spec.Lasting {
			percent = int(100 * time.Since(x.startedAt).Milliseconds() / int64(max(1, x.spec.RunMs)))
		}
		running = append(running, []any{task, x.run, "", min(100, percent), x.spec.Need.CPU})
	}
	body := map[string]any{"ClockMs": e.clock().Milliseconds(), "born": e.born.UnixMilli(), "Running": running,
		"Ended": slices.Clone(append([][]any{}, e.ended[:min(len(e.ended), listMax)]...))}
	e.mu.Unlock()
	reply(w, http.StatusOK, body)
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // plain types
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
