package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
	"samphirewell/platform/platformtest"
)

// Limits that the pages set for a small deployment.
const (
	rowBytes    = 65536 // RowBytes
	txBytes     = 1 << 20
	txEntries   = 100
	callTime    = 4 * time.Millisecond // TxMs
	memoryMB    = 284
	deadline    = 3 * time.Second
	retries     = 4
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 6 * time.Second
	stopTime    = 200 * time.Millisecond
	finishTime  = 14 * time.Second // finish_s
	idleBound   = 3 * time.Second  // LOST: for 3 s nothing of a job runs
	reclaimTime = 2700 * time.Millisecond
	frontPort   = 8521
	readyPort   = 8523
	peerPort    = 7000
	callerKey   = "key-of-t1"
	hostName    = "review.example"
)

// env is a small deployment on loopback addresses: hosts as processes, and stand-ins of the store, the executors and the operator.
type env struct {
	trouble bool
	began   time.Time
	dir     string // temporary folder
	root    string // of the repository
	network string // first three numbers of the loopback addresses of the hosts
	store   *memstore.Store
	fleet   *fleet
	hosts   []*hostProcess
	client  *http.Client

	shortJobs    int         // submitted so far
	beyondLimits atomic.Bool // the store has refused a transaction for its size

	mu     sync.Mutex
	record *os.File
	jobs   map[string]*jobSpec
}

type hostProcess struct {
	cmd     *exec.Cmd
	address string // for callers
	exited  chan struct{}
}

// stepSpec and jobSpec are a submission, spelled as on the wire.
type stepSpec struct {
	Count        int    `json:"Count"`
	CPU          int    `json:"Cpu,omitempty"`
	MemMb        int    `json:"MemMb,omitempty"`
	Gpu          int    `json:"Gpu,omitempty"`
	EstimateMs   int    `json:"EstimateMs,omitempty"`
	After        []int  `json:"After,omitempty"`
	Checkpoint   bool   `json:"Checkpoint,omitempty"`
	LongRunning  bool   `json:"LongRunning,omitempty"`
	MayMiss      int    `json:"MayMiss,omitempty"`
	Fills        bool   `json:"Fills,omitempty"`
	TargetMs     int    `json:"TargetMs,omitempty"`
	AntiAffinity int    `json:"AntiAffinity,omitempty"`
	Image        string `json:"Image,omitempty"`
	Requires     string `json:"Requires,omitempty"`
}

type jobSpec struct {
	Spec       string     `json:"Spec"`
	Steps      []stepSpec `json:"Steps"`
	FirstRunMs int64      `json:"FirstRunMs,omitempty"`
	IntervalMs int64      `json:"IntervalMs,omitempty"`
	RunCount   int        `json:"RunCount,omitempty"`
}

// room is what a work item takes of its executor's capacity: the Cpu of one that fills doesn't count.
func (s stepSpec) room() size {
	if s.Fills {
		return size{mem: s.MemMb, gpu: s.Gpu}
	}
	return size{cpu: s.CPU, mem: s.MemMb, gpu: s.Gpu}
}

func newEnv(record string, trouble bool) (*env, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	e := &env{trouble: trouble, began: time.Now(), dir: dir, root: root, network: fmt.Sprintf("127.%d.%d", 16+pid/250%200, pid%250), store: memstore.New(),
		record: f, jobs: map[string]*jobSpec{}}
	e.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	e.fleet = &fleet{env: e, behave: func(*run) plan { return plan{after: time.Second, how: "done"} }}
	e.logf("TROUBLE=%v", trouble)
	return e, nil
}

// logf writes a line to the record.
func (e *env) logf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(e.record, "%8.3f %s\n", time.Since(e.began).Seconds(), fmt.Sprintf(format, args...))
}

// serveStore serves the store with the limits of the pages.
func (e *env) serveStore() (string, error) {
	inner := platformtest.StoreHandler(e.store)
	var refusedLogged sync.Once
	return serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/rows-tx" {
			inner.ServeHTTP(w, r)
			return
		}
		time.Sleep(callTime)
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if why := checkTx(data); why != "" {
			e.beyondLimits.Store(true)
			refusedLogged.Do(func() { e.logf("store: first transaction beyond the limits, refused with 400: %s", why) })
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		inner.ServeHTTP(w, r)
	}))
}

// checkTx returns why the store can't take a transaction, or an empty string.
func checkTx(data []byte) string {
	var body struct {
		ExpectedRev, Puts, Remove []struct {
			Table, Key string
			Value      []byte
		}
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return err.Error()
	}
	if n := len(body.ExpectedRev) + len(body.Puts) + len(body.Remove); n > txEntries || len(data) > txBytes {
		return fmt.Sprintf("%d entries, %d bytes", n, len(data))
	}
	for _, p := range body.Puts {
		if len(p.Value) > rowBytes {
			return fmt.Sprintf("row %s/%s has %d bytes, RowBytes is %d", p.Table, p.Key, len(p.Value), rowBytes)
		}
	}
	return ""
}

func serve(address string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// putConfig writes the operator's configuration: two tenants, and one queue for each priority.
func (e *env) putConfig(version, guaranteed int) {
	type m = map[string]any
	var routes []m
	for p := range 3 {
		routes = append(routes, m{"Name": fmt.Sprintf("queue-%d", p), "Host": hostName, "Prefix": fmt.Sprintf("/p%d/", p), "Backend": "svc", "Priority": p, "Attempts": 3,
			"Stretch": 3, "TargetRuntimeMs": 1000})
	}
	config := m{"Version": version, "Routes": routes, "Services": []m{{"Name": "svc", "RejectsOverload": true}}, "Limits": m{"MaxBodyBytes": 262144},
		"Tenants": []m{{"Name": "t1", "ApiKeys": []string{callerKey}, "Guaranteed": m{"Gpu": guaranteed}}, {"Name": "t2", "ApiKeys": []string{"key-of-t2"}, "Guaranteed": m{"Gpu": 0}}}}
	data, _ := json.Marshal(config)
	e.store.Put(rowstore.Key{Table: "op", Key: "config"}, data)
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z.]+)\|json\}\}`)

// deployCommand is the command that the deploy file names.
var deployCommand = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// render fills in the settings template of the deploy file. Sections of values that aren't set are dropped.
func render(template string, values map[string]any) string {
	for _, section := range []string{"Advice", "Bounds.FarX"} {
		from, to := "{{#"+section+"}}", "{{/"+section+"}}"
		i, j := strings.Index(template, from), strings.Index(template, to)
		if i < 0 || j < 0 {
			continue
		}
		if _, ok := values[section]; ok {
			template = template[:i] + template[i+len(from):j] + template[j+len(to):]
		} else {
			template = template[:i] + template[j+len(to):]
		}
	}
	return placeholder.ReplaceAllStringFunc(template, func(s string) string {
		data, _ := json.Marshal(values[placeholder.FindStringSubmatch(s)[1]])
		return string(data)
	})
}

// startHosts starts hosts as processes, with the command of the deploy file and the settings that its template gives.
func (e *env) startHosts(n int, storeAddress string) error {
	template, err := os.ReadFile(filepath.Join(e.root, "deploy", "settings.json.tmpl"))
	if err != nil {
		return err
	}
	for i := range n {
		ip := fmt.Sprintf("%s.%d", e.network, i+1)
		values := map[string]any{"Node": fmt.Sprintf("edge-%d", i+1), "Zone": "z1", "Listen.Front": fmt.Sprintf("%s:%d", ip, frontPort),
			"Listen.Ready": fmt.Sprintf("%s:%d", ip, readyPort), "Ip": ip, "PortRange": []int{peerPort, peerPort + 15},
			"Seeds": []string{e.network + ".1:8526", e.network + ".2:8526"}, "Limits.CpuShare": 0.4, "platform.Address": storeAddress, "Limits.MemoryMb": memoryMB,
			"Bounds.GraceS": 6, "Bounds.FarX": 3, "Bounds.HoldMaxMs": holdMax.Milliseconds(), "Bounds.StopMs": stopTime.Milliseconds()}
		file := filepath.Join(e.dir, fmt.Sprintf("settings-%d.json", i+1))
		if err := os.WriteFile(file, []byte(render(string(template), values)), 0o600); err != nil {
			return err
		}
		if err := e.startHost(i, ip, file); err != nil {
			return err
		}
	}
	return nil
}

func (e *env) startHost(i int, ip, file string) error {
	logs, err := os.OpenFile(filepath.Join(e.dir, fmt.Sprintf("host-%d.log", i+1)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	deploy, err := os.ReadFile(filepath.Join(e.root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	command := deployCommand.FindSubmatch(deploy)
	if command == nil {
		return errors.New("the deploy file names no command")
	}
	words := strings.Fields(string(command[1]))
	cmd := exec.Command(filepath.Join(e.root, words[0]), words[1:]...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Dir, cmd.Stdout, cmd.Stderr = e.root, logs, logs
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAMPHIREWELL_CONFIG=" + file}
	if err := cmd.Start(); err != nil {
		return err
	}
	h := &hostProcess{cmd: cmd, address: fmt.Sprintf("%s:%d", ip, frontPort), exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = logs.Close()
		close(h.exited)
	}()
	e.mu.Lock()
	if i < len(e.hosts) {
		e.hosts[i] = h
	} else {
		e.hosts = append(e.hosts, h)
	}
	e.mu.Unlock()
	e.logf("host %d started, process %d", i+1, cmd.Process.Pid)
	return nil
}

// processes returns the newest process of each host.
func (e *env) processes() []*hostProcess {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*hostProcess(nil), e.hosts...)
}

// close ends all processes and, unless REVIEW_KEEP is set, deletes the temporary folder.
func (e *env) close() {
	for _, h := range e.processes() {
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, h := range e.processes() {
		<-h.exited
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(e.dir)
	}
	_ = e.record.Close()
}

// call sends one request of a consumer to a host; status 0 means that there was no response.
func (e *env) call(host int, key, method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	hosts := e.processes()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+hosts[host%len(hosts)].address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = hostName
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// submit sends a job and repeats the request at other hosts as consumers do. It returns whether the job was accepted, and when.
func (e *env) submit(priority int, key, id string, j *jobSpec) (time.Time, bool) {
	e.mu.Lock()
	e.jobs[id] = j
	e.mu.Unlock()
	data, _ := json.Marshal(j)
	for try := range retries + 1 {
		status, _ := e.call(try, key, http.MethodPost, fmt.Sprintf("/p%d/%s", priority, id), data)
		e.logf("consumer: POST /p%d/%s try %d -> %d", priority, id, try+1, status)
		if status/100 == 2 {
			return time.Now(), true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return time.Time{}, false
}

// state asks each host in turn for a job's state until one answers.
func (e *env) state(priority int, key, id string) (int, string) {
	status, body := 0, ""
	for try := range retries + 1 {
		status, body = e.call(try, key, http.MethodGet, fmt.Sprintf("/p%d/%s", priority, id), nil)
		if status == http.StatusOK || status == http.StatusGone {
			break
		}
	}
	e.logf("consumer: GET /p%d/%s -> %d %s", priority, id, status, body)
	return status, body
}

// step returns the step of a work item of a submitted job.
func (e *env) step(id string, step int) (stepSpec, string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.jobs[id]
	if j == nil || step >= len(j.Steps) {
		return stepSpec{}, "", false
	}
	return j.Steps[step], j.Spec, true
}

// awaitReady waits until a small job has completed.
func (e *env) awaitReady() bool {
	for n := range 40 {
		id := fmt.Sprintf("%016x", 0xffff0000+n)
		if _, ok := e.submit(0, callerKey, id, &jobSpec{Spec: "warm-up", Steps: []stepSpec{{Count: 1, CPU: 100, EstimateMs: 100}}}); !ok {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for range 50 {
			if _, body := e.state(0, callerKey, id); strings.Contains(body, "completed") {
				return true
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return false
}
