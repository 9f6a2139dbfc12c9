package intake

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/rowstore"
)

// A cancel marker is a row that is left by the cancelling of a job that isn't stored. A transaction with the job's submission may still be on its way: the
// store carries out calls without a response seconds later. Each submission is stored under the condition that its team has left no marker for the job
// and the queue, so that it can't take effect after the caller was told that there is no job. Markers of other teams don't concern it.

const (
	// markerInfix separates the id of a job from the owner in the key of a marker.
	markerInfix = "/absent/"
	// markerRetention is how long a marker is kept at least. It exceeds the time in which a transaction of a submission may take effect: submissionLifetime and
	// the delay of the store.
	markerRetention = time.Minute
	// maxMarkerAge is the age after which a marker is deleted however often the leader has changed. Hosts' clocks differ by much less.
	maxMarkerAge = 10 * time.Minute
	// submissionLifetime is the time since the arrival of a submission in which its transaction may be sent. It counts while the host is suspended.
	submissionLifetime = 30 * time.Second
	// maxMarkers is the number of markers that a host may write in markerRetention.
	maxMarkers = 64
	// markerRetryAfter is the time after which a cancel request may be repeated that would have exceeded maxMarkers.
	markerRetryAfter = 5 * time.Second
)

// marker is the value of a cancel marker.
type marker struct {
	Queue     string `json:"queue"`
	Team      string `json:"team"` // empty for callers without a key
	WrittenMS int64  `json:"written_ms"`
}

// markerKey returns the key of the marker that a team leaves for a job of a queue.
func markerKey(id, queue, team string) rowstore.Key {
	owner := sha256.Sum256([]byte(queue + "\x00" + team))
	return rowstore.Key{Table: TableInbox, Partition: partitionOf(id), Key: id + markerInfix + hex.EncodeToString(owner[:8])}
}

// markerTx returns the transaction that leaves a marker if the job isn't stored.
func markerTx(id, queue, team string, nowMS int64) (rowstore.Tx, error) {
	value, err := json.Marshal(marker{queue, team, nowMS})
	if err != nil {
		return rowstore.Tx{}, errors.WithStack(err)
	}
	return rowstore.Tx{Conditions: []rowstore.Condition{{Key: jobKey(id)}}, Puts: []rowstore.Row{{Key: markerKey(id, queue, team), Value: value}}}, nil
}

// markerBudget bounds the markers that a host writes. Any team may use the first half of the bound; the second half is shared equally, so that one team can't
// keep others from cancelling. It is safe for concurrent use.
type markerBudget struct {
	mu     sync.Mutex
	taken  []takenMarker // oldest first
	byTeam map[string]int
}

type takenMarker struct {
	team string
	at   time.Time
}

// take counts a marker of a team; false if there are too many.
func (b *markerBudget) take(team string, teams int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.taken) > 0 && now.Sub(b.taken[0].at) >= markerRetention {
		b.remove(0)
	}
	if n := len(b.taken); n >= maxMarkers || n >= maxMarkers/2 && b.byTeam[team] >= maxMarkers/2/max(1, teams) {
		return false
	}
	b.taken = append(b.taken, takenMarker{team, now})
	b.byTeam[team]++
	return true
}

// giveBack takes back the newest count of a team, whose marker was not written.
func (b *markerBudget) giveBack(team string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.taken) - 1; i >= 0; i-- {
		if b.taken[i].team == team {
			b.remove(i)
			return
		}
	}
}

func (b *markerBudget) remove(i int) {
	team := b.taken[i].team
	if b.byTeam[team]--; b.byTeam[team] == 0 {
		delete(b.byTeam, team)
	}
	b.taken = append(b.taken[:i], b.taken[i+1:]...)
}

// Markers is the list of the stored markers, by which the leader deletes them. It is safe for concurrent use.
type Markers struct {
	mu    sync.Mutex
	known map[rowstore.Key]knownMarker
}

type knownMarker struct {
	version   uint64
	seenAt    time.Duration // when this leader has first seen this version
	writtenMS int64         // time of day of the host that wrote it, Unix milliseconds
}

// NewMarkers returns an empty list.
func NewMarkers() *Markers { return &Markers{known: map[rowstore.Key]knownMarker{}} }

// Len returns the number of stored markers.
func (m *Markers) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known)
}

// Apply applies rows of the inbox; other rows than markers are ignored.
func (m *Markers) Apply(rows []rowstore.Row, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows {
		_, isMarker := markedJob(r.Key.Key)
		switch old, ok := m.known[r.Key]; {
		case !isMarker:
		case r.Deleted:
			delete(m.known, r.Key)
		case !ok || r.Version > old.version:
			var v marker
			_ = json.Unmarshal(r.Value, &v) // an unreadable marker counts as old, and is deleted once it was seen for markerRetention
			m.known[r.Key] = knownMarker{r.Version, now, v.WrittenMS}
		}
	}
}

// Reset replaces the list by the markers among all rows of the inbox.
func (m *Markers) Reset(rows []rowstore.Row, now time.Duration) {
	m.mu.Lock()
	old := m.known
	m.known = map[rowstore.Key]knownMarker{}
	for _, r := range rows {
		if k, ok := old[r.Key]; ok && k.version == r.Version {
			m.known[r.Key] = k
		}
	}
	m.mu.Unlock()
	m.Apply(rows, now)
}

// markersPerCleanup bounds the markers of a transaction: each has a condition and a removal.
const markersPerCleanup = rowstore.MaxTxRows / 2

// Expired returns transactions that delete the markers that are no longer needed, unless they were written again. A marker that could not be deleted is
// returned again.
func (m *Markers) Expired(now time.Duration, wallMS int64) []rowstore.Tx {
	m.mu.Lock()
	defer m.mu.Unlock()
	open := map[string]int{} // index of the transaction of a partition that has room
	var out []rowstore.Tx
	for key, k := range m.known {
		if now-k.seenAt < markerRetention && (k.writtenMS == 0 || wallMS-k.writtenMS < maxMarkerAge.Milliseconds()) {
			continue
		}
		i, ok := open[key.Partition]
		if !ok || len(out[i].Removes) == markersPerCleanup {
			i = len(out)
			open[key.Partition] = i
			out = append(out, rowstore.Tx{})
		}
		out[i].Conditions, out[i].Removes = append(out[i].Conditions, rowstore.Condition{Key: key, Version: k.version}), append(out[i].Removes, key)
	}
	return out
}
