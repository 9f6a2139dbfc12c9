package batchhost

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/dispatch"
	"samphirewell/internal/lead"
	"samphirewell/internal/rowstore"
)

const (
	// hostRowPrefix is the prefix of the keys of host rows in the states table, which every host follows; job ids never start with it.
	hostRowPrefix = "host/"
	// hostRowInterval is the time between two writes of a host's row. Each is one write to the table, so a period of minutes costs almost nothing.
	hostRowInterval = 5 * time.Minute
	// staleHostAge is the age above which the leader deletes a host's row: three periods of hostRowInterval plus a long outage of the table.
	staleHostAge = 20 * time.Minute
	// hostRowRetryPause is the longest pause after a host failed to write its own row.
	hostRowRetryPause = 4 * time.Second
	// hostRowSpread is the time over which the hosts of a deployment that start together write their rows: 900 hosts stay below the 250 transactions a second
	// of a partition, which also holds the leader row.
	hostRowSpread = 5 * time.Second
	// hostWriteTimeout bounds one write or deletion of a host's row.
	hostWriteTimeout = time.Second
)

// hostRow holds the address on which other hosts reach a host.
type hostRow struct {
	Address     string `json:"address"`
	Incarnation string `json:"boot"` // identifies the process among all that ran on the host
	// Processors is the processor time that the host may use, in cores; 0 in the rows of earlier versions.
	Processors float64 `json:"cores,omitempty"`
}

// hostEntry is the newest row of a host.
type hostEntry struct {
	row    hostRow
	seenAt time.Time // when the row was first read; stays if a later listing of the table returns the same contents
}

// hostList holds the hosts that have a row in the states table. A listed host may be unavailable, so calls to it need a timeout.
type hostList struct {
	mu   sync.Mutex
	byID map[string]hostEntry
}

// observe updates the list from rows of the states table; complete reports that rows is the whole table.
func (l *hostList) observe(rows []rowstore.Row, complete bool, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.byID
	if complete || l.byID == nil {
		l.byID = map[string]hostEntry{}
	}
	var invalid error
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
			invalid = errors.Errorf("invalid row of host %s: not JSON, or without an address", id)
			continue
		}
		if previous, ok := old[id]; ok && complete && previous.row == e.row {
			e.seenAt = previous.seenAt
		}
		l.byID[id] = e
	}
	return invalid
}

// others returns the addresses of all hosts except self, in the order of their ids.
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

// rank returns the position of a host among all listed ones in the order in which they probe the leader of an epoch: hosts with more processor time come
// first, because they may claim leadership at once. Among equal hosts the order differs with each epoch.
func (l *hostList) rank(self string, processors float64, epoch uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	own, n := probeOrder(self, epoch), 0
	for id, e := range l.byID {
		switch {
		case id == self:
		case e.row.Processors > processors, e.row.Processors == processors && probeOrder(id, epoch) < own:
			n++
		}
	}
	return n
}

// probeOrder returns a number that orders equal hosts.
func probeOrder(id string, epoch uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, epoch))
	return h.Sum64()
}

// stale returns the ids of the hosts whose rows are older than staleHostAge.
func (l *hostList) stale(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id, e := range l.byID {
		if now.Sub(e.seenAt) > staleHostAge {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func hostKey(id string) rowstore.Key {
	return rowstore.Key{Table: dispatch.TableStates, Partition: dispatch.Partition, Key: hostRowPrefix + id}
}

// register writes the row of this host every hostRowInterval until ctx ends.
func (h *Host) register(ctx context.Context) {
	value, err := json.Marshal(hostRow{Address: h.options.Address, Incarnation: h.options.Incarnation, Processors: h.options.Processors})
	if err != nil {
		panic(errors.Wrap(err, "encoding of a host row failed"))
	}
	tx := rowstore.Tx{Puts: []rowstore.Row{{Key: hostKey(h.options.HostID), Value: value}}}
	for pause := rand.N(hostRowSpread); lead.Sleep(ctx, pause); {
		pause = hostRowInterval
		if err := h.writeHostRow(ctx, tx); err != nil {
			h.options.Log.WithError(err).Info("could not register this host")
			pause = hostRowRetryPause/2 + rand.N(hostRowRetryPause/2)
		}
	}
}

func (h *Host) writeHostRow(ctx context.Context, tx rowstore.Tx) error {
	ctx, cancel := context.WithTimeout(ctx, hostWriteTimeout)
	defer cancel()
	_, err := h.options.Store.Commit(ctx, tx)
	return err
}

// removeStaleHosts deletes the rows of stale hosts. A host that still runs writes its row again.
func (h *Host) removeStaleHosts(ctx context.Context) {
	for _, id := range h.hosts.stale(time.Now()) {
		err := h.writeHostRow(ctx, rowstore.Tx{Removes: []rowstore.Key{hostKey(id)}})
		h.options.Log.WithField("gone", id).WithError(err).Info("deletion of the row of a stale host")
	}
}

// OtherHosts returns the addresses of the other hosts in the host list.
func (h *Host) OtherHosts() []string { return h.hosts.others(h.options.HostID) }
