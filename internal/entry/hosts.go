package entry

import (
	"context"
	"time"

	"samphirewell/internal/api"
)

const (
	// hostListPeriod is the pause between two reads of the platform's host list. At one read per second and host, 49 entry hosts
	// make 49 reads per second.
	hostListPeriod = time.Second
	// hostListTimeout bounds one read.
	hostListTimeout = time.Second
)

// pollHostList reads the host list until ctx ends and passes it to the registry of backend servers, the membership and the caller server.
func (h *Host) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		h.readHostList(ctx)
		select {
		case <-ctx.Done():
		case <-h.clock.After(hostListPeriod):
		}
	}
}

func (h *Host) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	requestedAt := h.clock.Now()
	list, err := h.platform.Hosts(ctx)
	if err != nil {
		h.vars.Add("host_list_errors", 1)
		return
	}
	h.vars.Add("host_list_reads", 1)
	h.registry.Observe(list, h.clock.Now())
	h.hostList.Store(&list)
	if h.member.ObserveHostList(list, requestedAt) == nil {
		h.front.SetEntryHostCount(max(1, countEntryHosts(list)))
	}
}

func countEntryHosts(list api.HostListResponse) int {
	n := 0
	for _, e := range list.Hosts {
		if e.Role == api.HostEntryRoleEntry && !e.Leaving {
			n++
		}
	}
	return n
}
