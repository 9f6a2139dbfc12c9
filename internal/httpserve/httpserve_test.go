package httpserve

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

func start(t *testing.T, h http.HandlerFunc) *Server {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New("127.0.0.1:0", 1<<10, h, log)
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
