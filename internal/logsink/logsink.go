// Package logsink writes log lines without ever blocking the writer: lines go through a bounded buffer, and what doesn't fit is counted
// and reported.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// bufferBytes bounds the lines that wait. A host logs some kilobytes a second; the buffer bridges a reader that stalls for a minute.
const bufferBytes = 512 << 10

// Sink is an io.Writer for log lines. It is safe for concurrent use.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped uint64 // lines dropped since the last report
	total   uint64
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// flushEvery groups lines into one write.
const flushEvery = 100 * time.Millisecond

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line. It never blocks on the output and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if s.closed || len(s.buffer)+len(line) > bufferBytes {
		s.dropped++
		s.total++
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

// Dropped returns the number of lines that didn't fit since the start.
func (s *Sink) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Close writes what waits, for at most limit.
func (s *Sink) Close(limit time.Duration) {
	s.mu.Lock()
	closed := s.closed
	s.closed = true
	s.mu.Unlock()
	if !closed {
		close(s.wake)
	}
	select {
	case <-s.done:
	case <-time.After(limit):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	for open := true; open; {
		_, open = <-s.wake
		if open {
			time.Sleep(flushEvery)
		}
		if !s.flush() {
			return
		}
	}
}

func (s *Sink) flush() bool {
	s.mu.Lock()
	data, dropped := s.buffer, s.dropped
	s.buffer, s.dropped = s.spare[:0], 0
	s.mu.Unlock()
	if dropped > 0 {
		data = fmt.Appendf(data, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if len(data) == 0 {
		return true
	}
	_, err := s.out.Write(data)
	s.mu.Lock()
	s.spare = data
	s.mu.Unlock()
	return err == nil
}
