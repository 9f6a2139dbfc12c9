package httpserve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

func start(t *testing.T, h http.HandlerFunc) *Server {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New("127.0.0.1:0", Limits{MaxBody: func() int { return 1 << 10 }}, h, log)
	must.NoError(t, s.Start())
	return s
}

// post returns the body of the response, and whether the server asked to close the connection.
func post(s *Server, body string) (text string, closes bool, err error) {
	resp, err := http.Post("http://"+s.Addr()+"/p", "application/json", strings.NewReader(body))
	if err != nil {
		return "", false, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), resp.Close, err
}

// Guards against a stop that interrupts a request that is being served, and against callers that are not asked to close their connections to a
// leaving host.
func TestStopWaitsForRequests(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	s := start(t, func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-leave
		_, _ = io.WriteString(w, "whole")
	})
	type result struct {
		text   string
		closes bool
		err    error
	}
	results := make(chan result, 1)
	s.StartDraining()
	go func() {
		text, closes, err := post(s, "x")
		results <- result{text, closes, err}
	}()
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	time.Sleep(20 * time.Millisecond)
	close(leave)
	r := <-results
	must.NoError(t, r.err)
	must.Eq(t, "whole", r.text)
	must.True(t, r.closes)
	must.NoError(t, <-stopped)
}

// Guards against a stop that does not end with its context, and against one that does not report an interrupted request.
func TestStopEndsAtItsLimit(t *testing.T) {
	leave := make(chan struct{})
	defer close(leave)
	entered := make(chan struct{})
	s := start(t, func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-leave
	})
	go func() { _, _, _ = post(s, "x") }()
	<-entered
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	must.Error(t, s.Stop(ctx))
}

// dial opens a connection to the server that is closed at the end of the test.
func dial(t *testing.T, s *Server) net.Conn {
	conn, err := net.Dial("tcp", s.Addr())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn
}

// awaitAccepted waits until the server has accepted a connection: the system resets those that still wait for that when the listener is closed.
func awaitAccepted(t *testing.T, s *Server) {
	for end := time.Now().Add(5 * time.Second); s.Connections() == 0; time.Sleep(10 * time.Microsecond) {
		must.True(t, time.Now().Before(end))
	}
}

// stopSoon calls Stop with a limit in its own goroutine and returns after it has begun to close connections.
func stopSoon(s *Server, limit time.Duration) (stopped chan error) {
	stopped = make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		stopped <- s.Stop(ctx)
	}()
	time.Sleep(50 * time.Millisecond)
	return stopped
}

// responses reads the connection to its end and returns the bodies of the responses on it.
func responses(t *testing.T, conn net.Conn) (bodies []string) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			must.ErrorIs(t, err, io.EOF)
			return bodies
		}
		resp, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		bodies = append(bodies, string(body))
	}
}

func echo(w http.ResponseWriter, r *http.Request) {
	time.Sleep(20 * time.Millisecond)
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// Guards against a stop that closes a connection on which a request is arriving in pieces.
func TestStopWaitsForTheRestOfARequest(t *testing.T) {
	s := start(t, echo)
	conn := dial(t, s)
	_, err := io.WriteString(conn, "POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")
	must.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	stopped := stopSoon(s, time.Minute)
	_, err = io.WriteString(conn, "cd")
	must.NoError(t, err)
	must.Eq(t, []string{"abcd"}, responses(t, conn))
	must.NoError(t, <-stopped)
}

// Guards against a stop that closes a connection after the first of several requests that were sent together; they exceed the read buffer.
func TestStopAnswersRequestsSentTogether(t *testing.T) {
	s := start(t, echo)
	conn := dial(t, s)
	body := strings.Repeat("x", 1000)
	request := "POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n" + body
	_, err := io.WriteString(conn, strings.Repeat(request, 10))
	must.NoError(t, err)
	awaitAccepted(t, s)
	stopped := stopSoon(s, time.Minute)
	must.Eq(t, slices.Repeat([]string{body}, 10), responses(t, conn))
	must.NoError(t, <-stopped)
}

// Guards against idle connections that delay a stop to its limit.
func TestStopClosesIdleConnections(t *testing.T) {
	s := start(t, echo)
	idle, served := dial(t, s), dial(t, s)
	_, err := io.WriteString(served, "GET /p HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	must.NoError(t, <-stopSoon(s, time.Minute))
	must.SliceEmpty(t, responses(t, idle))
	must.Eq(t, []string{""}, responses(t, served))
}

// Guards against a request that gets no response because its handler waits for longer than the limit of the stop.
func TestHandlersAreToldOfTheLimitOfAStop(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			_, _ = io.WriteString(w, "in time")
		case <-time.After(2 * time.Second):
		}
	})
	conn := dial(t, s)
	_, err := io.WriteString(conn, "GET /p HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	stopped := stopSoon(s, responseTime+100*time.Millisecond)
	must.Eq(t, []string{"in time"}, responses(t, conn))
	must.NoError(t, <-stopped)
}

// Guards against logs that don't show that a caller broke the connection before it had read the response, and against such lines for connections that
// end normally.
func TestBrokenConnectionsAreLogged(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	entered := make(chan struct{}, 2)
	s := New("127.0.0.1:0", Limits{MaxBody: func() int { return 1 << 10 }}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		echo(w, r)
	}), log)
	must.NoError(t, s.Start())
	send := func() net.Conn {
		conn := dial(t, s)
		_, err := io.WriteString(conn, "GET /p HTTP/1.1\r\nHost: x\r\n\r\n")
		must.NoError(t, err)
		<-entered
		return conn
	}
	normal, broken := send(), send()
	must.NoError(t, broken.(*net.TCPConn).SetLinger(0))
	must.NoError(t, broken.Close())
	must.NoError(t, <-stopSoon(s, time.Minute))
	must.Eq(t, []string{""}, responses(t, normal))
	lines := slices.DeleteFunc(hook.AllEntries(), func(e *logrus.Entry) bool { return e.Message != "connection broken by the caller or the network" })
	must.Len(t, 1, lines)
	must.Eq(t, any(broken.LocalAddr().String()), lines[0].Data["caller"])
	must.Eq(t, any(1), lines[0].Data["requests"])
}

// Guards against a server that stops serving after bytes that are not a request, or after a body that is too large.
func TestMalformedRequestsDoNotAffectOthers(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	for _, bad := range []string{"\x00\x01\x02\r\n\r\n", "GET\r\n\r\n", "POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n" + strings.Repeat("x", 5000)} {
		conn, err := net.Dial("tcp", s.Addr())
		must.NoError(t, err)
		_, _ = conn.Write([]byte(bad))
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = io.Copy(io.Discard, conn)
		must.NoError(t, conn.Close())
	}
	text, _, err := post(s, "x")
	must.NoError(t, err)
	must.Eq(t, "ok", text)
	must.NoError(t, s.Stop(context.Background()))
}

// pausingListener accepts connections whose reads pause once bytes have arrived: each such read sends to arrived and waits for resume.
type pausingListener struct {
	net.Listener
	arrived, resume chan struct{}
}

// Accept implements net.Listener.
func (l *pausingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &pausingConn{conn, l}, err
}

type pausingConn struct {
	net.Conn
	listener *pausingListener
}

// Read implements net.Conn.
func (c *pausingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.arrived <- struct{}{}
		<-c.listener.resume
	}
	return n, err
}

func startPausing(t *testing.T, h http.HandlerFunc) (*Server, *pausingListener) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	pausing := &pausingListener{ln, make(chan struct{}), make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New("", Limits{MaxBody: func() int { return 1 << 10 }}, h, log)
	s.serve(pausing)
	return s, pausing
}

// Guards against a stop that closes the connection of a request that was read and whose handler has not started yet.
func TestStopAnswersRequestsThatWereJustRead(t *testing.T) {
	s, ln := startPausing(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	results := make(chan error, 1)
	var text string
	go func() {
		var err error
		text, _, err = post(s, "x")
		results <- err
	}()
	<-ln.arrived
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	time.Sleep(20 * time.Millisecond)
	close(ln.resume)
	must.NoError(t, <-results)
	must.Eq(t, "whole", text)
	must.NoError(t, <-stopped)
}

// Guards against a stop that waits for idle connections or, until its limit, for the rest of a request.
func TestStopDoesNotWaitForSilentCallers(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	for _, sent := range []string{"", "POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nx"} {
		conn, err := net.Dial("tcp", s.Addr())
		must.NoError(t, err)
		defer conn.Close()
		_, err = conn.Write([]byte(sent))
		must.NoError(t, err)
	}
	time.Sleep(50 * time.Millisecond)
	begin := time.Now()
	must.NoError(t, s.Stop(context.Background()))
	must.Less(t, requestTimeout/2, time.Since(begin))
}
