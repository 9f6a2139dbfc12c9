package standin

import (
	"fmt"
	"net/http"
	"time"

	"samphirewell/internal/wire"
)

// ExecutorFaults are the faults to inject into the calls that an executor starts. The zero value means none.
type ExecutorFaults struct {
	Rate          float64       // fraction of the calls that get the faults below, 0 to 1; 0 means all calls
	Hang          bool          // block the call, which keeps its slot, until the faults change or the executor is closed
	FailAll       bool          // respond with status 500
	SlowFactor    float64       // multiply the service time; 0 means 1
	WrongEcho     bool          // echo another call id and send the response body of another call
	TruncateBody  bool          // close the connection after half of the response body
	CloseAfterRun bool          // close the connection without a response once the call has run
	ResponseDelay time.Duration // time between the end of the run and the response
}

// SetFaults replaces the faults. Hanging calls continue and get a response.
func (e *Executor) SetFaults(f ExecutorFaults) {
	faultsChanged := make(chan struct{})
	e.faults.Store(&f)
	if old := e.faultsChanged.Swap(&faultsChanged); old != nil {
		close(*old)
	}
}

// drawFaults returns the faults of one call, chosen at random with the rate.
func (e *Executor) drawFaults() ExecutorFaults {
	f := *e.faults.Load()
	if f.Rate <= 0 {
		return f
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rng.Float64() < f.Rate {
		return f
	}
	return ExecutorFaults{}
}

// serve runs a call that holds a slot, releases the slot and responds.
func (e *Executor) serve(w http.ResponseWriter, method string, body []byte) {
	faultsChanged := *e.faultsChanged.Load()
	f := e.drawFaults()
	if f.Hang {
		e.awaitFaultChange(faultsChanged)
	}
	serviceTime := e.drawServiceTime(method)
	if f.SlowFactor > 0 {
		serviceTime = time.Duration(float64(serviceTime) * f.SlowFactor)
	}
	e.sleep(serviceTime)
	e.busySlots.Add(-1)
	e.sleep(f.ResponseDelay)
	switch {
	case f.CloseAfterRun:
		dropConn(w)
	case f.TruncateBody:
		e.writeTruncated(w, body)
	case f.FailAll:
		e.writeResponse(w, http.StatusInternalServerError, nil)
	case f.WrongEcho:
		w.Header().Set(wire.HeaderCallID, "other-"+w.Header().Get(wire.HeaderCallID))
		e.writeResponse(w, http.StatusOK, ExpectedResponse("other", method, body))
	default:
		e.writeResponse(w, http.StatusOK, body)
	}
}

func (e *Executor) awaitFaultChange(faultsChanged <-chan struct{}) {
	select {
	case <-faultsChanged:
	case <-e.closed:
	}
}

func (e *Executor) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.closed:
	}
}

// writeTruncated sends a Content-Length for the whole body but only half of the body, and closes the connection.
func (e *Executor) writeTruncated(w http.ResponseWriter, body []byte) {
	conn := hijack(w)
	if conn == nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		wire.HeaderCallID, w.Header().Get(wire.HeaderCallID), len(body), body[:len(body)/2])
	_ = conn.Close()
}
