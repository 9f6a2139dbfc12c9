package demo

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"samphirewell/internal/client"
	"samphirewell/internal/clock"
	"samphirewell/internal/outcome"
	"samphirewell/internal/standin"
)

// callersPerTraffic is the number of clients that share the connections of one kind of call.
const callersPerTraffic = 4

// sample is one finished call.
type sample struct {
	traffic  *traffic
	key      string
	body     []byte
	outcome  outcome.Outcome
	start    time.Time
	duration time.Duration
}

// correct reports whether the answer belongs to the request and is complete.
func (s sample) correct(service string) bool {
	return bytes.Equal(s.outcome.Body, standin.ExpectedResponse(service, s.traffic.Method, s.body))
}

// load makes calls at the rates of the deployment until it is stopped. It is an open loop: new calls start whether or not earlier ones were
// answered.
type load struct {
	deployment deployment
	cancel     context.CancelFunc
	arrivals   sync.WaitGroup
	calls      sync.WaitGroup

	mu       sync.Mutex
	samples  []sample
	inFlight map[chan struct{}]struct{} // closed when the call ends
}

func startLoad(d deployment, url string) (*load, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{deployment: d, cancel: cancel, inFlight: map[chan struct{}]struct{}{}}
	for i := range d.Traffic {
		t := &d.Traffic[i]
		var clients []*client.Client
		for range callersPerTraffic {
			c, err := client.New(clock.Real{}, url)
			if err != nil {
				cancel()
				return nil, err
			}
			clients = append(clients, c)
		}
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		l.arrivals.Go(func() { l.arrive(ctx, t, clients, random) })
	}
	return l, nil
}

// arrive starts calls at exponentially distributed intervals.
func (l *load) arrive(ctx context.Context, t *traffic, clients []*client.Client, random *rand.Rand) {
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / t.PerSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		c := clients[n%len(clients)]
		l.calls.Go(func() { l.call(t, c, n) })
	}
}

func (l *load) call(t *traffic, c *client.Client, n int) {
	ended := l.begin()
	defer l.end(ended)
	s := sample{traffic: t, key: fmt.Sprintf("%s-%d", t.Method, n), body: fmt.Appendf(nil, `{"item":%d,"of":%q}`, n, t.Method), start: time.Now()}
	time.Sleep(l.deployment.ClientLatency)
	s.outcome = c.Call(context.Background(), client.Call{
		Service: l.deployment.Service, Method: t.Method, Team: t.Team, Class: t.Class, Timeout: t.Timeout, Repeatable: t.Repeatable,
		Key: s.key, Body: s.body,
	})
	s.duration = time.Since(s.start)
	l.mu.Lock()
	l.samples = append(l.samples, s)
	l.mu.Unlock()
}

func (l *load) begin() chan struct{} {
	ended := make(chan struct{})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[ended] = struct{}{}
	return ended
}

func (l *load) end(ended chan struct{}) {
	l.mu.Lock()
	delete(l.inFlight, ended)
	l.mu.Unlock()
	close(ended)
}

// awaitInFlight waits until all calls that are in flight when it is called have ended, so that a fault injected afterwards affects none of them.
func (l *load) awaitInFlight() {
	l.mu.Lock()
	pending := slices.Collect(maps.Keys(l.inFlight))
	l.mu.Unlock()
	for _, ended := range pending {
		<-ended
	}
}

// stop ends the arrivals, waits for the calls and returns all samples.
func (l *load) stop() []sample {
	l.cancel()
	l.arrivals.Wait()
	l.calls.Wait()
	return l.samples
}
