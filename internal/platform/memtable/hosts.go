package memtable

import (
	"context"
	"slices"
	"sync"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
)

// hostSnapshot is the host list that applies from a time on. It is immutable once stored.
type hostSnapshot struct {
	hosts []api.HostEntry
	since time.Time
}

// HostList is a host list in memory whose responses are out of date: changes become visible after the lag.
type HostList struct {
	*FaultInjector
	listMu   sync.Mutex
	lag      time.Duration
	history  []hostSnapshot // oldest first
	served   int            // number of responses
	frozenAt time.Time      // time of the frozen list; zero if it is not frozen
}

var _ platform.HostList = (*HostList)(nil)

// NewHostList returns an empty host list whose responses are as old as the lag.
func NewHostList(c clock.Clock, lag time.Duration) *HostList {
	return &HostList{FaultInjector: newFaultInjector(c, 0), lag: lag}
}

// SetLag changes the age of the responses.
func (h *HostList) SetLag(lag time.Duration) {
	h.listMu.Lock()
	defer h.listMu.Unlock()
	h.lag = lag
}

// AddHost adds the host or replaces the entry with its id.
func (h *HostList) AddHost(e api.HostEntry) {
	h.change(func(hosts []api.HostEntry) []api.HostEntry {
		hosts = slices.DeleteFunc(hosts, func(other api.HostEntry) bool { return other.ID == e.ID })
		return append(hosts, e)
	})
}

// RemoveHost removes the host with the id.
func (h *HostList) RemoveHost(id string) {
	h.change(func(hosts []api.HostEntry) []api.HostEntry {
		return slices.DeleteFunc(hosts, func(e api.HostEntry) bool { return e.ID == id })
	})
}

// SetLeaving sets or clears Leaving in the entry of the host with the id.
func (h *HostList) SetLeaving(id string, leaving bool) {
	h.change(func(hosts []api.HostEntry) []api.HostEntry {
		for i := range hosts {
			if hosts[i].ID == id {
				hosts[i].Leaving = leaving
			}
		}
		return hosts
	})
}

// change stores a modified copy of the newest list and drops the snapshots that are too old for any further response.
func (h *HostList) change(modify func([]api.HostEntry) []api.HostEntry) {
	h.listMu.Lock()
	defer h.listMu.Unlock()
	now := h.clock.Now()
	var newest []api.HostEntry
	if n := len(h.history); n > 0 {
		newest = h.history[n-1].hosts
	}
	oldest := h.asOf(now)
	for len(h.history) > 1 && !h.history[1].since.After(oldest) {
		h.history = h.history[1:]
	}
	h.history = append(h.history, hostSnapshot{modify(slices.Clone(newest)), now})
}

// asOf returns the time to which the list that is returned now applies.
func (h *HostList) asOf(now time.Time) time.Time {
	if !h.frozenAt.IsZero() {
		return h.frozenAt
	}
	return now.Add(-h.lag)
}

// SetFaults replaces the faults. FrozenHostList keeps the list that would be returned now.
func (h *HostList) SetFaults(f Faults) {
	h.listMu.Lock()
	switch now := h.clock.Now(); {
	case !f.FrozenHostList:
		h.frozenAt = time.Time{}
	case h.frozenAt.IsZero():
		h.frozenAt = now.Add(-h.lag)
	}
	h.listMu.Unlock()
	h.FaultInjector.SetFaults(f)
}

// Hosts returns the list as it was one lag ago.
func (h *HostList) Hosts(ctx context.Context) (api.HostListResponse, error) {
	inj, err := h.begin(ctx, false)
	if err != nil {
		return api.HostListResponse{}, err
	}
	resp := h.response(h.Faults())
	if err := h.end(inj); err != nil {
		return api.HostListResponse{}, err
	}
	return resp, nil
}

func (h *HostList) response(f Faults) api.HostListResponse {
	h.listMu.Lock()
	defer h.listMu.Unlock()
	now := h.clock.Now()
	at := h.asOf(now)
	h.served++
	resp := api.HostListResponse{Hosts: []api.HostEntry{}, AsOfMS: unixMS(at), NowMS: unixMS(now)}
	if f.EmptyHosts {
		return resp
	}
	omitEven := f.FlappingHosts && h.served%2 == 1
	for i, e := range h.listAt(at) {
		if !omitEven || i%2 == 1 {
			resp.Hosts = append(resp.Hosts, e)
		}
	}
	return resp
}

func (h *HostList) listAt(at time.Time) []api.HostEntry {
	for i := len(h.history) - 1; i >= 0; i-- {
		if !h.history[i].since.After(at) {
			return h.history[i].hosts
		}
	}
	return nil
}
