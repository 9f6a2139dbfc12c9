package peer

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/jsonrpc2"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
)

type echo struct {
	Text string `json:"text"`
}

func identity(id string) Identity {
	return Identity{Domain: "a", Host: api.HostIdentity{ID: id, Incarnation: 1}}
}

// startServer starts a server with the methods echo and hang, and returns it and its address.
func startServer(t *testing.T, address string) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	must.NoError(t, err)
	methods := Registry{
		"echo": Handle(func(_ context.Context, from api.HostIdentity, e echo) (echo, error) {
			return echo{Text: from.ID + ":" + e.Text}, nil
		}),
		"hang": func(ctx context.Context, _ api.HostIdentity, _ json.RawMessage) (any, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	}
	s := NewServer(identity("server"), methods, NewStats())
	go s.Serve(ln, func(err error, _ int) { t.Errorf("accept: %v", err) })
	t.Cleanup(func() {
		_ = ln.Close()
		s.Close()
	})
	return s, ln.Addr().String()
}

func startPool(t *testing.T, c clock.Clock) *Pool {
	p := NewPool(identity("client"), (&net.Dialer{}).DialContext, c, NewStats())
	t.Cleanup(p.Close)
	return p
}

func call(t *testing.T, p *Pool, address, text string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var got echo
	err := p.Call(ctx, address, "echo", echo{Text: text}, &got)
	return got.Text, err
}

// Guards against calls that do not reach their handler and against counters that miss messages.
func TestCallIsAnsweredAndCounted(t *testing.T) {
	s, address := startServer(t, "127.0.0.1:0")
	p := startPool(t, clock.Real{})
	for range 3 {
		got, err := call(t, p, address, "x")
		must.NoError(t, err)
		must.Eq(t, "client:x", got)
	}
	must.Eq(t, 1, p.stats.Sent(MethodHello).Messages)
	must.Eq(t, 3, p.stats.Sent("other").Messages)
	must.Eq(t, 4, p.stats.Received(responseCounter).Messages)
	must.Eq(t, p.stats.TotalSent().Bytes, s.stats.Received("other").Bytes+s.stats.Received(MethodHello).Bytes)
}

// Guards against errors that do not state whether the peer can have received the request.
func TestErrorsAreTyped(t *testing.T) {
	_, address := startServer(t, "127.0.0.1:0")
	p := startPool(t, clock.Real{})
	must.ErrorIs(t, p.Call(t.Context(), address, "nothing", echo{}, nil), ErrRejected)
	must.ErrorIs(t, p.Call(t.Context(), address, "echo", echo{Text: strings.Repeat("x", MaxMessageBytes)}, nil), ErrTooLarge)
	_, err := call(t, p, address, "after an oversized request")
	must.NoError(t, err)

	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	must.ErrorIs(t, p.Call(ctx, address, "hang", echo{}, nil), ErrUncertain)
	p.Close()
	must.ErrorIs(t, p.Call(t.Context(), address, "echo", echo{}, nil), ErrNotSent)
}

// Guards against serving a peer of another protocol version, and against refusing it without a typed error.
func TestOtherVersionIsRefused(t *testing.T) {
	_, address := startServer(t, "127.0.0.1:0")
	raw, err := net.Dial("tcp", address)
	must.NoError(t, err)
	conn := jsonrpc2.NewConn(t.Context(), newStream(raw, NewStats()), rejectRequests{}, jsonrpc2.SetLogger(discardLogger))
	defer func() { _ = conn.Close() }()
	var rpcErr *jsonrpc2.Error
	err = conn.Call(t.Context(), MethodHello, api.Hello{ProtocolVersion: ProtocolVersion + 1}, nil)
	must.True(t, errors.As(err, &rpcErr) && rpcErr.Code == codeVersion)
	err = conn.Call(t.Context(), "echo", echo{}, nil)
	must.True(t, errors.As(err, &rpcErr) && rpcErr.Code == codeNoHello)

	_, err = call(t, startPool(t, clock.Real{}), startNewerServer(t), "x")
	must.ErrorIs(t, err, ErrVersion)
}

// startNewerServer starts a server that answers hello with a newer protocol version, and returns its address.
func startNewerServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		raw, err := ln.Accept()
		if err != nil {
			return
		}
		h := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
			return api.HelloResponse{ProtocolVersion: ProtocolVersion + 1}, nil
		})
		jsonrpc2.NewConn(context.Background(), newStream(raw, NewStats()), h, jsonrpc2.SetLogger(discardLogger))
	}()
	return ln.Addr().String()
}

// Guards against malformed or oversized input that affects other connections or makes the server allocate memory for it.
func TestMalformedInputClosesOnlyItsConnection(t *testing.T) {
	_, address := startServer(t, "127.0.0.1:0")
	p := startPool(t, clock.Real{})
	_, err := call(t, p, address, "before")
	must.NoError(t, err)
	for name, input := range map[string][]byte{
		"not JSON":       append(binary.AppendUvarint(nil, 5), "{{{{{"...),
		"not compressed": []byte(badBlock + "plain text"),
		"no message":     append(binary.AppendUvarint(nil, 2), "{}"...),
		"too long":       binary.AppendUvarint(nil, MaxMessageBytes+1),
		"varint too big": []byte(strings.Repeat("\xff", 11)),
	} {
		raw, err := net.Dial("tcp", address)
		must.NoError(t, err)
		_, err = raw.Write(compressed(t, input))
		must.NoError(t, err)
		must.NoError(t, raw.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err = raw.Read(make([]byte, 1))
		must.True(t, errors.Is(err, io.EOF) || isReset(err), must.Sprintf("%s: %v", name, err))
		_ = raw.Close()
		_, err = call(t, p, address, "after")
		must.NoError(t, err)
	}
	must.Eq(t, 1, p.stats.Sent(MethodHello).Messages)
}

// badBlock is the first byte of a compressed block of an undefined type.
const badBlock = "\x07"

// compressed returns the input as the stream sends it, except for input that starts with badBlock.
func compressed(t *testing.T, input []byte) []byte {
	if bytes.HasPrefix(input, []byte(badBlock)) {
		return input
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	must.NoError(t, err)
	_, err = w.Write(input)
	must.NoError(t, err)
	must.NoError(t, w.Flush())
	return out.Bytes()
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !op.Timeout()
}

// Guards against a pool that dials a failed peer without a pause, or that does not reconnect to one that has recovered.
func TestPoolReconnectsWithBackoff(t *testing.T) {
	s, address := startServer(t, "127.0.0.1:0")
	c := clock.NewManual(time.Unix(100, 0))
	dials := 0
	dial := func(ctx context.Context, network, to string) (net.Conn, error) {
		dials++
		if dials == 2 {
			return nil, errors.New("refused")
		}
		return (&net.Dialer{}).DialContext(ctx, network, to)
	}
	p := NewPool(identity("client"), dial, c, NewStats())
	defer p.Close()
	_, err := call(t, p, address, "x")
	must.NoError(t, err)

	conn := p.links[address].conn.Load()
	s.Close()
	<-conn.DisconnectNotify()
	for range 3 {
		_, err = call(t, p, address, "x")
		must.ErrorIs(t, err, ErrNotSent)
	}
	must.Eq(t, 2, dials)
	c.Advance(minBackoff)
	_, err = call(t, p, address, "x") // the closed server drops the connection before hello
	must.ErrorIs(t, err, ErrNotSent)
	must.Eq(t, 3, dials)
	c.Advance(minBackoff)
	_, err = call(t, p, address, "x")
	must.ErrorIs(t, err, ErrNotSent)
	must.Eq(t, 3, dials, must.Sprint("the backoff must grow"))

	s.mu.Lock()
	s.closed = false
	s.mu.Unlock()
	c.Advance(minBackoff)
	_, err = call(t, p, address, "x")
	must.NoError(t, err)
}

// Guards against a call that exceeds its time limit because another call is blocked while it sends to a host that reads nothing.
func TestCallEndsInTimeWhileAHostReadsNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	go serveHelloOnly(t.Context(), ln)
	p := NewPool(identity("client"), dialWithSmallBuffer, clock.Real{}, NewStats())
	defer p.Close()
	large := make([]byte, MaxMessageBytes*2/3)
	_, _ = rand.Read(large)
	var group sync.WaitGroup
	defer group.Wait()
	limited := func(params any) {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_ = p.Call(ctx, ln.Addr().String(), "echo", params, &echo{})
	}
	limited(echo{})
	for range 2 {
		group.Go(func() { limited(large) })
	}
	time.Sleep(100 * time.Millisecond)
	begin := time.Now()
	limited(echo{})
	must.Less(t, time.Second, time.Since(begin))
}

// dialWithSmallBuffer opens a connection that holds few unsent bytes, as over a link with small windows.
func dialWithSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(4096)
}

// serveHelloOnly responds to the hello of one connection and then reads nothing. Its receive buffer holds little.
func serveHelloOnly(ctx context.Context, ln net.Listener) {
	conn, err := ln.Accept()
	if err != nil || conn.(*net.TCPConn).SetReadBuffer(4096) != nil {
		return
	}
	s := newStream(conn, NewStats())
	var req jsonrpc2.Request
	if s.ReadObject(&req) != nil {
		return
	}
	resp := &jsonrpc2.Response{ID: req.ID}
	_ = resp.SetResult(api.HelloResponse{ProtocolVersion: ProtocolVersion})
	_ = s.WriteObject(resp)
	<-ctx.Done()
	_ = conn.Close()
}

// failingListener fails its first Accept, as one does while no file descriptor is free.
type failingListener struct {
	net.Listener
	failed bool
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Guards against a host that other hosts can't reach any more after one failed accept.
func TestServerContinuesAfterAFailedAccept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := NewServer(identity("server"), Registry{"echo": Handle(func(_ context.Context, _ api.HostIdentity, e echo) (echo, error) { return e, nil })}, NewStats())
	failures := make(chan error, 1)
	go s.Serve(&failingListener{Listener: ln}, func(err error, _ int) { failures <- err })
	t.Cleanup(func() {
		_ = ln.Close()
		s.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var got echo
	must.NoError(t, startPool(t, clock.Real{}).Call(ctx, ln.Addr().String(), "echo", echo{Text: "x"}, &got))
	must.Eq(t, "x", got.Text)
	must.ErrorIs(t, <-failures, syscall.EMFILE)
}
