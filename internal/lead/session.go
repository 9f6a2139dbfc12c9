// Package lead elects the leading host through a row of the table service and protects the leader's writes. There is no lease in the table: another
// host may claim leadership at any time. The condition on the leader row prevents writes of a deposed leader, and the fencing token makes workers
// refuse its commands.
package lead

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/rowstore"
)

const (
	// callTimeout bounds one attempt of a transaction; it exceeds the time of a transaction on a store that is slowed 60 times (0.5 s), with others waiting.
	callTimeout = 2 * time.Second
	// retryMin and retryMax bound the pause between two attempts of a transaction whose result is not known. The maximum is a fraction of the time for
	// which a leader has authority without a successful write.
	retryMin = 30 * time.Millisecond
	retryMax = 300 * time.Millisecond
)

// Row is the leader row.
type Row struct {
	Host    string `json:"host"`
	Address string `json:"addr"` // ip:port at which other hosts reach it
	// Processors is the processor time that the host may use, in cores.
	Processors    float64 `json:"cores"`
	MaxProcessors float64 `json:"strongest"` // largest processor time of any leader so far, in cores
	Incarnation   string  `json:"boot"`      // identifies one process of the host
	Epoch         uint64  `json:"epoch"`     // fencing token; increases with each claim
	Seq           uint64  `json:"seq"`       // increases with each transaction of the leader
	Released      bool    `json:"released,omitempty"`
}

// Decode decodes a leader row.
func Decode(value []byte) (Row, error) {
	var r Row
	return r, errors.Wrap(json.Unmarshal(value, &r), "leader row")
}

// ErrDeposed means that another host has claimed the leader row.
var ErrDeposed = errors.New("another host leads")

// Session is the leadership of one host, from its claim until it is deposed or releases the leader row. Its methods must not be called concurrently.
type Session struct {
	store   rowstore.Store
	key     rowstore.Key
	row     Row
	version uint64 // of the leader row
	// StoreRefusing is set while the store refuses the current transaction. It may be read from other goroutines.
	StoreRefusing atomic.Bool
}

// Claim makes the host the leader if the leader row still has the version of observed, which is 0 if there is no row. The error is ErrDeposed if
// another host has changed the row, or that of ctx. self describes the host and its process.
func Claim(ctx context.Context, s rowstore.Store, key rowstore.Key, observed rowstore.Row, self Row) (*Session, error) {
	row := Row{Host: self.Host, Address: self.Address, Processors: self.Processors, MaxProcessors: self.Processors, Incarnation: self.Incarnation, Epoch: 1}
	if observed.Version > 0 {
		last, err := Decode(observed.Value)
		if err != nil {
			return nil, err
		}
		row.Epoch = last.Epoch + 1
		row.MaxProcessors = max(row.MaxProcessors, last.MaxProcessors)
	}
	l := &Session{store: s, key: key, version: observed.Version}
	if err := l.write(ctx, row, nil, nil); err != nil {
		return nil, err
	}
	return l, nil
}

// Epoch returns the leader's fencing token.
func (l *Session) Epoch() uint64 { return l.row.Epoch }

// Commit stores rows under the condition that the host is still the leader. It repeats the transaction until its result is known. rowstore.ErrRejected means
// that the store never takes these rows; the host is still the leader. Every transaction
// changes the leader row, so an earlier transaction whose result is not known can't take effect after a later one.
func (l *Session) Commit(ctx context.Context, puts []rowstore.Row, removes []rowstore.Key) error {
	row := l.row
	row.Seq++
	return l.write(ctx, row, puts, removes)
}

// Release stores the last rows and marks the leader row as released, so that another host can claim it without probing the leader first.
func (l *Session) Release(ctx context.Context, puts []rowstore.Row, removes []rowstore.Key) error {
	row := l.row
	row.Seq++
	row.Released = true
	return l.write(ctx, row, puts, removes)
}

// write commits a transaction that replaces the leader row, and repeats it until its result is known or ctx ends.
func (l *Session) write(ctx context.Context, row Row, puts []rowstore.Row, removes []rowstore.Key) error {
	value, err := json.Marshal(row)
	if err != nil {
		return errors.WithStack(err)
	}
	tx := rowstore.Tx{Conditions: []rowstore.Condition{{Key: l.key, Version: l.version}},
		Puts: append([]rowstore.Row{{Key: l.key, Value: value}}, puts...), Removes: removes}
	pause := retryMin
	for {
		done, err := l.commitOnce(ctx, tx, row)
		l.StoreRefusing.Store(errors.Is(err, rowstore.ErrNotDone))
		if done || errors.Is(err, ErrDeposed) || errors.Is(err, rowstore.ErrRejected) {
			if done {
				l.row = row
			}
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "leader's transaction")
		case <-time.After(pause):
		}
		pause = min(2*pause, retryMax)
	}
}

// commitOnce sends the transaction once. A failed condition is success if the leader row shows that an earlier attempt took effect.
func (l *Session) commitOnce(ctx context.Context, tx rowstore.Tx, row Row) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := l.store.Commit(ctx, tx)
	if err != nil {
		return false, err
	}
	if r.Applied {
		l.version = r.Version
		return true, nil
	}
	for _, c := range r.Current {
		current, err := Decode(c.Value)
		if c.Key == l.key && err == nil && current.Incarnation == row.Incarnation && current.Epoch == row.Epoch && current.Seq == row.Seq {
			l.version = c.Version
			return true, nil
		}
	}
	return false, ErrDeposed
}
