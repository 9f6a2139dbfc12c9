package httpserve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"samphirewell/internal/membudget"
)

// limited is a server with limits, whose refusals and requests are counted.
type limited struct {
	*Server
	ran      atomic.Int64
	refusals chan string
}

func startLimited(t *testing.T, limits Limits, h http.HandlerFunc) *limited {
	log, _ := logtest.NewNullLogger()
	l := &limited{refusals: make(chan string, 1000)}
	limits.Refusals = NewRefusals(log, func(kind string) { l.refusals <- kind })
	if limits.MaxBody == nil {
		limits.MaxBody = func() int { return 20 << 10 }
	}
	l.Server = New("127.0.0.1:0", limits, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.ran.Add(1)
		h(w, r)
	}), log)
	must.NoError(t, l.Start())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = l.Stop(ctx)
	})
	return l
}

// send writes the text and returns the status of the first response, 0 if the connection was closed without one, its Retry-After, and whether it says that
// the connection is closed.
func send(t *testing.T, s *Server, text string) (status int, retryAfter string, closes bool) {
	conn := dial(t, s)
	_, _ = io.WriteString(conn, text)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", false
	}
	must.NoError(t, resp.Body.Close())
	return resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close
}

func ok(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "ok")
}

const head = "POST /p HTTP/1.1\r\nHost: x\r\n"

// Guards against requests outside the limits that run, get another response than their refusal, or keep the memory that they held, and against requests at
// the limits that are refused.
func TestRefusalsOfSingleRequests(t *testing.T) {
	const maxBody = 20 << 10
	body := strings.Repeat("x", maxBody)
	lines := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "A%d: b\r\n", i)
		}
		return b.String()
	}
	for name, c := range map[string]struct {
		text   string
		status int
		kind   string // "" if the request is served
	}{
		"body of the limit":           {head + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody) + body, 200, ""},
		"chunked body of the limit":   {head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", maxBody, body), 200, ""},
		"chunks of 16 bytes":          {head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10\r\n"+strings.Repeat("x", 16)+"\r\n", maxBody/16) + "0\r\n\r\n", 200, ""},
		"lines of the limit":          {head + lines(maxHeaderLines-1) + "\r\n", 200, ""},
		"long header within":          {head + "A: " + strings.Repeat("x", 11<<10) + "\r\n\r\n", 200, ""},
		"empty lines within":          {"\r\n\r\n" + head + "\r\n", 200, ""},
		"announced body":              {head + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody+1), 413, "body_too_large"},
		"announced body that comes":   {head + fmt.Sprintf("Content-Length: %d\r\n\r\n%sx", maxBody+1, body), 413, "body_too_large"},
		"announced chunk":             {head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%sx\r\n0\r\n\r\n", maxBody+1, body), 413, "body_too_large"},
		"chunks over the limit":       {head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+body[:0x1000]+"\r\n", 6) + "0\r\n\r\n", 413, "body_too_large"},
		"chunk without end":           {head + "Transfer-Encoding: chunked\r\n\r\nffffff\r\n" + strings.Repeat(body, 3), 413, "body_too_large"},
		"chunk extension without end": {head + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat(body, 3), 413, "body_too_large"},
		"header line":                 {head + "A: " + strings.Repeat("x", maxHeaderBytes) + "\r\n\r\n", 431, "header_too_large"},
		"header line without end":     {head + "A: " + strings.Repeat("x", 2*maxHeaderBytes), 431, "header_too_large"},
		"header lines":                {head + lines(maxHeaderLines) + "\r\n", 431, "header_too_large"},
		"target":                      {"GET /" + strings.Repeat("x", maxHeaderBytes) + " HTTP/1.1\r\nHost: x\r\n\r\n", 431, "header_too_large"},
		"spaces":                      {"GET " + strings.Repeat(" ", 2*maxHeaderBytes), 431, "header_too_large"},
		"trailers":                    {head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\n" + strings.Repeat("B:\r\n", maxHeaderLines), 431, "header_too_large"},
		"empty lines":                 {strings.Repeat("\r\n", maxEmptyBytes), 0, "empty_lines"},
		"no request":                  {"\x00\x01", 0, "malformed"},
	} {
		t.Run(name, func(t *testing.T) {
			budget := membudget.New(1<<10, 1<<20)
			s := startLimited(t, Limits{Budget: budget}, ok)
			status, _, closes := send(t, s.Server, c.text)
			must.Eq(t, c.status, status)
			if c.kind == "" {
				must.Eq(t, 1, s.ran.Load())
				must.SliceEmpty(t, drain(s.refusals))
			} else {
				must.Zero(t, s.ran.Load())
				must.Eq(t, c.kind, <-s.refusals)
				if status != 0 {
					must.True(t, closes)
				}
			}
			awaitZero(t, budget)
		})
	}
}

func drain(c chan string) (out []string) {
	for {
		select {
		case s := <-c:
			out = append(out, s)
		default:
			return out
		}
	}
}

// awaitZero waits until all memory is returned.
func awaitZero(t *testing.T, b *membudget.Budget) {
	for end := time.Now().Add(5 * time.Second); b.Taken() > 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint("memory isn't returned"))
	}
}

// Guards against a refused request behind others that were sent together: the first ones are answered, the refused one and those behind it don't run.
func TestRequestsSentTogetherAreCountedOneByOne(t *testing.T) {
	s := startLimited(t, Limits{}, ok)
	conn := dial(t, s.Server)
	large := head + "A: " + strings.Repeat("x", 10<<10) + "\r\n\r\n"
	_, err := io.WriteString(conn, strings.Repeat(large, 10)+head+"Content-Length: 99999\r\n\r\n"+strings.Repeat(head+"\r\n", 3))
	must.NoError(t, err)
	got := responses(t, conn)
	must.Len(t, 11, got)
	must.Eq(t, "{}", got[10])
	must.Eq(t, 10, s.ran.Load())
}

// Guards against requests that run although the one before asked to close the connection.
func TestNothingRunsAfterTheLastRequest(t *testing.T) {
	s := startLimited(t, Limits{}, ok)
	conn := dial(t, s.Server)
	_, err := io.WriteString(conn, head+"Connection: close\r\n\r\n"+head+"\r\n")
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, conn)
	must.Eq(t, 1, s.ran.Load())
}

// Guards against a full budget that refuses small requests, or runs large ones, and against a refusal without Retry-After.
func TestRequestsWithoutMemory(t *testing.T) {
	budget := membudget.New(8<<10, 64<<10)
	s := startLimited(t, Limits{Budget: budget}, ok)
	other := budget.NewAccount(func() {})
	result, _ := other.Hold(membudget.Request{Held: 72 << 10})
	must.Eq(t, membudget.Granted, result)
	must.True(t, other.Run()) // it can't be refused
	status, _, _ := send(t, s.Server, head+"Content-Length: 1000\r\n\r\n"+strings.Repeat("x", 1000))
	must.Eq(t, http.StatusOK, status)
	large := head + "Content-Length: 20000\r\n\r\n" + strings.Repeat("x", 20000)
	status, retryAfter, _ := send(t, s.Server, large)
	must.Eq(t, http.StatusTooManyRequests, status)
	must.Eq(t, "1", retryAfter)
	must.Eq(t, "memory", <-s.refusals)
	must.Eq(t, 1, s.ran.Load())
	other.Release()
	status, _, _ = send(t, s.Server, large)
	must.Eq(t, http.StatusOK, status)
}

// Guards against an upload that has stopped and keeps the memory that another one needs.
func TestStoppedUploadMakesRoom(t *testing.T) {
	budget := membudget.New(1<<10, 112<<10)
	s := startLimited(t, Limits{Budget: budget}, ok)
	stopped := dial(t, s.Server)
	_, err := io.WriteString(stopped, head+"Content-Length: 20000\r\n\r\n"+strings.Repeat("x", 19000))
	must.NoError(t, err)
	for end := time.Now().Add(5 * time.Second); budget.Taken() == 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end))
	}
	time.Sleep(200 * time.Millisecond)
	status, _, _ := send(t, s.Server, head+"Content-Length: 20000\r\n\r\n"+strings.Repeat("x", 20000))
	must.Eq(t, http.StatusOK, status)
	resp, err := http.ReadResponse(bufio.NewReader(stopped), nil)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusTooManyRequests, resp.StatusCode)
	must.Eq(t, []string{"memory"}, drain(s.refusals))
	must.Eq(t, 1, s.ran.Load())
}

// Guards against a server at its bound of connections that refuses a new one, or closes one whose request runs, while idle ones or unfinished requests
// could make room.
func TestConnectionsMakeRoom(t *testing.T) {
	release := make(chan struct{})
	s := startLimited(t, Limits{Connections: 3}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	})
	running, begun, idle := dial(t, s.Server), dial(t, s.Server), dial(t, s.Server)
	_, err := io.WriteString(running, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	_, err = io.WriteString(begun, "GET /p")
	must.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	status, _, _ := send(t, s.Server, "GET /p HTTP/1.1\r\nHost: x\r\n\r\n") // in place of idle, and idle itself from then on
	must.Eq(t, http.StatusOK, status)
	must.SliceEmpty(t, responses(t, idle))
	for range 3 {
		conn := dial(t, s.Server)
		_, err := io.WriteString(conn, "GET /p")
		must.NoError(t, err)
	}
	must.Eq(t, []string{"{}"}, responses(t, begun))
	must.Eq(t, 2, s.ran.Load())
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(running), nil)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.LessEq(t, 3, s.Connections())
	must.SliceContains(t, drain(s.refusals), "connections")
}

// Guards against a request that may arrive for ever as long as some byte of it comes.
func TestSlowRequestEnds(t *testing.T) {
	s := startLimited(t, Limits{}, ok)
	conn := dial(t, s.Server)
	must.NoError(t, conn.SetDeadline(time.Now().Add(maxRequestTime+5*time.Second)))
	_, err := io.WriteString(conn, head+"Content-Length: 1000\r\n\r\n")
	must.NoError(t, err)
	for err == nil {
		time.Sleep(100 * time.Millisecond)
		_, err = io.WriteString(conn, "x")
	}
	must.Eq(t, "slow", <-s.refusals)
	must.Zero(t, s.ran.Load())
}

// Guards against a connection that stays open, and requests that run, while nobody reads the responses.
func TestUnreadResponsesEndTheConnection(t *testing.T) {
	s := startLimited(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 4<<10)) })
	conn, err := net.Dial("tcp", s.Addr())
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	must.NoError(t, conn.SetWriteDeadline(time.Now().Add(writeTimeout+5*time.Second)))
	for err == nil {
		_, err = io.WriteString(conn, strings.Repeat("GET /p HTTP/1.1\r\nHost: x\r\n\r\n", 100))
	}
	must.Eq(t, "unread", <-s.refusals)
	for end := time.Now().Add(5 * time.Second); s.Connections() > 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end))
	}
	must.SliceEmpty(t, drain(s.refusals))
}

// Guards against a log line for each refusal.
func TestRefusalsAreLoggedTogether(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	n := 0
	r := NewRefusals(log, func(string) { n++ })
	for range 100 {
		r.Add("slow")
	}
	r.Add("memory")
	must.Eq(t, 101, n)
	for end := time.Now().Add(5 * time.Second); hook.LastEntry() == nil; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end))
	}
	must.Len(t, 1, hook.AllEntries())
	must.Eq(t, logrus.Fields{"slow": 100, "memory": 1}, hook.LastEntry().Data)
}
