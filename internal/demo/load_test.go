package demo

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/client"
)

// Guards against a fault of the next phase that cuts calls of the present one: the demo counted calls that were cut by the kill of a host
// as cut by the planned stop before it.
func TestAwaitBegunWaitsForEveryCallThatHasBegun(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) }))
	defer server.Close()
	d := deployment{Service: "s", Traffic: []traffic{{Method: "m", Team: "t", Class: client.Urgent, PerSecond: 400, Timeout: time.Second}}}
	l, err := startLoad(d, server.URL)
	must.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	at := time.Now()
	l.awaitBegun()
	l.mu.Lock()
	before := countBegunBefore(l.samples, at)
	l.mu.Unlock()
	must.Positive(t, before)
	must.Eq(t, countBegunBefore(l.stop(), at), before)
}

func countBegunBefore(samples []sample, at time.Time) int {
	n := 0
	for _, s := range samples {
		if s.start.Before(at) {
			n++
		}
	}
	return n
}
