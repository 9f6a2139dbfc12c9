package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"math"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/clock"
	"samphirewell/internal/outcome"
	"samphirewell/internal/wire"
)

const (
	maxAttempts    = 4                     // attempts of one request, including the first
	resolveDelay   = 50 * time.Millisecond // delay before a retry that is to find out the outcome of an attempt whose response was lost
	retryJitter    = 0.2                   // maximum jitter as a fraction of the delay; spreads the retries of callers
	defaultTimeout = 2 * time.Second       // timeout of a call that sets none
)

// ErrNoBaseURL means that no base URL was given.
var ErrNoBaseURL = errors.New("at least one base URL of an entry host is required")

// Class is the urgency of a call.
type Class string

// Classes of calls, most urgent first.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Batch  Class = "batch"
)

// Call is one service call.
type Call struct {
	Service    string
	Method     string
	Team       string
	Class      Class         // Normal if empty
	Timeout    time.Duration // time for all attempts together; 2 s if 0
	Repeatable bool          // whether the call may run more than once
	Key        string        // idempotency key; a random one if empty
	Body       []byte
}

// Client sends requests to the caller ports of entry hosts, or of the balancer in front of them. It is safe for concurrent use.
type Client struct {
	transport transport
	urls      []string
	clk       clock.Clock
	random    func() float64 // in [0, 1)
}

// New returns a client for the base URLs, for example http://10.0.0.1:7001. Attempts use them in turn. The error is ErrNoBaseURL.
func New(clk clock.Clock, urls ...string) (*Client, error) {
	if len(urls) == 0 {
		return nil, ErrNoBaseURL
	}
	return &Client{transport: newTransport(), urls: urls, clk: clk, random: mathrand.Float64}, nil
}

// NewKey returns a random key of 128 bits for a call, a submission or a change.
func NewKey() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Call makes a call and retries it within its timeout while a retry can help. Every attempt carries the same key, its number and the age of the first
// attempt, so the hosts can recognise a retry and a non-repeatable call is safe to retry. Once an attempt may have run, the outcome is Answered or
// Unknown, even if later attempts are refused.
func (c *Client) Call(ctx context.Context, call Call) outcome.Outcome {
	if call.Timeout <= 0 {
		call.Timeout = defaultTimeout
	}
	if call.Class == "" {
		call.Class = Normal
	}
	if call.Key == "" {
		call.Key = NewKey()
	}
	path := wire.PathCall + call.Service + "/" + call.Method
	return c.sendWithRetries(ctx, call.Timeout, func(ctx context.Context, a attempt) exchangeResult {
		return c.transport.exchange(ctx, http.MethodPost, c.url(a.sequence)+path, callHeader(call, a), call.Body)
	}).outcome
}

// attempt describes one attempt to send a request.
type attempt struct {
	sequence  int           // 1-based number among all attempts
	number    int           // 1-based number that is sent to the host; counts from the first attempt that may have run
	age       time.Duration // since the first attempt that may have run was sent; 0 if none may have run
	remaining time.Duration // time until the deadline
}

func callHeader(call Call, a attempt) http.Header {
	h := http.Header{}
	h.Set(wire.HeaderTeam, call.Team)
	h.Set(wire.HeaderClass, string(call.Class))
	h.Set(wire.HeaderDeadlineMs, milliseconds(a.remaining))
	h.Set(wire.HeaderIdempotencyKey, call.Key)
	h.Set(wire.HeaderAttempt, strconv.Itoa(a.number))
	h.Set(wire.HeaderFirstAttemptAgeMs, milliseconds(a.age))
	h.Set(wire.HeaderRepeatable, strconv.FormatBool(call.Repeatable))
	return h
}

func (c *Client) url(sequence int) string { return c.urls[(sequence-1)%len(c.urls)] }

// sendWithRetries sends a request until it is answered, a retry cannot help, or the remaining time does not allow one. While all
// attempts ended as NotRun, the next one is sent as a first attempt again, because the request cannot have run.
func (c *Client) sendWithRetries(ctx context.Context, timeout time.Duration, send func(context.Context, attempt) exchangeResult) exchangeResult {
	start := c.clk.Now()
	next := attempt{sequence: 1, number: 1}
	firstSent := start // time at which the first attempt that may have run was sent
	var firstUnknown *exchangeResult
	for {
		now := c.clk.Now()
		if firstUnknown == nil {
			firstSent = now
		}
		next.age, next.remaining = now.Sub(firstSent), timeout-now.Sub(start)
		result := sendOnce(ctx, next, send)
		if result.outcome.Kind == outcome.Answered {
			return result
		}
		if result.outcome.Kind == outcome.Unknown && firstUnknown == nil {
			firstUnknown = &result
		}
		delay, retry := c.retryDelay(result.outcome)
		remaining := timeout - c.clk.Now().Sub(start)
		if !retry || next.sequence == maxAttempts || delay >= remaining || !c.wait(ctx, delay) {
			if firstUnknown != nil {
				return *firstUnknown
			}
			return result
		}
		next.sequence++
		if firstUnknown != nil {
			next.number++
		}
	}
}

// sendOnce sends one attempt, bounded by the remaining time.
func sendOnce(ctx context.Context, a attempt, send func(context.Context, attempt) exchangeResult) exchangeResult {
	ctx, cancel := context.WithTimeout(ctx, a.remaining)
	defer cancel()
	return send(ctx, a)
}

// retryDelay returns the delay before the next attempt, and whether another attempt can help.
func (c *Client) retryDelay(o outcome.Outcome) (time.Duration, bool) {
	delay := o.RetryAfter
	if o.Kind == outcome.Unknown && retryMayResolve(o.Reason) {
		delay = resolveDelay
	}
	return delay + time.Duration(c.random()*retryJitter*float64(delay)), delay > 0
}

// retryMayResolve reports whether a retry can turn an unknown outcome into a known one.
func retryMayResolve(reason outcome.Reason) bool {
	return reason == outcome.ConnectionLost || reason == outcome.BadAnswer || reason == outcome.OtherDomain
}

func (c *Client) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.clk.After(d):
		return true
	}
}

func milliseconds(d time.Duration) string {
	return strconv.FormatInt(int64(math.Ceil(float64(d)/float64(time.Millisecond))), 10)
}
