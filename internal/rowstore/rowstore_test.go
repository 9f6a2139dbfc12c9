package rowstore_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

func rowKey(partition, key string) rowstore.Key {
	return rowstore.Key{Table: "t", Partition: partition, Key: key}
}

// Guards against a listing that never ends or loses rows when a partition has more rows than fit into one response.
func TestScanAllReadsSeveralPages(t *testing.T) {
	s := memstore.New()
	for i := range 1201 {
		s.Put(rowKey("a", fmt.Sprintf("%05d", i)), []byte("x"))
	}
	s.Put(rowKey("b", "one"), []byte("y"))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	rows, version, err := rowstore.ScanAll(ctx, s, "t", []string{"a", "b"})
	must.NoError(t, err)
	must.Eq(t, uint64(1202), version)
	seen := map[rowstore.Key]bool{}
	for _, r := range rows {
		must.False(t, seen[r.Key], must.Sprintf("%v is listed twice", r.Key))
		seen[r.Key] = true
	}
	must.MapLen(t, 1202, seen)
}

// slowStore delays each scan by 100 ms.
type slowStore struct{ rowstore.Store }

// Scan implements rowstore.Store.
func (s slowStore) Scan(ctx context.Context, table, partition string, keys rowstore.Range) (rowstore.ScanResult, error) {
	time.Sleep(100 * time.Millisecond)
	return s.Store.Scan(ctx, table, partition, keys)
}

// Guards against a takeover that reads the partitions one after the other, each with a round trip to a slow store.
func TestScanAllReadsPartitionsConcurrently(t *testing.T) {
	s := memstore.New()
	partitions := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, p := range partitions {
		s.Put(rowKey(p, "k"), []byte("x"))
	}
	begin := time.Now()
	rows, _, err := rowstore.ScanAll(context.Background(), slowStore{s}, "t", partitions)
	must.NoError(t, err)
	must.Len(t, len(partitions), rows)
	must.Less(t, 400*time.Millisecond, time.Since(begin))
}

// tableCopy is a handler that keeps the rows.
type tableCopy struct {
	mu     sync.Mutex
	rows   map[string]string
	resets int
}

func (c *tableCopy) Reset(rows []rowstore.Row) {
	c.mu.Lock()
	c.rows = map[string]string{}
	c.resets++
	c.mu.Unlock()
	c.Changed(rows)
}

func (c *tableCopy) Changed(rows []rowstore.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range rows {
		if r.Deleted {
			delete(c.rows, r.Key.Key)
			continue
		}
		c.rows[r.Key.Key] = string(r.Value)
	}
}

func (c *tableCopy) get(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows[key]
}

func startFollower(t *testing.T, s rowstore.Store) (*tableCopy, *rowstore.Follower) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &tableCopy{}
	f := rowstore.NewFollower(s, "t", []string{""}, c, 0, log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c, f
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not reached within 10 s: %s", what)
}

// Guards against a copy that is never updated again after the store has dropped its history, and against deleted rows that stay in the copy.
func TestFollowerListsAgainWhenHistoryIsGone(t *testing.T) {
	s := memstore.New()
	s.Put(rowKey("", "old"), []byte("1"))
	c, _ := startFollower(t, s)
	eventually(t, "first row", func() bool { return c.get("old") == "1" })
	s.Put(rowKey("", "new"), []byte("2"))
	eventually(t, "change", func() bool { return c.get("new") == "2" })
	s.SetFault(func(string) memstore.Fault { return memstore.Refuse })
	s.Remove(rowKey("", "old"))
	s.DropHistory()
	s.SetFault(nil)
	eventually(t, "deletion", func() bool { return c.get("old") == "" && c.get("new") == "2" })
}

// Guards against a copy that is reported as recently confirmed while the store refuses every read.
func TestFollowerAgesWhileTheStoreRefuses(t *testing.T) {
	s := memstore.New()
	s.Put(rowKey("", "k"), []byte("1"))
	c, f := startFollower(t, s)
	eventually(t, "first row", func() bool { return c.get("k") == "1" })
	s.SetFault(func(string) memstore.Fault { return memstore.Refuse })
	s.Put(rowKey("", "wake"), []byte("1")) // ends the read that waits for a change
	time.Sleep(300 * time.Millisecond)
	must.GreaterEq(t, 250*time.Millisecond, f.Age(time.Now()))
	must.GreaterEq(t, 250*time.Millisecond, f.AgeSinceBoot())
	s.SetFault(nil)
	eventually(t, "fresh again", func() bool { return max(f.Age(time.Now()), f.AgeSinceBoot()) < 1500*time.Millisecond })
}

// Guards against a host without a copy of a large table for as long as the store is slow: each listing would be broken off and begun again.
func TestFollowerListsManyPagesOfASlowStore(t *testing.T) {
	const rows = 9000 // 18 pages, which take 1.8 s
	s := memstore.New()
	for i := range rows {
		s.Put(rowKey("", fmt.Sprintf("%05d", i)), []byte("x"))
	}
	c, _ := startFollower(t, boundedSlowStore{s})
	eventually(t, "the table is listed", func() bool { return c.get("08999") == "x" })
}

// boundedSlowStore delays each scan by 100 ms, and responds to no scan whose context ends before that.
type boundedSlowStore struct{ rowstore.Store }

// Scan implements rowstore.Store.
func (s boundedSlowStore) Scan(ctx context.Context, table, partition string, keys rowstore.Range) (rowstore.ScanResult, error) {
	select {
	case <-time.After(100 * time.Millisecond):
		return s.Store.Scan(ctx, table, partition, keys)
	case <-ctx.Done():
		return rowstore.ScanResult{}, rowstore.ErrUncertain
	}
}
