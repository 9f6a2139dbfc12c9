package member

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/peer"
)

// errReplaced is the response to a ping of a process that was replaced by a newer one with the same host id.
var errReplaced = errors.New("a newer process of this host is running")

// remoteLink is the link to one host of another failure domain. It is guarded by the mutex of the service.
type remoteLink struct {
	host        string    // id of the linked host; empty before the first choice
	nextPingAt  time.Time // time of the next ping
	lastContact time.Time // time of the last pong, or of the choice of the linked host; zero if that host is leaving
	liveHosts   []string  // ids of the hosts of the domain that the linked host reaches, itself included
	inFlight    bool      // a ping is in flight
}

// pingRemotes pings the linked host of each other domain once per HeartbeatPeriod and fails over to the next host when
// the linked one has been unresponsive for ViewLease.
func (s *Service) pingRemotes(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for domain, r := range s.remoteLinks {
		if r.inFlight || now.Before(r.nextPingAt) {
			continue
		}
		r.nextPingAt = now.Add(HeartbeatPeriod)
		if r.host == "" || now.Sub(r.lastContact) > ViewLease {
			r.host, r.lastContact, r.liveHosts = s.nextRemoteHost(domain, r.host), now, nil
		}
		host, ok := s.host(r.host)
		if !ok {
			r.host = ""
			continue
		}
		r.inFlight = true
		go s.pingRemote(ctx, r, host)
	}
}

// nextRemoteHost returns the host of the domain that follows last in an order that differs between the hosts of this domain.
func (s *Service) nextRemoteHost(domain, last string) string {
	var ids []string
	for id, h := range *s.hosts.Load() {
		if h.Domain == domain {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	slices.SortFunc(ids, func(a, b string) int {
		return int(score(s.opts.Self.Host.ID, a)>>33) - int(score(s.opts.Self.Host.ID, b)>>33)
	})
	return ids[(slices.Index(ids, last)+1)%len(ids)]
}

func (s *Service) pingRemote(ctx context.Context, r *remoteLink, host Host) {
	ping := api.Ping{
		Host: s.opts.Self.Host, Domain: s.opts.Self.Domain, ViewID: s.View().ID, Reach: []string{}, Attachments: s.attachments(),
	}
	pong, err := s.exchange(ctx, host.Address, ping)
	if err == nil {
		s.deliver(pong.Host, pong.Attachments)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.inFlight = false
	if err == nil && r.host == host.ID {
		r.lastContact, r.liveHosts = s.opts.Clock.Now(), append([]string{host.ID}, pong.Reach...)
		if pong.Leaving {
			r.lastContact = time.Time{}
		}
	}
}

// remotePong returns the pong to a ping of another domain.
func (s *Service) remotePong(now time.Time, ping api.Ping) api.Pong {
	s.mu.Lock()
	defer s.mu.Unlock()
	return api.Pong{
		Host: s.opts.Self.Host, Domain: s.opts.Self.Domain, Seq: ping.Seq, ViewID: s.core.view.ID,
		Reach: s.core.reach(now), Leaving: s.core.leaving,
	}
}

// LivePeers returns the ids of the hosts of another domain that were reachable within the last ViewLease, the linked host
// first. It is empty if the domain cannot be reached.
func (s *Service) LivePeers(domain string) []string {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.remoteLinks[domain]
	if r == nil || now.Sub(r.lastContact) > ViewLease {
		return nil
	}
	return slices.Clone(r.liveHosts)
}

// Domains returns the sorted names of the failure domains of this host, the seeds and the host list.
func (s *Service) Domains() []string {
	names := map[string]bool{s.opts.Self.Domain: true}
	for _, h := range *s.hosts.Load() {
		names[h.Domain] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// CallDomain sends a request to a live host of another domain, which forwards it to the key owner if necessary. If the request
// was certainly not sent, the next host is tried. Errors are those of peer.Pool.Call.
func (s *Service) CallDomain(ctx context.Context, domain, method string, params, result any) error {
	err := errors.Wrapf(peer.ErrNotSent, "no live host in domain %s", domain)
	for _, id := range s.LivePeers(domain) {
		err = s.CallHost(ctx, id, method, params, result)
		if !errors.Is(err, peer.ErrNotSent) && !errors.Is(err, peer.ErrUnknownPeer) {
			return err
		}
	}
	return err
}

// CallHost sends a request to a host by id. Errors are those of peer.Pool.Call, or ErrUnknownPeer.
func (s *Service) CallHost(ctx context.Context, id, method string, params, result any) error {
	host, ok := s.host(id)
	if !ok {
		return errors.Wrap(peer.ErrUnknownPeer, id)
	}
	return s.opts.Pool.Call(ctx, host.Address, method, params, result)
}
