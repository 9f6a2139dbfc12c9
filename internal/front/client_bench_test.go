package front

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/shoenig/test/must"

	"samphirewell/internal/registry"
	"samphirewell/internal/wire"
)

// BenchmarkBackendClient compares the processor time of one exchange with an executor between HTTP clients. The executor runs in the same
// process, and its share of the time is the same in each case.
func BenchmarkBackendClient(b *testing.B) {
	e := listenExecutor(b)
	go e.serve()
	defer e.ln.Close()
	address := e.ln.Addr().String()
	b.Run("own pool", func(b *testing.B) { benchmarkExchange(b, ownClient(address)) })
	b.Run("net-http transport", func(b *testing.B) { benchmarkExchange(b, transportClient(address)) })
	b.Run("nbhttp client", func(b *testing.B) { benchmarkExchange(b, nbhttpClient(b, address)) })
}

func benchmarkExchange(b *testing.B, exchange func() error) {
	before := processorTime()
	for b.Loop() {
		must.NoError(b, exchange())
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func ownClient(address string) func() error {
	be := &backendClient{pools: connPools{dial: (&net.Dialer{}).DialContext}, maxBody: 1000, now: time.Now}
	be.pools.limit.Store(8)
	return func() error {
		c := &call{Service: "price", Method: "check", Key: "k", Body: []byte("42"), Deadline: time.Now().Add(time.Second)}
		if x := be.do(registry.Server{ID: "e", Address: address}, c, "id"); x.result.Status != 200 {
			return io.ErrUnexpectedEOF
		}
		return nil
	}
}

func newRequest(address string) *http.Request {
	ctx := context.Background()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/call/price/check", bytes.NewReader([]byte("42")))
	r.Header.Set(wire.HeaderCallID, "id")
	r.Header.Set(wire.HeaderDeadlineMs, "1000")
	r.Header.Set(wire.HeaderIdempotencyKey, "k")
	return r
}

func transportClient(address string) func() error {
	t := &http.Transport{MaxIdleConnsPerHost: 8}
	return func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		resp, err := t.RoundTrip(newRequest(address).WithContext(ctx))
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		return err
	}
}

func nbhttpClient(b *testing.B, address string) func() error {
	engine := nbhttp.NewEngine(nbhttp.Config{})
	must.NoError(b, engine.Start())
	b.Cleanup(engine.Stop)
	c := &nbhttp.ClientConn{Engine: engine, Timeout: time.Second}
	return func() error {
		done := make(chan error, 1)
		c.Do(newRequest(address), func(resp *http.Response, _ net.Conn, err error) {
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			done <- err
		})
		return <-done
	}
}
