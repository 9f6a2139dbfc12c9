package config

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
)

const (
	simTick        = 250 * time.Millisecond // period of pings between peers
	simLag         = time.Second            // maximum replication lag of a read
	maxPropagation = 3 * time.Second        // time within which an accepted version must be in force, as the design page guarantees
	simHosts       = 4
)

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

type simHost struct {
	link        *link
	holder      *Holder
	watcher     *Watcher
	lastVersion int       // version in force at the last check in this incarnation
	maxVersion  int       // highest version in force in any incarnation
	tableSince  time.Time // continuously connected to the table since
	started     time.Time // start of this incarnation
	isolated    bool      // has no connection to peers
	peersSince  time.Time // continuously connected to the peers since
	hasPolled   bool      // a poll has succeeded in this incarnation
}

// configSim simulates hosts that restart, lose the table and exchange offers while an operator changes the lists.
type configSim struct {
	t        *rapid.T
	clk      *clock.Manual
	table    *fakeTable
	hosts    []*simHost
	accepted []time.Time // time at which version i+1 was accepted
	hashes   map[int]string
	offered  []api.ConfigRow // versions that were offered in pings, oldest first
}

func newConfigSim(t *rapid.T) *configSim {
	clk := clock.NewManual(time.Unix(1000, 0))
	s := &configSim{t: t, clk: clk, table: newFakeTable(clk), hashes: map[int]string{}}
	for range simHosts {
		h := &simHost{}
		h.link = &link{table: s.table, down: rapid.Bool().Draw(t, "down"), lag: func() time.Duration {
			return time.Duration(rapid.IntRange(0, int(simLag/time.Millisecond)).Draw(t, "lag")) * time.Millisecond
		}}
		s.restart(h)
		s.hosts = append(s.hosts, h)
	}
	return s
}

func (s *configSim) restart(h *simHost) {
	h.holder, h.lastVersion, h.hasPolled = &Holder{}, 0, false
	h.tableSince, h.started, h.peersSince = s.clk.Now(), s.clk.Now(), s.clk.Now()
	h.watcher = NewWatcher(h.link, h.holder, s.clk, discardLog())
}

func (s *configSim) put() {
	version := len(s.accepted)
	p := NewPublisher(&link{table: s.table}, &Holder{}, instantClock{s.clk})
	_, err := p.Put(context.Background(), Change{ReadVersion: version, Author: "op", RequestID: fmt.Sprint(version), Text: listsWithRate(version + 1)})
	must.NoError(s.t, err)
	s.accepted = append(s.accepted, s.clk.Now())
}

// event injects one random event: a put, a restart, a connection change of a host or a late ping.
func (s *configSim) event() {
	h := s.hosts[rapid.IntRange(0, simHosts-1).Draw(s.t, "host")]
	switch rapid.IntRange(0, 5).Draw(s.t, "event") {
	case 0:
		s.put()
	case 1:
		s.restart(h)
	case 2:
		h.link.down = !h.link.down
		h.tableSince = s.clk.Now()
	case 3:
		h.isolated = !h.isolated
		h.peersSince = s.clk.Now()
	case 4:
		if len(s.offered) > 0 { // a ping that arrives late
			s.offer(h, rapid.SampledFrom(s.offered).Draw(s.t, "ping"))
		}
	}
}

func (s *configSim) offer(h *simHost, row api.ConfigRow) {
	_, err := h.watcher.Offer(row)
	must.NoError(s.t, err)
}

// ping makes every host that is connected to its peers offer them its version.
func (s *configSim) ping() {
	for _, from := range s.hosts {
		current := from.holder.Current()
		if from.isolated || current == nil {
			continue
		}
		if len(s.offered) == 0 || s.offered[len(s.offered)-1].Version < current.Version {
			s.offered = append(s.offered, current.Row())
		}
		for _, to := range s.hosts {
			if to != from && !to.isolated {
				s.offer(to, current.Row())
			}
		}
	}
}

// tick advances time, delivers the pings, and polls the hosts that are due.
func (s *configSim) tick(i int) {
	s.clk.Advance(simTick)
	s.ping()
	s.check()
	for j, h := range s.hosts {
		if (i+j)%int(PollInterval/simTick) != 0 {
			continue
		}
		err := h.watcher.Poll(context.Background())
		if !h.hasPolled && err == nil {
			must.Eq(s.t, len(s.accepted), h.holder.Version(), must.Sprint("the first successful poll of a restarted host puts the current version in force"))
			h.hasPolled = true
		}
	}
	s.check()
}

func (s *configSim) check() {
	for i, h := range s.hosts {
		v := h.holder.Version()
		must.GreaterEq(s.t, h.lastVersion, v, must.Sprintf("version in force on host %d decreased", i))
		if !h.link.down && h.tableSince.Equal(h.started) {
			// A host that has been connected to the table since its start may have no version in force, but never one older than before the restart.
			must.True(s.t, v == 0 || v >= h.maxVersion, must.Sprintf("host %d restarted with version %d after version %d", i, v, h.maxVersion))
		}
		h.lastVersion, h.maxVersion = v, max(h.maxVersion, v)
		if v > 0 {
			hash := h.holder.Current().Hash
			must.True(s.t, s.hashes[v] == "" || s.hashes[v] == hash, must.Sprintf("version %d has two different texts", v))
			s.hashes[v] = hash
		}
		for j, at := range s.accepted {
			if since, ok := s.receivingSince(h); ok && s.clk.Now().Sub(laterOf(at, since)) >= maxPropagation {
				must.GreaterEq(s.t, j+1, v, must.Sprintf("version %d is not in force on host %d after 3 s", j+1, i))
			}
		}
	}
}

// receivingSince returns the time since which a host can receive new versions without interruption, from the table or from a peer that is connected
// to the table.
func (s *configSim) receivingSince(h *simHost) (since time.Time, ok bool) {
	if !h.link.down {
		since, ok = h.tableSince, true
	}
	for _, peer := range s.hosts {
		if h.isolated || peer.isolated || peer.link.down {
			continue
		}
		viaPeer := laterOf(laterOf(h.peersSince, peer.peersSince), peer.tableSince)
		if !ok || viaPeer.Before(since) {
			since, ok = viaPeer, true
		}
	}
	return since, ok
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Guards against a version in force that decreases, also after restarts, stale reads and late offers, and against versions that are not in force
// within 3 s on a host that is connected to the table, directly or through a peer.
func TestVersionInForceOnlyMovesForwardAndArrivesInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newConfigSim(t)
		for i := range 40 {
			s.event()
			s.tick(i)
		}
	})
}

// Guards against a host that starts during an outage of the table and refuses calls although a peer has the lists, and against an offer that is put
// in force before the first poll of the table has ended.
func TestFreshHostAppliesAnOfferOnlyWhenTheTableIsUnavailable(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	table := newFakeTable(clk)
	p := NewPublisher(&link{table: table}, &Holder{}, instantClock{clk})
	old, err := p.Put(context.Background(), Change{Author: "op", RequestID: "a", Text: listsWithRate(1)})
	must.NoError(t, err)
	_, err = p.Put(context.Background(), Change{ReadVersion: 1, Author: "op", RequestID: "b", Text: listsWithRate(2)})
	must.NoError(t, err)
	third := api.ConfigRow{Version: 3, Hash: HashText(sampleLists), Author: "op", RequestID: "c", Text: sampleLists}
	for _, c := range []struct {
		name string
		down bool
		want int
	}{{"table down", true, 1}, {"table up", false, 2}} {
		t.Run(c.name, func(t *testing.T) {
			holder := &Holder{}
			w := NewWatcher(&link{table: table, down: c.down}, holder, clk, discardLog())
			advanced, err := w.Offer(old.Accepted.Row())
			must.NoError(t, err)
			must.False(t, advanced)
			must.Nil(t, holder.Current())
			_ = w.Poll(context.Background())
			must.Eq(t, c.want, holder.Version())
			must.Eq(t, "1", w.Vars().Get("advances").String(), must.Sprint("no older version was in force in between"))
			advanced, err = w.Offer(third)
			must.NoError(t, err)
			must.True(t, advanced, must.Sprint("after the first poll an offer is applied immediately"))
		})
	}
}

// Guards against a lock-free update that lets an older version replace a newer one.
func TestHolderKeepsTheNewestOfConcurrentVersions(t *testing.T) {
	const writers, versions = 4, 100000
	var holder Holder
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() {
			for v := 1 + w; v <= versions; v += writers {
				if _, err := holder.Advance(&Accepted{Version: v}); err != nil {
					t.Errorf("version %d: %v", v, err)
				}
			}
		})
	}
	group.Go(func() {
		for seen := 0; seen < versions; {
			now := holder.Version()
			if now < seen {
				t.Errorf("version %d follows version %d", now, seen)
				return
			}
			seen = now
		}
	})
	group.Wait()
	must.Eq(t, versions, holder.Version())
}

// hangingTable blocks every read until its context ends.
type hangingTable struct {
	link
	entered chan struct{}
}

func (h *hangingTable) Get(ctx context.Context, _ ...string) (api.RowsResponse, error) {
	h.entered <- struct{}{}
	<-ctx.Done()
	return api.RowsResponse{}, ctx.Err()
}

// Guards against a table that does not respond and so prevents a starting host from applying its peer's version.
func TestHangingTableCountsAsDownAfterThePollTimeout(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	p := NewPublisher(&link{table: newFakeTable(clk)}, &Holder{}, instantClock{clk})
	result, err := p.Put(context.Background(), Change{Author: "op", RequestID: "a", Text: sampleLists})
	must.NoError(t, err)
	table, holder := &hangingTable{entered: make(chan struct{})}, &Holder{}
	w := NewWatcher(table, holder, clk, discardLog())
	_, err = w.Offer(result.Accepted.Row())
	must.NoError(t, err)
	done := make(chan error)
	go func() { done <- w.Poll(context.Background()) }()
	<-table.entered
	clk.Advance(PollTimeout)
	must.ErrorIs(t, <-done, context.Canceled)
	must.Eq(t, 1, holder.Version())
}

// signalClock sends the duration of each wait that starts to waits.
type signalClock struct {
	*clock.Manual
	waits chan time.Duration
}

func (c *signalClock) After(d time.Duration) <-chan time.Time {
	ch := c.Manual.After(d)
	c.waits <- d
	return ch
}

// Guards against a watcher that stops after a failed poll, polls at another interval, or does not end with its context.
func TestRunPollsAtThePollIntervalUntilItsContextEnds(t *testing.T) {
	clk := &signalClock{clock.NewManual(time.Unix(1000, 0)), make(chan time.Duration)}
	table, holder := newFakeTable(clk), &Holder{}
	p := NewPublisher(&link{table: table}, &Holder{}, instantClock{clk.Manual})
	_, err := p.Put(context.Background(), Change{Author: "op", RequestID: "a", Text: sampleLists})
	must.NoError(t, err)
	polls := make(chan bool, 1)
	respondingLink := &link{table: table, lag: func() time.Duration { polls <- true; return 0 }}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	w := NewWatcher(&failingOnce{link: respondingLink}, holder, clk, discardLog())
	go func() { w.Run(ctx); close(done) }()
	for poll := range 3 {
		must.Eq(t, PollTimeout, <-clk.waits)
		must.Eq(t, PollInterval, <-clk.waits)
		must.Eq(t, min(poll, 1), holder.Version(), must.Sprint("the first poll fails, the second one succeeds"))
		if poll > 0 {
			<-polls
		}
		if poll < 2 {
			clk.Advance(PollInterval)
		}
	}
	cancel()
	<-done
	must.Eq(t, "3", w.Vars().Get("polls").String())
	must.Eq(t, "1", w.Vars().Get("pollErrors").String())
	must.Eq(t, "1", w.Vars().Get("version").String())
}

// failingOnce fails its first read.
type failingOnce struct {
	*link
	failed bool
}

func (f *failingOnce) Get(ctx context.Context, keys ...string) (api.RowsResponse, error) {
	if !f.failed {
		f.failed = true
		return api.RowsResponse{}, platform.ErrUnavailable
	}
	return f.link.Get(ctx, keys...)
}

// BenchmarkPlanLookup measures the cost of looking up the plan of a team on the request path: one atomic load and one map read.
func BenchmarkPlanLookup(b *testing.B) {
	var holder Holder
	a, err := AcceptedFromRow(api.ConfigRow{Version: 1, Hash: HashText(sampleLists), Author: "op", RequestID: "a", Text: sampleLists})
	must.NoError(b, err)
	_, err = holder.Advance(a)
	must.NoError(b, err)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if holder.Current().Plan("rounds") == nil {
				b.Error("the plan is missing")
			}
		}
	})
}

// Guards against corrupt offers and against two different texts with the same version.
func TestOfferRefusesDamagedAndDivergentVersions(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	holder := &Holder{}
	w := NewWatcher(&link{table: newFakeTable(clk)}, holder, clk, discardLog())
	must.NoError(t, w.Poll(context.Background()))
	good := api.ConfigRow{Version: 3, Hash: HashText(sampleLists), Author: "op", RequestID: "a", Text: sampleLists}
	advanced, err := w.Offer(good)
	must.NoError(t, err)
	must.True(t, advanced)
	must.Eq(t, "large", holder.Current().Plan("rounds").Name)
	must.Nil(t, holder.Current().Plan("nobody"))
	damaged := good
	damaged.Version, damaged.Text = 4, listsWithRate(5)
	_, err = w.Offer(damaged)
	must.ErrorIs(t, err, ErrCorrupt)
	divergent := good
	divergent.Text = listsWithRate(5)
	divergent.Hash = HashText(divergent.Text)
	_, err = w.Offer(divergent)
	must.ErrorIs(t, err, ErrDivergent)
	must.Eq(t, good.Hash, holder.Current().Hash)
}
