package capacity

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
	"samphirewell/internal/client"
	"samphirewell/internal/clock"
	"samphirewell/internal/config"
	"samphirewell/internal/entry"
	"samphirewell/internal/platform"
	"samphirewell/internal/standin"
)

const (
	loopback      = "127.0.0.1:0"
	operatorToken = "capacity"
	service       = "capacity"
	settleTimeout = 30 * time.Second // until all hosts act in their views and have the lists in force
)

// layout is the size of a deployment.
type layout struct {
	Domains, Hosts int // number of failure domains, and of entry hosts in each
	Teams          int
	Executors      int
	Listed         int // workers in the host list, all of another domain
}

// deployment is a platform stand-in with executors and entry hosts in this process.
type deployment struct {
	layout        layout
	meters        meters
	platform      *standin.Platform
	executors     []*standin.Executor
	hosts         []*entry.Host
	operators     []*client.Operator
	publisher     *config.Publisher
	version       int
	idleProcessor float64 // processor time without hosts, seconds per second
	heapBefore    int64   // bytes, before the first host was started
	heap          int64   // bytes per host after the deployment has settled
}

// deploy starts a deployment and waits until all hosts act in the full view of their domain with the first lists in force.
func deploy(ctx context.Context, l layout) (*deployment, error) {
	d := &deployment{layout: l}
	if err := d.start(ctx); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(ctx context.Context) error {
	var err error
	if d.platform, err = standin.StartPlatform(standin.PlatformConfig{}); err != nil {
		return err
	}
	d.meters.platformAddr = d.platform.Addr()
	d.publisher = config.NewPublisher(platform.NewClient(d.platform.URL(), platform.ClientOptions{}), &config.Holder{}, clock.Real{})
	if err := d.startExecutors(); err != nil {
		return err
	}
	for i := range d.layout.Listed {
		d.platform.AddHost(listedWorker(i))
	}
	heap := heapBytes()
	d.idleProcessor = idleProcessorRate(ctx)
	if err := d.startHosts(); err != nil {
		return err
	}
	if _, err := d.changeLists(ctx); err != nil {
		return err
	}
	if !await(ctx, settleTimeout, d.settled) {
		return errors.New("not all hosts act in the full view of their domain with the first lists in force")
	}
	d.heapBefore = heap
	d.heap = d.heapPerHost()
	return nil
}

func (d *deployment) startExecutors() error {
	for i := range d.layout.Executors {
		e, err := standin.StartExecutor(standin.ExecutorConfig{
			ID: fmt.Sprintf("executor-%02d", i), Incarnation: "1", Service: service, FailureDomain: domainName(i % d.layout.Domains),
		})
		if err != nil {
			return err
		}
		d.executors = append(d.executors, e)
		d.platform.AddHost(e.Entry())
	}
	return nil
}

func (d *deployment) startHosts() error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range d.layout.Domains * d.layout.Hosts {
		domain := domainName(i % d.layout.Domains)
		id := fmt.Sprintf("entry-%02d", i)
		h, err := entry.Start(api.Settings{
			HostID: id, FailureDomain: domain, Region: "r", CallerAddress: loopback, PeerAddress: loopback, OperatorAddress: loopback,
			OperatorToken: operatorToken, PlatformURL: d.platform.URL(), DrainLagMS: 1,
		}, entry.Deps{Dial: d.meters.dial, Log: log})
		if err != nil {
			return errors.Wrap(err, id)
		}
		d.hosts = append(d.hosts, h)
		o, err := client.NewOperator(clock.Real{}, "http://"+h.OperatorAddr(), operatorToken)
		if err != nil {
			return errors.Wrap(err, id)
		}
		d.operators = append(d.operators, o)
		d.platform.AddHost(api.HostEntry{
			ID: id, Incarnation: "1", Role: api.HostEntryRoleEntry, FailureDomain: domain, Region: "r", Address: h.PeerAddr(),
			OperatorAddress: h.OperatorAddr(),
		})
	}
	return nil
}

// settled reports whether all hosts act in the full view of their domain with the newest lists.
func (d *deployment) settled() bool {
	want := fmt.Sprintf("%d hosts, acting: true", d.layout.Hosts)
	for _, h := range d.hosts {
		ok := h.ConfigVersion() >= d.version
		for _, p := range h.Status().Parts {
			ok = ok && (p.Name != "view" || p.Detail == want)
		}
		if !ok {
			return false
		}
	}
	return true
}

// changeLists puts new lists and returns the time from the operator's request until they are in force on all hosts.
func (d *deployment) changeLists(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	result, err := d.publisher.Put(ctx, config.Change{
		ReadVersion: d.version, Author: "capacity", RequestID: fmt.Sprintf("change-%d", d.version), Text: listsText(d.layout, d.version),
	})
	if err != nil {
		return 0, errors.Wrap(err, "put lists")
	}
	d.version = result.Accepted.Version
	ok := await(ctx, settleTimeout, func() bool {
		for _, h := range d.hosts {
			if h.ConfigVersion() < d.version {
				return false
			}
		}
		return true
	})
	if !ok {
		return 0, errors.New("the change is not in force on all hosts")
	}
	return time.Since(began), nil
}

// heapPerHost returns the growth of the heap since the start of the hosts, divided by their number.
func (d *deployment) heapPerHost() int64 { return (heapBytes() - d.heapBefore) / int64(len(d.hosts)) }

func (d *deployment) close() {
	var kills sync.WaitGroup
	for _, h := range d.hosts {
		kills.Go(h.Kill)
	}
	kills.Wait()
	for _, e := range d.executors {
		e.Close()
	}
	if d.platform != nil {
		d.platform.Close()
	}
}

// peerCounters are the counters of a host's connections to other entry hosts, by method.
type peerCounters struct {
	Messages map[string]float64 `json:"sent_messages"`
	Bytes    map[string]float64 `json:"sent_bytes"`
}

// counters returns the peer counters of each host.
func (d *deployment) counters(ctx context.Context) ([]peerCounters, error) {
	out := make([]peerCounters, len(d.operators))
	for i, o := range d.operators {
		var vars struct {
			Samphire struct {
				Peers peerCounters `json:"peers"`
			} `json:"samphire"`
		}
		if err := o.Get(ctx, "/debug/vars", &vars); err != nil {
			return nil, errors.Wrap(err, "counters")
		}
		out[i] = vars.Samphire.Peers
	}
	return out, nil
}
