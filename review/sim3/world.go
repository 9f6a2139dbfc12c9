package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
	"samphirewell/platform/platformtest"
)

const (
	service    = "svc"
	queueHost  = "h.example"
	key        = "0123456789abcdefghij"
	hostCount  = 3
	stopMargin = 8 * time.Second // within which a host ends after SIGTERM
)

// config is the operator's configuration: three queues of one service, and one tenant.
const config = `{"Version":1,"Routes":[
{"Name":"r-0","Host":"h.example","Prefix":"/urgent/","Kind":"unsafe","TimeoutMs":3000,"TargetRuntimeMs":250,"Priority":0,"Backend":"svc","Attempts":3,"Stretch":1.5,"Public":false},
{"Name":"r-1","Host":"h.example","Prefix":"/recon/","Kind":"unsafe","TimeoutMs":3000,"TargetRuntimeMs":1000,"Priority":1,"Backend":"svc","Attempts":3,"Stretch":3.0,"Public":false},
{"Name":"r-2","Host":"h.example","Prefix":"/forecast/","Kind":"unsafe","TimeoutMs":3000,"TargetRuntimeMs":3000,"Priority":2,"Backend":"svc","Attempts":3,"Stretch":3.0,"Public":false}],
"Services":[{"Name":"svc","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"RejectsOverload":true,"Spare":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"t","ApiKeys":["0123456789abcdefghij"],"Guaranteed":{"Gpu":8}}]}`

// bounds are the bounds of a deployment, as SYSTEM.md gives them.
type bounds struct {
	holdMax, stop time.Duration // HoldMaxMs, StopMs
}

var (
	kingston = bounds{6 * time.Second, 200 * time.Millisecond}
	sadyPlan = bounds{10 * time.Second, 900 * time.Millisecond}
)

// world is a small deployment: the platform's store, executors, and hosts as processes.
type world struct {
	bounds    bounds
	store     *memstore.Store
	executors []*executor
	history   *history
	began     time.Time
	dir       string
	hosts     []*host
	cloud     *cloud // nil: no API for machines
	platform  *lossyStore
	onStart   func(e *executor, o order) // called when a run starts; may be nil

	mu         sync.Mutex
	record     io.Writer
	conductOf  func(e *executor, kind string, o order) conduct // nil: orders are carried out and answered
	failServes time.Time                                       // from then on serving runs that started earlier end as failed
}

type host struct {
	callers string
	process *exec.Cmd
}

func serverKey(id string) rowstore.Key { return rowstore.Key{Table: "servers", Key: id} }

func fatal(what string, err error) {
	fmt.Fprintln(os.Stderr, what+":", err)
	os.Exit(2)
}

// newWorld starts the store, executors of the given kinds and the hosts, and waits until the hosts are ready.
func newWorld(record io.Writer, samphired string, kinds []string, b bounds, withCloud bool) *world {
	w := &world{bounds: b, store: memstore.New(), began: time.Now(), record: record}
	w.history = newHistory(w)
	var err error
	if w.dir, err = os.MkdirTemp("", "sim3-"); err != nil {
		fatal("temporary folder", err)
	}
	w.store.Put(rowstore.Key{Table: "op", Key: "config"}, []byte(config))
	ln := listen()
	w.platform = &lossyStore{w: w, inner: platformtest.StoreHandler(w.store)}
	go func() { _ = http.Serve(ln, w.platform) }()
	for i, kind := range kinds {
		w.executors = append(w.executors, startExecutor(w, fmt.Sprintf("i-%02d", i), kind, fmt.Sprintf("r1-%d", i/8)))
	}
	if withCloud {
		w.cloud = startCloud(w)
	}
	net := fmt.Sprintf("127.%d.%d.", 16+rand.N(200), 1+rand.N(250))
	for i := range hostCount {
		w.startHost(samphired, net, i, ln.Addr().String())
	}
	w.awaitReady()
	return w
}

func (w *world) startHost(samphired, net string, i int, store string) {
	ip := fmt.Sprintf("%s%d", net, 11+i)
	settings := map[string]any{"host": fmt.Sprintf("edge-z%d-1", i+1), "failure_domain": fmt.Sprintf("z%d", i+1), "caller_address": ip + ":8521", "readiness_address": ip + ":8523", "ip": ip,
		"ports": []int{7000, 7015}, "seeds": []string{net + "11:8526", net + "12:8526", net + "13:8526"}, "processors": 0.4, "table_address": store, "row_max_bytes": 65536,
		"machines_address": "", "memory_mb": 284, "max_descriptors": 4100, "stop_limit_s": 6, "far_factor": 3, "lease_max_ms": w.bounds.holdMax.Milliseconds(), "stop_max_ms": w.bounds.stop.Milliseconds()}
	if w.cloud != nil {
		settings["machines_address"] = w.cloud.address
	}
	data, _ := json.Marshal(settings)
	file := filepath.Join(w.dir, fmt.Sprintf("settings-%d.json", i))
	if err := os.WriteFile(file, data, 0o600); err != nil {
		fatal("settings", err)
	}
	out, err := os.Create(filepath.Join(w.dir, fmt.Sprintf("log-%d.json", i)))
	if err != nil {
		fatal("log", err)
	}
	defer out.Close()
	cmd := exec.Command(samphired, "platform")
	cmd.Env = append(os.Environ(), "SAMPHIREWELL_CONFIG="+file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		fatal("start of a host", err)
	}
	w.hosts = append(w.hosts, &host{ip + ":8521", cmd})
}

// awaitReady waits until every host serves and a job has run, so that a host leads.
func (w *world) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	id := "00000000000000aa"
	for i := range w.hosts {
		for {
			status, _ := w.call(i, http.MethodPost, "/recon/"+id, jobBody("done:10", `"Count":1,"Cpu":1000,"MemMb":100,"EstimateMs":10`))
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				w.close()
				fatal("start", fmt.Errorf("host %d answers %d", i, status))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for w.state(0, "/recon/"+id) != "completed" {
		if time.Now().After(deadline) {
			w.close()
			fatal("start", fmt.Errorf("the first job isn't completed"))
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	w.began = time.Now()
	w.log("the hosts serve and one leads")
}

// close ends all hosts and removes the temporary folder.
func (w *world) close() {
	for _, h := range w.hosts {
		_ = h.process.Process.Signal(syscall.SIGTERM)
	}
	for _, h := range w.hosts {
		kill := time.AfterFunc(stopMargin, func() { _ = h.process.Process.Kill() })
		_ = h.process.Wait()
		kill.Stop()
	}
	if keep := os.Getenv("SIM3_KEEP"); keep == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// log writes a line with the time to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// setConduct sets how executors handle orders; nil means that they carry them out and answer.
func (w *world) setConduct(f func(e *executor, kind string, o order) conduct) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conductOf = f
}

func (w *world) conduct(e *executor, kind string, o order) conduct {
	w.mu.Lock()
	f := w.conductOf
	w.mu.Unlock()
	if f == nil {
		return conduct{}
	}
	return f(e, kind, o)
}

// failServing makes the serving runs that exist now fail once.
func (w *world) failServing() {
	w.mu.Lock()
	w.failServes = time.Now()
	w.mu.Unlock()
	time.AfterFunc(4*tickPeriod, func() {
		w.mu.Lock()
		w.failServes = time.Time{}
		w.mu.Unlock()
	})
}

func (w *world) servingFails(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.failServes.IsZero() && now.After(w.failServes)
}

// call sends a request of a client to a host and returns the status, 0 without an answer, and the body.
func (w *world) call(i int, method, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+w.hosts[i].callers+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = queueHost
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: 3 * time.Second}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// submit hands a job in and records the answer.
func (w *world) submit(i int, path, body string) bool {
	status, _ := w.call(i, http.MethodPost, path, body)
	w.log("client: POST %s at host %d: %d", path, i, status)
	return status == http.StatusOK
}

// state returns the state that a host gives of a job, or the status if it isn't 200.
func (w *world) state(i int, path string) string {
	status, body := w.call(i, http.MethodGet, path, "")
	var v struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &v) != nil {
		return fmt.Sprint(status)
	}
	return v.State
}

// waiting returns the number of waiting jobs of a queue that a host gives, or -1.
func (w *world) waiting(i int, path string) int {
	status, body := w.call(i, http.MethodGet, path, "")
	var v struct{ Waiting *int }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &v) != nil || v.Waiting == nil {
		return -1
	}
	return *v.Waiting
}

func jobBody(spec, step string) string {
	return `{"Spec":"` + spec + `","Steps":[{` + step + `}]}`
}

// history holds the runs of work items as the executors saw them.
type history struct {
	w    *world
	mu   sync.Mutex
	runs []*runRecord
}

// runRecord is one run of a work item.
type runRecord struct {
	executor, task string
	number         int
	from, to       time.Time // to is zero while it runs
	how            string
	noted          time.Time // when its end was taken note of
}

func newHistory(w *world) *history { return &history{w: w} }

func (h *history) started(executor, task string, number int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, &runRecord{executor: executor, task: task, number: number, from: time.Now()})
	h.w.log("%s begins %s run %d", executor, task, number)
}

func (h *history) ended(executor, task string, number int, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.runs {
		if r.executor == executor && r.task == task && r.number == number && r.to.IsZero() {
			r.to, r.how = time.Now(), how
		}
	}
	h.w.log("%s lists the end of %s run %d: %s", executor, task, number, how)
}

// noted records that an end is taken note of, unless a lease lapsed on the executor since; lapsedAt is when one lapsed there last.
func (h *history) noted(executor string, row endRow, lapsedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.runs {
		if r.executor == executor && r.task == row.task && r.number == row.run {
			lapsed := lapsedAt.After(r.to)
			h.w.log("%s: the end of %s run %d (%s) is taken note of; a lease lapsed there since: %v", executor, row.task, row.run, row.how, lapsed)
			if !lapsed {
				r.noted = time.Now()
			}
		}
	}
}

// of returns copies of the runs of a job.
func (h *history) of(job string) []runRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []runRecord
	for _, r := range h.runs {
		if len(r.task) > len(job) && r.task[:len(job)] == job {
			out = append(out, *r)
		}
	}
	return out
}

// all returns copies of all runs.
func (h *history) all() []runRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]runRecord, len(h.runs))
	for i, r := range h.runs {
		out[i] = *r
	}
	return out
}
