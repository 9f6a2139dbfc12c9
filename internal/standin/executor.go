package standin

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/wire"
)

const (
	// DefaultSlots is the number of calls that an executor runs at a time.
	DefaultSlots = 8
	// DefaultConnLimit is the number of connections that an executor keeps open at a time.
	DefaultConnLimit = 60
)

// ServiceTime is a log-normal distribution of service times.
type ServiceTime struct {
	Median time.Duration // 0 means that calls take no time
	Sigma  float64       // standard deviation of the logarithm; 0 means always Median
	Max    time.Duration // upper bound; 0 means none
}

func (s ServiceTime) draw(rng *rand.Rand) time.Duration {
	d := time.Duration(float64(s.Median) * math.Exp(s.Sigma*rng.NormFloat64()))
	if s.Max > 0 {
		d = min(d, s.Max)
	}
	return d
}

// ExecutorConfig are the settings of an Executor.
type ExecutorConfig struct {
	ID            string
	Incarnation   string // changes with each restart
	Service       string
	FailureDomain string
	Region        string
	Address       string                 // ip:port; empty for any port on loopback
	Slots         int                    // calls at a time; 0 means DefaultSlots
	ConnLimit     int                    // connections at a time; 0 means DefaultConnLimit
	Seed          uint64                 // of the random choice of service times and of calls with faults
	ServiceTime   ServiceTime            // for methods that are not in Methods
	Methods       map[string]ServiceTime // by method name
}

// Executor is a backend server that runs calls in a fixed number of slots.
type Executor struct {
	*server
	cfg ExecutorConfig

	busySlots     atomic.Int64
	leaving       atomic.Bool
	faults        atomic.Pointer[ExecutorFaults]
	faultsChanged atomic.Pointer[chan struct{}] // closed when the faults change, so that hanging calls continue

	mu  sync.Mutex // guards rng
	rng *rand.Rand
	log runLog
}

// StartExecutor starts an executor without faults.
func StartExecutor(cfg ExecutorConfig) (*Executor, error) {
	if cfg.Slots == 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.ConnLimit == 0 {
		cfg.ConnLimit = DefaultConnLimit
	}
	e := &Executor{server: newServer(cfg.ConnLimit), cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
	e.SetFaults(ExecutorFaults{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathExecutorCall+"{service}/{method}", e.handleCall)
	if err := e.start(cfg.Address, mux); err != nil {
		return nil, err
	}
	return e, nil
}

// Entry returns the executor's entry for the platform's host list.
func (e *Executor) Entry() api.HostEntry {
	return api.HostEntry{
		ID: e.cfg.ID, Incarnation: e.cfg.Incarnation, Role: api.HostEntryRoleExecutor, Service: e.cfg.Service,
		FailureDomain: e.cfg.FailureDomain, Region: e.cfg.Region, Address: e.Addr(), Leaving: e.leaving.Load(),
	}
}

// SetLeaving sets whether the executor is leaving. While it is, it refuses new calls; running calls finish.
func (e *Executor) SetLeaving(leaving bool) {
	if e.leaving.Swap(leaving) != leaving {
		e.log.setLeaving(leaving, time.Now())
	}
}

// ExpectedResponse returns the response body of a call. It depends on the path and on the whole request body, so that a caller can detect a response
// that belongs to another call.
func ExpectedResponse(service, method string, body []byte) []byte {
	h := fnv.New64a()
	_, _ = io.WriteString(h, service+"/"+method+"\n")
	_, _ = h.Write(body)
	return fmt.Appendf(nil, `{"answer":"%016x","bytes":%d}`, h.Sum64(), len(body))
}

func (e *Executor) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(wire.HeaderCallID, r.Header.Get(wire.HeaderCallID))
	if !e.acquireSlot() {
		e.refuse(w)
		return
	}
	run := Run{Key: r.Header.Get(wire.HeaderIdempotencyKey), CallID: r.Header.Get(wire.HeaderCallID), Start: time.Now()}
	e.log.recordStart(run, e.busySlots.Load())
	service, method := r.PathValue("service"), r.PathValue("method")
	e.serve(w, method, ExpectedResponse(service, method, body))
}

// acquireSlot acquires a slot. It returns false if all are busy or the executor is leaving.
func (e *Executor) acquireSlot() bool {
	if e.leaving.Load() {
		return false
	}
	for {
		n := e.busySlots.Load()
		if n >= int64(e.cfg.Slots) {
			return false
		}
		if e.busySlots.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// refuse responds that the call was not started.
func (e *Executor) refuse(w http.ResponseWriter) {
	e.log.recordRefusal(e.leaving.Load(), time.Now())
	w.Header().Set(wire.HeaderNotStarted, "true")
	e.writeResponse(w, http.StatusServiceUnavailable, nil)
}

func (e *Executor) writeResponse(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set(wire.HeaderFreeSlots, strconv.Itoa(e.cfg.Slots-int(e.busySlots.Load())))
	w.Header().Set(wire.HeaderLeaving, strconv.FormatBool(e.leaving.Load()))
	writeBody(w, status, body)
}

func (e *Executor) drawServiceTime(method string) time.Duration {
	dist, ok := e.cfg.Methods[method]
	if !ok {
		dist = e.cfg.ServiceTime
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return dist.draw(e.rng)
}
