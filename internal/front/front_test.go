package front

import (
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"samphirewell/internal/outcome"
	"samphirewell/internal/wire"
)

// Guards against an answer that is lost or altered, a key that is not passed to the executor, and a concurrency limit that is not released.
func TestAnsweredCallReachesTheCaller(t *testing.T) {
	keys := make(chan string, 2)
	e := startExecutor(t, func(conn net.Conn, r *http.Request, body string) {
		keys <- r.Header.Get(wire.HeaderIdempotencyKey)
		echo(conn, r, body)
	})
	f := startFront(t, nil, e)
	for range 2 { // the second call reuses the connection
		got := f.post(t, "42", nonRepeatable...)
		must.Eq(t, 200, got.status)
		must.Eq(t, "answered", got.outcome)
		must.Eq(t, "re:42", got.body)
		must.Eq(t, "k1", <-keys)
	}
	must.Eq(t, "desk/price/check/k1", f.claimer.key.Load().(string))
	must.Eq(t, outcome.Answered, f.claimer.finished.Load().(outcome.Outcome).Kind)
	must.Eq(t, 0, f.limiter.running.Load())
}

// Guards against a non-repeatable call that is sent again or reported as not run when the connection breaks before the response.
func TestLostAnswerOfNonRepeatableCallIsUnknown(t *testing.T) {
	e := startExecutor(t, func(conn net.Conn, _ *http.Request, _ string) { _ = conn.Close() })
	f := startFront(t, nil, e)
	got := f.post(t, "x", nonRepeatable...)
	must.Eq(t, "unknown", got.outcome)
	must.Eq(t, string(outcome.ConnectionLost), got.reason)
	must.Eq(t, 1, e.started.Load())
}

// Guards against a call that is reported as unknown although every connection to an executor was refused.
func TestNoExecutorReachableIsNotRun(t *testing.T) {
	e := startExecutor(t, echo)
	must.NoError(t, e.ln.Close())
	f := startFront(t, nil, e)
	got := f.post(t, "x", append(nonRepeatable, wire.HeaderDeadlineMs, "200")...)
	must.Eq(t, "not-run", got.outcome)
	must.Eq(t, 0, e.started.Load())
}
