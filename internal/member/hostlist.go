package member

import (
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
)

// maxHostListAge is the age above which a host list is not used.
const maxHostListAge = 30 * time.Second

// ErrStaleList is returned for a list that is empty or too old to be used.
var ErrStaleList = errors.New("host list is empty or too old")

// ObserveHostList applies a list that the platform returned to a request sent at requestedAt, on the clock of this host. While no new list
// arrives, the hosts of the last one and the seeds stay in use. The error is ErrStaleList.
func (s *Service) ObserveHostList(resp api.HostListResponse, requestedAt time.Time) error {
	age := time.Duration(resp.NowMS-resp.AsOfMS) * time.Millisecond
	if age < 0 || age > maxHostListAge || len(resp.Hosts) == 0 {
		return ErrStaleList
	}
	// The list was made at least age before the response, and the request was sent before the response, so the result is a lower bound
	// on the time of the list. The 1% allows for a slower clock of the platform.
	s.applyHostList(resp, requestedAt.Add(-age*101/100))
	return nil
}

// applyHostList replaces the listed entry hosts. A host of the own domain that the list does not name has ended.
func (s *Service) applyHostList(resp api.HostListResponse, asOf time.Time) {
	var listed []Host
	running := map[string]bool{}
	for _, h := range resp.Hosts {
		if h.Role == api.HostEntryRoleEntry {
			listed = append(listed, Host{ID: h.ID, Domain: h.FailureDomain, Address: h.Address})
			running[h.ID] = true
		}
	}
	if len(listed) == 0 {
		return
	}
	ended := EndedHosts{AsOf: asOf, Hosts: map[string]bool{}}
	for _, id := range s.ownDomainHosts() {
		if !running[id] {
			ended.Hosts[id] = true
		}
	}
	s.SetHosts(listed, ended)
}

// ownDomainHosts returns the ids of all hosts of the own domain that are candidates, have sent a message or are in the view.
func (s *Service) ownDomainHosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(s.core.pingTargets(), s.core.view.ids()...)
}
