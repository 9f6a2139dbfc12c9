// Package registry tracks the backend servers that an entry host may use. It combines the platform's host list, which lags
// behind the real state, with what the host itself observes.
package registry

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"samphirewell/internal/api"
)

const (
	// MaxListAge is the maximum age of a list that may remove servers.
	MaxListAge = 30 * time.Second
	// AbsentLists is the number of consecutive lists without a server after which it is removed.
	AbsentLists = 3
	// leavingRetention is the time for which a leaving incarnation is recorded after it was last observed. It is far above the
	// lag of the platform's list, so an old list cannot make the incarnation usable again.
	leavingRetention = 10 * time.Minute
)

// Server is a backend server. Address is ip:port.
type Server struct {
	ID, Incarnation, Address, FailureDomain, Service string
	// Leaving servers receive no new calls. The flag is never cleared for an incarnation.
	Leaving bool
}

// Snapshot is an immutable set of servers.
type Snapshot struct {
	Servers     []Server                      // sorted by ID
	lastSuccess map[incarnation]*atomic.Int64 // time of the last response, Unix nanoseconds; shared with the entries
}

type incarnation struct{ id, incarnation string }

type entry struct {
	server      Server
	absentLists int           // consecutive lists without the server
	absentSince time.Time     // time at which the first of them was observed
	lastSuccess *atomic.Int64 // time of the last response, Unix nanoseconds
}

// Registry holds the servers. It is safe for concurrent use; reads are lock-free.
type Registry struct {
	mu          sync.Mutex
	entries     map[string]*entry
	leaving     map[incarnation]time.Time // leaving incarnations and when they were last observed
	lastAsOf    int                       // asOf of the newest list, Unix milliseconds
	snapshot    atomic.Pointer[Snapshot]
	lastNewerAt time.Time // when lastAsOf was set
	subscribers []func(*Snapshot)
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{entries: map[string]*entry{}, leaving: map[incarnation]time.Time{}}
	r.snapshot.Store(&Snapshot{})
	return r
}

// Subscribe calls subscriber with the current snapshot and each later one, in order. subscriber must not call Observe,
// ObserveLeaving or Subscribe, which would deadlock.
func (r *Registry) Subscribe(subscriber func(*Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, subscriber)
	subscriber(r.snapshot.Load())
}

// Snapshot returns the current servers.
func (r *Registry) Snapshot() *Snapshot { return r.snapshot.Load() }

// Observe merges a list that was received at now. An empty list, a list older than MaxListAge and a list that is not newer
// than the previous one remove no server.
func (r *Registry) Observe(list api.HostListResponse, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	executors := executorsOf(list)
	if len(executors) == 0 {
		return
	}
	newer := r.advance(list.AsOfMS, now)
	present := map[string]bool{}
	for _, host := range executors {
		present[host.ID] = true
		r.merge(host, newer, now)
	}
	fresh := time.Duration(list.NowMS-list.AsOfMS)*time.Millisecond <= MaxListAge
	if newer && fresh {
		r.removeAbsent(present, now)
	}
	r.expireLeaving(now)
	r.publish()
}

// ObserveLeaving records the announcement of a server that it is leaving.
func (r *Registry) ObserveLeaving(id, inc string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := incarnation{id, inc}
	_, recorded := r.leaving[key]
	r.leaving[key] = now
	if !recorded {
		r.publish()
	}
}

// ObserveSuccess records a response of the server at now. A server that has responded since it was first absent from the list
// is not removed.
func (r *Registry) ObserveSuccess(id, inc string, now time.Time) {
	if last := r.snapshot.Load().lastSuccess[incarnation{id, inc}]; last != nil {
		last.Store(now.UnixNano())
	}
}

// advance reports whether a list with the time asOf, Unix milliseconds, is newer than the last one, and if so records its time.
// After MaxListAge without a newer list any different time counts as newer, because the platform's clock may have been set back.
func (r *Registry) advance(asOf int, now time.Time) bool {
	newer := asOf > r.lastAsOf || asOf != r.lastAsOf && now.Sub(r.lastNewerAt) > MaxListAge
	if newer {
		r.lastAsOf, r.lastNewerAt = asOf, now
	}
	return newer
}

func executorsOf(list api.HostListResponse) []api.HostEntry {
	var out []api.HostEntry
	for _, host := range list.Hosts {
		if host.Role == api.HostEntryRoleExecutor {
			out = append(out, host)
		}
	}
	return out
}

func (r *Registry) merge(host api.HostEntry, newer bool, now time.Time) {
	e := r.entries[host.ID]
	if host.Leaving {
		r.leaving[incarnation{host.ID, host.Incarnation}] = now
	}
	server := Server{ID: host.ID, Incarnation: host.Incarnation, Address: host.Address,
		FailureDomain: host.FailureDomain, Service: host.Service}
	switch {
	case e == nil:
		r.entries[host.ID] = &entry{server: server, lastSuccess: new(atomic.Int64)}
	case !newer:
	case e.server.Incarnation != host.Incarnation:
		*e = entry{server: server, lastSuccess: new(atomic.Int64)}
	default:
		e.server, e.absentLists = server, 0
	}
}

func (r *Registry) removeAbsent(present map[string]bool, now time.Time) {
	for id, e := range r.entries {
		if present[id] {
			continue
		}
		if e.absentLists == 0 {
			e.absentSince = now
		}
		e.absentLists++
		if e.absentLists >= AbsentLists && e.lastSuccess.Load() <= e.absentSince.UnixNano() {
			delete(r.entries, id)
		}
	}
}

func (r *Registry) expireLeaving(now time.Time) {
	for key, seen := range r.leaving {
		e := r.entries[key.id]
		listed := e != nil && e.server.Incarnation == key.incarnation
		if !listed && now.Sub(seen) > leavingRetention {
			delete(r.leaving, key)
		}
	}
}

func (r *Registry) publish() {
	s := &Snapshot{lastSuccess: make(map[incarnation]*atomic.Int64, len(r.entries))}
	for _, e := range r.entries {
		key := incarnation{e.server.ID, e.server.Incarnation}
		server := e.server
		_, server.Leaving = r.leaving[key]
		s.Servers = append(s.Servers, server)
		s.lastSuccess[key] = e.lastSuccess
	}
	sort.Slice(s.Servers, func(i, j int) bool { return s.Servers[i].ID < s.Servers[j].ID })
	r.snapshot.Store(s)
	for _, notify := range r.subscribers {
		notify(s)
	}
}
