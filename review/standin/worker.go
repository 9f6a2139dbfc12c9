package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"samphirewell/internal/rowstore"
)

const (
	maxListedEnds = 500 // ends in one response
	checkpointS   = 2 * time.Second
	stopDelay     = 50 * time.Millisecond // within stopTime
	startupTime   = 300 * time.Millisecond
)

// plan is what a run does: it ends in a way after a time. A run without an end runs on.
type plan struct {
	after time.Duration // 0 means that it runs on
	how   string
}

// run is a run of a work item, also after its end.
type run struct {
	task           string
	job            string
	step, index    int
	number         int
	worker         string
	spec           stepSpec
	plan           plan
	began, ended   time.Time
	how            string // empty while it runs
	noted          bool   // LastSeen has reached its end
	stopAt         time.Time
	lastCheckpoint string
}

// fleet is all executors, with the history of their runs.
type fleet struct {
	env     *env
	behave  func(*run) plan // decides what a new run does; called with mu held
	mu      sync.Mutex
	runs    []*run
	workers []*worker
	verbose bool // record each start and end
}

// worker is a stand-in of an executor as PROTOCOL.md describes it.
type worker struct {
	id, address, rack string
	size              size
	fleet             *fleet

	mu       sync.Mutex
	born     time.Time
	cut      bool // answers nothing and is reached by nothing
	fence    uint64
	leaseEnd time.Duration
	running  map[string]*run
	highest  map[string]int
	ended    []endRow
	endCount uint64
	changed  chan struct{}
	seq      int
	leased   bool        // the lease has not lapsed since it was last extended
	lapses   []time.Time // when the lease lapsed, also while nothing ran
}

type endRow struct {
	n   uint64
	run *run
}

func (f *fleet) add(id, rack string, s size) (*worker, error) {
	w := &worker{id: id, rack: rack, size: s, fleet: f}
	w.boot()
	address, err := serve("127.0.0.1:0", w)
	if err != nil {
		return nil, err
	}
	w.address = address
	f.workers = append(f.workers, w)
	w.register()
	go w.loop()
	return w, nil
}

// boot begins the life of the executor: it holds and knows nothing.
func (w *worker) boot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.fence, w.leaseEnd = time.Now(), 0, 0
	w.running, w.highest, w.ended, w.endCount, w.changed = map[string]*run{}, map[string]int{}, nil, 0, make(chan struct{})
}

func (w *worker) register() {
	w.mu.Lock()
	w.seq++
	entry := map[string]any{"Backend": "svc", "Address": w.address, "Zone": "z1", "Version": "1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Seq": w.seq,
		"Labels": []string{w.size.kind, w.rack}, "Capacity": map[string]int{"Cpu": w.size.cpu, "MemMb": w.size.mem, "Gpu": w.size.gpu}, "born": w.born.UnixMilli()}
	w.mu.Unlock()
	data, _ := json.Marshal(entry)
	w.fleet.env.store.Put(rowstore.Key{Table: "servers", Key: w.id}, data)
}

func (w *worker) loop() {
	lastBeat := time.Now()
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		cut := w.cut
		w.endDue()
		w.mu.Unlock()
		if !cut && time.Since(lastBeat) > heartbeat {
			lastBeat = time.Now()
			w.register()
		}
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// endDue ends the runs whose time has come. The caller holds w.mu.
func (w *worker) endDue() {
	now := time.Now()
	if w.leased && w.clock() > w.leaseEnd {
		w.leased, w.lapses = false, append(w.lapses, now)
	}
	for _, r := range w.running {
		switch {
		case w.clock() > w.leaseEnd:
			w.end(r, "lapsed", now)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(r, "stopped", now)
		case r.plan.after > 0 && now.After(r.began.Add(r.plan.after)):
			w.end(r, r.plan.how, now)
		}
	}
}

func (w *worker) end(r *run, how string, now time.Time) {
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.endCount++
	r.ended, r.how = now, how
	w.ended = append(w.ended, endRow{w.endCount, r})
	close(w.changed)
	w.changed = make(chan struct{})
	if w.fleet.verbose {
		w.fleet.env.logf("executor %s: %s run %d ended %s", w.id, r.task, r.number, how)
	}
}

// checkpoint returns the newest checkpoint of a run.
func (r *run) checkpoint() string {
	if !r.spec.Checkpoint {
		return ""
	}
	if n := int(time.Since(r.began) / checkpointS); n > 0 {
		return fmt.Sprintf("%s-%d-%d", r.task, r.number, n)
	}
	return r.lastCheckpoint
}

// percent returns the progress of a run.
func (r *run) percent() int {
	age := time.Since(r.began)
	switch {
	case r.spec.LongRunning && age > startupTime:
		return 100
	case r.spec.LongRunning, r.plan.after == 0:
		return 0
	}
	return min(99, int(100*age/r.plan.after))
}

type callBody struct {
	Task, Spec, LastCheckpoint string
	Run                        int
	UntilMs, WaitMs            int64
	FencingToken, LastSeen     uint64
}

// abortIfUnreachable ends a call to an executor that is cut off without an answer, after the cut.
func (w *worker) abortIfUnreachable() {
	for waited := false; ; waited = true {
		w.mu.Lock()
		cut := w.cut
		w.mu.Unlock()
		if !cut && waited {
			panic(http.ErrAbortHandler)
		}
		if !cut {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// ServeHTTP serves the calls to the executor. A call to one that is cut off gets no answer.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.abortIfUnreachable()
	var b callBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	reason := ""
	if b.FencingToken < w.fence {
		reason = "fence"
	} else {
		w.fence = b.FencingToken
		switch r.URL.Path {
		case "/v1/run-start":
			reason = w.start(b)
		case "/v1/run-stop":
			if r := w.running[b.Task]; r != nil && r.number <= b.Run && r.stopAt.IsZero() {
				r.stopAt = time.Now().Add(stopDelay)
			}
			w.highest[b.Task] = max(w.highest[b.Task], b.Run)
		case "/v1/hold":
			w.hold(b)
		}
	}
	clock := w.clock().Milliseconds()
	w.mu.Unlock()
	switch {
	case reason != "":
		reply(rw, http.StatusConflict, map[string]any{"ClockMs": clock, "Reason": reason})
	case r.URL.Path == "/v1/hold":
		w.replyLists(rw, time.Duration(b.WaitMs)*time.Millisecond)
	default:
		reply(rw, http.StatusOK, map[string]any{"ClockMs": clock})
	}
}

func reply(rw http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

func (w *worker) extend(untilMs int64) {
	w.leaseEnd = max(w.leaseEnd, min(time.Duration(untilMs)*time.Millisecond, w.clock()+holdMax))
	w.leased = w.leased || w.leaseEnd > w.clock()
}

func (w *worker) start(b callBody) string {
	if r := w.running[b.Task]; r != nil && r.number == b.Run {
		return ""
	}
	name := strings.Split(b.Task, ".")
	if len(name) != 4 {
		return "old"
	}
	step, _ := strconv.Atoi(name[2])
	index, _ := strconv.Atoi(name[3])
	spec, text, known := w.fleet.env.step(name[0], step)
	if !known || text != b.Spec {
		w.fleet.env.logf("executor %s: start of %s that nobody sent, or with another Spec", w.id, b.Task)
	}
	switch {
	case b.Run <= w.highest[b.Task] || w.running[b.Task] != nil:
		w.extend(b.UntilMs)
		return "old"
	case time.Duration(b.UntilMs)*time.Millisecond <= w.clock():
		return "late"
	case !w.size.minus(w.usedLocked()).covers(spec.room()):
		w.extend(b.UntilMs)
		return "room"
	}
	w.extend(b.UntilMs)
	r := &run{task: b.Task, job: name[0], step: step, index: index, number: b.Run, worker: w.id, spec: spec, began: time.Now(), lastCheckpoint: b.LastCheckpoint}
	w.fleet.mu.Lock()
	r.plan = w.fleet.behave(r)
	w.fleet.runs = append(w.fleet.runs, r)
	w.fleet.mu.Unlock()
	w.running[b.Task] = r
	if w.fleet.verbose {
		w.fleet.env.logf("executor %s: %s run %d starts", w.id, b.Task, b.Run)
	}
	return ""
}

// used returns what the runs on the executor take.
func (w *worker) used() size {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usedLocked()
}

// usedLocked is used for callers that hold w.mu.
func (w *worker) usedLocked() size {
	var sum size
	for _, r := range w.running {
		sum = sum.plus(r.spec.room())
	}
	return sum
}

// hold extends the leases and forgets the ends that the caller has seen.
func (w *worker) hold(b callBody) {
	if b.UntilMs > 0 {
		w.extend(b.UntilMs)
	}
	for len(w.ended) > 0 && w.ended[0].n <= b.LastSeen {
		w.ended[0].run.noted = true
		w.ended = w.ended[1:]
	}
}

// replyLists answers a hold. If there are no ends, it waits for one.
func (w *worker) replyLists(rw http.ResponseWriter, wait time.Duration) {
	w.mu.Lock()
	changed, pending := w.changed, len(w.ended) > 0
	w.mu.Unlock()
	if !pending && wait > 0 {
		select {
		case <-changed:
		case <-time.After(min(wait, 2*time.Second)):
		}
	}
	w.abortIfUnreachable()
	w.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.number, r.checkpoint(), r.percent(), r.spec.CPU})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.n, e.run.task, e.run.number, e.run.how, e.run.lastCheckpoint})
	}
	if n := len(w.ended); n > maxListedEnds {
		w.fleet.env.logf("executor %s: %d ends to list, the response has the first %d", w.id, n, maxListedEnds)
	}
	body := map[string]any{"ClockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "Running": running, "Ended": ended}
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

// setCut cuts the executor off, or ends that.
func (w *worker) setCut(on bool) {
	w.mu.Lock()
	w.cut = on
	w.mu.Unlock()
	w.fleet.env.logf("executor %s cut off: %v", w.id, on)
}

// runsOf returns the runs of a job so far.
func (f *fleet) runsOf(job string) []*run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*run
	for _, r := range f.runs {
		if r.job == job {
			out = append(out, r)
		}
	}
	return out
}

// begunItems returns how many work items of a job have begun.
func (f *fleet) begunItems(job string) int {
	begun := map[string]bool{}
	for _, r := range f.runsOf(job) {
		begun[r.task] = true
	}
	return len(begun)
}

// isRunning reports whether a run is at work now.
func (f *fleet) isRunning(r *run) bool {
	for _, w := range f.workers {
		if w.id == r.worker {
			w.mu.Lock()
			defer w.mu.Unlock()
			return r.how == ""
		}
	}
	return false
}

// runningOf returns the number of runs of a job that are at work.
func (f *fleet) runningOf(job string) int {
	n := 0
	for _, r := range f.runsOf(job) {
		if f.isRunning(r) {
			n++
		}
	}
	return n
}
