package limits

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/platform"
)

// Times after a plan change, or after a view change while one is in progress, within which the larger of the old and the new limit holds: the lists
// take up to configLag, a new share owner renews old shares for unreadyRenewPeriod, the last lease has to expire, and for concurrency the calls
// admitted before have to end.
const (
	configLag     = 3 * time.Second
	rateSettle    = configLag + unreadyRenewPeriod + rateExpiry
	callsSettle   = rateSettle + MaxCallTime*102/100
	roundingError = 1e-6
)

// checker checks each admitted call against the rate, burst and concurrency limits of its team's plan.
type checker struct {
	s         *sim
	running   map[string]int
	total     map[string]int
	history   map[string][]planVersion
	envelopes map[string]*envelope
	errs      []string
}

type planVersion struct {
	previousEnds time.Duration // from when on the plan before is no longer in force
	plan         Plan
}

// envelope is a leaky bucket in true time: it overflows exactly when some window exceeds rate x T + burst.
type envelope struct {
	plan   Plan
	level  float64 // calls in the bucket as of at
	at     time.Duration
	nextAt time.Duration // start of the next plan's envelope, 0 for none
	next   Plan
}

func newChecker(s *sim) *checker {
	c := &checker{s: s, running: map[string]int{}, total: map[string]int{}, history: map[string][]planVersion{}, envelopes: map[string]*envelope{}}
	for name, p := range s.plans {
		c.history[name] = []planVersion{{0, p}}
		c.envelopes[name] = &envelope{plan: p}
	}
	return c
}

// planChanged records a plan change; windows that span it are checked against the larger limits.
func (c *checker) planChanged(name string, p Plan) {
	c.history[name] = append(c.history[name], planVersion{c.s.now + callsSettle, p})
	e := c.envelopes[name]
	if e == nil {
		c.envelopes[name] = &envelope{plan: p, at: c.s.now}
		return
	}
	e.plan = Plan{Rate: max(e.plan.Rate, p.Rate), Burst: max(e.plan.Burst, p.Burst)}
	e.nextAt, e.next = c.s.now+rateSettle, p
}

// viewChanged extends the time of the plan changes that are in progress.
func (c *checker) viewChanged() {
	for _, h := range c.history {
		for i := range h {
			if h[i].previousEnds > c.s.now {
				h[i].previousEnds = c.s.now + callsSettle
			}
		}
	}
	for _, e := range c.envelopes {
		if e.nextAt > c.s.now {
			e.nextAt = c.s.now + rateSettle
		}
	}
}

func (c *checker) started(name string) {
	c.running[name]++
	c.total[name]++
	limit := 0
	for i, h := range c.history[name] {
		if i+1 < len(c.history[name]) && c.history[name][i+1].previousEnds < c.s.now {
			continue
		}
		limit = max(limit, h.plan.Calls)
	}
	if c.running[name] > limit {
		c.fail("%s: %d calls run, limit %d", name, c.running[name], limit)
	}
	e := c.envelopes[name]
	if e.nextAt > 0 && c.s.now > e.nextAt {
		e = &envelope{plan: e.next, at: c.s.now}
		c.envelopes[name] = e
	}
	e.level = max(0, e.level-e.plan.Rate*(c.s.now-e.at).Seconds()) + 1
	e.at = c.s.now
	if e.level > float64(e.plan.burst())+roundingError {
		c.fail("%s: %.3f calls above rate x T, burst %d", name, e.level, e.plan.burst())
	}
}

func (c *checker) ended(name string) { c.running[name]-- }

func (c *checker) fail(format string, args ...any) {
	if len(c.errs) < 5 {
		c.errs = append(c.errs, fmt.Sprintf("at %v: ", c.s.now)+fmt.Sprintf(format, args...))
	}
}

// simTable simulates the platform's table with delays, lost responses, late writes and outages per domain.
type simTable struct {
	s           *sim
	row         api.TableRow
	previous    api.TableRow // served by stale reads
	down        map[string]bool
	lossRate    float64 // probability that a request or a response is lost
	maxLateness time.Duration
	writes      int
	attempts    int
	reads       int
	requests    []*loggedRequest
}

var errTimeout = errors.Wrap(platform.ErrUncertain, "stand-in")

// serve handles the table request of a host, if one is due, as Node.Run does.
func (t *simTable) serve(h *simHost) {
	req, ok := h.node.NextTableRequest(h.clock())
	if !ok {
		return
	}
	answered := false
	answer := func(rows []api.TableRow, committed bool, err error) {
		if h.alive && !answered {
			answered = true
			if bad := h.node.OnTableResponse(req, rows, committed, err, h.clock()); bad != nil {
				t.s.check.fail("%v", bad)
			}
			h.handleSignal()
		}
	}
	entry := &loggedRequest{h.domain, req.Txn != nil, t.s.now}
	t.requests = append(t.requests, entry)
	t.s.after(tableTimeout, func() { answer(nil, false, errTimeout) })
	if t.down[h.domain] || t.s.rng.Float64() < t.lossRate {
		return
	}
	arrive := t.s.latency()
	if t.maxLateness > 0 {
		arrive += time.Duration(t.s.rng.Int64N(int64(t.maxLateness)))
	}
	t.s.after(arrive, func() {
		rows, committed := t.apply(req)
		entry.write = committed
		if t.s.rng.Float64() >= t.lossRate {
			t.s.after(t.s.latency(), func() { answer(rows, committed, nil) })
		}
	})
}

type loggedRequest struct {
	domain string
	write  bool
	at     time.Duration
}

// mostPerSecond returns the highest number of writes, or of other requests, that one domain made within a second.
func (t *simTable) mostPerSecond(writes bool) int {
	highest := 0
	for i, first := range t.requests {
		n := 0
		for _, l := range t.requests[i:] {
			if l.domain == first.domain && l.write == writes && first.write == writes && l.at-first.at < 990*time.Millisecond { // clock rates differ
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

func (t *simTable) apply(req TableRequest) (rows []api.TableRow, committed bool) {
	if req.Txn == nil {
		t.reads++
		if t.maxLateness > 0 && t.s.rng.IntN(2) == 0 {
			return []api.TableRow{t.previous}, false
		}
		return []api.TableRow{t.row}, false
	}
	t.attempts++
	if req.Txn.Conditions[0].Version == t.row.Version {
		t.previous = t.row
		t.row = api.TableRow{Key: RowKey, Version: t.row.Version + 1, Value: req.Txn.Writes[0].Value}
		t.writes++
		committed = true
		t.checkSums()
	}
	return []api.TableRow{t.row}, committed
}

func (t *simTable) checkSums() {
	var row api.ShareRow
	if err := json.Unmarshal([]byte(t.row.Value), &row); err != nil {
		t.s.check.fail("row: %v", err)
	}
	for _, team := range row.Teams {
		sum := 0
		for _, d := range team.Domains {
			sum += d.Units
			if d.Units < MinQuotaUnits && d.Units != 0 {
				t.s.check.fail("%s in %s has %d units", team.Team, d.Domain, d.Units)
			}
		}
		if sum > QuotaUnits {
			t.s.check.fail("%s has %d units", team.Team, sum)
		}
	}
}

// count adds the size of a message on the wire.
func (s *sim) count(message any) {
	text, err := json.Marshal(message)
	if err != nil {
		s.check.fail("marshal: %v", err)
	}
	s.bytes += len(text)
	s.msgs++
}
