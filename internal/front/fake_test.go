package front

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

	"samphirewell/internal/api"
	"samphirewell/internal/outcome"
	"samphirewell/internal/registry"
	"samphirewell/internal/wire"
)

// fakeExecutor responds to calls over raw connections, so that it can violate the protocol.
type fakeExecutor struct {
	ln      net.Listener
	started atomic.Int64 // requests that were read
	respond func(conn net.Conn, r *http.Request, body string)
}

func listenExecutor(t testing.TB) *fakeExecutor {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return &fakeExecutor{ln: ln, respond: echo}
}

func startExecutor(t *testing.T, respond func(conn net.Conn, r *http.Request, body string)) *fakeExecutor {
	t.Helper()
	e := listenExecutor(t)
	e.respond = respond
	go e.serve()
	t.Cleanup(func() { _ = e.ln.Close() })
	return e
}

func (e *fakeExecutor) serve() {
	for {
		conn, err := e.ln.Accept()
		if err != nil {
			return
		}
		go e.handle(conn)
	}
}

func (e *fakeExecutor) handle(conn net.Conn) {
	defer conn.Close()
	buf := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(buf)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.started.Add(1)
		e.respond(conn, r, string(body))
	}
}

// writeResponse writes a complete response with the call ID that the executor echoes and extra header lines.
func writeResponse(conn net.Conn, status int, id, extra, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d x\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, wire.HeaderCallID, id, extra, len(body), body)
}

func echo(conn net.Conn, r *http.Request, body string) {
	writeResponse(conn, 200, r.Header.Get(wire.HeaderCallID), wire.HeaderFreeSlots+": 4\r\n", "re:"+body)
}

// fakePlans allows the service "price" for every team except "nobody", which is not in the lists, and "early", for which there are no lists yet.
type fakePlans struct{}

func (fakePlans) Plan(team string) (api.Plan, PlanStatus) {
	switch team {
	case "nobody":
		return api.Plan{}, PlanNoTeam
	case "early":
		return api.Plan{}, PlanNoLists
	}
	return api.Plan{Services: []string{"price"}}, PlanFound
}

// fakeLimiter admits the calls of every team except "over" and counts the running ones.
type fakeLimiter struct{ running atomic.Int64 }

func (l *fakeLimiter) Admit(team string, _ time.Time) (func(), outcome.Outcome) {
	if team == "over" {
		return nil, outcome.Refuse(outcome.RateLimit, 1500*time.Millisecond)
	}
	l.running.Add(1)
	return func() { l.running.Add(-1) }, outcome.Outcome{}
}

// fakeClaimer grants every key except "stored", which has a stored answer, and keeps the last key and outcome.
type fakeClaimer struct {
	key      atomic.Value
	finished atomic.Value
}

func (c *fakeClaimer) Claim(_ context.Context, key string, _ int, _ time.Duration, _ time.Time) (func(outcome.Outcome), outcome.Outcome) {
	c.key.Store(key)
	if strings.HasSuffix(key, "/stored") {
		return nil, outcome.Answer(200, []byte("stored answer"))
	}
	return func(o outcome.Outcome) { c.finished.Store(o) }, outcome.Outcome{}
}

type fixture struct {
	*Server
	limiter *fakeLimiter
	claimer *fakeClaimer
}

func hostList(executors ...*fakeExecutor) api.HostListResponse {
	list := api.HostListResponse{AsOfMS: 1, NowMS: 1}
	for i, e := range executors {
		list.Hosts = append(list.Hosts, api.HostEntry{ID: fmt.Sprint("e", i), Incarnation: "1", Address: e.ln.Addr().String(),
			FailureDomain: "d1", Role: api.HostEntryRoleExecutor, Service: "price"})
	}
	return list
}

func startFront(t *testing.T, change func(*Options), executors ...*fakeExecutor) fixture {
	t.Helper()
	f := fixture{limiter: &fakeLimiter{}, claimer: &fakeClaimer{}}
	reg := registry.New()
	reg.Observe(hostList(executors...), time.Now())
	o := Options{Settings: api.Settings{CallerAddress: "127.0.0.1:0", HostID: "h1", FailureDomain: "d1", MaxBodyBytes: 1000, DrainLagMS: 1},
		Plans: fakePlans{}, Limiter: f.limiter, Claimer: f.claimer, Registry: reg}
	if change != nil {
		change(&o)
	}
	f.Server = New(o)
	must.NoError(t, f.Start())
	t.Cleanup(f.Close)
	return f
}

// result is the response that a caller receives.
type result struct {
	status                int
	outcome, reason, body string
	header                http.Header
}

// post makes one call; fields are alternating header names and values.
func (f fixture) post(t *testing.T, body string, fields ...string) result {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Addr()+"/v1/call/price/check", strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set(wire.HeaderTeam, "desk")
	for i := 0; i < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return result{resp.StatusCode, resp.Header.Get(wire.HeaderOutcome), resp.Header.Get(wire.HeaderReason), string(b), resp.Header}
}

// nonRepeatable is the header field of a valid non-repeatable call, for post.
var nonRepeatable = []string{wire.HeaderIdempotencyKey, "k1"}
