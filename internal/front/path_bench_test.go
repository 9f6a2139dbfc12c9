package front

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/registry"
	"samphirewell/internal/wire"
)

// BenchmarkCallPath compares the processor time of a call through the entry host with that of a direct call. Caller, entry host and executor
// run in one process.
func BenchmarkCallPath(b *testing.B) {
	e := listenExecutor(b)
	go e.serve()
	defer e.ln.Close()
	reg := registry.New()
	reg.Observe(hostList(e), time.Now())
	s := New(Options{Settings: api.Settings{CallerAddress: "127.0.0.1:0", HostID: "h", FailureDomain: "d1"},
		Plans: fakePlans{}, Limiter: &fakeLimiter{}, Claimer: &fakeClaimer{}, Registry: reg})
	must.NoError(b, s.Start())
	defer s.Close()
	b.Run("direct", func(b *testing.B) { benchmarkExchange(b, postCall("http://"+e.ln.Addr().String()+"/call/price/check")) })
	b.Run("entry host", func(b *testing.B) { benchmarkExchange(b, postCall("http://"+s.Addr()+"/v1/call/price/check")) })
}

func postCall(url string) func() error {
	t := &http.Transport{MaxIdleConnsPerHost: 8}
	return func() error {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader("42"))
		if err != nil {
			return err
		}
		r.Header.Set(wire.HeaderTeam, "desk")
		r.Header.Set(wire.HeaderIdempotencyKey, "k")
		resp, err := t.RoundTrip(r)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err == nil && string(body) != "re:42" {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
}
