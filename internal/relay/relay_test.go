package relay

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/peer"
	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

// fakePeer executes calls on its own store, or fails.
type fakePeer struct {
	store rowstore.Store
	err   error
	calls []string
}

// Call implements Caller.
func (o *fakePeer) Call(ctx context.Context, address, _ string, params, result any) error {
	o.calls = append(o.calls, address)
	if o.err != nil {
		return o.err
	}
	*result.(*api.RelayResult) = serve(ctx, o.store, params.(api.RelayCall))
	return nil
}

var key = rowstore.Key{Table: "t", Partition: "p", Key: "k"}

func put(value string, version uint64) rowstore.Tx {
	return rowstore.Tx{Conditions: []rowstore.Condition{{Key: key, Version: version}}, Puts: []rowstore.Row{{Key: key, Value: []byte(value)}}}
}

// newRefusedStore returns a store whose direct calls are refused, the peer that relays its calls, and the peer's store.
func newRefusedStore() (*Store, *fakePeer, *memstore.Store) {
	shared, direct := memstore.New(), memstore.New()
	direct.SetFault(func(string) memstore.Fault { return memstore.Refuse })
	other := &fakePeer{store: shared}
	return New(direct, other, func() []string { return []string{"a", "b"} }), other, shared
}

// Guards against calls or results that are changed by relaying them through another host.
func TestRelayedCallsMatchDirectCalls(t *testing.T) {
	s, _, shared := newRefusedStore()
	ctx := context.Background()
	r, err := s.Commit(ctx, put("\x00binary\xff", 0))
	must.NoError(t, err)
	must.Eq(t, rowstore.TxResult{Applied: true, Version: 1}, r)
	r, err = s.Commit(ctx, put("second", 0))
	must.NoError(t, err)
	want := rowstore.Row{Key: key, Value: []byte("\x00binary\xff"), Version: 1}
	must.Eq(t, rowstore.TxResult{Current: []rowstore.Row{want}}, r)
	scan, err := s.Scan(ctx, "t", "p", rowstore.Range{From: "k", To: "l"})
	must.NoError(t, err)
	must.Eq(t, []rowstore.Row{want}, scan.Rows)
	changes, err := s.Changes(ctx, "t", 0, time.Millisecond)
	must.NoError(t, err)
	must.Eq(t, []rowstore.Row{want}, changes.Rows)
	shared.DropHistory()
	_, err = s.Changes(ctx, "t", 0, time.Millisecond)
	must.ErrorIs(t, err, rowstore.ErrHistoryGone)
	_, err = s.Commit(ctx, rowstore.Tx{Removes: []rowstore.Key{key}})
	must.NoError(t, err)
	scan, err = s.Scan(ctx, "t", "p", rowstore.Range{})
	must.NoError(t, err)
	must.SliceEmpty(t, scan.Rows)
}

// Guards against reporting a call as not done although another host may have made it.
func TestUnknownRelayOutcomeIsUncertain(t *testing.T) {
	s, other, _ := newRefusedStore()
	other.err = errors.Wrap(peer.ErrUncertain, "cut")
	_, err := s.Commit(context.Background(), put("x", 0))
	must.ErrorIs(t, err, rowstore.ErrUncertain)
	s, other, _ = newRefusedStore()
	other.err = errors.Wrap(peer.ErrNotSent, "refused")
	_, err = s.Commit(context.Background(), put("x", 0))
	must.ErrorIs(t, err, rowstore.ErrNotDone)
}

// Guards against relaying every call while the table is down for all hosts.
func TestRelayPausesWhenAllHostsFail(t *testing.T) {
	s, other, _ := newRefusedStore()
	now := time.Unix(100, 0)
	s.now = func() time.Time { return now }
	other.err = errors.Wrap(peer.ErrNotSent, "down")
	for range 20 {
		_, err := s.Commit(context.Background(), put("x", 0))
		must.ErrorIs(t, err, rowstore.ErrNotDone)
	}
	must.Eq(t, []string{"a", "b"}, other.calls)
	now = now.Add(relayPause)
	_, _ = s.Commit(context.Background(), put("x", 0))
	must.Len(t, 3, other.calls)
}

// Guards against a host that continues to relay its calls after direct calls work again.
func TestDirectCallIsTriedAgain(t *testing.T) {
	direct, shared := memstore.New(), memstore.New()
	refuse := true
	direct.SetFault(func(string) memstore.Fault {
		if refuse {
			return memstore.Refuse
		}
		return memstore.None
	})
	other := &fakePeer{store: shared}
	s := New(direct, other, func() []string { return []string{"a"} })
	now := time.Unix(100, 0)
	s.now = func() time.Time { return now }
	_, err := s.Commit(context.Background(), put("x", 0))
	must.NoError(t, err)
	refuse = false
	now = now.Add(relayFirstPeriod)
	_, err = s.Commit(context.Background(), put("y", 0))
	must.NoError(t, err)
	must.Len(t, 1, other.calls)
}

// silentPeer responds to no call.
type silentPeer struct{}

// Call implements Caller.
func (silentPeer) Call(ctx context.Context, _, _ string, _, _ any) error {
	<-ctx.Done()
	return errors.Wrap(peer.ErrUncertain, ctx.Err().Error())
}

// boundedStore makes no call after the end of its context, as a client over the network.
type boundedStore struct{ rowstore.Store }

// Scan implements rowstore.Store.
func (b boundedStore) Scan(ctx context.Context, table, partition string, within rowstore.Range) (rowstore.ScanResult, error) {
	if ctx.Err() != nil {
		return rowstore.ScanResult{}, errors.Wrap(rowstore.ErrNotDone, ctx.Err().Error())
	}
	return b.Store.Scan(ctx, table, partition, within)
}

// Changes implements rowstore.Store.
func (b boundedStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Changes, error) {
	if ctx.Err() != nil {
		return rowstore.Changes{}, errors.Wrap(rowstore.ErrNotDone, ctx.Err().Error())
	}
	return b.Store.Changes(ctx, table, after, wait)
}

// newStoreWithSilentHosts returns a store whose table refuses calls while refuse is true, and whose other hosts don't respond.
func newStoreWithSilentHosts() (s *Store, refuse *bool) {
	refuse = new(bool)
	*refuse = true
	direct := memstore.New()
	direct.SetFault(func(string) memstore.Fault {
		if *refuse {
			return memstore.Refuse
		}
		return memstore.None
	})
	return New(boundedStore{direct}, silentPeer{}, func() []string { return []string{"a", "b", "c", "d", "e"} }), refuse
}

// Guards against a host that answers no query for seconds because its calls wait for silent hosts, although the table serves it again.
func TestDirectCallHasTimeAfterASilentRelay(t *testing.T) {
	s, refuse := newStoreWithSilentHosts()
	scan := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
		defer cancel()
		_, err := s.Scan(ctx, "t", "p", rowstore.Range{})
		return err
	}
	must.Error(t, scan())
	*refuse = false
	must.NoError(t, scan())
}

// Guards against a feed that is read through silent hosts only, because each read that they use up counts as a failure of the table.
func TestFeedIsReadDirectlyAfterASilentRelay(t *testing.T) {
	s, refuse := newStoreWithSilentHosts()
	now := time.Unix(100, 0)
	s.now = func() time.Time { return now }
	read := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := s.Changes(ctx, "t", 0, 50*time.Millisecond)
		return err
	}
	must.Error(t, read())
	*refuse = false
	now = now.Add(relayFirstPeriod / 2)
	must.Error(t, read(), must.Sprint("relayed first, to a silent host"))
	now = now.Add(relayFirstPeriod / 2)
	must.NoError(t, read())
}

// Guards against a row that the table rejects and that is sent again and again through other hosts, because they report the rejection as an unknown outcome.
func TestRejectionIsPassedOn(t *testing.T) {
	for _, err := range []error{nil, rowstore.ErrNotDone, rowstore.ErrUncertain, rowstore.ErrHistoryGone, rowstore.ErrRejected} {
		must.ErrorIs(t, outcomeError(outcomeOf(err)), err)
	}
	must.True(t, isAnswer(rowstore.ErrRejected))
	must.False(t, retriable(rowstore.ErrRejected))
}
