// Package member keeps the view of the entry hosts of a failure domain and the view lease.
//
// The pure part (Core) turns pings, pongs and ticks into pings and view changes; Service drives it over peer
// connections. The safety argument has five parts:
//
//   - A host adopts a view only if the view has a quorum of each view that the host may have helped to establish, or if every
//     tracked host of the domain is a member of the view or has ended. Two disjoint groups of hosts therefore never both act.
//   - A host acts only while it holds the view lease: each other member accepted a ping of the current period of the view
//     that was sent less than ViewLease ago.
//   - A host acts only after it has settled: no host that was dropped can still hold the lease of an earlier view.
//   - CompleteSince returns the time since which no other host can have acted for a key.
//   - A host may do solo work, which is to run first attempts of calls alone while it holds no view lease, if no view without it
//     can act (Exclusive). It starts only after each lease that it granted has expired, and stops when it accepts a ping. Solo
//     work begins a new epoch, so CompleteSince of the other members does not reach back to that time.
package member

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"samphirewell/internal/api"
)

// Times of the protocol.
const (
	HeartbeatPeriod = 250 * time.Millisecond // time between two pings to the same host
	ViewLease       = 2 * time.Second        // how long an accepted ping permits to act, from the time it was sent
	LeaseEnd        = ViewLease * 101 / 100  // time after which a lease has expired even if the clock of its holder is 1% slower
)

// View is a set of processes of one failure domain, at most one for each host id. It is immutable.
type View struct {
	ID      string             // hash of the members; empty for no view
	Members []api.HostIdentity // sorted by host id
}

// NewView returns the view of the members.
func NewView(members []api.HostIdentity) View {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b api.HostIdentity) int { return strings.Compare(a.ID, b.ID) })
	h := fnv.New64a()
	for _, m := range sorted {
		_, _ = h.Write([]byte(m.ID))
		_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{0}, uint64(m.Incarnation)))
	}
	return View{ID: strconv.FormatUint(h.Sum64(), 16), Members: sorted}
}

// Has reports whether the process is a member.
func (v View) Has(m api.HostIdentity) bool { return slices.Contains(v.Members, m) }

// Find returns the member with the host id.
func (v View) Find(id string) (api.HostIdentity, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return api.HostIdentity{}, false
}

// Owner returns the id of the host that owns the key (rendezvous hashing), or "" in an empty view.
func (v View) Owner(key string) string {
	var best string
	var bestScore uint64
	for _, m := range v.Members {
		if s := score(key, m.ID); best == "" || s > bestScore {
			best, bestScore = m.ID, s
		}
	}
	return best
}

// score hashes key and host id and mixes the result, since FNV alone distributes similar host ids unevenly.
func score(key, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// quorumOf reports whether the present processes are more than half of v, or half of it including its lowest host id. In a
// view of two both are needed, so each of them is Exclusive while it is cut off from the other.
func quorumOf(v View, present func(api.HostIdentity) bool) bool {
	n := 0
	for _, m := range v.Members {
		if present(m) {
			n++
		}
	}
	return 2*n > len(v.Members) || 2*n == len(v.Members) && n > 1 && present(v.Members[0])
}

// cliques calls f with each set of ids (as a bit mask over ids) whose members are all linked with each other.
func cliques(ids []string, linked func(a, b string) bool, f func(mask uint64)) {
	adj := make([]uint64, len(ids))
	for i := range ids {
		for j := range ids {
			if i != j && linked(ids[i], ids[j]) {
				adj[i] |= 1 << j
			}
		}
	}
	var grow func(mask, candidates uint64, next int)
	grow = func(mask, candidates uint64, next int) {
		f(mask)
		for i := next; i < len(ids); i++ {
			if candidates&(1<<i) != 0 {
				grow(mask|1<<i, candidates&adj[i], i+1)
			}
		}
	}
	grow(0, 1<<len(ids)-1, 0)
}

func (v View) ids() []string {
	ids := make([]string, len(v.Members))
	for i, m := range v.Members {
		ids[i] = m.ID
	}
	return ids
}
