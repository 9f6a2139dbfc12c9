package member

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/peer"
)

// Times of the service loop.
const (
	tickPeriod   = 50 * time.Millisecond  // time between two steps of the core
	pingTimeout  = 1 * time.Second        // deadline of a ping
	leaveTimeout = 500 * time.Millisecond // deadline of a ping that announces that this host leaves
)

// Host is an entry host that may be running.
type Host struct{ ID, Domain, Address string }

// Options are the dependencies and settings of a Service.
type Options struct {
	Self  peer.Identity
	Seeds []Host // entry hosts of all domains that the settings name
	Clock clock.Clock
	Pool  *peer.Pool
	Log   logrus.FieldLogger
}

// Service runs the view protocol of one entry host and keeps a link to one host of each other domain.
type Service struct {
	opts  Options
	state atomic.Pointer[State]
	hosts atomic.Pointer[map[string]Host] // by host id

	mu                sync.Mutex
	core              *Core
	subscribers       []func(View)
	attachmentSources []attachmentSource
	receivers         map[string]func(from api.HostIdentity, body string)
	remoteLinks       map[string]*remoteLink // by domain
	pingsInFlight     map[string]int         // number by host id
}

// attachmentSource returns the body of one named attachment of pings and pongs.
type attachmentSource struct {
	name string
	body func() string
}

// New returns a service that is not running yet.
func New(o Options) *Service {
	s := &Service{
		opts: o, core: NewCore(o.Self.Host, o.Self.Domain, o.Clock.Now(), Rules{}),
		receivers: map[string]func(api.HostIdentity, string){}, remoteLinks: map[string]*remoteLink{}, pingsInFlight: map[string]int{},
	}
	s.SetHosts(nil, EndedHosts{})
	s.publish(o.Clock.Now())
	return s
}

// Register adds the ping method to the methods of the peer server.
func (s *Service) Register(methods peer.Registry) {
	methods[peer.MethodPing] = peer.Handle(s.onPing)
}

// SetHosts replaces the entry hosts that the platform lists; seeds are always kept. ended names the hosts of the own domain
// that the list does not name.
func (s *Service) SetHosts(listed []Host, ended EndedHosts) {
	hosts := map[string]Host{}
	var own []string
	for _, h := range append(slices.Clone(s.opts.Seeds), listed...) {
		hosts[h.ID] = h
		if h.Domain == s.opts.Self.Domain {
			own = append(own, h.ID)
		}
	}
	s.hosts.Store(&hosts)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetCandidates(own, ended)
	for _, h := range hosts {
		if h.Domain != s.opts.Self.Domain && s.remoteLinks[h.Domain] == nil {
			s.remoteLinks[h.Domain] = &remoteLink{}
		}
	}
}

// Run drives the protocol until ctx ends.
func (s *Service) Run(ctx context.Context) {
	for {
		s.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-s.opts.Clock.After(tickPeriod):
		}
	}
}

func (s *Service) step(ctx context.Context) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	out := s.core.Tick(now)
	s.mu.Unlock()
	s.publish(now)
	s.send(ctx, out)
	s.pingRemotes(ctx, now)
}

// send sends pings without waiting for their pongs, and drops those to a host that already has maxPingsInFlight unanswered ones.
func (s *Service) send(ctx context.Context, out []OutgoingPing) {
	for _, o := range out {
		s.mu.Lock()
		busy := s.pingsInFlight[o.To] >= maxPingsInFlight
		if !busy {
			s.pingsInFlight[o.To]++
		}
		s.mu.Unlock()
		if !busy {
			go s.sendPing(ctx, o)
		}
	}
}

// maxPingsInFlight bounds the pings in flight to one host.
const maxPingsInFlight = 4

func (s *Service) sendPing(ctx context.Context, o OutgoingPing) {
	defer func() {
		s.mu.Lock()
		if s.pingsInFlight[o.To]--; s.pingsInFlight[o.To] == 0 {
			delete(s.pingsInFlight, o.To)
		}
		s.mu.Unlock()
	}()
	host, ok := s.host(o.To)
	if !ok {
		return
	}
	o.Ping.Attachments = s.attachments()
	pong, err := s.exchange(ctx, host.Address, o.Ping)
	if err != nil {
		return // the core detects a host that does not answer by its missing pongs
	}
	s.deliver(pong.Host, pong.Attachments)
	now := s.opts.Clock.Now()
	s.mu.Lock()
	followUp := s.core.OnPong(now, pong)
	s.mu.Unlock()
	s.publish(now)
	s.send(ctx, followUp)
}

// ExtendBlockHistory records that this host has the records of all keys that were blocked since a given time, received from a member of the
// view. period is the period of the view in which they were requested.
func (s *Service) ExtendBlockHistory(period PeriodID, since time.Time) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	s.core.ExtendBlockHistory(period, since)
	s.mu.Unlock()
	s.publish(now)
}

func (s *Service) exchange(ctx context.Context, address string, ping api.Ping) (api.Pong, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var pong api.Pong
	err := s.opts.Pool.Call(ctx, address, peer.MethodPing, ping, &pong)
	return pong, err
}

func (s *Service) onPing(_ context.Context, _ api.HostIdentity, ping api.Ping) (api.Pong, error) {
	now := s.opts.Clock.Now()
	s.deliver(ping.Host, ping.Attachments)
	s.mu.Lock()
	pong, out, ok := s.core.OnPing(now, ping)
	s.mu.Unlock()
	if !ok && ping.Domain == s.opts.Self.Domain {
		return api.Pong{}, errReplaced
	}
	if !ok {
		pong = s.remotePong(now, ping)
	}
	s.publish(now)
	s.send(context.Background(), out)
	pong.Attachments = s.attachments()
	return pong, nil
}

// publish makes the state of the core visible and reports a new view.
func (s *Service) publish(now time.Time) {
	s.mu.Lock()
	st := s.core.State(now)
	old := s.state.Swap(&st)
	subscribers := slices.Clone(s.subscribers)
	s.mu.Unlock()
	if old == nil || old.View.ID == st.View.ID {
		return
	}
	s.opts.Log.WithFields(logrus.Fields{"view": st.View.ID, "hosts": len(st.View.Members)}).Info("adopted a view")
	for _, f := range subscribers {
		f(st.View)
	}
}

// Leave announces to the other hosts that this host stops, so that they can adopt a view without it, and waits up to leaveTimeout
// for their responses. The host stops acting as soon as Leave is called.
func (s *Service) Leave(ctx context.Context) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	out := s.core.Leave(now)
	s.mu.Unlock()
	s.publish(now)
	var wg sync.WaitGroup
	for _, o := range out {
		if host, ok := s.host(o.To); ok {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
				defer cancel()
				_, _ = s.exchange(ctx, host.Address, o.Ping)
			})
		}
	}
	wg.Wait()
}
