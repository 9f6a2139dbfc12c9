package batchhost

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/dispatch"
	"samphirewell/internal/rowstore"
)

const (
	// hostRowPrefix begins the keys of the rows of hosts in the table of states, which every host follows; ids of jobs never look like it.
	hostRowPrefix = "host/"
	// hostRefresh is the period in which a host writes its row again. A row costs one write, so a period of minutes costs next to nothing.
	hostRefresh = 5 * time.Minute
	// hostForgotten is the age of a row at which the leader deletes it: three periods and a long outage of the table.
	hostForgotten = 20 * time.Minute
	// hostRetry is the pause after a failed write of the own row.
	hostRetry = 2 * time.Second
	// hostTimeout bounds one write of a host's row.
	hostTimeout = time.Second
)

// hostRow says where a host is reached by the others.
type hostRow struct {
	Address string `json:"address"`
	Boot    string `json:"boot"`
}

// hostEntry is the newest row of a host and when it was first seen.
type hostEntry struct {
	row    hostRow
	seenAt time.Time
}

// hostList is what the table of states says about the hosts. A host in it may be gone: calls to it have to be bounded.
type hostList struct {
	mu   sync.Mutex
	byID map[string]hostEntry
}

// observe takes rows of the table of states; whole says that they are all of them.
func (l *hostList) observe(rows []rowstore.Row, whole bool, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.byID
	if whole || l.byID == nil {
		l.byID = map[string]hostEntry{}
	}
	var bad error
	for _, r := range rows {
		id, ok := strings.CutPrefix(r.Key.Key, hostRowPrefix)
		if !ok {
			continue
		}
		if r.Deleted {
			delete(l.byID, id)
			continue
		}
		e := hostEntry{seenAt: now}
		if err := json.Unmarshal(r.Value, &e.row); err != nil || e.row.Address == "" {
			bad = errors.Errorf("unreadable row of host %s", id)
			continue
		}
		if known, ok := old[id]; ok && whole && known.row == e.row {
			e.seenAt = known.seenAt
		}
		l.byID[id] = e
	}
	return bad
}

// others returns the addresses of the hosts but one, in order of their ids.
func (l *hostList) others(self string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]string, 0, len(l.byID))
	for id := range l.byID {
		if id != self {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = l.byID[id].row.Address
	}
	return out
}

// forgotten returns the hosts that haven't written their rows for long.
func (l *hostList) forgotten(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id, e := range l.byID {
		if now.Sub(e.seenAt) > hostForgotten {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func hostKey(id string) rowstore.Key {
	return rowstore.Key{Table: dispatch.TableStates, Partition: dispatch.Partition, Key: hostRowPrefix + id}
}

// register writes the row of this host, again and again until ctx ends.
func (h *Host) register(ctx context.Context) {
	value, err := json.Marshal(hostRow{Address: h.options.Address, Boot: h.options.Incarnation})
	if err != nil {
		panic(errors.Wrap(err, "the row of a host can always be encoded"))
	}
	tx := rowstore.Tx{Puts: []rowstore.Row{{Key: hostKey(h.options.HostID), Value: value}}}
	for ctx.Err() == nil {
		pause := hostRefresh
		if err := h.writeHostRow(ctx, tx); err != nil {
			h.options.Log.WithError(err).Info("could not register this host")
			pause = hostRetry
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (h *Host) writeHostRow(ctx context.Context, tx rowstore.Tx) error {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	_, err := h.options.Store.Commit(ctx, tx)
	return err
}

// forgetHosts deletes the rows of hosts that are gone. A host that lives writes its row again.
func (h *Host) forgetHosts(ctx context.Context) {
	for _, id := range h.hosts.forgotten(time.Now()) {
		err := h.writeHostRow(ctx, rowstore.Tx{Removes: []rowstore.Key{hostKey(id)}})
		h.options.Log.WithField("gone", id).WithError(err).Info("host forgotten")
	}
}

// OtherHosts returns the addresses of the other hosts that are known.
func (h *Host) OtherHosts() []string { return h.hosts.others(h.options.HostID) }
