package config

import (
	"hash/fnv"
	"slices"

	"samphirewell/internal/api"
)

// limitChunk is the size, in accelerators, of the chunks in which borrowed capacity is divided over the failure domains. Smaller chunks would leave
// domains with fewer accelerators than a worker has, in which no part of the usual size fits.
const limitChunk = 8

// DomainAcceleratorLimit returns the accelerators that a team may use in one failure domain: its guarantees there and a fixed share of what the plan
// allows beyond all guarantees. The shares of all domains add up to the plan's limit, so the domains enforce it without exchanging messages.
func DomainAcceleratorLimit(lists api.Lists, team string, plan api.Plan, domain string) int {
	guaranteed, guaranteedHere := 0, 0
	for _, g := range plan.Guarantees {
		n := g.Count * g.Parts * g.Accelerators
		guaranteed += n
		if g.FailureDomain == domain {
			guaranteedHere += n
		}
	}
	return guaranteedHere + borrowedShare(max(0, plan.AcceleratorLimit-guaranteed), team, slices.Index(lists.FailureDomains, domain), len(lists.FailureDomains))
}

// borrowedShare divides borrowed accelerators into chunks and assigns them round-robin. The hash of the team name selects the first domain, so that
// the first chunks of all teams do not go to the same domain.
func borrowedShare(borrowed int, team string, domain, domains int) int {
	if domain < 0 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(team))
	position := (domain + int(h.Sum32()%uint32(domains))) % domains
	chunks, remainder := borrowed/limitChunk, borrowed%limitChunk
	share := chunks / domains * limitChunk
	switch {
	case position < chunks%domains:
		share += limitChunk
	case position == chunks%domains:
		share += remainder
	}
	return share
}
