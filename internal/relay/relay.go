// Package relay lets a host use the table service through another host if the service refuses its calls or can't be reached. The other host only
// makes the call on its behalf; conditions and versions protect relayed calls in the same way as direct calls.
package relay

import (
	"context"
	"encoding/base64"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/peer"
	"samphirewell/internal/rowstore"
)

const (
	// relayFirstPeriod is the time after a failed direct call in which calls are relayed first. Refusals last seconds; after the period direct calls
	// are tried again.
	relayFirstPeriod = time.Second
	// relayPause is the time in which no call is relayed after the calls to all other hosts in turn have failed: the table is then probably down for all
	// hosts.
	relayPause = 700 * time.Millisecond
	// relayTimeout bounds one relayed call beyond the time that it waits for changes.
	relayTimeout = 900 * time.Millisecond
)

// Caller sends requests to other hosts.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Store is a rowstore.Store that relays calls through another host when direct calls fail.
type Store struct {
	direct rowstore.Store
	peers  Caller
	hosts  func() []string // addresses of other hosts, in order of preference
	now    func() time.Time

	mu              sync.Mutex
	relayFirstUntil time.Time // until then calls are relayed before they are tried directly
	noRelayUntil    time.Time // until then no call is relayed
	nextHost        int
	directTimeout   adaptiveTimeout
	OnRelayed       func(ok bool) // called after each relayed call; may be nil
}

var _ rowstore.Store = (*Store)(nil)

// New returns a store. hosts returns the addresses of other hosts, in order of preference.
func New(direct rowstore.Store, peers Caller, hosts func() []string) *Store {
	return &Store{direct: direct, peers: peers, hosts: hosts, now: time.Now}
}

// Commit implements rowstore.Store.
func (s *Store) Commit(ctx context.Context, tx rowstore.Tx) (rowstore.TxResult, error) {
	call := api.RelayCall{Kind: api.RelayCallKindCommit, Conditions: []api.RelayRow{}, Puts: encodeRows(tx.Puts), Removes: []api.RelayRow{}}
	for _, c := range tx.Conditions {
		call.Conditions = append(call.Conditions, encodeRow(rowstore.Row{Key: c.Key, Version: c.Version}))
	}
	for _, k := range tx.Removes {
		call.Removes = append(call.Removes, encodeRow(rowstore.Row{Key: k}))
	}
	return route(ctx, s, call, 0, func(ctx context.Context) (rowstore.TxResult, error) { return s.direct.Commit(ctx, tx) },
		func(r api.RelayResult, rows []rowstore.Row) rowstore.TxResult {
			return rowstore.TxResult{Applied: r.Applied, Version: uint64(r.Version), Current: rows}
		})
}

// Scan implements rowstore.Store.
func (s *Store) Scan(ctx context.Context, table, partition string, within rowstore.Range) (rowstore.ScanResult, error) {
	call := api.RelayCall{Kind: api.RelayCallKindScan, Table: table, Part: partition, From: within.From, To: within.To}
	return route(ctx, s, call, 0, func(ctx context.Context) (rowstore.ScanResult, error) {
		return s.direct.Scan(ctx, table, partition, within)
	},
		func(r api.RelayResult, rows []rowstore.Row) rowstore.ScanResult {
			return rowstore.ScanResult{Rows: rows, More: r.More, Version: uint64(r.Version)}
		})
}

// Changes implements rowstore.Store.
func (s *Store) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Changes, error) {
	call := api.RelayCall{Kind: api.RelayCallKindChanges, Table: table, After: int(after), WaitMS: int(wait.Milliseconds())}
	return route(ctx, s, call, wait, func(ctx context.Context) (rowstore.Changes, error) { return s.direct.Changes(ctx, table, after, wait) },
		func(r api.RelayResult, rows []rowstore.Row) rowstore.Changes {
			return rowstore.Changes{Rows: rows, Version: uint64(r.Version)}
		})
}

// route makes a call directly or through another host, whichever is likely to succeed, and then the other way if the first fails. A call of which an
// attempt may have taken effect is never reported as refused.
func route[T any](ctx context.Context, s *Store, call api.RelayCall, wait time.Duration, direct func(context.Context) (T, error), decode func(api.RelayResult, []rowstore.Row) T) (T, error) {
	var zero T
	relayFirst, mayRelay := s.chooseOrder()
	var uncertain bool
	if relayFirst && mayRelay {
		r, rows, err := s.relayBeforeDirect(ctx, call, wait)
		if err == nil {
			return decode(r, rows), nil
		}
		if isAnswer(err) {
			return zero, err
		}
		if ctx.Err() != nil {
			return zero, err
		}
		uncertain = !errors.Is(err, rowstore.ErrNotDone)
		mayRelay = false
	}
	got, err := callDirect(ctx, s, wait, mayRelay, direct)
	if err == nil || !retriable(err) {
		return got, err
	}
	uncertain = uncertain || !errors.Is(err, rowstore.ErrNotDone)
	if mayRelay && ctx.Err() == nil {
		r, rows, relayErr := s.relay(ctx, call, wait)
		if relayErr == nil {
			return decode(r, rows), nil
		}
		if isAnswer(relayErr) {
			return zero, relayErr
		}
		uncertain = uncertain || !errors.Is(relayErr, rowstore.ErrNotDone)
	}
	if uncertain {
		return zero, errors.Wrap(rowstore.ErrUncertain, err.Error())
	}
	return zero, err
}

// retriable reports whether a call that failed with err may succeed on the other route.
func retriable(err error) bool {
	return errors.Is(err, rowstore.ErrNotDone) || errors.Is(err, rowstore.ErrUncertain)
}

// chooseOrder reports whether calls are relayed before they are tried directly, and whether they may be relayed at all.
func (s *Store) chooseOrder() (relayFirst, mayRelay bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return now.Before(s.relayFirstUntil), !now.Before(s.noRelayUntil)
}

// callDirect makes a direct call and records whether it succeeded. If the call can still be relayed, it is bounded by the adaptive timeout.
func callDirect[T any](ctx context.Context, s *Store, wait time.Duration, mayRelay bool, direct func(context.Context) (T, error)) (T, error) {
	if mayRelay && len(s.hosts()) > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait+s.directLimit())
		defer cancel()
	}
	began := s.now()
	got, err := direct(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.relayFirstUntil = time.Time{}
		if wait == 0 {
			s.directTimeout.recordResponse(s.now().Sub(began))
		}
	case retriable(err):
		s.relayFirstUntil = s.now().Add(relayFirstPeriod)
		if errors.Is(err, rowstore.ErrUncertain) && wait == 0 {
			s.directTimeout.recordSilence()
		}
	}
	return got, err
}

func (s *Store) directLimit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directTimeout.current()
}

// relayBeforeDirect sends a call to another host and leaves half of the caller's time for a direct call. A call that waits for changes may use all of it: the
// other half would be too short for another wait, and the next read of the feed is a direct one once relayFirstPeriod has passed.
func (s *Store) relayBeforeDirect(ctx context.Context, call api.RelayCall, wait time.Duration) (api.RelayResult, []rowstore.Row, error) {
	if end, ok := ctx.Deadline(); ok && wait == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(end)/2)
		defer cancel()
	}
	return s.relay(ctx, call, wait)
}

// relay sends the call to another host. After a failure the next call goes to the next host.
func (s *Store) relay(ctx context.Context, call api.RelayCall, wait time.Duration) (api.RelayResult, []rowstore.Row, error) {
	hosts := s.hosts()
	if len(hosts) == 0 {
		return api.RelayResult{}, nil, rowstore.ErrNotDone
	}
	s.mu.Lock()
	host := hosts[s.nextHost%len(hosts)]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	var r api.RelayResult
	err := s.peers.Call(ctx, host, peer.MethodRelay, call, &r)
	if err == nil {
		err = outcomeError(r.Outcome)
	} else if errors.Is(err, peer.ErrNotSent) || errors.Is(err, peer.ErrRejected) || errors.Is(err, peer.ErrVersion) {
		err = errors.Wrap(rowstore.ErrNotDone, err.Error())
	} else {
		err = errors.Wrap(rowstore.ErrUncertain, err.Error())
	}
	s.recordRelay(err, len(hosts))
	if err != nil {
		return r, nil, err
	}
	rows, err := decodeRows(r.Rows)
	if err != nil {
		return r, nil, errors.Wrap(rowstore.ErrUncertain, err.Error())
	}
	return r, rows, nil
}

// isAnswer reports whether the error is the store's own answer to the call, which is the same on each route.
func isAnswer(err error) bool {
	return errors.Is(err, rowstore.ErrHistoryGone) || errors.Is(err, rowstore.ErrRejected)
}

// recordRelay records the result of a relayed call. hosts is the number of other hosts.
func (s *Store) recordRelay(err error, hosts int) {
	failed := err != nil && !isAnswer(err)
	if s.OnRelayed != nil {
		s.OnRelayed(!failed)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !failed {
		return
	}
	s.nextHost++
	if s.nextHost%hosts == 0 {
		// The calls to all hosts in turn have failed.
		s.noRelayUntil = s.now().Add(relayPause)
	}
}

func outcomeError(o api.RelayResultOutcome) error {
	switch o {
	case api.RelayResultOutcomeOk:
		return nil
	case api.RelayResultOutcomeRefused:
		return rowstore.ErrNotDone
	case api.RelayResultOutcomeHistoryGone:
		return rowstore.ErrHistoryGone
	case api.RelayResultOutcomeRejected:
		return rowstore.ErrRejected
	}
	return rowstore.ErrUncertain
}

func outcomeOf(err error) api.RelayResultOutcome {
	switch {
	case err == nil:
		return api.RelayResultOutcomeOk
	case errors.Is(err, rowstore.ErrNotDone):
		return api.RelayResultOutcomeRefused
	case errors.Is(err, rowstore.ErrHistoryGone):
		return api.RelayResultOutcomeHistoryGone
	case errors.Is(err, rowstore.ErrRejected):
		return api.RelayResultOutcomeRejected
	}
	return api.RelayResultOutcomeUncertain
}

// Register adds the method that executes relayed calls of other hosts on the direct store of this host.
func Register(methods peer.Registry, direct rowstore.Store) {
	methods[peer.MethodRelay] = peer.Handle(func(ctx context.Context, _ api.HostIdentity, c api.RelayCall) (api.RelayResult, error) {
		return serve(ctx, direct, c), nil
	})
}

// serve executes a relayed call of another host and sets the outcome of the result.
func serve(ctx context.Context, direct rowstore.Store, c api.RelayCall) api.RelayResult {
	wait := time.Duration(c.WaitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+directTimeout)
	defer cancel()
	r, err := execute(ctx, direct, c, wait)
	r.Outcome = outcomeOf(err)
	return r
}

func execute(ctx context.Context, direct rowstore.Store, c api.RelayCall, wait time.Duration) (api.RelayResult, error) {
	switch c.Kind {
	case api.RelayCallKindCommit:
		tx, err := decodeTx(c)
		if err != nil {
			return api.RelayResult{}, errors.Wrap(rowstore.ErrNotDone, err.Error())
		}
		got, err := direct.Commit(ctx, tx)
		return api.RelayResult{Applied: got.Applied, Version: int(got.Version), Rows: encodeRows(got.Current)}, err
	case api.RelayCallKindScan:
		got, err := direct.Scan(ctx, c.Table, c.Part, rowstore.Range{From: c.From, To: c.To})
		return api.RelayResult{More: got.More, Version: int(got.Version), Rows: encodeRows(got.Rows)}, err
	case api.RelayCallKindChanges:
		got, err := direct.Changes(ctx, c.Table, uint64(c.After), wait)
		return api.RelayResult{Version: int(got.Version), Rows: encodeRows(got.Rows)}, err
	}
	return api.RelayResult{}, errors.Wrapf(rowstore.ErrNotDone, "unknown kind %q", c.Kind)
}

func decodeTx(c api.RelayCall) (rowstore.Tx, error) {
	var tx rowstore.Tx
	conditions, err := decodeRows(c.Conditions)
	if err != nil {
		return tx, err
	}
	removes, err := decodeRows(c.Removes)
	if err != nil {
		return tx, err
	}
	for _, r := range conditions {
		tx.Conditions = append(tx.Conditions, rowstore.Condition{Key: r.Key, Version: r.Version})
	}
	for _, r := range removes {
		tx.Removes = append(tx.Removes, r.Key)
	}
	tx.Puts, err = decodeRows(c.Puts)
	return tx, err
}

func encodeRow(r rowstore.Row) api.RelayRow {
	return api.RelayRow{Table: r.Table, Part: r.Partition, Key: r.Key.Key, Value: base64.StdEncoding.EncodeToString(r.Value), Version: int(r.Version), Deleted: r.Deleted}
}

func encodeRows(rows []rowstore.Row) []api.RelayRow {
	out := make([]api.RelayRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, encodeRow(r))
	}
	return out
}

// decodeRows decodes rows received from another host.
func decodeRows(rows []api.RelayRow) ([]rowstore.Row, error) {
	var out []rowstore.Row
	for _, r := range rows {
		value, err := base64.StdEncoding.DecodeString(r.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "value of row %s", r.Key)
		}
		out = append(out, rowstore.Row{Key: rowstore.Key{Table: r.Table, Partition: r.Part, Key: r.Key}, Value: value, Version: uint64(r.Version), Deleted: r.Deleted})
	}
	return out, nil
}
