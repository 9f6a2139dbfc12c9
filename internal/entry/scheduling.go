package entry

import (
	"slices"
	"sync"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/applier"
	"samphirewell/internal/member"
	"samphirewell/internal/scheduler"
)

// purposeScheduler is the purpose for which the membership chooses the preferred host that runs the scheduler of the domain.
const purposeScheduler = "scheduler"

// soloHorizon is added to the start of solo work to get the time that Since returns. It is longer than the domain horizon, after which no
// work runs in any case.
const soloHorizon = 24 * time.Hour

// leadership implements applier.Leadership: it reports whether this host is the preferred scheduler of its domain. A host does solo work
// while it is cut off from its view and no other host can act; see package member.
type leadership struct {
	member *member.Service

	mu    sync.Mutex
	since time.Time // result of Since; zero while the host has no authority
	solo  bool      // the host does solo work, in which it may renew leases
}

// HasAuthority implements applier.Leadership.
func (l *leadership) HasAuthority(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	preferred := l.member.Preferred(purposeScheduler)
	solo := !preferred && l.member.State().Solo(now)
	switch {
	case !preferred && !solo:
		l.since = time.Time{}
	case solo && (l.since.IsZero() || !l.solo):
		l.since = now.Add(soloHorizon)
	case preferred && (l.since.IsZero() || l.solo):
		l.since = now
	}
	l.solo = solo
	return preferred || solo
}

// Since implements applier.Leadership. During solo work it is in the future: the leases of running work are renewed, but nothing is
// placed without the table, because another host may have placed work that this one does not track. It must not change while the
// host has authority, since the applier resets its state when it changes.
func (l *leadership) Since() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.since
}

func (h *Host) newController(dial applier.DialFunc) *applier.Controller {
	return applier.New(applier.DefaultSettings(), applier.Deps{
		Domain:      h.settings.FailureDomain,
		Store:       h.jobs,
		Table:       h.platform,
		Workers:     h.listedWorkers,
		Lists:       h.currentLists,
		Client:      applier.NewHTTPClient(dial),
		Leadership:  &leadership{member: h.member},
		Clock:       h.clock,
		Health:      health{scheduler.NewHealth()},
		LostDomains: (&unresponsiveDomains{host: h, since: map[string]time.Time{}}).list,
		Events:      h.ring.Record,
	})
}

// health adapts the record of failing jobs and workers to the controller.
type health struct{ *scheduler.Health }

// Failed implements applier.Health.
func (h health) Failed(jobID, workerID string, now time.Time) (jobFailed, quarantined bool) {
	v := h.Health.Failed(jobID, workerID, now)
	return v.JobFailed, v.Quarantined
}

// unresponsiveDomains measures for how long no host of another failure domain has responded. The controller calls list from one goroutine.
type unresponsiveDomains struct {
	host  *Host
	since map[string]time.Time // by domain, when its hosts were first found unresponsive
}

// list returns the other failure domains of which no host responds.
func (s *unresponsiveDomains) list() []applier.LostDomain {
	now := s.host.clock.Now()
	var out []applier.LostDomain
	for _, domain := range s.host.member.Domains() {
		if domain == s.host.settings.FailureDomain || len(s.host.member.LivePeers(domain)) > 0 {
			delete(s.since, domain)
			continue
		}
		if s.since[domain].IsZero() {
			s.since[domain] = now
		}
		out = append(out, applier.LostDomain{Domain: domain, UnresponsiveFor: now.Sub(s.since[domain]), Listed: s.host.mayBeListed(domain)})
	}
	return out
}

// mayBeListed reports whether the platform lists an entry host of the domain. It is true while no host list was received.
func (h *Host) mayBeListed(domain string) bool {
	list := h.hostList.Load()
	return list == nil || slices.ContainsFunc(list.Hosts, func(e api.HostEntry) bool {
		return e.Role == api.HostEntryRoleEntry && e.FailureDomain == domain
	})
}

// listedWorkers returns the workers of the own failure domain that the platform lists and that are not leaving.
func (h *Host) listedWorkers() []api.HostEntry {
	list := h.hostList.Load()
	if list == nil {
		return nil
	}
	var out []api.HostEntry
	for _, e := range list.Hosts {
		if e.Role == api.HostEntryRoleWorker && e.FailureDomain == h.settings.FailureDomain && !e.Leaving {
			out = append(out, e)
		}
	}
	return out
}

// currentLists returns the lists in force; the second result is false while there are none.
func (h *Host) currentLists() (api.Lists, bool) {
	current := h.listsInForce.Current()
	if current == nil {
		return api.Lists{}, false
	}
	return current.Lists, true
}
