package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"samphirewell/internal/outcome"
	"samphirewell/internal/wire"
)

const (
	teamExecutors = 8   // 64 slots
	teamCallRate  = 200 // calls a second of all teams together; constant, so that only the number of teams varies
	callTimeout   = time.Second
	// claimSettle exceeds callkey.MaxTransit, the time after a start in which a key owner grants no first attempt.
	claimSettle   = 11 * time.Second
	teamSettle    = time.Second     // until the shares have followed the demand
	initialSettle = 4 * time.Second // until quota units have moved between domains twice
)

// caller makes calls at a fixed rate, distributed round-robin over all hosts.
type caller struct {
	hosts      []string
	teams      int // number of teams, from the start of the lists, that make calls round-robin
	repeatable bool
	client     *http.Client
	calls      atomic.Int64
	answered   atomic.Int64
}

func newCaller(d *deployment, teams int, repeatable bool) *caller {
	c := &caller{teams: teams, repeatable: repeatable, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 2 * callTimeout}}
	for _, h := range d.hosts {
		c.hosts = append(c.hosts, h.CallerAddr())
	}
	return c
}

// start makes rate calls a second until stop is called.
func (c *caller) start(rate int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				n := c.calls.Add(1)
				running.Go(func() { c.call(int(n)) })
			}
		}
	})
	return func() {
		cancel()
		running.Wait()
		c.client.CloseIdleConnections()
	}
}

func (c *caller) call(n int) {
	url := "http://" + c.hosts[n%len(c.hosts)] + wire.PathCall + service + "/check"
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		panic("malformed address of an entry host: " + err.Error())
	}
	for name, value := range map[string]string{
		wire.HeaderTeam: teamName(n / len(c.hosts) % c.teams), wire.HeaderClass: "normal",
		wire.HeaderDeadlineMs: strconv.Itoa(int(callTimeout.Milliseconds())), wire.HeaderIdempotencyKey: fmt.Sprintf("%p-%d", c, n),
		wire.HeaderAttempt: "1", wire.HeaderFirstAttemptAgeMs: "0", wire.HeaderRepeatable: strconv.FormatBool(c.repeatable),
	} {
		req.Header.Set(name, value)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.Header.Get(wire.HeaderOutcome) == outcome.Answered.String() {
		c.answered.Add(1)
	}
}

// measureTeams measures the traffic for plan limits: half of the teams are active, and all of them together make the same number of calls a
// second at any number of teams. It then measures the claims of non-repeatable calls in the same deployment, as soon as its key owners grant
// first attempts.
func measureTeams(ctx context.Context, o Options, r *Report) error {
	if len(o.Teams) == 0 {
		return nil
	}
	d, err := deploy(ctx, layout{Domains: 2, Hosts: 2, Teams: o.Teams[0], Executors: teamExecutors})
	if err != nil {
		return err
	}
	defer d.close()
	began := time.Now()
	stopCalls := newCaller(d, max(1, o.Teams[0]/2), true).start(teamCallRate)
	pause(ctx, initialSettle)
	stopCalls()
	for _, teams := range o.Teams {
		d.layout.Teams = teams
		if _, err := d.changeLists(ctx); err != nil {
			return err
		}
		if err := r.measureTeamCount(ctx, o, teams, d); err != nil {
			return err
		}
	}
	jobs := make(chan error, 1)
	go func() { jobs <- measureJobs(ctx, o, r) }() // jobs and claims run concurrently, since neither measures processor time or memory
	pause(ctx, claimSettle-time.Since(began))
	err = r.measureClaims(ctx, o, d)
	if jobsErr := <-jobs; err == nil {
		err = jobsErr
	}
	return err
}

func (r *Report) measureTeamCount(ctx context.Context, o Options, teams int, d *deployment) error {
	const size = "teams, half of them active"
	pause(ctx, o.Settle)
	r.series(groupTeams, "heap", "B per host", size).add(float64(teams), float64(d.heapPerHost()))
	c := newCaller(d, max(1, teams/2), true)
	stop := c.start(teamCallRate)
	defer stop()
	pause(ctx, teamSettle)
	calls, answered := c.calls.Load(), c.answered.Load()
	for range o.Repeats {
		w, err := d.measureWindow(ctx, o.Window)
		if err != nil {
			return err
		}
		r.recordWindow(groupTeams, size, float64(teams), w) // the processor time includes that of the callers and executors
	}
	r.series(groupTeams, "answered calls", "share", size).add(float64(teams), float64(c.answered.Load()-answered)/float64(max(1, c.calls.Load()-calls)))
	return nil
}

// measureClaims measures the claims that non-repeatable calls send to key owners. Half of the claims go to the other host of the domain.
func (r *Report) measureClaims(ctx context.Context, o Options, d *deployment) error {
	for _, rate := range o.CallRates {
		c := newCaller(d, baseTeams, false)
		stop := c.start(rate)
		pause(ctx, o.Window/2)
		for range o.Repeats {
			calls := c.answered.Load()
			w, err := d.measureWindow(ctx, o.Window)
			if err != nil {
				stop()
				return err
			}
			r.recordClaims(float64(rate), float64(c.answered.Load()-calls)/w.seconds, w)
		}
		stop()
	}
	return nil
}

func (r *Report) recordClaims(rate, answered float64, w window) {
	const size = "non-repeatable calls a second, 2 domains of 2 hosts"
	add := func(name, unit string, v float64) { r.series(groupClaims, name, unit, size).add(rate, v) }
	add("answered calls", "1/s", answered)
	add("peer messages", "1/s, all hosts", sum(w.messages)/w.seconds)
	add("peer bytes", "B/s, all hosts", sum(w.bytes)/w.seconds)
}
