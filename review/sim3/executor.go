package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// conduct is how an executor handles one order.
type conduct struct {
	refuse bool          // respond with 429 and do nothing
	late   time.Duration // above 0: never respond, and carry the order out after this time
}

// executor simulates one executor of the platform. Its fields follow PROTOCOL.md.
type executor struct {
	w       *world
	id      string
	address string
	rack    string
	kind    string
	server  *http.Server
	born    time.Time

	mu        sync.Mutex
	down      bool
	token     uint64
	leaseEnd  time.Duration // on the executor's clock
	runs      map[string]*run
	highest   map[string]int // highest run that ended or was stopped, by work item
	ended     []endRow
	endCount  uint64
	exitAt    time.Time     // of an executor that drains; zero before
	lapsedAt  time.Time     // when a run last ended because its lease ran out
	changed   chan struct{} // closed and replaced when a run ends
	heartbeat int
}

// run is a run of a work item.
type run struct {
	number  int
	started time.Time
	plan    plan
	stopAt  time.Time // when an ordered stop ends it; zero without one
}

// plan is what a work item does, decoded from its Spec.
type plan struct {
	how  string        // "done", "failed" or "serve"
	work time.Duration // until it ends
}

func decodePlan(spec string) plan {
	how, ms, _ := strings.Cut(spec, ":")
	n, _ := strconv.Atoi(ms)
	return plan{how, time.Duration(n) * time.Millisecond}
}

type endRow struct {
	n    uint64
	task string
	run  int
	how  string
}

// order is the body of all calls to an executor.
type order struct {
	Task         string
	Run          int
	Spec         string
	UntilMs      int64
	FencingToken uint64
	LastSeen     uint64
	WaitMs       int64
}

const (
	cores      = 128
	heartbeat  = 1500 * time.Millisecond
	tickPeriod = 5 * time.Millisecond
)

func startExecutor(w *world, id, kind, rack string) *executor {
	ln := listen()
	e := &executor{w: w, id: id, address: ln.Addr().String(), rack: rack, kind: kind, born: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(ln) }()
	e.register()
	go e.work()
	return e
}

func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen", err)
	}
	return ln
}

func (e *executor) register() {
	e.heartbeat++
	entry := map[string]any{"Backend": service, "Address": e.address, "Zone": "z1", "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
		"Capacity": map[string]int{"Cpu": cores * 1000, "MemMb": 512000, "Gpu": 8}, "Labels": []string{e.kind, e.rack}, "born": e.born.UnixMilli(), "Seq": e.heartbeat}
	if !e.exitAt.IsZero() {
		entry["State"], entry["RemainingMs"] = "draining", max(0, time.Until(e.exitAt).Milliseconds())
	}
	data, _ := json.Marshal(entry)
	e.w.store.Put(serverKey(e.id), data)
}

func (e *executor) clock() time.Duration { return time.Since(e.born) }

// work ends runs in time and writes the executor's entry.
func (e *executor) work() {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	lastBeat := time.Now()
	for now := range ticker.C {
		e.mu.Lock()
		if e.down {
			e.mu.Unlock()
			return
		}
		for task, r := range e.runs {
			switch {
			case e.clock() > e.leaseEnd:
				e.end(task, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				e.end(task, "stopped")
			case r.plan.how == "serve" && r.plan.work > 0 && e.w.servingFails(now):
				e.end(task, "failed")
			case r.plan.how != "serve" && now.Sub(r.started) >= r.plan.work:
				e.end(task, r.plan.how)
			}
		}
		if now.Sub(lastBeat) >= heartbeat {
			lastBeat = now
			e.register()
		}
		e.mu.Unlock()
	}
}

// end ends a run. The caller holds e.mu.
func (e *executor) end(task, how string) {
	r := e.runs[task]
	delete(e.runs, task)
	e.highest[task] = max(e.highest[task], r.number)
	e.endCount++
	if how == "lapsed" {
		e.lapsedAt = time.Now()
	}
	e.ended = append(e.ended, endRow{e.endCount, task, r.number, how})
	e.w.history.ended(e.id, task, r.number, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// crash ends the executor for good: its connections are reset and everything that runs there ends. The platform removes its entry after three heartbeats.
func (e *executor) crash() {
	e.exit("crashes")
	time.AfterFunc(3*heartbeat, func() { e.w.store.Remove(serverKey(e.id)) })
}

// leave makes the executor report that it drains, and exit after the time. Its entry is removed when it has left.
func (e *executor) leave(after time.Duration) {
	e.mu.Lock()
	e.exitAt = time.Now().Add(after)
	e.register()
	e.mu.Unlock()
	e.w.log("executor %s drains and leaves in %v", e.id, after)
	time.AfterFunc(after, func() {
		e.exit("has left")
		e.w.store.Remove(serverKey(e.id))
	})
}

// exit ends the executor and everything that runs there.
func (e *executor) exit(how string) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	for task, r := range e.runs {
		e.w.history.ended(e.id, task, r.number, "crashed")
	}
	e.runs = map[string]*run{}
	e.mu.Unlock()
	e.w.log("executor %s %s", e.id, how)
	_ = e.server.Close()
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	kind := strings.TrimPrefix(r.URL.Path, "/v1/")
	c := e.w.conduct(e, kind, o)
	switch {
	case c.refuse:
		e.w.log("%s %s: %s run %d refused with 429", e.id, kind, o.Task, o.Run)
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	case c.late > 0:
		e.w.log("%s %s: %s run %d LastSeen %d gets no answer, carried out in %v", e.id, kind, o.Task, o.Run, o.LastSeen, c.late)
		time.AfterFunc(c.late, func() { e.carryOut(kind, o) })
		<-r.Context().Done()
		return
	}
	reason := e.carryOut(kind, o)
	if kind != "hold" {
		e.w.log("%s %s: %s run %d: %q", e.id, kind, o.Task, o.Run, reason)
	}
	if kind == "hold" && reason == "" {
		e.answerHold(rw, r, o)
		return
	}
	status := http.StatusOK
	body := map[string]any{"ClockMs": e.clock().Milliseconds()}
	if reason != "" {
		status, body["Reason"] = http.StatusConflict, reason
	}
	respond(rw, status, body)
}

// carryOut carries out an order and returns the reason of a refusal.
func (e *executor) carryOut(kind string, o order) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.down:
		return "down"
	case o.FencingToken < e.token:
		return "fence"
	}
	e.token = o.FencingToken
	switch kind {
	case "run-start":
		return e.start(o)
	case "run-stop":
		if r := e.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(e.w.bounds.stop / 2)
		}
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	case "hold":
		e.extend(o.UntilMs)
		for len(e.ended) > 0 && e.ended[0].n <= o.LastSeen {
			e.w.history.noted(e.id, e.ended[0], e.lapsedAt)
			e.ended = e.ended[1:]
		}
	}
	return ""
}

func (e *executor) extend(untilMs int64) {
	if untilMs > 0 {
		e.leaseEnd = max(e.leaseEnd, min(time.Duration(untilMs)*time.Millisecond, e.clock()+e.w.bounds.holdMax))
	}
}

// start starts a run and returns the reason of a refusal. The caller holds e.mu.
func (e *executor) start(o order) string {
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	switch {
	case o.Run <= e.highest[o.Task]:
		e.extend(o.UntilMs)
		return "old"
	case time.Duration(o.UntilMs)*time.Millisecond <= e.clock():
		return "late"
	}
	e.extend(o.UntilMs)
	e.runs[o.Task] = &run{number: o.Run, started: time.Now(), plan: decodePlan(o.Spec)}
	e.w.history.started(e.id, o.Task, o.Run)
	if e.w.onStart != nil {
		go e.w.onStart(e, o)
	}
	return ""
}

// answerHold responds with the lists of runs, after the end of a run if the order asks for that.
func (e *executor) answerHold(rw http.ResponseWriter, r *http.Request, o order) {
	e.mu.Lock()
	changed, pending := e.changed, len(e.ended) > 0
	e.mu.Unlock()
	if !pending && o.WaitMs > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	e.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	for task, run := range e.runs {
		percent := 100
		if run.plan.how != "serve" {
			percent = int(100 * time.Since(run.started) / max(1, run.plan.work))
		}
		running = append(running, []any{task, run.number, "", min(percent, 100), 0})
	}
	for _, row := range e.ended[:min(len(e.ended), 500)] {
		ended = append(ended, []any{row.n, row.task, row.run, row.how, ""})
	}
	body := map[string]any{"ClockMs": e.clock().Milliseconds(), "born": e.born.UnixMilli(), "Running": running, "Ended": ended}
	e.mu.Unlock()
	respond(rw, http.StatusOK, body)
}

func respond(rw http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}
