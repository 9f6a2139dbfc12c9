// Package entry builds an entry host from its components: caller server, peer links, views, key claims, plan limits, configuration,
// backend registry, jobs and the timeline.
package entry

import (
	"context"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
	"samphirewell/internal/applier"
	"samphirewell/internal/callkey"
	"samphirewell/internal/clock"
	"samphirewell/internal/config"
	"samphirewell/internal/front"
	"samphirewell/internal/jobs"
	"samphirewell/internal/limits"
	"samphirewell/internal/member"
	"samphirewell/internal/operator"
	"samphirewell/internal/peer"
	"samphirewell/internal/platform"
	"samphirewell/internal/registry"
	"samphirewell/internal/timeline"
)

// Deps are the dependencies on the environment that tests and the demo replace.
type Deps struct {
	Clock clock.Clock        // nil means the clock of the operating system
	Dial  peer.DialFunc      // opens all outgoing connections; nil means net.Dialer
	Log   logrus.FieldLogger // nil means the standard logger
}

var (
	errNoConfig = errors.New("no lists are in force")
	errNoGrant  = errors.New("host grants no shares in the view of the sender")
)

// Host is one running entry host.
type Host struct {
	settings api.Settings
	clock    clock.Clock
	log      logrus.FieldLogger
	vars     *expvar.Map

	platform     *platform.Client
	listsInForce config.Holder
	watcher      *config.Watcher
	registry     *registry.Registry
	hostList     atomic.Pointer[api.HostListResponse]

	pool          *peer.Pool
	peerStats     *peer.Stats
	peerServer    *peer.Server
	peerListener  net.Listener
	member        *member.Service
	keyService    *callkey.Service
	claimer       *claimer
	shareNode     *limits.Node
	controller    *applier.Controller
	front         *front.Server
	jobs          *jobs.Store
	ring          *timeline.Ring
	operator      *operator.Server
	startedAt     time.Time
	draining      atomic.Bool
	fetchingLists atomic.Bool // a fetch of lists from a peer is running

	cancel   context.CancelFunc
	killOnce sync.Once
	stopped  chan struct{} // closed by Kill
	stopErr  error         // result of the graceful shutdown; set before stopped is closed

	mu         sync.Mutex
	killed     bool // no further goroutine is started; guarded by mu
	goroutines sync.WaitGroup
}

// Start starts an entry host. Port 0 in an address of the settings means any free port. The error names the component that cannot start.
func Start(settings api.Settings, deps Deps) (*Host, error) {
	if deps.Dial == nil {
		deps.Dial = (&net.Dialer{}).DialContext
	}
	h := newHost(settings, deps)
	ln, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	h.peerListener = ln
	h.build(deps)
	if err := h.front.Start(); err != nil {
		_ = ln.Close()
		return nil, errors.Wrap(err, "start caller server")
	}
	h.operator = h.newOperator()
	if err := h.operator.Start(); err != nil {
		h.front.Close()
		_ = ln.Close()
		return nil, err
	}
	h.startLoops()
	h.ring.Record(api.Event{Kind: api.EventKindHostStarted})
	return h, nil
}

// newHost returns a host with its settings, clock and logger only; build adds the components.
func newHost(settings api.Settings, deps Deps) *Host {
	h := &Host{settings: settings, clock: deps.Clock, log: deps.Log, vars: new(expvar.Map).Init(), stopped: make(chan struct{})}
	if h.clock == nil {
		h.clock = clock.Real{}
	}
	if h.log == nil {
		h.log = logrus.StandardLogger()
	}
	h.startedAt = h.clock.Now()
	h.log = h.log.WithFields(logrus.Fields{"host": settings.HostID, "domain": settings.FailureDomain})
	return h
}

// build creates and connects the components of the host, except the operator endpoint.
func (h *Host) build(deps Deps) {
	s := h.settings
	self := peer.Identity{Domain: s.FailureDomain, Host: api.HostIdentity{ID: s.HostID, Incarnation: int(h.clock.Now().UnixNano())}}
	h.ring = timeline.NewRing(s.HostID, s.FailureDomain, timeline.DefaultCapacity, h.clock)
	h.platform = platform.NewClient(s.PlatformURL, platform.ClientOptions{DialContext: platform.DialFunc(deps.Dial)})
	h.watcher = config.NewWatcher(h.platform, &h.listsInForce, h.clock, h.log)
	h.peerStats = peer.NewStats()
	h.pool = peer.NewPool(self, deps.Dial, h.clock, h.peerStats)
	h.member = member.New(member.Options{Self: self, Seeds: seedHosts(s), Clock: h.clock, Pool: h.pool, Log: h.log})
	h.keyService = callkey.NewService(h.member, h.clock)
	methods := peer.Registry{}
	h.member.Register(methods)
	h.keyService.Register(methods)
	h.registerConfig(methods)
	h.peerServer = peer.NewServer(self, methods, h.peerStats)
	h.shareNode = limits.NewNode(processName(self.Host), s.FailureDomain, h.clock.Now())
	h.registerShares(methods)
	h.registry = registry.New()
	var last *registry.Snapshot
	h.registry.Subscribe(func(s *registry.Snapshot) {
		h.recordBackends(last, s)
		last = s
	})
	h.claimer = &claimer{keys: callkey.NewClaimer(h.member, h.keyService, h.clock)}
	h.front = front.New(front.Options{
		Settings: s,
		Plans:    planSource{&h.listsInForce},
		Limiter:  limiter{h.shareNode.Limiter, h.clock},
		Claimer:  h.claimer,
		Registry: h.registry,
		Dial:     deps.Dial,
		Log:      h.log,
		Clock:    h.clock,
	})
	h.jobs = jobs.NewStore(h.platform)
	h.controller = h.newController(applier.DialFunc(deps.Dial))
	h.registerJobEndpoints()
	h.attachHeartbeatData()
	h.member.Subscribe(h.recordView)
}

func seedHosts(s api.Settings) []member.Host {
	var out []member.Host
	for _, p := range s.SeedPeers {
		out = append(out, member.Host{ID: p.HostID, Domain: p.FailureDomain, Address: p.PeerAddress})
	}
	return out
}

// startLoops starts the background loops of the host.
func (h *Host) startLoops() {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	for _, loop := range []func(context.Context){
		func(context.Context) { h.peerServer.Serve(h.peerListener, h.logFailedAccept) },
		h.member.Run, h.keyService.Run, h.watcher.Run, h.pollHostList, h.followConfig, h.exchangeShares, h.controller.Run, h.recordRefusals, h.archive,
		func(ctx context.Context) { h.shareNode.Run(ctx, h.platform, h.clock) },
	} {
		h.spawn(func() { loop(ctx) })
	}
}

func (h *Host) logFailedAccept(err error, failures int) {
	h.log.WithField("failures", failures).WithError(err).Warn("accept of another host's connection failed")
}

// spawn runs f in a goroutine that Kill waits for. After Kill it does nothing, since the handler of a request of a peer may still call
// it then.
func (h *Host) spawn(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.killed {
		h.goroutines.Go(f)
	}
}

// PeerAddr returns the ip:port on which the host accepts connections of other entry hosts.
func (h *Host) PeerAddr() string { return h.peerListener.Addr().String() }

// OperatorAddr returns the ip:port of the operator endpoint.
func (h *Host) OperatorAddr() string { return h.operator.Addr() }

// Domain returns the failure domain of the host.
func (h *Host) Domain() string { return h.settings.FailureDomain }

// CallerAddr returns the ip:port on which the host accepts connections of callers.
func (h *Host) CallerAddr() string { return h.front.Addr() }

// Ready reports whether the balancer may send calls to this host.
func (h *Host) Ready() bool { return h.front.Ready() && h.listsInForce.Version() > 0 }

// ConfigVersion returns the version of the lists in force, or 0 while there is none.
func (h *Host) ConfigVersion() int { return h.listsInForce.Version() }

// Ring returns the timeline of the host.
func (h *Host) Ring() *timeline.Ring { return h.ring }

// Stop shuts the host down gracefully: it drains the request path while the host is still a member of its view, then leaves the view.
// The error is that of ctx if calls were still running when ctx ended. Further calls of Stop wait for the first one and return its error.
func (h *Host) Stop(ctx context.Context) error {
	if h.draining.CompareAndSwap(false, true) {
		h.ring.Record(api.Event{Kind: api.EventKindHostDraining})
		h.stopErr = errors.Wrap(h.front.Drain(ctx), "drain")
		if h.stopErr == nil { // all calls have ended, so no further report is added
			h.claimer.reports.Wait()
		}
		h.member.Leave(ctx)
		h.ring.Record(api.Event{Kind: api.EventKindHostStopped})
		h.Kill()
	}
	<-h.stopped
	return h.stopErr
}

// Kill stops the host immediately, as if its process had crashed: it neither drains calls nor leaves the view.
func (h *Host) Kill() {
	h.killOnce.Do(func() {
		h.mu.Lock()
		h.killed = true
		h.mu.Unlock()
		h.cancel()
		_ = h.peerListener.Close()
		h.peerServer.Close()
		h.pool.Close()
		h.front.Close()
		ctx, cancel := context.WithTimeout(context.Background(), operatorShutdownTimeout)
		defer cancel()
		_ = h.operator.Shutdown(ctx)
		h.goroutines.Wait()
		close(h.stopped)
	})
}

// Serve runs an entry host until ctx ends or an operator drains it, then stops it gracefully.
func Serve(ctx context.Context, settings api.Settings, log *logrus.Logger) error {
	h, err := Start(settings, Deps{Log: log})
	if err != nil {
		return err
	}
	select {
	case <-h.Done():
	case <-ctx.Done():
	}
	return h.stopWithTimeout()
}

// stopWithTimeout stops the host gracefully within the drain timeout of the settings.
func (h *Host) stopWithTimeout() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(h.settings.DrainTimeoutMS)*time.Millisecond)
	defer cancel()
	return h.Stop(ctx)
}
