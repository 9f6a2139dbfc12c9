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

func rowKey(part, key string) rowstore.Key {
	return rowstore.Key{Table: "t", Partition: part, Key: key}
}

// Guards against a listing that never ends or loses rows when a part holds more rows than one answer.
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

// slowStore takes its time for each scan.
type slowStore struct{ rowstore.Store }

// Scan implements rowstore.Store.
func (s slowStore) Scan(ctx context.Context, table, part string, within rowstore.Range) (rowstore.ScanResult, error) {
	time.Sleep(100 * time.Millisecond)
	return s.Store.Scan(ctx, table, part, within)
}

// Guards against a takeover that takes a round trip of a slow store for each part.
func TestScanAllReadsPartsAtTheSameTime(t *testing.T) {
	s := memstore.New()
	parts := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, p := range parts {
		s.Put(rowKey(p, "k"), []byte("x"))
	}
	begin := time.Now()
	rows, _, err := rowstore.ScanAll(context.Background(), slowStore{s}, "t", parts)
	must.NoError(t, err)
	must.Len(t, len(parts), rows)
	must.Less(t, 400*time.Millisecond, time.Since(begin))
}

// copyOf is a handler that keeps the rows.
type copyOf struct {
	mu     sync.Mutex
	rows   map[string]string
	resets int
}

func (c *copyOf) Reset(rows []rowstore.Row) {
	c.mu.Lock()
	c.rows = map[string]string{}
	c.resets++
	c.mu.Unlock()
	c.Changed(rows)
}

func (c *copyOf) Changed(rows []rowstore.Row) {
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

func (c *copyOf) get(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows[key]
}

func follow(t *testing.T, s rowstore.Store) (*copyOf, *rowstore.Follower) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &copyOf{}
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
	t.Fatalf("never: %s", what)
}

// Guards against a copy that stays behind after the store has dropped its history, and against deleted rows that come back.
func TestFollowerListsAgainWhenHistoryIsGone(t *testing.T) {
	s := memstore.New()
	s.Put(rowKey("", "old"), []byte("1"))
	c, _ := follow(t, s)
	eventually(t, "first row", func() bool { return c.get("old") == "1" })
	s.Put(rowKey("", "new"), []byte("2"))
	eventually(t, "change", func() bool { return c.get("new") == "2" })
	s.SetFault(func(string) memstore.Fault { return memstore.Refuse })
	s.Remove(rowKey("", "old"))
	s.ForgetHistory()
	s.SetFault(nil)
	eventually(t, "deletion", func() bool { return c.get("old") == "" && c.get("new") == "2" })
}

// Guards against a copy that claims to be fresh while the store refuses every read.
func TestFollowerAgesWhileTheStoreRefuses(t *testing.T) {
	s := memstore.New()
	s.Put(rowKey("", "k"), []byte("1"))
	c, f := follow(t, s)
	eventually(t, "first row", func() bool { return c.get("k") == "1" })
	s.SetFault(func(string) memstore.Fault { return memstore.Refuse })
	s.Put(rowKey("", "wake"), []byte("1")) // ends a read that waits
	time.Sleep(300 * time.Millisecond)
	must.GreaterEq(t, 250*time.Millisecond, f.Age(time.Now()))
	s.SetFault(nil)
	eventually(t, "fresh again", func() bool { return f.Age(time.Now()) < 1500*time.Millisecond })
}
