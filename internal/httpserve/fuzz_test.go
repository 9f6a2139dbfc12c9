package httpserve

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lesismal/nbio/logging"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"samphirewell/internal/membudget"
)

const (
	fuzzMaxBody = 6 << 10
	fuzzPart    = 1 << 10
	fuzzPool    = 48 << 10
)

// scriptedConn is a connection on which the bytes of a script arrive in pieces, and then its end.
type scriptedConn struct {
	net.Conn // nil: other methods aren't called
	script   []byte
	piece    int // bytes of a read; 0 means all that fits
	onRead   func()
	written  bytes.Buffer
	closed   bool
}

// Read implements net.Conn.
func (c *scriptedConn) Read(p []byte) (int, error) {
	c.onRead()
	if c.closed {
		return 0, net.ErrClosed
	}
	if len(c.script) == 0 {
		return 0, io.EOF
	}
	if c.piece > 0 && len(p) > c.piece {
		p = p[:c.piece]
	}
	n := copy(p, c.script)
	c.script = c.script[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *scriptedConn) Write(p []byte) (int, error) { return c.written.Write(p) }

// Close implements net.Conn.
func (c *scriptedConn) Close() error { c.closed = true; return nil }

// RemoteAddr implements net.Conn.
func (c *scriptedConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn.
func (c *scriptedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// panicRecorder records the errors that nbio logs, among them the panics that its parser recovers.
type panicRecorder struct {
	mu     sync.Mutex
	errors []string
}

// Debug implements logging.Logger.
func (*panicRecorder) Debug(string, ...any) {}

// Info implements logging.Logger.
func (*panicRecorder) Info(string, ...any) {}

// Warn implements logging.Logger.
func (*panicRecorder) Warn(string, ...any) {}

// Error implements logging.Logger.
func (r *panicRecorder) Error(format string, v ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, fmt.Sprintf(format, v...))
}

// FuzzRequestReader guards against input that makes the reader of requests panic, keep memory, hold more than the budget, run a request outside the limits, or run one after
// a refusal. crowded means that other requests hold most of the budget: one that runs, and one that can be refused.
func FuzzRequestReader(f *testing.F) {
	body := strings.Repeat("x", fuzzMaxBody)
	for _, seed := range []string{
		head + "\r\n",
		strings.Repeat(head+"Content-Length: 5\r\n\r\nhello", 3),
		head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", fuzzMaxBody, body),
		head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", fuzzMaxBody+1, body),
		head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n5;x=y\r\nhello\r\n0\r\nA: b\r\n\r\n" + head + "\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n" + body + body,
		head + "A: " + strings.Repeat("x", 20<<10),
		head + strings.Repeat("A: b\r\n", 200) + "\r\n",
		strings.Repeat("\r\n", 100) + head + "\r\n",
		"GET " + strings.Repeat(" ", 20<<10),
		head + "Connection: close\r\n\r\n" + head + "\r\n",
		"CONNECT x:1 HTTP/1.0\r\n\r\n", "GET * HTTP/1.1\r\n \r\n", "\x00",
	} {
		for _, piece := range []uint16{0, 1, 700} {
			f.Add([]byte(seed), piece, piece == 700)
		}
	}
	recorder := &panicRecorder{}
	logging.SetLogger(recorder)
	log, _ := logtest.NewNullLogger()
	f.Fuzz(func(t *testing.T, script []byte, piece uint16, crowded bool) {
		if len(script) > 128<<10 {
			return
		}
		recorder.errors = nil
		budget := membudget.New(fuzzPart, fuzzPool)
		conn := &scriptedConn{script: script, piece: int(piece), onRead: func() {
			if budget.Taken() > budget.Pool() {
				t.Fatalf("%d bytes of the pool of %d are taken", budget.Taken(), budget.Pool())
			}
		}}
		s := New("", Limits{MaxBody: func() int { return fuzzMaxBody }, Budget: budget, Refusals: &Refusals{log: log, count: func(string) {}, counts: map[string]any{}, pending: true}},
			http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got, err := io.ReadAll(r.Body)
				if err != nil || len(got) > fuzzMaxBody {
					t.Fatalf("a body of %d bytes runs: %v", len(got), err)
				}
				size := len(r.RequestURI)
				for k, values := range r.Header {
					for _, v := range values {
						size += len(k) + len(v)
					}
				}
				if size > maxHeaderBytes {
					t.Fatalf("a header of %d bytes runs", size)
				}
				if refused(conn.written.Bytes()) {
					t.Fatalf("a request runs after a refusal")
				}
				_, _ = io.WriteString(w, "ok")
			}), log)
		others := []*membudget.Account{budget.NewAccount(func() {})}
		if crowded {
			_, _ = others[0].Hold(membudget.Request{Held: 17 << 10})
			others[0].Run()
			var other *membudget.Account
			other = budget.NewAccount(func() { other.Release() })
			_, _ = other.Hold(membudget.Request{Held: 17 << 10, Now: time.Hour})
			others = append(others, other)
		}
		c := newConn(s, conn)
		c.loop()
		for _, o := range others {
			o.Release()
		}
		if budget.Taken() != 0 {
			t.Fatalf("%d bytes aren't returned", budget.Taken())
		}
		if !conn.closed {
			t.Fatalf("the connection stays open")
		}
		if len(recorder.errors) > 0 {
			t.Fatalf("nbio logs an error: %s", recorder.errors[0])
		}
	})
}

// refused returns whether the responses contain a refusal.
func refused(written []byte) bool {
	for _, status := range []int{http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge, http.StatusTooManyRequests} {
		if bytes.Contains(written, fmt.Appendf(nil, "HTTP/1.1 %d ", status)) {
			return true
		}
	}
	return false
}
