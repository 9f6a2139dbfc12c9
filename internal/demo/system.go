package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/config"
	"samphirewell/internal/entry"
	"samphirewell/internal/peer"
	"samphirewell/internal/platform"
	"samphirewell/internal/standin"
	"samphirewell/internal/standin/lease"
)

const (
	platformDomain = "platform"
	clientDomain   = "clients"
	loopback       = "127.0.0.1:0"

	hostListLag     = 2 * time.Second
	balancerLag     = 500 * time.Millisecond
	drainLag        = time.Second
	drainTimeout    = 10 * time.Second
	checkpointEvery = time.Second
	operatorToken   = "demo-operator-token"
)

// system is a running deployment.
type system struct {
	deployment deployment
	lists      api.Lists
	network    *standin.Network
	platform   *standin.Platform
	balancer   *standin.Balancer
	executors  []*standin.Executor
	workers    []*standin.Worker
	publisher  *config.Publisher
	log        *logrus.Logger
	started    int // entry hosts started so far

	mu    sync.Mutex
	hosts map[string]*entry.Host
}

// startSystem starts the stand-ins and the entry hosts of all failure domains. On error nothing is left running.
func startSystem(d deployment, lists api.Lists, balancerAddress string) (*system, error) {
	s := &system{deployment: d, lists: lists, network: standin.NewNetwork(), hosts: map[string]*entry.Host{}, log: logrus.New()}
	s.log.SetOutput(io.Discard)
	if err := s.start(balancerAddress); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *system) start(balancerAddress string) error {
	var err error
	if s.platform, err = standin.StartPlatform(standin.PlatformConfig{Seed: seed, HostLag: hostListLag}); err != nil {
		return errors.Wrap(err, "platform")
	}
	s.network.RegisterServer(platformDomain, s.platform)
	table := platform.NewClient(s.platform.URL(), platform.ClientOptions{})
	s.publisher = config.NewPublisher(table, &config.Holder{}, clock.Real{})
	if err := s.startBackends(); err != nil {
		return err
	}
	if s.balancer, err = standin.StartBalancer(standin.BalancerConfig{Address: balancerAddress, Lag: balancerLag, Dial: s.network.Dialer(clientDomain)}); err != nil {
		return errors.Wrap(err, "balancer")
	}
	for _, domain := range s.lists.FailureDomains {
		for range entryHostsPerDomain {
			if _, err := s.startHost(domain); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *system) startBackends() error {
	d, domains := s.deployment, s.lists.FailureDomains
	methods := map[string]standin.ServiceTime{}
	for _, t := range d.Traffic {
		methods[t.Method] = t.ServiceTime
	}
	for i := range d.Executors {
		domain := domains[i%len(domains)]
		e, err := standin.StartExecutor(standin.ExecutorConfig{
			ID: fmt.Sprintf("executor-%02d", i), Incarnation: "1", Service: d.Service, FailureDomain: domain,
			Slots: executorSlots, Seed: seed + uint64(i), Methods: methods,
		})
		if err != nil {
			return errors.Wrap(err, "executor")
		}
		s.executors = append(s.executors, e)
		s.network.RegisterServer(domain, e)
		s.platform.AddHost(e.Entry())
	}
	perDomain := (d.Workers + len(domains) - 1) / len(domains)
	for i := range d.Workers {
		domain, n := domains[i/perDomain], i%perDomain
		w, err := standin.StartWorker(standin.WorkerConfig{
			Lease: lease.Config{
				WorkerID: fmt.Sprintf("worker-%02d", i), Incarnation: "1", Cores: d.Cores, MemoryGB: d.MemoryGB,
				Accelerators: d.Accelerators, CheckpointEvery: checkpointEvery,
			},
			FailureDomain: domain, Rack: fmt.Sprintf("%s-rack-%d", domain, n/d.WorkersPerRack),
		})
		if err != nil {
			return errors.Wrap(err, "worker")
		}
		s.workers = append(s.workers, w)
		s.network.RegisterServer(domain, w)
		s.platform.AddHost(w.Entry())
	}
	return nil
}

// startHost starts one more entry host in a domain and puts it behind the balancer.
func (s *system) startHost(domain string) (*entry.Host, error) {
	s.started++
	id := fmt.Sprintf("entry-%02d", s.started)
	h, err := entry.Start(api.Settings{
		HostID: id, FailureDomain: domain, Region: s.deployment.Name, CallerAddress: loopback, PeerAddress: loopback,
		OperatorAddress: loopback, OperatorToken: operatorToken, PlatformURL: s.platform.URL(), SeedPeers: s.seedPeers(),
		DrainLagMS: int(drainLag.Milliseconds()), DrainTimeoutMS: int(drainTimeout.Milliseconds()),
	}, entry.Deps{Dial: peer.DialFunc(s.network.Dialer(domain)), Log: s.log})
	if err != nil {
		return nil, errors.Wrapf(err, "entry host %s", id)
	}
	s.mu.Lock()
	s.hosts[id] = h
	s.mu.Unlock()
	s.network.Register(domain, h.PeerAddr())
	s.network.Register(domain, h.CallerAddr())
	s.platform.AddHost(api.HostEntry{
		ID: id, Incarnation: id, Role: api.HostEntryRoleEntry, FailureDomain: domain, Region: s.deployment.Name,
		Address: h.PeerAddr(), OperatorAddress: h.OperatorAddr(),
	})
	s.balancer.AddTarget(standin.Target{ID: id, Address: h.CallerAddr(), ReadyURL: "http://" + h.CallerAddr() + "/readyz"})
	return h, nil
}

func (s *system) seedPeers() []api.SeedPeer {
	out := []api.SeedPeer{}
	for id, h := range s.snapshotHosts() {
		out = append(out, api.SeedPeer{HostID: id, FailureDomain: h.Domain(), PeerAddress: h.PeerAddr()})
	}
	return out
}

func (s *system) snapshotHosts() map[string]*entry.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.hosts)
}

func (s *system) host(id string) *entry.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[id]
}

// removeHost removes a host that has ended from the platform's host list and from the balancer.
func (s *system) removeHost(id string) {
	s.platform.RemoveHost(id)
	s.balancer.RemoveTarget(id)
	s.mu.Lock()
	delete(s.hosts, id)
	s.mu.Unlock()
}

// stopHost stops a host gracefully.
func (s *system) stopHost(ctx context.Context, id string) error {
	s.platform.SetLeaving(id, true)
	err := s.host(id).Stop(ctx)
	s.removeHost(id)
	return err
}

// killHost ends a host immediately, as if its process had crashed.
func (s *system) killHost(id string) {
	s.host(id).Kill()
	s.removeHost(id)
}

// firstHost returns the lowest host id of the domain, so that the choice does not depend on map order.
func (s *system) firstHost(domain string) string {
	first := ""
	for id, h := range s.snapshotHosts() {
		if h.Domain() == domain && (first == "" || id < first) {
			first = id
		}
	}
	return first
}

// publishLists publishes the lists in place of those of readVersion and returns their version.
func (s *system) publishLists(ctx context.Context, readVersion int, text string) (int, error) {
	r, err := s.publisher.Put(ctx, config.Change{ReadVersion: readVersion, Author: "demo", RequestID: fmt.Sprintf("demo-%d", readVersion), Text: text})
	if err != nil {
		return 0, errors.Wrap(err, "put lists")
	}
	return r.Accepted.Version, nil
}

func (s *system) close() {
	if s.balancer != nil {
		s.balancer.Close()
	}
	for _, h := range s.snapshotHosts() {
		h.Kill()
	}
	for _, e := range s.executors {
		e.Close()
	}
	for _, w := range s.workers {
		w.Close()
	}
	if s.platform != nil {
		s.platform.Close()
	}
}
