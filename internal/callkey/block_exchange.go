package callkey

import (
	"context"
	"slices"
	"sync"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/member"
	"samphirewell/internal/peer"
)

const (
	blockTimeout       = 500 * time.Millisecond // for the other members to confirm a block, and for a member to return its blocked keys
	fetchCheckInterval = 50 * time.Millisecond  // between two checks whether blocked keys must be fetched
	// The backoff after a fetch without a result doubles from minFetchBackoff to maxFetchBackoff while the view stays the same. In a domain
	// that has just started no member can return its blocked keys until MaxTransit has passed; without the longer backoff each host would
	// query all others five times a second.
	minFetchBackoff = 200 * time.Millisecond
	maxFetchBackoff = 2 * time.Second
)

// blockAtMembers requests all other members of the view to block first attempts of a key. It returns the id of the view if all of them
// have confirmed, else "".
func (s *Service) blockAtMembers(ctx context.Context, view member.View, team, key string) string {
	ctx, cancel := context.WithTimeout(ctx, blockTimeout)
	defer cancel()
	req := api.KeyBlockRequest{ViewID: view.ID, Hash: formatHash(keyHash(team, key))}
	confirmed := make([]bool, len(view.Members))
	var wg sync.WaitGroup
	for i, m := range view.Members {
		if m == s.members.Self() {
			confirmed[i] = true
			continue
		}
		wg.Go(func() {
			var resp api.KeyBlockResponse
			err := s.members.CallHost(ctx, m.ID, peer.MethodKeyBlock, req, &resp)
			confirmed[i] = err == nil && resp.Blocked
		})
	}
	wg.Wait()
	if slices.Contains(confirmed, false) {
		return ""
	}
	return view.ID
}

// Run fetches the blocked keys from another member whenever this host joins a view, until ctx ends. Until they are fetched, first
// attempts without complete records are refused.
func (s *Service) Run(ctx context.Context) {
	backoff, view := minFetchBackoff, ""
	for ctx.Err() == nil {
		pause := fetchCheckInterval
		st, now := s.members.State(), s.clock.Now()
		if st.View.ID != view {
			backoff, view = minFetchBackoff, st.View.ID
		}
		if st.Acting(now) && !HasAllBlocks(now, st) && !s.fetchBlocks(ctx, st) {
			pause = backoff
			backoff = min(2*backoff, maxFetchBackoff)
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(pause):
		}
	}
}

// fetchBlocks requests the blocked keys from one member after the other until the host has all of them. It reports whether it has.
func (s *Service) fetchBlocks(ctx context.Context, st member.State) bool {
	for _, m := range st.View.Members {
		if m == s.members.Self() {
			continue
		}
		s.fetchBlocksFrom(ctx, st, m)
		if HasAllBlocks(s.clock.Now(), s.members.State()) {
			return true
		}
	}
	return false
}

func (s *Service) fetchBlocksFrom(ctx context.Context, st member.State, from api.HostIdentity) {
	ctx, cancel := context.WithTimeout(ctx, blockTimeout)
	defer cancel()
	var resp api.KeyBlocksResponse
	if s.members.CallHost(ctx, from.ID, peer.MethodKeyBlocks, api.KeyBlocksRequest{ViewID: st.View.ID}, &resp) != nil {
		return
	}
	s.mu.Lock()
	since, ok := s.records.ApplyBlocks(s.clock.Now(), resp)
	s.mu.Unlock()
	if ok {
		s.members.ExtendBlockHistory(st.Period, since)
	}
}
