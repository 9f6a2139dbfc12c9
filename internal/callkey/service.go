package callkey

import (
	"context"
	"sync"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/member"
	"samphirewell/internal/peer"
)

// Members is the part of member.Service that the claims need.
type Members interface {
	State() member.State
	Self() api.HostIdentity
	Domain() string
	Domains() []string
	CallHost(ctx context.Context, id, method string, params, result any) error
	ExtendBlockHistory(period member.PeriodID, since time.Time)
	CallDomain(ctx context.Context, domain, method string, params, result any) error
}

// Service handles requests for keys that this host owns, and forwards lookups and tombstone requests for other keys to their owner.
type Service struct {
	members Members
	clock   clock.Clock

	mu      sync.Mutex
	records *Records
}

// NewService returns a service with empty records.
func NewService(m Members, c clock.Clock) *Service {
	return &Service{members: m, clock: c, records: NewRecords(MaxRecords, Rules{})}
}

// Register adds the key methods to the methods of the peer server.
func (s *Service) Register(methods peer.Registry) {
	methods[peer.MethodKeyClaim] = peer.Handle(func(ctx context.Context, _ api.HostIdentity, r api.KeyClaimRequest) (api.KeyClaimResponse, error) {
		return s.Claim(ctx, r), nil
	})
	methods[peer.MethodKeyFinish] = peer.Handle(func(_ context.Context, _ api.HostIdentity, r api.KeyFinishRequest) (api.KeyFinishResponse, error) {
		return s.Finish(r), nil
	})
	methods[peer.MethodKeyLookup] = peer.Handle(func(ctx context.Context, _ api.HostIdentity, q api.KeyQuery) (api.KeyQueryResponse, error) {
		return s.Query(ctx, q, peer.MethodKeyLookup)
	})
	methods[peer.MethodKeyTombstone] = peer.Handle(func(ctx context.Context, _ api.HostIdentity, q api.KeyQuery) (api.KeyQueryResponse, error) {
		return s.Query(ctx, q, peer.MethodKeyTombstone)
	})
	methods[peer.MethodKeyBlock] = peer.Handle(func(_ context.Context, _ api.HostIdentity, r api.KeyBlockRequest) (api.KeyBlockResponse, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.records.Block(s.clock.Now(), s.members.State(), r), nil
	})
	methods[peer.MethodKeyBlocks] = peer.Handle(func(_ context.Context, _ api.HostIdentity, r api.KeyBlocksRequest) (api.KeyBlocksResponse, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.records.Blocks(s.clock.Now(), s.members.State(), r), nil
	})
}

// Claim decides on a claim as the key owner. While another attempt is in progress, it waits until the deadline of the request at the
// latest. A retry is granted only after all other members of the view have blocked first attempts of the key.
func (s *Service) Claim(ctx context.Context, req api.KeyClaimRequest) api.KeyClaimResponse {
	confirmedView := ""
	return s.waitForClaim(ctx, req, func(now time.Time, req api.KeyClaimRequest) api.KeyClaimResponse {
		st := s.members.State()
		resp, needsBlocks := s.records.Claim(now, st, req, confirmedView)
		if !needsBlocks || confirmedView != "" {
			return resp
		}
		s.mu.Unlock()
		confirmedView = s.blockAtMembers(ctx, st.View, req.Team, req.Key)
		s.mu.Lock()
		if confirmedView == "" {
			return resp
		}
		resp, _ = s.records.Claim(s.clock.Now(), s.members.State(), req, confirmedView)
		return resp
	})
}

// ClaimSolo decides on a claim of this host itself while it does solo work. It waits as Claim does.
func (s *Service) ClaimSolo(ctx context.Context, req api.KeyClaimRequest) api.KeyClaimResponse {
	return s.waitForClaim(ctx, req, func(now time.Time, req api.KeyClaimRequest) api.KeyClaimResponse {
		return s.records.ClaimSolo(now, s.members.State(), req)
	})
}

// waitForClaim calls claim with mu held, and repeats it each time an attempt in progress ends, until the key is not in progress or the
// deadline of the request has passed.
func (s *Service) waitForClaim(
	ctx context.Context, req api.KeyClaimRequest, claim func(time.Time, api.KeyClaimRequest) api.KeyClaimResponse,
) api.KeyClaimResponse {
	end := s.clock.Now().Add(time.Duration(req.DeadlineMS) * time.Millisecond)
	expired := s.clock.After(end.Sub(s.clock.Now()))
	for {
		now := s.clock.Now()
		s.mu.Lock()
		resp := claim(now, req)
		wait := s.records.Wait(req.Team, req.Key)
		s.mu.Unlock()
		if resp.Decision != api.KeyClaimResponseDecisionInProgress || !now.Before(end) {
			return resp
		}
		req.DeadlineMS = int(end.Sub(now) / time.Millisecond)
		select {
		case <-wait:
		case <-expired:
			return resp
		case <-ctx.Done():
			return resp
		}
	}
}

// Finish records the outcome of a claim.
func (s *Service) Finish(req api.KeyFinishRequest) api.KeyFinishResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return api.KeyFinishResponse{Recorded: s.records.Finish(s.clock.Now(), req)}
}

// Query handles a lookup or tombstone request as the key owner, or forwards it to the owner. A lookup waits for the end of an attempt in
// progress, until the deadline of the request at the latest.
func (s *Service) Query(ctx context.Context, q api.KeyQuery, method string) (api.KeyQueryResponse, error) {
	st := s.members.State()
	owner := st.View.Owner(KeyName(q.Team, q.Key))
	if owner != s.members.Self().ID && owner != "" && !q.Forwarded && !st.Solo(s.clock.Now()) {
		q.Forwarded = true
		var resp api.KeyQueryResponse
		err := s.members.CallHost(ctx, owner, method, q, &resp)
		return resp, err
	}
	expired := s.clock.After(time.Duration(q.DeadlineMS) * time.Millisecond)
	for {
		resp, wait := s.queryOnce(ctx, q, method)
		if resp.State != api.KeyQueryResponseStateInProgress || method != peer.MethodKeyLookup {
			return resp, nil
		}
		select {
		case <-wait:
		case <-expired:
			return resp, nil
		case <-ctx.Done():
			return resp, nil
		}
	}
}

func (s *Service) queryOnce(ctx context.Context, q api.KeyQuery, method string) (api.KeyQueryResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, now := s.members.State(), s.clock.Now()
	if st.Solo(now) {
		return s.records.QuerySolo(now, st, q), nil
	}
	block := method == peer.MethodKeyTombstone
	resp, needsBlocks := s.records.Query(now, st, q, block, "")
	if needsBlocks {
		s.mu.Unlock()
		confirmedView := s.blockAtMembers(ctx, st.View, q.Team, q.Key)
		s.mu.Lock()
		if confirmedView != "" {
			resp, _ = s.records.Query(s.clock.Now(), s.members.State(), q, block, confirmedView)
		}
	}
	return resp, s.records.Wait(q.Team, q.Key)
}
