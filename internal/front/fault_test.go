package front

import (
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

	"samphirewell/internal/clock"
	"samphirewell/internal/outcome"
	"samphirewell/internal/wire"
)

// Guards against responses that belong to another call or are incomplete: they must not reach the caller as answers.
func TestBrokenAnswersAreUnknown(t *testing.T) {
	cases := map[string]func(conn net.Conn, r *http.Request){
		"crossed": func(conn net.Conn, _ *http.Request) { writeResponse(conn, 200, "other", "", "wrong") },
		"no echo": func(conn net.Conn, _ *http.Request) { writeResponse(conn, 200, "", "", "wrong") },
		"refusal of another call": func(conn net.Conn, _ *http.Request) {
			writeResponse(conn, 503, "other", wire.HeaderNotStarted+": true\r\n", "")
		},
		"unregistered status": func(conn net.Conn, r *http.Request) {
			writeResponse(conn, 299, r.Header.Get(wire.HeaderCallID), "", "x")
		},
		"truncated": func(conn net.Conn, r *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 10\r\n\r\nhalf", wire.HeaderCallID, r.Header.Get(wire.HeaderCallID))
			_ = conn.Close()
		},
		"without length": func(conn net.Conn, r *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nhalf", wire.HeaderCallID, r.Header.Get(wire.HeaderCallID))
			_ = conn.Close()
		},
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			e := startExecutor(t, func(conn net.Conn, r *http.Request, _ string) { respond(conn, r) })
			f := startFront(t, nil, e)
			got := f.post(t, "x", nonRepeatable...)
			must.Eq(t, "unknown", got.outcome)
			must.Eq(t, string(outcome.BadAnswer), got.reason)
			must.Eq(t, 1, e.started.Load(), must.Sprint("a non-repeatable call was sent again"))
		})
	}
}

// Guards against a call that an executor did not start and that ends as unknown or not run although another executor can run it.
func TestRefusedCallGoesToAnotherExecutor(t *testing.T) {
	full := startExecutor(t, func(conn net.Conn, r *http.Request, _ string) {
		writeResponse(conn, 503, r.Header.Get(wire.HeaderCallID), wire.HeaderNotStarted+": true\r\n"+wire.HeaderFreeSlots+": 0\r\n", "")
	})
	f := startFront(t, nil, full, startExecutor(t, echo))
	for range 10 {
		must.Eq(t, "re:x", f.post(t, "x", nonRepeatable...).body)
	}
}

// Guards against a call that no executor started and that ends as unknown instead of not run when it is removed from the queue.
func TestCallThatNoExecutorStartsIsNotRun(t *testing.T) {
	full := startExecutor(t, func(conn net.Conn, r *http.Request, _ string) {
		writeResponse(conn, 503, r.Header.Get(wire.HeaderCallID), wire.HeaderNotStarted+": true\r\n", "")
	})
	f := startFront(t, nil, full)
	response := make(chan result, 1)
	go func() { response <- f.post(t, "x", append(nonRepeatable, wire.HeaderDeadlineMs, "10000")...) }()
	for full.started.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	for {
		f.dispatcher.refuseAll(outcome.Refuse(outcome.Draining, drainRetryAfter))
		select {
		case got := <-response:
			must.Eq(t, "not-run", got.outcome)
			must.Eq(t, "100", got.header.Get(wire.HeaderRetryAfterMs))
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against a surplus response on a connection that is taken as the response to the next call.
func TestSurplusAnswerIsNotGivenToTheNextCall(t *testing.T) {
	e := startExecutor(t, func(conn net.Conn, r *http.Request, body string) {
		id := r.Header.Get(wire.HeaderCallID)
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", wire.HeaderCallID, id, len(body), body)
		_, _ = io.WriteString(conn, one+one)
	})
	f := startFront(t, nil, e)
	for _, body := range []string{"a", "b", "c"} {
		must.Eq(t, body, f.post(t, body, nonRepeatable...).body)
	}
	must.Eq(t, "3", f.Counters().Get("late_answers").String())
}

// Guards against requests that arrive so slowly that they occupy a connection without a time limit.
func TestHalfSentRequestHasADeadline(t *testing.T) {
	begun := time.Unix(1000, 0)
	c := &callerConn{requestStartedAt: begun}
	must.Eq(t, begun.Add(RequestTimeout), c.readDeadline())
}

// Guards against new calls to an executor that has reported that it is leaving.
func TestLeavingExecutorGetsNoMoreCalls(t *testing.T) {
	leaving := startExecutor(t, func(conn net.Conn, r *http.Request, body string) {
		writeResponse(conn, 200, r.Header.Get(wire.HeaderCallID), wire.HeaderLeaving+": true\r\n", body)
	})
	f := startFront(t, nil, leaving, startExecutor(t, echo))
	for range 30 {
		must.Eq(t, "answered", f.post(t, "x", nonRepeatable...).outcome)
	}
	must.LessEq(t, 1, leaving.started.Load())
	must.Eq(t, leaving.started.Load() == 1, f.options.Registry.Snapshot().Servers[0].Leaving)
}

// Guards against repeatable calls that are not retried when the connection breaks before the response.
func TestRepeatableCallIsRetried(t *testing.T) {
	var calls atomic.Int64
	e := startExecutor(t, func(conn net.Conn, r *http.Request, body string) {
		if calls.Add(1) == 1 {
			_ = conn.Close()
			return
		}
		echo(conn, r, body)
	})
	f := startFront(t, nil, e)
	must.Eq(t, "re:x", f.post(t, "x", wire.HeaderRepeatable, "true").body)
	must.Eq(t, "1", f.Counters().Get("retries").String())
}

// Guards against a drain that interrupts a running call, and against calls that are accepted after the balancer's lag.
func TestDrainCompletesRunningCalls(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	e := startExecutor(t, func(conn net.Conn, r *http.Request, body string) {
		close(running)
		<-finish
		echo(conn, r, body)
	})
	f := startFront(t, nil, e)
	response, drained := make(chan result, 1), make(chan error, 1)
	go func() { response <- f.post(t, "x", nonRepeatable...) }()
	<-running
	go func() { drained <- f.Drain(context.Background()) }()
	for !f.refusing.Load() {
		time.Sleep(time.Millisecond)
	}
	must.False(t, f.Ready())
	got := f.post(t, "x", nonRepeatable...)
	must.Eq(t, "not-run", got.outcome)
	must.Eq(t, string(outcome.Draining), got.reason)
	close(finish)
	must.Eq(t, "re:x", (<-response).body)
	must.NoError(t, <-drained)
}

// Guards against a waiting call that does not get the slot of a call of the same host that ends.
func TestWaitingCallTakesTheFreedSlot(t *testing.T) {
	running, release := make(chan struct{}, 2), make(chan struct{})
	e := startExecutor(t, func(conn net.Conn, r *http.Request, body string) {
		running <- struct{}{}
		<-release
		echo(conn, r, body)
	})
	// The clock does not advance, so the queue is not retried after queueRetryDelay; only the end of a call can start the waiting one.
	f := startFront(t, func(o *Options) {
		o.Settings.SlotsPerExecutor = 1
		o.Clock = clock.NewManual(time.Unix(1000, 0))
	}, e)
	responses := make(chan result, 2)
	for range 2 {
		go func() { responses <- f.post(t, "x", wire.HeaderRepeatable, "true") }()
	}
	<-running
	for f.dispatcher.waiting.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, 1, e.started.Load())
	close(release)
	for range 2 {
		select {
		case got := <-responses:
			must.Eq(t, "re:x", got.body)
		case <-time.After(time.Minute):
			t.Fatal("the waiting call was not started")
		}
	}
}

// Guards against refusals of bad input and of calls outside the plan that lack the right outcome, reason or status.
func TestRefusalsAreTyped(t *testing.T) {
	f := startFront(t, nil, startExecutor(t, echo))
	cases := []struct {
		reason outcome.Reason
		status int
		body   string
		fields []string
	}{
		{outcome.BadRequest, 400, "", nil}, // not repeatable and without a key
		{outcome.BadRequest, 400, "", []string{wire.HeaderIdempotencyKey, "k", wire.HeaderClass, "soon"}},
		{outcome.BadRequest, 400, "", []string{wire.HeaderIdempotencyKey, "k", wire.HeaderDeadlineMs, "-1"}},
		{outcome.BadRequest, 400, "", []string{wire.HeaderIdempotencyKey, "k", wire.HeaderAttempt, "2"}},
		{outcome.BadRequest, 400, "", []string{wire.HeaderIdempotencyKey, "k", wire.HeaderTeam, "a/b"}},
		{outcome.TooLarge, 400, strings.Repeat("x", 1001), nonRepeatable},
		{outcome.UnknownTeam, 403, "", []string{wire.HeaderIdempotencyKey, "k", wire.HeaderTeam, "nobody"}},
		{outcome.NoConfig, 503, "", []string{wire.HeaderIdempotencyKey, "k", wire.HeaderTeam, "early"}},
		{outcome.RateLimit, 429, "", []string{wire.HeaderIdempotencyKey, "k", wire.HeaderTeam, "over"}},
	}
	for _, c := range cases {
		got := f.post(t, c.body, c.fields...)
		must.Eq(t, "not-run", got.outcome)
		must.Eq(t, string(c.reason), got.reason)
		must.Eq(t, c.status, got.status)
	}
	must.Eq(t, "2", f.post(t, "", wire.HeaderIdempotencyKey, "k", wire.HeaderTeam, "over").header.Get(wire.HeaderRetryAfter))
	second := f.post(t, "", wire.HeaderIdempotencyKey, "k", wire.HeaderTeam, "over", wire.HeaderAttempt, "2", wire.HeaderFirstAttemptAgeMs, "5")
	must.Eq(t, "unknown", second.outcome, must.Sprint("the first attempt may have run"))
	must.Eq(t, "stored answer", f.post(t, "", wire.HeaderIdempotencyKey, "stored").body)
}

// Guards against malformed requests that are run as calls or end without a response.
func TestMalformedRequestIsRefusedAndClosed(t *testing.T) {
	e := startExecutor(t, echo)
	f := startFront(t, nil, e)
	for _, raw := range []string{"G@T / HTTP/1.1\r\n\r\n", "POST /v1/call/price/check HTTP/1.1\r\nBad Header\n\r\n\r\n",
		"POST /v1/call/price/check HTTP/1.1\r\nX: " + strings.Repeat("y", MaxHeaderBytes+1) + "\r\n\r\n"} {
		conn, err := net.Dial("tcp", f.Addr())
		must.NoError(t, err)
		_, err = io.WriteString(conn, raw)
		must.NoError(t, err)
		all, err := io.ReadAll(conn)
		must.NoError(t, err)
		must.StrContains(t, string(all), wire.HeaderReason+": bad_request")
		must.NoError(t, conn.Close())
	}
	must.Eq(t, 0, e.started.Load())
}

// Guards against headers that make the parser panic, and against accepted values that would corrupt the request to the executor.
func FuzzParseCall(f *testing.F) {
	f.Add("/v1/call/price/check", "desk", "urgent", "100", "key", "1", "0", "true")
	f.Add("/v1/call/a", "", "x", "-1", "a\r\nb", "99999999999999999999", "x", "yes")
	f.Fuzz(func(t *testing.T, path, team, class, deadline, key, attempt, age, repeatable string) {
		h := http.Header{wire.HeaderTeam: {team}, wire.HeaderClass: {class}, wire.HeaderDeadlineMs: {deadline}, wire.HeaderIdempotencyKey: {key},
			wire.HeaderAttempt: {attempt}, wire.HeaderFirstAttemptAgeMs: {age}, wire.HeaderRepeatable: {repeatable}}
		now := time.Unix(1000, 0)
		c, err := parseCall(path, h, now, time.Second)
		if err != nil {
			return
		}
		must.True(t, validName(c.Team) && validName(c.Service) && validName(c.Method) && printable(c.Key))
		must.True(t, c.Repeatable || c.Key != "")
		must.Between(t, 1, c.Attempt, maxAttempt)
		must.True(t, c.Deadline.After(now) && !c.Deadline.After(now.Add(MaxCallTime)))
	})
}

// Guards against a drain that leaves a request without a response when the caller sends it while its idle connection is being closed.
func TestDrainAnswersARequestThatCrossesTheCloseOfItsConnection(t *testing.T) {
	e := startExecutor(t, echo)
	f := startFront(t, nil, e)
	conn, err := net.Dial("tcp", f.Addr())
	must.NoError(t, err)
	defer conn.Close()
	must.StrContains(t, rawCall(t, conn), "200 OK")
	drained := make(chan error, 1)
	go func() { drained <- f.Drain(context.Background()) }()
	for _, c := range f.openConns() {
		for c.state.Load() != connClosing {
			time.Sleep(time.Millisecond)
		}
	}
	response := rawCall(t, conn)
	must.StrContains(t, response, "408 Request Timeout")
	must.StrContains(t, response, wire.HeaderOutcome+": not-run")
	must.StrContains(t, response, wire.HeaderReason+": "+string(outcome.Draining))
	must.StrContains(t, response, "Connection: close")
	must.NoError(t, conn.Close())
	must.NoError(t, <-drained)
	must.Eq(t, 1, e.started.Load())
}

// rawCall sends one call over an open connection and returns what the first read of the response gives, at most 4,096 bytes.
func rawCall(t *testing.T, conn net.Conn) string {
	t.Helper()
	_, err := fmt.Fprintf(conn, "POST %sprice/check HTTP/1.1\r\nHost: h\r\n%s: desk\r\n%s: true\r\nContent-Length: 1\r\n\r\nx", wire.PathCall, wire.HeaderTeam, wire.HeaderRepeatable)
	must.NoError(t, err)
	buf := make([]byte, 4096)
	n, err := conn.Read(buf)
	must.NoError(t, err)
	return string(buf[:n])
}

// Guards against a refused call that operators cannot query by its key, and against a history of such calls that grows without bound.
func TestUnansweredCallsAreRememberedByKey(t *testing.T) {
	f := startFront(t, nil)
	must.Eq(t, "not-run", f.post(t, "x", wire.HeaderIdempotencyKey, "asked", wire.HeaderDeadlineMs, "20").outcome)
	got := f.UnansweredCalls("asked")
	must.Len(t, 1, got)
	must.Eq(t, outcome.NotRun, got[0].Kind)
	must.Eq(t, "check", got[0].Method)
	for i := range unansweredCapacity {
		f.unanswered.add(UnansweredCall{Key: fmt.Sprint(i)})
	}
	must.SliceEmpty(t, f.UnansweredCalls("asked"))
	must.Len(t, unansweredCapacity, f.unanswered.calls)
	must.Len(t, 1, f.UnansweredCalls(fmt.Sprint(unansweredCapacity-1)))
}
