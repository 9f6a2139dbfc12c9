package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
	"samphirewell/platform/platformtest"
)

// recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	mu     sync.Mutex
	out    io.Writer
	began  time.Time
	failed bool // the case couldn't run
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *recorder) fail(format string, args ...any) {
	r.line("CANNOT RUN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = true
}

// world is a small deployment: the store, the executors and the entry hosts, which are processes.
type world struct {
	record *recorder
	store  *memstore.Store
	fleet  *fleet
	dir    string
	hosts  []*entryHost

	storeAddress string
	machines     string // address of the API of machines; empty without one
	holdMaxMs    int    // HoldMaxMs in the settings
	stopMs       int    // StopMs in the settings

	client *http.Client
}

// entryHost is one process of the system.
type entryHost struct {
	index  int
	ip     string
	caller string
	ready  string
	file   string
	cmd    *exec.Cmd
}

const peerPort = 17800

func newWorld(r *recorder) (*world, error) {
	dir, err := os.MkdirTemp("", "sim2-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, store: memstore.New(), dir: dir, client: &http.Client{}, holdMaxMs: 6000, stopMs: 200}
	w.fleet = newFleet(w.store, r)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = ln.Addr().String()
	handler := platformtest.StoreHandler(w.store)
	go func() { _ = (&http.Server{Handler: handler}).Serve(ln) }()
	return w, nil
}

// route is a queue of the operator's config.
type route struct {
	name     string
	priority int
}

// putConfig stores a version of the operator's config.
func (w *world) putConfig(version int, routes ...route) {
	var list []map[string]any
	for _, q := range routes {
		list = append(list, map[string]any{"Name": q.name, "Host": "h.example", "Prefix": "/" + q.name + "/", "Backend": "svc",
			"Priority": q.priority, "Attempts": 3, "Stretch": 1.5, "TargetRuntimeMs": 1000})
	}
	data, err := json.Marshal(map[string]any{"Version": version, "Routes": list,
		"Services": []any{map[string]any{"Name": "svc", "RejectsOverload": true}}, "Limits": map[string]any{"MaxBodyBytes": 262144},
		"Tenants": []any{map[string]any{"Name": "t", "ApiKeys": []string{"key-1"}, "Guaranteed": map[string]int{"Gpu": 0}}}})
	if err != nil {
		panic(err) // plain types
	}
	w.store.Put(rowstore.Key{Table: "op", Key: "config"}, data)
	w.record.line("operator stores config %d", version)
}

// settings renders the template of the settings file as the platform does.
func settings(fields map[string]string) ([]byte, error) {
	text, err := os.ReadFile("deploy/settings.json.tmpl")
	if err != nil {
		return nil, err
	}
	section := regexp.MustCompile(`(?s)\{\{#([A-Za-z_.]+)\}\}(.*?)\{\{/[A-Za-z_.]+\}\}`)
	text = section.ReplaceAllFunc(text, func(m []byte) []byte {
		parts := section.FindSubmatch(m)
		if _, ok := fields[string(parts[1])]; ok {
			return parts[2]
		}
		return nil
	})
	return regexp.MustCompile(`\{\{([A-Za-z_.]+)\|json\}\}`).ReplaceAllFunc(text, func(m []byte) []byte {
		if v, ok := fields[strings.TrimSuffix(strings.Trim(string(m), "{}"), "|json")]; ok {
			return []byte(v)
		}
		return []byte("null")
	}), nil
}

func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// addHost writes the settings of another entry host and starts its process.
func (w *world) addHost() error {
	i := len(w.hosts)
	pid := os.Getpid()
	ip := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", 101+pid/200%100, 1+pid%200, n+1) }
	h := &entryHost{index: i, ip: ip(i), file: filepath.Join(w.dir, fmt.Sprintf("settings-%d.json", i))}
	for _, address := range []*string{&h.caller, &h.ready} {
		port, err := freePort(h.ip)
		if err != nil {
			return err
		}
		*address = fmt.Sprintf("%s:%d", h.ip, port)
	}
	quote := func(s string) string { return fmt.Sprintf("%q", s) }
	fields := map[string]string{"Node": quote(fmt.Sprintf("edge-z-%d", i+1)), "Zone": `"z"`, "Listen.Front": quote(h.caller), "Listen.Ready": quote(h.ready),
		"Ip": quote(h.ip), "PortRange": fmt.Sprintf("[%d,%d]", peerPort, peerPort+15), "Seeds": fmt.Sprintf(`["%s:1","%s:1","%s:1"]`, ip(0), ip(1), ip(2)),
		"Limits.CpuShare": "0.4", "Limits.MemoryMb": "284", "platform.Address": quote(w.storeAddress), "platform.RowBytes": "65536",
		"Bounds.GraceS": "6", "Bounds.FarX": "3", "Bounds.HoldMaxMs": strconv.Itoa(w.holdMaxMs), "Bounds.StopMs": strconv.Itoa(w.stopMs), "CloudApi.Address": "null"}
	if w.machines != "" {
		fields["CloudApi.Address"] = quote(w.machines)
	}
	text, err := settings(fields)
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.file, text, 0o600); err != nil {
		return err
	}
	w.hosts = append(w.hosts, h)
	return w.startHost(h)
}

// startHost starts the process of an entry host with the command of the deploy file.
func (w *world) startHost(h *entryHost) error {
	cmd := exec.Command("target/samphired", "platform")
	cmd.Env = append(os.Environ(), "SAMPHIREWELL_CONFIG="+h.file)
	log, err := os.OpenFile(filepath.Join(w.dir, fmt.Sprintf("log-%d.json", h.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd = cmd
	w.record.line("host %d starts", h.index)
	return nil
}

// close ends all processes that the case has started, and keeps their logs if KEEP names a folder.
func (w *world) close() {
	for _, h := range w.hosts {
		if h.cmd != nil && h.cmd.ProcessState == nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			_ = h.cmd.Wait()
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(w.dir))
	}
	_ = os.RemoveAll(w.dir)
}

// request sends a call of a consumer; status 0 means that there was no answer.
func (w *world) request(host int, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.hosts[host].caller+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h.example"
	r.Header.Set("X-Api-Key", "key-1")
	r.Header.Set("X-Deadline-Ms", "3000")
	resp, err := w.client.Do(r)
	if err != nil {
		w.record.line("%s %s at host %d: no answer", method, path, host)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	w.record.line("%s %s at host %d: %d %s", method, path, host, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, string(data)
}

// step is a step of a submitted job.
type step struct {
	Count             int
	CPU               int    `json:"Cpu,omitempty"`
	MemMb             int    `json:",omitempty"`
	Gpu               int    `json:",omitempty"`
	EstimateMs        int    `json:",omitempty"`
	LongRunning       bool   `json:",omitempty"`
	MayMiss           int    `json:",omitempty"`
	AntiAffinity      int    `json:",omitempty"`
	TargetMs          int    `json:",omitempty"`
	Fills, Checkpoint bool   `json:",omitempty"`
	Image             string `json:",omitempty"`
}

// submit hands a job of one step in, see submitSteps.
func (w *world) submit(queue, id string, count int, s spec, mayMiss int) bool {
	return w.submitSteps(queue, id, s, step{Count: count, LongRunning: s.Lasting, MayMiss: mayMiss})
}

// submitSteps hands a job in until it is accepted, at each host in turn; false if it isn't within 10 s. All work items of the job have the needs of the spec.
func (w *world) submitSteps(queue, id string, s spec, steps ...step) bool {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // plain types
	}
	for i := range steps {
		steps[i].CPU, steps[i].MemMb, steps[i].Gpu, steps[i].EstimateMs = s.Need.CPU, s.Need.MemMb, s.Need.Gpu, s.RunMs
	}
	body, err := json.Marshal(map[string]any{"Spec": string(text), "Steps": steps})
	if err != nil {
		panic(err) // plain types
	}
	for n := range 50 {
		if status, _ := w.request(n%len(w.hosts), http.MethodPost, "/"+queue+"/"+id, string(body)); status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.record.fail("job %s is not accepted", id)
	return false
}

// state returns the state of a job at a host; empty without an answer.
func (w *world) state(host int, queue, id string) string {
	status, body := w.request(host, http.MethodGet, "/"+queue+"/"+id, "")
	var answer struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
		return ""
	}
	return answer.State
}

// await waits until a condition holds; false if it doesn't in time.
func await(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
