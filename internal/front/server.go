package front

import (
	"expvar"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/clock"
	"samphirewell/internal/outcome"
	"samphirewell/internal/queue"
	"samphirewell/internal/registry"
	"samphirewell/internal/retry"
	"samphirewell/internal/routing"
	"samphirewell/internal/wire"
)

// Server serves the callers of one entry host.
type Server struct {
	options      Options
	limits       limits
	clock        clock.Clock
	log          logrus.FieldLogger
	random       func() uint64
	picker       *routing.Picker
	dispatcher   *dispatcher
	backend      *backendClient
	budget       *retry.Budget
	serviceTimes serviceTimes
	mux          *http.ServeMux
	engine       *nbhttp.Engine
	counters     *expvar.Map
	idPrefix     string
	lastID       atomic.Uint64
	unanswered   unansweredCalls

	pauses    pauseDetector
	createdAt time.Time
	stopped   chan struct{} // closed by Close
	listener  net.Listener
	ready     atomic.Bool
	leaving   atomic.Bool // responses ask callers to close their connections
	refusing  atomic.Bool // new calls are refused
	active    atomic.Int64
	mu        sync.Mutex
	conns     map[*callerConn]struct{}
	closed    bool
}

// New returns a server that does not listen yet.
func New(o Options) *Server {
	s := &Server{options: o, limits: limitsOf(o.Settings), clock: o.Clock, random: o.Random, budget: retry.NewBudget(),
		mux: http.NewServeMux(), counters: new(expvar.Map).Init(), conns: map[*callerConn]struct{}{},
		createdAt: time.Now(), stopped: make(chan struct{})}
	if s.clock == nil {
		s.clock = clock.Real{}
	}
	if s.log = o.Log; s.log == nil {
		s.log = logrus.StandardLogger()
	}
	if s.random == nil {
		s.random = rand.Uint64
	}
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	s.idPrefix = o.Settings.HostID + "-" + strconv.FormatUint(s.random(), 36) + "-"
	s.picker = routing.New(routing.Config{Domain: o.Settings.FailureDomain, Slots: s.limits.slots}, s.random)
	s.backend = &backendClient{pools: connPools{dial: dial}, maxBody: s.limits.maxBody, now: s.clock.Now}
	s.dispatcher = &dispatcher{picker: s.picker, clock: s.clock, random: s.random, queue: queue.New(s.limits.queue)}
	s.mux.HandleFunc(wire.PathCall, s.serveCall) // serve handles calls without the mux; this makes Handle panic on the same pattern
	s.engine = s.newEngine()
	s.SetEntryHostCount(1)
	o.Registry.Subscribe(s.updateServers)
	s.registerGauges()
	return s
}

func (s *Server) registerGauges() {
	s.counters.Set("ejections", expvar.Func(func() any { return s.picker.Ejections() }))
	s.counters.Set("ejected", expvar.Func(func() any { return s.picker.Ejected() }))
	s.counters.Set("queued", expvar.Func(func() any { return s.dispatcher.waiting.Load() }))
	s.counters.Set("active", expvar.Func(func() any { return s.active.Load() }))
}

// Handle adds a handler for a pattern of net/http's ServeMux. It must be called before Start.
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// Counters returns the counters of the server for the operator endpoint.
func (s *Server) Counters() *expvar.Map { return s.counters }

// Ready reports whether the balancer may send calls: after Start and before Drain.
func (s *Server) Ready() bool { return s.ready.Load() }

// SetEntryHostCount sets the number of live entry hosts, among which the connections to each executor are divided.
func (s *Server) SetEntryHostCount(n int) {
	share := max(1, s.limits.connections/max(1, n))
	s.backend.pools.limit.Store(int32(share))
	s.picker.SetMaxOwnCalls(min(share, s.limits.slots))
}

// updateServers applies a new snapshot of the registry.
func (s *Server) updateServers(snapshot *registry.Snapshot) {
	s.picker.Update(snapshot.Servers)
	s.backend.pools.prune(snapshot.Servers)
	s.dispatcher.dispatch()
}

// Start listens on the caller address and serves callers. It fails if it cannot listen.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.options.Settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	s.listener = ln
	s.ready.Store(true)
	s.pauses.checkedAt.Store(int64(s.uptime()))
	go s.detectPauses()
	go s.accept(ln)
	s.log.WithField("address", ln.Addr().String()).Info("serving callers")
	return nil
}

// Addr returns the address of the listener, ip:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// serveCall handles POST /v1/call/{service}/{method}.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	now := s.clock.Now()
	c, err := parseCall(r.URL.Path, r.Header, now, s.limits.callTimeout)
	if r.Method != http.MethodPost {
		err = errors.New("method is not POST")
	}
	if err != nil {
		s.countAndRespond(w, "", outcome.Refuse(outcome.BadRequest, 0), err.Error())
		return
	}
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.refusing.Load() {
		s.finishCall(w, c, refusalBeforeClaim(c, outcome.Refuse(outcome.Draining, drainRetryAfter)))
		return
	}
	if c.Body, err = io.ReadAll(r.Body); err != nil {
		s.countAndRespond(w, c.Class.String(), outcome.Refuse(outcome.BadRequest, 0), err.Error())
		return
	}
	s.finishCall(w, c, s.run(c))
}

// finishCall records and counts the outcome of a valid call and writes the response.
func (s *Server) finishCall(w http.ResponseWriter, c *call, o outcome.Outcome) {
	s.recordUnanswered(c, o)
	s.countAndRespond(w, c.Class.String(), o, "")
}

// countAndRespond counts the outcome and writes the response.
func (s *Server) countAndRespond(w http.ResponseWriter, class string, o outcome.Outcome, detail string) {
	s.count(class, o)
	if retryElsewhere(o) {
		w.Header().Set("Connection", "close")
	}
	respond(w, o, detail)
}

// retryElsewhere reports whether another host may be able to run the call that this host refuses. The caller is then asked to close the connection,
// because its next attempt reaches another host only over a new connection through the balancer.
func retryElsewhere(o outcome.Outcome) bool {
	switch o.Reason {
	case outcome.NoView, outcome.OldView, outcome.NoConfig, outcome.NoBackend, outcome.Draining:
		return o.Kind == outcome.NotRun
	}
	return false
}

func (s *Server) count(class string, o outcome.Outcome) {
	s.counters.Add("outcome_"+o.Kind.String(), 1)
	if o.Reason != "" {
		s.counters.Add("reason_"+string(o.Reason), 1)
	}
	if class != "" {
		s.counters.Add("class_"+class, 1)
	}
}

// isCall reports whether the path is that of a call, which serve handles without the mux.
func isCall(path string) bool { return strings.HasPrefix(path, wire.PathCall) }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if isCall(r.URL.Path) {
		s.serveCall(w, r)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	s.ready.Store(false)
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Lock()
	if !s.closed {
		close(s.stopped)
	}
	s.closed = true
	for c := range s.conns {
		_ = c.conn.Close()
	}
	s.mu.Unlock()
	s.backend.pools.prune(nil)
}
