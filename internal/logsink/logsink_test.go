package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	mu      sync.Mutex
	text    bytes.Buffer
	entered chan struct{} // receives a value at the begin of each write; may be nil
	unblock chan struct{}
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	if b.entered != nil {
		b.entered <- struct{}{}
	}
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Guards against a logging goroutine that blocks while nobody reads the output, and against lines that are dropped without a report.
func TestWriteNeverBlocks(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	s := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begin := time.Now()
	for range 3 * bufferBytes / len(line) {
		n, err := s.Write(line)
		must.NoError(t, err)
		must.Eq(t, len(line), n)
	}
	must.Less(t, 2*time.Second, time.Since(begin))
	must.Positive(t, s.Dropped())
	close(out.unblock)
	s.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	must.StrContains(t, out.text.String(), "log lines dropped")
}

// Guards against the loss of the last lines before a process ends.
func TestCloseWritesBufferedLines(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	close(out.unblock)
	s := New(out)
	_, _ = s.Write([]byte("last\n"))
	s.Close(5 * time.Second)
	must.Eq(t, "last\n", out.text.String())
}

// Guards against a goroutine that panics because it still logs while the process ends, and against lines that get lost uncounted then.
func TestWriteAfterCloseIsCounted(t *testing.T) {
	const writers, linesEach = 16, 200
	out := &blockedWriter{unblock: make(chan struct{})}
	close(out.unblock)
	s := New(out)
	line := []byte("x\n")
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for range linesEach {
				_, _ = s.Write(line)
			}
		})
	}
	s.Close(5 * time.Second)
	group.Wait()
	before := s.Dropped()
	n, err := s.Write(line)
	must.NoError(t, err)
	must.Eq(t, len(line), n)
	must.Eq(t, before+1, s.Dropped())
	s.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	must.Eq(t, writers*linesEach, strings.Count(out.text.String(), "x\n")+int(before))
}

// Guards against lines that overwrite those that are being written, after a flush that found no lines.
func TestLinesLoggedDuringAWriteLeaveItUnchanged(t *testing.T) {
	out := &blockedWriter{entered: make(chan struct{}, 2), unblock: make(chan struct{})}
	s := &Sink{out: out}
	_, _ = s.Write([]byte("aaaa\n"))
	written := make(chan bool, 1)
	go func() {
		written <- s.flush()
		written <- s.flush()
	}()
	<-out.entered
	out.unblock <- struct{}{}
	must.True(t, <-written)
	must.True(t, <-written)

	_, _ = s.Write([]byte("bbbb\n"))
	go func() { written <- s.flush() }()
	<-out.entered
	_, _ = s.Write([]byte("cccc\n"))
	close(out.unblock)
	must.True(t, <-written)
	must.True(t, s.flush())
	must.Eq(t, "aaaa\nbbbb\ncccc\n", out.text.String())
}

// writeSizes is an output that records each write.
type writeSizes struct{ writes []string }

func (w *writeSizes) Write(p []byte) (int, error) {
	w.writes = append(w.writes, string(p))
	return len(p), nil
}

// Guards against lines that a pipe cuts because many are written together.
func TestLinesAreWrittenInPiecesThatAPipeTakesWhole(t *testing.T) {
	out := &writeSizes{}
	s := New(out)
	var want strings.Builder
	for i := range 200 {
		line := strings.Repeat("x", 37*(i%30)) + "\n"
		if i == 100 {
			line = strings.Repeat("y", 3*maxWriteBytes) + "\n"
		}
		want.WriteString(line)
		_, _ = s.Write([]byte(line))
	}
	s.Close(5 * time.Second)
	must.Eq(t, want.String(), strings.Join(out.writes, ""))
	for _, w := range out.writes {
		must.StrHasSuffix(t, "\n", w)
		must.True(t, len(w) <= maxWriteBytes || strings.Count(w, "\n") == 1)
	}
}
