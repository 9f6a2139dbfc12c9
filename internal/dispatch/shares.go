package dispatch

import (
	"maps"
	"slices"
	"time"

	"samphirewell/internal/batch"
	"samphirewell/internal/fairshare"
	"samphirewell/internal/waitcost"
)

// scarceAfter is the wait after which a request counts as one that capacity is lacking for: more than two scheduling cycles. New requests wait for their first
// cycle in any case.
const scarceAfter = 2*replanInterval + 100*time.Millisecond

// shareKey identifies a tracker of fair shares.
type shareKey struct {
	service  string
	priority int
}

// teamUse is what the teams of a priority hold and wait for.
type teamUse map[string]*struct{ held, waiting batch.Resources }

func (u teamUse) add(team string, held, waiting batch.Resources) {
	if u[team] == nil {
		u[team] = &struct{ held, waiting batch.Resources }{}
	}
	u[team].held, u[team].waiting = u[team].held.Plus(held), u[team].waiting.Plus(waiting)
}

// useByTeam returns what the teams hold and wait for, by service and priority.
func (c *Core) useByTeam(now time.Duration) map[shareKey]teamUse {
	out := map[shareKey]teamUse{}
	for _, j := range c.liveJobs {
		key := shareKey{c.serviceOf(j), j.Queue.Priority}
		if out[key] == nil {
			out[key] = teamUse{}
		}
		for _, o := range j.occurrences {
			for i, s := range o.steps {
				if s.active == 0 && s.waiting == 0 {
					continue
				}
				need := j.Steps[i].Need
				held, waiting := need.Times(s.active), batch.Resources{}
				if s.waits(now) && !j.ending() {
					waiting = need.Times(s.waiting)
				}
				out[key].add(j.Team, held, waiting)
			}
		}
	}
	return out
}

// waits reports whether a group of the step has been ready for longer than scarceAfter.
func (s *stepState) waits(now time.Duration) bool {
	return s.opened && s.waiting > 0 && slices.ContainsFunc(s.groups, func(g *taskGroup) bool { return now-g.readySince > scarceAfter && g.ready() })
}

// updateShares records what the teams of a service hold and wait for.
func (c *Core) updateShares(service string, use map[shareKey]teamUse, capacity batch.Resources, now time.Duration) {
	for key, tracker := range c.shares {
		if _, ok := use[key]; !ok && key.service == service {
			tracker.Update(nil, now)
		}
	}
	weight := c.teamWeights()
	for key, teams := range use {
		if key.service != service {
			continue
		}
		if c.shares[key] == nil {
			c.shares[key] = &fairshare.Tracker{}
		}
		var loads []fairshare.Load
		for _, team := range slices.Sorted(maps.Keys(teams)) {
			loads = append(loads, fairshare.Load{Team: team, Weight: weight(team), Usage: teams[team].held.DominantShare(capacity),
				Demand: teams[team].waiting.DominantShare(capacity)})
		}
		c.shares[key].Update(loads, now)
	}
}

// teamWeights returns the weights of the teams in the division of capacity: one half the same for each team, one half in proportion to its guarantee. Teams
// without a guarantee still get a part.
func (c *Core) teamWeights() func(team string) float64 {
	sum := 0
	for _, t := range c.policy.Teams {
		sum += t.GuaranteedAccelerators
	}
	return func(team string) float64 {
		return 1 + float64(len(c.policy.Teams)*c.policy.Guarantee(team))/float64(max(1, sum))
	}
}

// SetFairShares sets whether teams below their fair part come first, for comparisons of policies.
func (c *Core) SetFairShares(on bool) { c.sharesDisabled = !on }

// precedence is how the fair parts of the teams change the order of the requests of a priority.
type precedence int8

const (
	first precedence = iota - 1 // in time, of a team that is under its part
	normal
	last // its result would have no worth
)

// precedence returns the precedence of a waiting job. The part of a team is for jobs that will be in time: a late one that comes first makes others late.
func (c *Core) precedence(service string, j *job, w waitcost.Job) precedence {
	switch worth := w.Worth(0); {
	case c.sharesDisabled:
		return normal
	case worth == 0:
		return last
	case worth == waitcost.InTime && c.shareOf(service, j) == fairshare.Under:
		return first
	}
	return normal
}

// shareOf returns the standing of the team of a job at the job's priority.
func (c *Core) shareOf(service string, j *job) fairshare.Standing {
	if t := c.shares[shareKey{service, j.Queue.Priority}]; t != nil {
		return t.Standing(j.Team)
	}
	return fairshare.Even
}

// TeamsByStanding counts teams by their priority and standing.
type TeamsByStanding map[int]map[string]int

// teamsByStanding counts the teams that hold or request capacity. A team counts once for each service in which it does.
func (c *Core) teamsByStanding() TeamsByStanding {
	out := TeamsByStanding{}
	for key, tracker := range c.shares {
		for _, t := range tracker.Teams() {
			if out[key.priority] == nil {
				out[key.priority] = map[string]int{}
			}
			out[key.priority][t.Standing.String()]++
		}
	}
	return out
}

// teamNames returns the names of the teams of a priority with a standing, in order.
func (c *Core) teamNames(priority int, s fairshare.Standing) []string {
	names := []string{}
	for key, tracker := range c.shares {
		if key.priority != priority {
			continue
		}
		for _, t := range tracker.Teams() {
			if t.Standing == s && !slices.Contains(names, t.Team) {
				names = append(names, t.Team)
			}
		}
	}
	slices.Sort(names)
	return names
}
