// Package lead elects the leading host through a row of the table service and guards the leader's writes. There is no lease in the
// table: a new leader may claim at any time, and the conditions on the leader row and the fencing tokens of the workers keep an old one
// from doing harm.
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
	// callTimeout bounds one transaction; it exceeds the time of a transaction on a store that is slowed 60 times (0.25 s), with others waiting.
	callTimeout = time.Second
	// retryMin and retryMax bound the pause between repeats of a transaction without a result. The maximum is a fraction of the time for which a
	// leader may act without a successful write.
	retryMin = 30 * time.Millisecond
	retryMax = 300 * time.Millisecond
)

// Row is the leader row.
type Row struct {
	Host    string `json:"host"`
	Address string `json:"addr"` // ip:port on which other hosts reach it
	// Processors is the processor time that the host may use, in cores.
	Processors    float64 `json:"cores"`
	MaxProcessors float64 `json:"strongest"` // largest processor time of any leader so far, in cores
	Incarnation   string  `json:"boot"`      // identifies one process of the host
	Epoch         uint64  `json:"epoch"`     // fencing token; rises with each claim
	Seq           uint64  `json:"seq"`       // rises with each transaction of the leader
	Released      bool    `json:"released,omitempty"`
}

// Decode reads a leader row.
func Decode(value []byte) (Row, error) {
	var r Row
	return r, errors.Wrap(json.Unmarshal(value, &r), "leader row")
}

// ErrDeposed means that another host has claimed the leader row.
var ErrDeposed = errors.New("another host leads")

// Session is the time of one host as leader. Its methods must not be called concurrently.
type Session struct {
	store   rowstore.Store
	key     rowstore.Key
	row     Row
	version uint64
	// StoreRefusing is set while the store refuses the current transaction. It may be read from other goroutines.
	StoreRefusing atomic.Bool
}

// Claim makes the host the leader if the leader row still has the observed version; 0 if there is none. The error is ErrDeposed if
// another host was faster, or that of ctx. self names the host, its address and its process.
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

// Commit stores rows under the condition that the host still leads. It repeats the transaction until its result is known. Every
// transaction changes the leader row, so an earlier one of unknown result can't take effect after a later one.
func (l *Session) Commit(ctx context.Context, puts []rowstore.Row, removes []rowstore.Key) error {
	row := l.row
	row.Seq++
	return l.write(ctx, row, puts, removes)
}

// Release gives leadership back together with the last rows.
func (l *Session) Release(ctx context.Context, puts []rowstore.Row, removes []rowstore.Key) error {
	row := l.row
	row.Seq++
	row.Released = true
	return l.write(ctx, row, puts, removes)
}

func (l *Session) write(ctx context.Context, row Row, puts []rowstore.Row, removes []rowstore.Key) error {
	value, err := json.Marshal(row)
	if err != nil {
		return errors.WithStack(err)
	}
	tx := rowstore.Tx{Conditions: []rowstore.Condition{{Key: l.key, Version: l.version}},
		Puts: append([]rowstore.Row{{Key: l.key, Value: value}}, puts...), Removes: removes}
	pause := retryMin
	for {
		done, err := l.try(ctx, tx, row)
		l.StoreRefusing.Store(errors.Is(err, rowstore.ErrNotDone))
		if done || errors.Is(err, ErrDeposed) {
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

// try sends the transaction once. A failed condition is success if the leader row shows that an earlier try took effect.
func (l *Session) try(ctx context.Context, tx rowstore.Tx, row Row) (bool, error) {
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
		now, err := Decode(c.Value)
		if c.Key == l.key && err == nil && now.Incarnation == row.Incarnation && now.Epoch == row.Epoch && now.Seq == row.Seq {
			l.version = c.Version
			return true, nil
		}
	}
	return false, ErrDeposed
}
