package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"samphirewell/internal/batch"
)

// maxMS bounds the times of a configuration in milliseconds: ten years, as for the times of a step.
const maxMS = int64(10 * 365 * 24 * time.Hour / time.Millisecond)

// Options are what a configuration is checked against.
type Options struct {
	Accelerators int64   // capacity of the fleet; 0 if not known
	InForce      *Config // the version in force; nil if not known
}

// Check returns what is wrong with a configuration, in the order of the lines.
func Check(d *Document, o Options) []Finding {
	c := &checker{cfg: &d.Config, doc: d}
	c.version(o.InForce)
	c.queues()
	c.routes()
	c.services()
	c.teams()
	c.guarantees(o.Accelerators)
	c.bodyLimit()
	return d.sortFindings(append(slices.Clone(d.Problems), c.findings...))
}

type checker struct {
	cfg      *Config
	doc      *Document
	findings []Finding
}

// add adds a finding, unless the value at its path or an entry around it could not be decoded: that is already reported.
func (c *checker) add(severity Severity, code, path, format string, args ...any) {
	if slices.ContainsFunc(c.doc.Problems, func(p Finding) bool { return p.Severity == Error && (p.Path == "/" || within(path, p.Path)) }) {
		return
	}
	c.findings = append(c.findings, Finding{Severity: severity, Code: code, Path: path, Reason: fmt.Sprintf(format, args...)})
}

// within reports whether the value at path is that at parent or below it.
func within(path, parent string) bool { return path == parent || strings.HasPrefix(path, parent+"/") }

func (c *checker) version(inForce *Config) {
	v := c.cfg.Version
	if v.V < 1 {
		c.add(Error, "version", v.Path, "missing or not positive; hosts take a configuration only if its version is newer than the one in force")
		return
	}
	if inForce != nil && v.V <= inForce.Version.V {
		c.add(Error, "version_not_newer", v.Path, "version %d isn't newer than version %d, which is in force; hosts would ignore it", v.V, inForce.Version.V)
	}
}

func (c *checker) queues() {
	c.names("queue", "queue_twice", len(c.cfg.Queues), func(i int) Value[string] { return c.cfg.Queues[i].Name })
	hasKeys := slices.ContainsFunc(c.cfg.Teams, func(t Team) bool { return len(t.Keys) > 0 }) ||
		slices.ContainsFunc(c.doc.Problems, func(p Finding) bool { return p.Severity == Error && within(p.Path, c.cfg.TeamsPath) })
	for i := range c.cfg.Queues {
		q := &c.cfg.Queues[i]
		if !q.Public.V && !hasKeys {
			c.add(Error, "no_caller", q.Path, "the queue isn't public and no team has a key, so nobody can use it")
		}
		if q.Priority.V < 0 {
			c.add(Error, "priority", q.Priority.Path, "priority %d is negative; 0 is the most urgent", q.Priority.V)
		}
		if q.Attempts.V < 1 {
			c.add(Error, "attempts", q.Attempts.Path, "%d attempts; a task needs at least one, and hosts use 1", q.Attempts.V)
		}
		c.advice(q)
		c.objective(q)
	}
}

// names reports names that are missing or held twice.
func (c *checker) names(kind, code string, n int, at func(int) Value[string]) {
	first := map[string]string{}
	for i := range n {
		name := at(i)
		switch other, ok := first[name.V]; {
		case name.V == "":
			c.add(Error, "no_name", name.Path, "the %s has no name", kind)
		case ok:
			c.add(Error, code, name.Path, "the name %q is held by %s as well", name.V, other)
		default:
			first[name.V] = name.Path
		}
	}
}

// milliseconds returns a time of the configuration and whether it is in range; one that isn't is reported.
func (c *checker) milliseconds(v Value[int64]) (time.Duration, bool) {
	if v.V < 0 || v.V > maxMS {
		c.add(Error, "out_of_range", v.Path, "%d ms is not between 0 and %d ms (10 years)", v.V, maxMS)
		return 0, false
	}
	return time.Duration(v.V) * time.Millisecond, true
}

// adviceTimes returns the times of the adviser, and whether they are in range.
func (c *checker) adviceTimes(a *Advice) (batch.AdvicePolicy, bool) {
	perRequest, ok1 := c.milliseconds(a.PerRequestMS)
	perWorker, ok2 := c.milliseconds(a.PerWorkerMS)
	ttl, ok3 := c.milliseconds(a.TicketTTLMS)
	return batch.AdvicePolicy{PerRequest: perRequest, PerWorker: perWorker, TicketTTL: ttl}, ok1 && ok2 && ok3
}

// advice checks that tickets live longer than the request that yields them takes. A ticket is valid from the time its request is sent.
func (c *checker) advice(q *Queue) {
	if !q.Advice.Given {
		return
	}
	a, ok := c.adviceTimes(&q.Advice)
	if !ok {
		return
	}
	n := a.WorkersPerRequest()
	shortest, usual := adviceTime(a, 1), adviceTime(a, n)
	switch {
	case shortest+batch.TicketMargin >= a.TicketTTL:
		c.add(Error, "ticket_expires", q.Advice.TicketTTLMS.Path, "a ticket is valid for %v, but a request for one worker takes %v and %v have to be left, so no ticket can be used",
			a.TicketTTL, shortest, batch.TicketMargin)
	case usual+batch.TicketMargin >= a.TicketTTL:
		c.add(Warning, "ticket_expires_early", q.Advice.TicketTTLMS.Path, "a ticket is valid for %v, but a request for %d workers, the number that hosts name, takes %v and %v have to be left",
			a.TicketTTL, n, usual, batch.TicketMargin)
	}
}

// adviceTime returns how long the adviser takes for a request with n workers.
func adviceTime(a batch.AdvicePolicy, n int) time.Duration {
	return a.PerRequest + time.Duration(n)*a.PerWorker
}

// objective checks that some job can meet its objective. A job whose longest chain of work takes w ends at w plus the time of one advice request at the
// earliest, and its objective is Stretch*w + Target.
func (c *checker) objective(q *Queue) {
	target, ok := c.milliseconds(q.TargetMS)
	if q.Stretch.V < 0 {
		c.add(Error, "stretch", q.Stretch.Path, "stretch %g is negative", q.Stretch.V)
		return
	}
	var wait time.Duration
	if ok && q.Advice.Given {
		a, inRange := c.adviceTimesQuietly(&q.Advice)
		wait, ok = adviceTime(a, 1), inRange
	}
	if !ok {
		return
	}
	// A wrong value of either field is reported there.
	path := q.Stretch.Path
	if q.Stretch.V == 1 || !q.Stretch.Given {
		path = q.TargetMS.Path
	}
	switch {
	case q.Stretch.V <= 1 && target <= wait:
		reason := ""
		if wait > 0 {
			reason = fmt.Sprintf(", and advice on workers takes %v", wait)
		}
		c.add(Error, "objective", path, "no job can meet its objective: it is %g times the longest chain of work plus %v%s", q.Stretch.V, target, reason)
	case q.Stretch.V > 0 && q.Stretch.V < 1:
		longest := float64((target - wait).Milliseconds()) / (1 - q.Stretch.V)
		c.add(Warning, "objective_short", path, "no job whose longest chain of work takes more than %.4g s can meet its objective, since the stretch is below 1", longest/1000)
	}
}

// adviceTimesQuietly is adviceTimes without findings, which advice has already added.
func (c *checker) adviceTimesQuietly(a *Advice) (batch.AdvicePolicy, bool) {
	n := len(c.findings)
	p, ok := c.adviceTimes(a)
	c.findings = c.findings[:n]
	return p, ok
}

// routes checks the hosts and prefixes, by which a request finds its queue: the longest prefix of the path on the host, and the first of equal ones.
func (c *checker) routes() {
	for i := range c.cfg.Queues {
		q := &c.cfg.Queues[i]
		if q.Host.V == "" || strings.ContainsAny(q.Host.V, "/ \t@?#") {
			c.add(Error, "host", q.Host.Path, "%q is not a host name, so no request matches", q.Host.V)
		}
		switch {
		case q.Prefix.V == "":
			c.add(Error, "prefix", q.Prefix.Path, "the prefix is empty; the id of a job would begin with a slash, which hosts refuse")
		case q.Prefix.V[0] != '/':
			c.add(Error, "prefix", q.Prefix.Path, "the prefix %q doesn't begin with a slash, so no path matches", q.Prefix.V)
		case !strings.HasSuffix(q.Prefix.V, "/"):
			c.add(Warning, "prefix_without_slash", q.Prefix.Path, "the prefix %q doesn't end with a slash; hosts refuse ids that begin with one, so that ids have to follow directly", q.Prefix.V)
		}
		for j := range c.cfg.Queues {
			if i != j {
				c.routePair(q, &c.cfg.Queues[j], i < j)
			}
		}
	}
}

// routePair reports requests for q that reach other instead. first tells whether q is before other.
func (c *checker) routePair(q, other *Queue, first bool) {
	if q.Host.V != other.Host.V || q.Host.V == "" || q.Prefix.V == "" {
		return
	}
	rest, ok := strings.CutPrefix(other.Prefix.V, q.Prefix.V)
	switch {
	case !ok || rest == "" && first:
	case rest == "":
		c.add(Error, "route_twice", q.Path, "host and prefix are those of %s, which gets all requests", other.Path)
	case rest == "/":
		// The part of the path after the prefix "/a" begins with a slash for all requests under "/a/", and an id contains none.
		c.add(Error, "route_shadowed", q.Path, "requests under %q reach %s, whose prefix is longer", other.Prefix.V, other.Path)
	case !strings.Contains(rest, "/"): // else no id can begin with the rest
		c.add(Warning, "route_shadowed_in_part", q.Path, "requests for ids that begin with %q reach %s, whose prefix is longer", rest, other.Path)
	}
}

func (c *checker) services() {
	c.names("service", "service_twice", len(c.cfg.Services), func(i int) Value[string] { return c.cfg.Services[i].Name })
	defined, used := map[string]bool{}, map[string]bool{}
	for i := range c.cfg.Services {
		defined[c.cfg.Services[i].Name.V] = true
	}
	for i := range c.cfg.Queues {
		s := c.cfg.Queues[i].Service
		used[s.V] = true
		if s.V == "" || !defined[s.V] {
			c.add(Error, "undefined_service", s.Path, "the service %q isn't defined", s.V)
		}
	}
	for i := range c.cfg.Services {
		// A pool that is switched off needs no route until it is used.
		if s := &c.cfg.Services[i]; s.Name.V != "" && !used[s.Name.V] && !s.PoweredOff.V {
			c.add(Warning, "unused_service", s.Path, "no route leads to the service %q", s.Name.V)
		}
	}
}

func (c *checker) teams() {
	c.names("team", "team_twice", len(c.cfg.Teams), func(i int) Value[string] { return c.cfg.Teams[i].Name })
	type holder struct {
		team int
		path string
	}
	held := map[string]holder{}
	for i := range c.cfg.Teams {
		t := &c.cfg.Teams[i]
		if len(t.Keys) == 0 {
			c.add(Warning, "no_keys", t.KeysPath, "the team %q has no keys, so no caller can act for it", t.Name.V)
		}
		for _, k := range t.Keys {
			other, ok := held[k.V]
			switch {
			case k.V == "":
				c.add(Error, "empty_key", k.Path, "the key is empty; every request without a key would count for this team")
				continue
			case ok && other.team == i:
				c.add(Warning, "key_twice", k.Path, "the team holds the same key at %s", other.path)
			case ok:
				c.add(Error, "key_of_two_teams", k.Path, "another team holds the same key at %s; hosts count its requests for the last team that holds it", other.path)
			}
			held[k.V] = holder{i, k.Path}
		}
	}
}

// guarantees checks the accelerators that are guaranteed to teams for their jobs of priority 0.
func (c *checker) guarantees(capacity int64) {
	urgent := slices.ContainsFunc(c.cfg.Queues, func(q Queue) bool { return q.Priority.V == 0 })
	var sum int64
	for i := range c.cfg.Teams {
		g := c.cfg.Teams[i].GuaranteedAccelerators
		switch {
		case g.V < 0 || g.V > maxAccelerators:
			c.add(Error, "guarantee", g.Path, "%d guaranteed accelerators are out of range", g.V)
			continue
		case g.V > 0 && !urgent:
			c.add(Warning, "unused_guarantee", g.Path, "guarantees hold for jobs of priority 0, and no queue has this priority")
		}
		if capacity > 0 && g.V > capacity {
			c.add(Error, "guarantee_above_capacity", g.Path, "%d accelerators are guaranteed to the team %q, and the fleet has %d", g.V, c.cfg.Teams[i].Name.V, capacity)
		}
		sum += g.V
	}
	if capacity > 0 && sum > capacity {
		c.add(Error, "guarantees_above_capacity", c.cfg.TeamsPath, "%d accelerators are guaranteed in all, and the fleet has %d", sum, capacity)
	}
}

// maxAccelerators bounds a guarantee, as for the resources of workers, so that sums don't overflow.
const maxAccelerators = 1 << 32

func (c *checker) bodyLimit() {
	limit := c.cfg.MaxBodyBytes
	if limit.V < int64(c.doc.SmallestJobBytes) {
		c.add(Error, "body_limit", limit.Path, "no job can be submitted in %d bytes; the shortest one has %d", limit.V, c.doc.SmallestJobBytes)
	}
	if limit.V > int64(c.doc.LargestBodyBytes) {
		c.add(Warning, "body_limit_above_hosts", limit.Path, "hosts read at most %d bytes, less than the limit of %d", c.doc.LargestBodyBytes, limit.V)
	}
}
