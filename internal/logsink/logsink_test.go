package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// blocked is an output that nobody reads until it is opened.
type blocked struct {
	mu   sync.Mutex
	text bytes.Buffer
	open chan struct{}
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Guards against a writer that blocks when nobody reads the output, and against lines that are lost without a word.
func TestWriteNeverBlocks(t *testing.T) {
	out := &blocked{open: make(chan struct{})}
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
	close(out.open)
	s.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	must.StrContains(t, out.text.String(), "log lines dropped")
}

// Guards against the loss of the last lines before a process ends.
func TestCloseWritesWhatWaits(t *testing.T) {
	out := &blocked{open: make(chan struct{})}
	close(out.open)
	s := New(out)
	_, _ = s.Write([]byte("last\n"))
	s.Close(5 * time.Second)
	must.Eq(t, "last\n", out.text.String())
}
