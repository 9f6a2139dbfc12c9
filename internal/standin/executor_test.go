package standin

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/wire"
)

// Guards against injected faults that the caller does not see as documented in ExecutorFaults.
func TestExecutorFaultsOnTheWire(t *testing.T) {
	want := string(ExpectedResponse("orders", "price", []byte("body")))
	cases := map[string]struct {
		faults ExecutorFaults
		check  func(t *testing.T, r callResponse, err error)
	}{
		"fail all": {ExecutorFaults{FailAll: true}, func(t *testing.T, r callResponse, err error) {
			must.NoError(t, err)
			must.Eq(t, http.StatusInternalServerError, r.status)
			must.Eq(t, "c", r.header.Get(wire.HeaderCallID))
		}},
		"wrong echo": {ExecutorFaults{WrongEcho: true}, func(t *testing.T, r callResponse, err error) {
			must.NoError(t, err)
			must.NotEq(t, "c", r.header.Get(wire.HeaderCallID))
			must.NotEq(t, want, r.body)
		}},
		"truncated body": {ExecutorFaults{TruncateBody: true}, func(t *testing.T, r callResponse, err error) {
			must.Error(t, err)
			must.Eq(t, "c", r.header.Get(wire.HeaderCallID))
			must.Eq(t, want[:len(want)/2], r.body)
		}},
		"connection closed": {ExecutorFaults{CloseAfterRun: true}, func(t *testing.T, _ callResponse, err error) { must.Error(t, err) }},
		"late": {ExecutorFaults{ResponseDelay: time.Millisecond}, func(t *testing.T, r callResponse, err error) {
			must.NoError(t, err)
			must.Eq(t, want, r.body)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := startExecutor(t, ExecutorConfig{})
			e.SetFaults(c.faults)
			r, err := sendCall(t, newHTTPClient(t), e, "c", "body")
			c.check(t, r, err)
			must.Len(t, 1, e.Runs())
		})
	}
}

// startHangingCalls sends n calls that hang in a slot each, and returns once all have started.
func startHangingCalls(t *testing.T, e *Executor, n int) (finished chan callResponse) {
	e.SetFaults(ExecutorFaults{Hang: true})
	client := newHTTPClient(t)
	finished = make(chan callResponse, n)
	for i := range n {
		go func() {
			r, _ := sendCall(t, client, e, "hanging-"+strconv.Itoa(i), "")
			finished <- r
		}()
	}
	waitUntil(t, func() bool { return e.Stats().Started == uint64(n) })
	return finished
}

// waitUntil polls a condition until it is true; the test fails if that takes longer than testTimeout.
func waitUntil(t *testing.T, condition func() bool) {
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(deadline), must.Sprint("condition did not become true"))
	}
}

// Guards against an executor that starts more calls than it has slots, or loses a slot after a hang.
func TestFullExecutorRefusesAsNotStarted(t *testing.T) {
	e := startExecutor(t, ExecutorConfig{})
	finished := startHangingCalls(t, e, DefaultSlots)
	r, err := sendCall(t, newHTTPClient(t), e, "ninth", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.Eq(t, "true", r.header.Get(wire.HeaderNotStarted))
	must.Eq(t, "0", r.header.Get(wire.HeaderFreeSlots))
	must.MapNotContainsKey(t, RunsByKey(e), "key-ninth")

	e.SetFaults(ExecutorFaults{})
	for range DefaultSlots {
		must.Eq(t, http.StatusOK, (<-finished).status)
	}
	r, err = sendCall(t, newHTTPClient(t), e, "tenth", "")
	must.NoError(t, err)
	must.Eq(t, "8", r.header.Get(wire.HeaderFreeSlots))
	must.Eq(t, DefaultSlots, e.Stats().MaxBusySlots)
}

// Guards against a leaving executor that starts new calls or breaks running ones.
func TestLeavingExecutorFinishesAndRefuses(t *testing.T) {
	e := startExecutor(t, ExecutorConfig{})
	finished := startHangingCalls(t, e, 1)
	e.SetLeaving(true)
	r, err := sendCall(t, newHTTPClient(t), e, "new", "")
	must.NoError(t, err)
	must.Eq(t, "true", r.header.Get(wire.HeaderNotStarted))
	must.Eq(t, "true", r.header.Get(wire.HeaderLeaving))
	must.Eq(t, uint64(1), e.Stats().ArrivedWhileLeaving)

	e.SetFaults(ExecutorFaults{})
	running := <-finished
	must.Eq(t, http.StatusOK, running.status)
	must.Eq(t, "true", running.header.Get(wire.HeaderLeaving))
}

// Guards against an executor that accepts any number of connections, or that never accepts again after the limit.
func TestExecutorLimitsConnections(t *testing.T) {
	e := startExecutor(t, ExecutorConfig{ConnLimit: 2})
	var held []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", e.Addr())
		must.NoError(t, err)
		held = append(held, c)
	}
	waitUntil(t, func() bool { return e.openConns.Load() == 2 })
	_, err := sendCall(t, newHTTPClient(t), e, "third", "")
	must.Error(t, err)
	must.Positive(t, e.Stats().ConnsDenied)
	must.NoError(t, held[0].Close())
	waitUntil(t, func() bool { return e.openConns.Load() == 1 })
	_, err = sendCall(t, newHTTPClient(t), e, "fourth", "")
	must.NoError(t, err)
	must.NoError(t, held[1].Close())
}

// Guards against a restarted server that cannot listen on its old address, and against a Close that hangs when it follows the start directly.
func TestExecutorRestartsOnItsAddress(t *testing.T) {
	client := newHTTPClient(t)
	address := ""
	for range 5 {
		e := startExecutor(t, ExecutorConfig{Address: address})
		address = e.Addr()
		client.CloseIdleConnections()
		r, err := sendCall(t, client, e, "c", "")
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, r.status)
		e.Close()
		_, err = sendCall(t, client, e, "c", "")
		must.Error(t, err)
	}
}

// Guards against service times that differ between runs with the same seed.
func TestServiceTimesFollowTheSeed(t *testing.T) {
	draw := func(seed uint64) []time.Duration {
		dist := ServiceTime{Median: time.Second, Sigma: 1, Max: 3 * time.Second}
		e := startExecutor(t, ExecutorConfig{Seed: seed, Methods: map[string]ServiceTime{"price": dist}})
		var times []time.Duration
		for range 20 {
			times = append(times, e.drawServiceTime("price"))
			must.LessEq(t, 3*time.Second, times[len(times)-1])
			must.Eq(t, 0, e.drawServiceTime("other"))
		}
		return times
	}
	must.Eq(t, draw(1), draw(1))
	must.NotEq(t, draw(1), draw(2))
}

// Guards against a fault rate that applies to all calls or to none.
func TestFaultRateHitsSomeCalls(t *testing.T) {
	e := startExecutor(t, ExecutorConfig{Seed: 1})
	e.SetFaults(ExecutorFaults{FailAll: true, Rate: 0.5})
	failed := 0
	for range 100 {
		if e.drawFaults().FailAll {
			failed++
		}
	}
	must.Between(t, 30, failed, 70)
}
