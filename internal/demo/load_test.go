package demo

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/client"
)

// Guards against a fault of the next phase interrupting calls of the current one: the demo counted calls that were interrupted by killing a host
// as interrupted by the planned stop before it.
func TestAwaitInFlightWaitsForAllCallsInFlight(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) }))
	defer server.Close()
	d := deployment{Service: "s", Traffic: []traffic{{Method: "m", Team: "t", Class: client.Urgent, PerSecond: 400, Timeout: time.Second}}}
	l, err := startLoad(d, server.URL)
	must.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	at := time.Now()
	l.awaitInFlight()
	l.mu.Lock()
	before := countStartedBefore(l.samples, at)
	l.mu.Unlock()
	must.Positive(t, before)
	must.Eq(t, countStartedBefore(l.stop(), at), before)
}

func countStartedBefore(samples []sample, at time.Time) int {
	n := 0
	for _, s := range samples {
		if s.start.Before(at) {
			n++
		}
	}
	return n
}
