package lead

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

var (
	key    = rowstore.Key{Table: "states", Key: "leader"}
	rowKey = rowstore.Key{Table: "states", Key: "row"}
)

func stored(t *testing.T, s rowstore.Store, k rowstore.Key) rowstore.Row {
	rows, _, err := rowstore.ScanAll(context.Background(), s, k.Table, []string{""})
	must.NoError(t, err)
	for _, r := range rows {
		if r.Key == k {
			return r
		}
	}
	return rowstore.Row{}
}

func claim(t *testing.T, s rowstore.Store, incarnation string) *Session {
	l, err := Claim(context.Background(), s, key, stored(t, s, key), Row{Host: "h", Processors: 1, Incarnation: incarnation})
	must.NoError(t, err)
	return l
}

func put(value string) []rowstore.Row { return []rowstore.Row{{Key: rowKey, Value: []byte(value)}} }

// Guards against a host that continues to write after another host has claimed leadership.
func TestOldLeaderCannotWrite(t *testing.T) {
	s := memstore.New()
	old := claim(t, s, "a")
	must.NoError(t, old.Commit(context.Background(), put("1"), nil))
	next := claim(t, s, "b")
	must.Eq(t, old.Epoch()+1, next.Epoch())
	must.ErrorIs(t, old.Commit(context.Background(), put("2"), nil), ErrDeposed)
	must.Eq(t, "1", string(stored(t, s, rowKey).Value))
}

// Guards against mistaking the host's own transaction, of which the response was lost, for the claim of another host.
func TestLostAnswerIsNotADeposition(t *testing.T) {
	for _, fault := range []memstore.Fault{memstore.LoseResponse, memstore.LoseRequest, memstore.Refuse} {
		s := memstore.New()
		l := claim(t, s, "a")
		lose := true
		s.SetFault(func(string) memstore.Fault {
			if lose {
				lose = false
				return fault
			}
			return memstore.None
		})
		must.NoError(t, l.Commit(context.Background(), put("1"), nil))
		s.SetFault(nil)
		must.Eq(t, "1", string(stored(t, s, rowKey).Value))
		must.NoError(t, l.Commit(context.Background(), put("2"), nil))
	}
}

// Guards against old rows that return because the store executes a transaction seconds late, after newer ones.
func TestLateTransactionHasNoEffect(t *testing.T) {
	s := memstore.New()
	l := claim(t, s, "a")
	first := true
	s.SetFault(func(string) memstore.Fault {
		if first {
			first = false
			return memstore.Delay
		}
		return memstore.None
	})
	must.NoError(t, l.Commit(context.Background(), put("1"), nil))
	must.NoError(t, l.Commit(context.Background(), put("2"), nil))
	must.Eq(t, 0, s.ApplyDelayed())
	must.Eq(t, "2", string(stored(t, s, rowKey).Value))
}

// observeStored lets the watch read the stored leader row at now.
func observeStored(w *Watch, s *Session, t *testing.T, store rowstore.Store, now time.Time) {
	w.Observe([]rowstore.Row{stored(t, store, key)}, true, now)
	w.RecordRead(now)
	_ = s
}

// probedLeader is a leader that has stopped writing.
type probedLeader struct {
	t     *testing.T
	store rowstore.Store
	start time.Time // when its last write was read
}

func newProbedLeader(t *testing.T) probedLeader {
	s := memstore.New()
	claim(t, s, "a")
	return probedLeader{t, s, time.Unix(1000, 0)}
}

// watch returns the watch of the host with a rank.
func (p probedLeader) watch(rank int) *Watch {
	w := NewWatch(key, fmt.Sprint("host-", rank), 1)
	w.SetRank(rank)
	observeStored(w, nil, p.t, p.store, p.start)
	return w
}

// Guards against a claim while the leader may be alive, and against a late claim or none after the leader was lost.
func TestClaimFollowsTheLossOfTheLeader(t *testing.T) {
	store := memstore.New()
	l := claim(t, store, "a")
	w := NewWatch(key, "x", 1)
	start := time.Unix(1000, 0)
	observeStored(w, l, t, store, start)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	due := func(ms int) bool {
		w.RecordRead(at(ms))
		_, ok := w.ClaimDue(at(ms))
		return ok
	}
	must.False(t, due(600))
	_, _, probe := w.ProbeDue(at(600))
	must.False(t, probe)
	w.RecordRead(at(900))
	_, version, probe := w.ProbeDue(at(900))
	must.True(t, probe)
	must.False(t, due(950), must.Sprint("the leader may still respond"))
	w.MarkLost(version, at(955))
	must.True(t, due(960))
	must.NoError(t, l.Commit(context.Background(), nil, nil))
	observeStored(w, l, t, store, at(970))
	must.False(t, due(980), must.Sprint("the leader has written again"))
	for ms := 970; ms < 970+2500; ms += 500 {
		must.False(t, due(ms))
	}
	must.True(t, due(970+2700), must.Sprint("the leader responds but never writes"))
}

// Guards against claims of all hosts after an outage in which no host, including the leader, could reach the store.
func TestOutageOfTheStoreIsNoLossOfTheLeader(t *testing.T) {
	store := memstore.New()
	l := claim(t, store, "a")
	w := NewWatch(key, "x", 1)
	start := time.Unix(1000, 0)
	observeStored(w, l, t, store, start)
	_, due := w.ClaimDue(start.Add(8 * time.Second))
	must.False(t, due, must.Sprint("the table was not read for 8 s"))
	w.RecordRead(start.Add(9 * time.Second))
	_, due = w.ClaimDue(start.Add(9 * time.Second))
	must.False(t, due, must.Sprint("the leader has had no time to write again"))
}

// Guards against a host that repeats a claim on a version of the row that another host has replaced already.
func TestFailedClaimIsNotRepeatedAtOnce(t *testing.T) {
	store := memstore.New()
	l := claim(t, store, "a")
	must.NoError(t, l.Release(context.Background(), nil, nil))
	w := NewWatch(key, "x", 1)
	start := time.Unix(1000, 0)
	observeStored(w, l, t, store, start)
	row, due := w.ClaimDue(start.Add(200 * time.Millisecond))
	must.True(t, due)
	w.RecordFailedClaim(row.Version, start.Add(200*time.Millisecond))
	_, due = w.ClaimDue(start.Add(300 * time.Millisecond))
	must.False(t, due)
	w.RecordRead(start.Add(time.Second))
	_, due = w.ClaimDue(start.Add(time.Second))
	must.True(t, due)
}

// Guards against a host with little processor time that leads although one with more is alive, and against a slow handover when a leader stops.
func TestHostsWithLessProcessorTimeClaimLater(t *testing.T) {
	store := memstore.New()
	l := claim(t, store, "a")
	must.NoError(t, l.Release(context.Background(), nil, nil))
	start := time.Unix(1000, 0)
	manyCores, fewCores := NewWatch(key, "x", 1), NewWatch(key, "x", 0.2)
	observeStored(manyCores, l, t, store, start)
	observeStored(fewCores, l, t, store, start)
	_, due := manyCores.ClaimDue(start.Add(200 * time.Millisecond))
	must.True(t, due)
	_, due = fewCores.ClaimDue(start.Add(200 * time.Millisecond))
	must.False(t, due)
	_, due = fewCores.ClaimDue(start.Add(time.Second))
	must.True(t, due)
}
