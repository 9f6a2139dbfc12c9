package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/queue"
	"samphirewell/internal/wire"
)

const (
	maxNameLength = 64                  // bytes of a team, service or method
	maxKeyLength  = 128                 // bytes of an idempotency key or a content type
	maxAttempt    = 1000                // number of an attempt
	maxDurationMs = 24 * 60 * 60 * 1000 // age of the first attempt, or time left until the deadline
)

// call is a validated request of a caller.
type call struct {
	Team, Service, Method string
	Class                 queue.Class
	Deadline              time.Time
	Key                   string
	Attempt               int
	FirstAttemptAge       time.Duration
	Repeatable            bool
	ContentType           string
	Body                  []byte
}

// scopedKey is the key under which a call is claimed. It includes the team, service and method, so that no team can read the stored answer of
// another team, and a key that is reused for another method does not return the answer of the first method.
func (c *call) scopedKey() string {
	return c.Team + "/" + c.Service + "/" + c.Method + "/" + c.Key
}

// parseCall validates the path and the headers of a call that arrived at now. The error names the header or the path.
func parseCall(path string, h http.Header, now time.Time, timeout time.Duration) (*call, error) {
	c := &call{Class: queue.Normal, Attempt: 1}
	service, method, ok := strings.Cut(strings.TrimPrefix(path, wire.PathCall), "/")
	if !ok || !validName(service) || !validName(method) {
		return nil, errors.New("path is not " + wire.PathCall + "service/method")
	}
	c.Service, c.Method = service, method
	p := headerParser{h: h}
	if c.Team = p.text(wire.HeaderTeam, maxNameLength); !validName(c.Team) {
		p.fail(wire.HeaderTeam, "is missing or not a name")
	}
	if s := p.text(wire.HeaderClass, maxNameLength); s != "" {
		var err error
		if c.Class, err = queue.ParseClass(s); err != nil {
			p.fail(wire.HeaderClass, err.Error())
		}
	}
	c.Deadline = now.Add(p.deadline(timeout))
	c.Key = p.text(wire.HeaderIdempotencyKey, maxKeyLength)
	c.Attempt = int(p.number(wire.HeaderAttempt, 1, 1, maxAttempt))
	c.FirstAttemptAge = time.Duration(p.number(wire.HeaderFirstAttemptAgeMs, 0, 0, maxDurationMs)) * time.Millisecond
	c.Repeatable = p.flag(wire.HeaderRepeatable)
	c.ContentType = p.text("Content-Type", maxKeyLength)
	p.checkNonRepeatable(c)
	return c, p.err
}

// headerParser reads header fields and keeps the first error.
type headerParser struct {
	h   http.Header
	err error
}

func (p *headerParser) fail(name, what string) {
	if p.err == nil {
		p.err = errors.Errorf("header %s %s", name, what)
	}
}

// text returns the only value of a field, or "" when it is missing.
func (p *headerParser) text(name string, limit int) string {
	values := p.h[name]
	if len(values) == 0 {
		return ""
	}
	if len(values) > 1 {
		p.fail(name, "is given more than once")
		return ""
	}
	v := strings.TrimSpace(values[0])
	if len(v) > limit || !printable(v) {
		p.fail(name, "is too long or not printable ASCII")
		return ""
	}
	return v
}

func (p *headerParser) number(name string, fallback, low, high int64) int64 {
	s := p.text(name, maxNameLength)
	if s == "" {
		return fallback
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < low || n > high {
		p.fail(name, "is not a number in the range "+strconv.FormatInt(low, 10)+" to "+strconv.FormatInt(high, 10))
		return fallback
	}
	return n
}

func (p *headerParser) deadline(timeout time.Duration) time.Duration {
	ms := p.number(wire.HeaderDeadlineMs, timeout.Milliseconds(), 1, maxDurationMs)
	return min(time.Duration(ms)*time.Millisecond, MaxCallTime)
}

func (p *headerParser) flag(name string) bool {
	switch p.text(name, maxNameLength) {
	case "true":
		return true
	case "", "false":
		return false
	}
	p.fail(name, "is not true or false")
	return false
}

// checkNonRepeatable requires the fields that prevent a non-repeatable call from running twice.
func (p *headerParser) checkNonRepeatable(c *call) {
	if c.Repeatable {
		return
	}
	if c.Key == "" {
		p.fail(wire.HeaderIdempotencyKey, "is missing; a call that is not repeatable needs it")
	}
	if c.Attempt > 1 && len(p.h[wire.HeaderFirstAttemptAgeMs]) == 0 {
		p.fail(wire.HeaderFirstAttemptAgeMs, "is missing; a second attempt needs it")
	}
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
