package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/outcome"
)

// recordingClock records each wait and immediately advances by its duration.
type recordingClock struct {
	mu    sync.Mutex
	now   time.Time
	waits []time.Duration
}

func (c *recordingClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *recordingClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	c.waits = append(c.waits, d)
	ch := make(chan time.Time, 1)
	ch <- c.now
	return ch
}

// scriptedResponse is one response of the test server; status 0 closes the connection after the request was read.
type scriptedResponse struct {
	status int
	header []string // name, value pairs
	body   string
}

type scriptedServer struct {
	mu        sync.Mutex
	responses []scriptedResponse
	requests  []*http.Request
	bodies    []string
}

func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.requests = append(s.requests, r)
	s.bodies = append(s.bodies, string(body))
	next := s.responses[min(len(s.requests), len(s.responses))-1]
	s.mu.Unlock()
	if next.status == 0 {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
		return
	}
	for i := 0; i < len(next.header); i += 2 {
		w.Header().Set(next.header[i], next.header[i+1])
	}
	w.WriteHeader(next.status)
	_, _ = io.WriteString(w, next.body)
}

func startServer(t *testing.T, responses ...scriptedResponse) (*scriptedServer, string, *recordingClock) {
	s := &scriptedServer{responses: responses}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.URL, &recordingClock{now: time.Unix(1000, 0)}
}

func newClient(t *testing.T, clk *recordingClock, urls ...string) *Client {
	c, err := New(clk, urls...)
	must.NoError(t, err)
	c.random = func() float64 { return 0.5 }
	return c
}

var priceCall = Call{Service: "order-desk", Method: "price", Team: "sales", Class: Urgent, Timeout: time.Minute, Key: "k1", Body: []byte("anvil")}

var (
	lostResponse   = scriptedResponse{}
	rateLimited    = scriptedResponse{429, []string{"Samphire-Outcome", "not-run", "Samphire-Reason", "rate_limit", "Samphire-Retry-After-Ms", "1500", "Retry-After", "2"}, ""}
	serviceDenied  = scriptedResponse{403, []string{"Samphire-Outcome", "not-run", "Samphire-Reason", "service_denied"}, ""}
	unknownOutcome = scriptedResponse{504, []string{"Samphire-Outcome", "unknown", "Samphire-Reason", "key_unknown"}, ""}
	answered       = scriptedResponse{200, nil, "42"}
)

// Guards against the outcome "not run" after an attempt that may have run, against retries that are too early or cannot help, and against answers
// that are lost.
func TestCallEndsInTheTypedOutcome(t *testing.T) {
	cases := []struct {
		name      string
		responses []scriptedResponse
		want      outcome.Outcome
		waits     []time.Duration
	}{
		{"answered", []scriptedResponse{answered}, outcome.Answer(200, []byte("42")), nil},
		{"refused, then answered", []scriptedResponse{rateLimited, answered}, outcome.Answer(200, []byte("42")), []time.Duration{1650 * time.Millisecond}},
		{"refused permanently", []scriptedResponse{serviceDenied}, outcome.Refuse(outcome.ServiceDenied, 0), nil},
		{"lost, then stored answer", []scriptedResponse{lostResponse, answered}, outcome.Answer(200, []byte("42")), []time.Duration{55 * time.Millisecond}},
		{"lost, then refused", []scriptedResponse{lostResponse, serviceDenied}, outcome.MayHaveRun(outcome.ConnectionLost), []time.Duration{55 * time.Millisecond}},
		{"permanently unknown", []scriptedResponse{unknownOutcome}, outcome.MayHaveRun(outcome.KeyUnknown), nil},
		{"refusal not from an entry host", []scriptedResponse{{502, nil, "bad gateway"}, serviceDenied}, outcome.MayHaveRun(outcome.BadAnswer), []time.Duration{55 * time.Millisecond}},
		{"attempts run out", []scriptedResponse{rateLimited}, outcome.Refuse(outcome.RateLimit, 1500*time.Millisecond), []time.Duration{1650 * time.Millisecond, 1650 * time.Millisecond, 1650 * time.Millisecond}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, url, clk := startServer(t, c.responses...)
			must.Eq(t, c.want, newClient(t, clk, url).Call(context.Background(), priceCall))
			must.Eq(t, c.waits, clk.waits)
		})
	}
}

// Guards against a wait that ends after the deadline although the final outcome is already known.
func TestCallDoesNotWaitPastItsDeadline(t *testing.T) {
	_, url, clk := startServer(t, rateLimited)
	call := priceCall
	call.Timeout = time.Second
	got := newClient(t, clk, url).Call(context.Background(), call)
	must.Eq(t, outcome.Refuse(outcome.RateLimit, 1500*time.Millisecond), got)
	must.SliceEmpty(t, clk.waits)
}

// Guards against attempts that the key owner cannot distinguish: a different key, a wrong number, or no age of the first attempt.
func TestEveryAttemptCarriesKeyNumberAgeAndTimeLeft(t *testing.T) {
	s, url, clk := startServer(t, rateLimited, lostResponse, answered)
	newClient(t, clk, url).Call(context.Background(), priceCall)
	must.Len(t, 3, s.requests)
	// The first attempt has not run, so the second one is sent as a first attempt again; its response is lost, so the third one is a retry.
	for i, want := range []struct{ number, age, left string }{{"1", "0", "60000"}, {"1", "0", "58350"}, {"2", "55", "58295"}} {
		h := s.requests[i].Header
		must.Eq(t, "k1", h.Get("Idempotency-Key"))
		must.Eq(t, want.number, h.Get("Samphire-Attempt"))
		must.Eq(t, want.age, h.Get("Samphire-First-Attempt-Age-Ms"))
		must.Eq(t, want.left, h.Get("Samphire-Deadline-Ms"))
		must.Eq(t, "false", h.Get("Samphire-Repeatable"))
		must.Eq(t, "anvil", s.bodies[i])
	}
	must.Eq(t, "/v1/call/order-desk/price", s.requests[0].URL.Path)
}

// Guards against the automatic resend of net/http for requests with an Idempotency-Key when an idle connection is lost: the hosts receive such a
// resend as a second first attempt.
func TestLostIdleConnectionIsNotResentAsFirstAttempt(t *testing.T) {
	for _, body := range []string{"anvil", ""} {
		s, url, clk := startServer(t, answered, lostResponse, serviceDenied)
		c := newClient(t, clk, url)
		must.Eq(t, outcome.Answered, c.Call(context.Background(), priceCall).Kind)
		call := priceCall
		call.Key, call.Body = "k2", []byte(body)
		must.Eq(t, outcome.MayHaveRun(outcome.ConnectionLost), c.Call(context.Background(), call))
		var numbers []string
		for _, r := range s.requests[1:] {
			numbers = append(numbers, r.Header.Get("Samphire-Attempt"))
		}
		must.Eq(t, []string{"1", "2"}, numbers, must.Sprintf("body %q", body))
	}
}

// Guards against an unreachable host that counts as "may have run", and against a client that does not try the next host.
func TestUnreachableHostIsNotRunAndTheNextOneIsTried(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	closed := "http://" + listener.Addr().String()
	must.NoError(t, listener.Close())
	_, url, clk := startServer(t, answered)
	must.Eq(t, outcome.Answered, newClient(t, clk, closed, url).Call(context.Background(), priceCall).Kind)
	got := newClient(t, clk, closed).Call(context.Background(), priceCall)
	must.Eq(t, outcome.Refuse(Unreachable, unreachableDelay), got)
}

// Guards against a submission that is reported as refused although its first attempt may have created the job.
func TestSubmitJobRepeatsTheSameSubmission(t *testing.T) {
	record := `{"id": "j1", "phase": "waiting"}`
	s, url, clk := startServer(t, lostResponse, scriptedResponse{200, nil, record})
	got, err := newClient(t, clk, url).SubmitJob(context.Background(), api.JobSpec{SubmissionKey: "s1", Team: "sales"})
	must.NoError(t, err)
	must.Eq(t, "j1", got.ID)
	must.Eq(t, s.bodies[0], s.bodies[1])
	must.StrContains(t, s.bodies[0], `"submissionKey":"s1"`)

	_, url, clk = startServer(t, lostResponse, serviceDenied)
	_, err = newClient(t, clk, url).SubmitJob(context.Background(), api.JobSpec{SubmissionKey: "s1", Team: "sales"})
	var refused *Error
	must.True(t, errors.As(err, &refused))
	must.Eq(t, outcome.Unknown, refused.Outcome.Kind)
}

// Guards against a missing job that is reported like a lost response.
func TestGetJobReportsAMissingJob(t *testing.T) {
	s, url, clk := startServer(t, scriptedResponse{404, nil, `{"error": "no such job", "problems": []}`})
	_, err := newClient(t, clk, url).GetJob(context.Background(), "desk", "a/b")
	var refused *Error
	must.True(t, errors.As(err, &refused))
	must.Eq(t, outcome.NotRun, refused.Outcome.Kind)
	must.Eq(t, "no such job", refused.Message)
	must.Eq(t, "/v1/jobs/a%2Fb", s.requests[0].URL.EscapedPath())
	must.Len(t, 1, s.requests)
}

// Guards against a lost response that is reported as a conflict or a refusal without a second request to the host, and against a conflict without its
// differences.
func TestPutListsResolvesTheOutcomeOfALostResponse(t *testing.T) {
	notRun := []string{"Samphire-Outcome", "not-run", "Samphire-Reason", "platform_down", "Samphire-Retry-After-Ms", "1000"}
	conflict := scriptedResponse{412, notRun[:2], `{"readVersion": 3, "currentVersion": 5, "author": "iva", "complete": true, "changes": ["team x added"]}`}
	put := func(responses ...scriptedResponse) (*scriptedServer, api.PutListsResponse, error) {
		s, url, clk := startServer(t, responses...)
		o, err := NewOperator(clk, url, "token")
		must.NoError(t, err)
		response, err := o.PutLists(context.Background(), 3, api.PutListsRequest{Author: "petr", RequestID: "r1", Text: "{}"})
		return s, response, err
	}
	s, response, err := put(lostResponse, scriptedResponse{200, nil, `{"version": 4, "repeated": true}`})
	must.NoError(t, err)
	must.Eq(t, 4, response.Version)
	must.Eq(t, s.bodies[0], s.bodies[1])
	must.Eq(t, `"3"`, s.requests[1].Header.Get("If-Match"))
	must.Eq(t, "Bearer token", s.requests[1].Header.Get("Authorization"))

	_, _, err = put(lostResponse, conflict)
	var conflictErr *ConflictError
	must.True(t, errors.As(err, &conflictErr), must.Sprint("a conflict also determines the outcome of the attempt whose response was lost"))
	must.StrContains(t, err.Error(), "team x added")

	_, _, err = put(lostResponse, scriptedResponse{503, notRun, `{"error": "the table is not available", "problems": []}`})
	var refused *Error
	must.True(t, errors.As(err, &refused))
	must.Eq(t, outcome.Unknown, refused.Outcome.Kind, must.Sprint("a refused retry does not determine the outcome of the attempt whose response was lost"))

	_, _, err = put(scriptedResponse{400, notRun[:2], `{"error": "the lists are not valid", "problems": ["f:1: x"]}`})
	must.True(t, errors.As(err, &refused))
	must.Eq(t, outcome.NotRun, refused.Outcome.Kind)
	must.True(t, strings.Contains(err.Error(), "f:1: x"))
}
