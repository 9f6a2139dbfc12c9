// Package logsink writes log lines without ever blocking the logging goroutine: lines go through a bounded buffer, and lines that don't fit are
// dropped, counted and reported.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// bufferBytes bounds the lines that wait to be written. A host logs some kilobytes a second, so the buffer covers a reader that stalls for a minute.
const bufferBytes = 512 << 10

// maxWriteBytes is the size of a write that a pipe takes as a whole (PIPE_BUF). Larger writes may be mixed with those of other processes, or be cut.
const maxWriteBytes = 4096

// Sink is an io.Writer for log lines. It is safe for concurrent use.
type Sink struct {
	out io.Writer

	mu           sync.Mutex
	buffer       []byte
	spare        []byte // buffer of the last write, reused as the next one; never the memory of buffer
	dropped      uint64 // lines dropped since the last report
	droppedTotal uint64 // lines dropped since the start
	closed       bool
	wake         chan struct{} // signals that lines wait
	closing      chan struct{} // closed by Close
	done         chan struct{} // closed when run has returned
}

// flushDelay is how long lines are collected before they are written together.
const flushDelay = 100 * time.Millisecond

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers one line or drops it if the buffer is full or the sink is closed. It never blocks on the output and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if s.closed || len(s.buffer)+len(line) > bufferBytes {
		s.dropped++
		s.droppedTotal++
	} else {
		s.buffer = append(s.buffer, line...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.droppedTotal
}

// Close has the buffered lines written and waits for at most timeout until that is done. Lines that are logged later are dropped and counted.
func (s *Sink) Close(timeout time.Duration) {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.closing)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	for s.awaitLines() {
		if !s.flush() {
			return
		}
	}
	s.flush()
}

// awaitLines waits until lines have been collected for flushDelay. It returns false once the sink is closed: no further line is buffered then.
func (s *Sink) awaitLines() bool {
	select {
	case <-s.wake:
	case <-s.closing:
		return false
	}
	select {
	case <-time.After(flushDelay):
		return true
	case <-s.closing:
		return false
	}
}

// flush writes the buffered lines and the number of dropped ones, and reports whether that succeeded.
func (s *Sink) flush() bool {
	s.mu.Lock()
	data, dropped := s.buffer, s.dropped
	if len(data) == 0 && dropped == 0 {
		s.mu.Unlock()
		return true
	}
	s.buffer, s.spare, s.dropped = s.spare[:0], nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		data = fmt.Appendf(data, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	ok := s.writeLines(data)
	s.mu.Lock()
	s.spare = data
	s.mu.Unlock()
	return ok
}

// writeLines writes whole lines, as many at a time as fit into maxWriteBytes; a longer line is written alone. It reports whether that succeeded.
func (s *Sink) writeLines(lines []byte) bool {
	for len(lines) > 0 {
		n := firstLines(lines)
		if _, err := s.out.Write(lines[:n]); err != nil {
			return false
		}
		lines = lines[n:]
	}
	return true
}

// firstLines returns the length of the first lines that fit into maxWriteBytes together, at least one line.
func firstLines(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}
