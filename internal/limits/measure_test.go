package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// offer makes calls of a team at a rate; host returns the host of each call.
func (s *sim) offer(team string, host func() *simHost, rate float64, length time.Duration) {
	var next func()
	next = func() {
		host().call(team, length)
		s.after(time.Duration(float64(time.Second)/rate), next)
	}
	next()
}

// measureRate runs the simulation for d. It returns the fraction of the plan's rate that is admitted in the last 20 s, and the number of the first
// second in which at least 95% was admitted, or -1.
func (s *sim) measureRate(team string, d time.Duration) (fraction float64, reached int) {
	reached = -1
	sum, seconds := 0, int(d/time.Second)
	for i := range seconds {
		before := s.check.total[team]
		s.run(time.Second)
		n := s.check.total[team] - before
		if reached < 0 && float64(n) >= 0.95*s.plans[team].Rate {
			reached = i + 1
		}
		if i >= seconds-20 {
			sum += n
		}
	}
	return float64(sum) / 20 / s.plans[team].Rate, reached
}

// Guards against units and shares that do not follow the demand when only one team makes calls.
func TestTeamAloneReachesItsPlan(t *testing.T) {
	for _, domains := range []int{1, 3, 7} {
		for _, pattern := range []string{"one host", "one domain", "all domains", "moving"} {
			s := newSim(1, domains, 3, map[string]Plan{"a": {Rate: 1000, Burst: 100, Calls: 100}})
			s.run(20 * time.Second)
			writes := s.table.writes
			s.offer("a", func() *simHost { return s.pickHost(pattern) }, 3000, 5*time.Millisecond)
			fraction, reached := s.measureRate("a", 60*time.Second)
			t.Logf("%d domains, %s: %.4f of the rate, 95%% in second %d, %.2f writes/s per domain",
				domains, pattern, fraction, reached, float64(s.table.writes-writes)/60/float64(domains))
			must.SliceEmpty(t, s.check.errs)
			if pattern != "moving" || domains == 1 {
				must.Greater(t, 0.95, fraction)
			} else {
				must.Greater(t, 0.85, fraction) // the units follow within a second of each move
			}
		}
	}
}

// Guards against units that take longer than 1.5 s to follow a team's load to another domain, and against more table requests than the budget allows:
// 2 writes and 4 reads or conflicts per second and domain while units move, 0 and 1 under steady load.
func TestUnitsFollowATeamToAnotherDomain(t *testing.T) {
	for _, domains := range []int{3, 7} {
		for seed := range uint64(4) {
			followTeam(t, seed+1, domains)
		}
	}
}

func followTeam(t *testing.T, seed uint64, domains int) {
	const moves, settled = 6, 1500 * time.Millisecond
	s := newSim(seed, domains, 3, map[string]Plan{"a": {Rate: 1000, Burst: 100, Calls: 100}})
	s.run(20 * time.Second)
	s.offer("a", func() *simHost { return s.pickHost("moving") }, 3000, 5*time.Millisecond)
	s.run(10 * time.Second)
	least := 1.
	for range moves {
		s.run(settled)
		before := s.check.total["a"]
		s.run(time.Second)
		least = min(least, float64(s.check.total["a"]-before)/1000)
		attempts, reads := s.table.attempts, s.table.reads
		s.run(10*time.Second - settled - time.Second)
		must.Eq(t, attempts, s.table.attempts)
		must.LessEq(t, 9*domains, s.table.reads-reads)
	}
	t.Logf("%d domains, seed %d: at least %.3f of the rate from 1.5 s to 2.5 s after a move", domains, seed, least)
	must.Greater(t, 0.95, least)
	must.LessEq(t, 2, s.table.mostPerSecond(true))
	must.LessEq(t, 4, s.table.mostPerSecond(false))
	must.SliceEmpty(t, s.check.errs)
}

func (s *sim) pickHost(pattern string) *simHost {
	switch pattern {
	case "one host":
		return s.hosts[0]
	case "one domain":
		return s.hosts[s.rng.IntN(3)]
	case "moving":
		return s.hosts[int(s.now/(10*time.Second))%len(s.domains)*3+s.rng.IntN(3)]
	}
	return s.hosts[s.rng.IntN(len(s.hosts))]
}

// Guards against a domain that stops admitting calls of a team when its share owner fails: the survivors must keep their shares.
func TestSurvivorsAdmitAfterShareOwnerDies(t *testing.T) {
	s := newSim(1, 1, 3, map[string]Plan{"a": {Rate: 1000, Burst: 100, Calls: 100}})
	s.run(20 * time.Second)
	var left []*simHost
	for _, h := range s.hosts {
		if h.id != s.hosts[0].view.owner("a") {
			left = append(left, h)
		}
	}
	s.offer("a", func() *simHost { return s.hosts[s.rng.IntN(3)] }, 3000, 5*time.Millisecond)
	s.run(5 * time.Second)
	for _, h := range s.hosts {
		h.alive = h == left[0] || h == left[1]
	}
	s.run(3 * time.Second)
	before := s.check.total["a"]
	s.run(2 * time.Second)
	t.Logf("%.3f of the rate from 3 s to 5 s after the failure", float64(s.check.total["a"]-before)/2000)
	must.Greater(t, 1000, s.check.total["a"]-before)
	must.SliceEmpty(t, s.check.errs)
}

// Guards against small limits that cannot be used because they are divided in fractions of a call: one host must get all calls of a team that makes
// calls only there.
func TestSmallConcurrencyIsUsableAlone(t *testing.T) {
	for _, domains := range []int{1, 3, 7} {
		for calls := 1; calls <= 7; calls++ {
			s := newSim(3, domains, 2, map[string]Plan{"a": {Rate: 1000, Burst: 100, Calls: calls}})
			s.run(20 * time.Second)
			s.offer("a", func() *simHost { return s.hosts[0] }, 300, 200*time.Millisecond)
			most := 0
			for range 400 {
				s.run(100 * time.Millisecond)
				most = max(most, s.check.running["a"])
			}
			must.SliceEmpty(t, s.check.errs)
			must.Eq(t, calls, most, must.Sprintf("%d domains", domains))
		}
	}
}

// Guards against control traffic above the budget of 6 KB/s per host, and against more than one write per 2 s and domain.
func TestControlTrafficIsSmall(t *testing.T) {
	const domains, seconds = 2, 15
	for _, teams := range []int{4, 37} {
		for _, hosts := range []int{2, 3, 5, 7} {
			plans := map[string]Plan{}
			for i := range teams {
				plans[fmt.Sprintf("team-%02d", i)] = Plan{Rate: 500, Burst: 100, Calls: 60}
			}
			s := newSim(5, domains, hosts, plans)
			s.run(20 * time.Second)
			for i := range teams { // every second team makes calls through all hosts
				if i%2 == 0 {
					s.offer(fmt.Sprintf("team-%02d", i), func() *simHost { return s.pickHost("all") }, 40+float64(i), 50*time.Millisecond)
				}
			}
			s.run(10 * time.Second)
			s.bytes, s.msgs, s.table.writes = 0, 0, 0
			s.run(seconds * time.Second)
			perHost := float64(s.bytes) / seconds / float64(domains*hosts)
			t.Logf("%d teams, %d hosts: %.0f bytes/s sent per host, %d bytes per message, %.2f writes/s", teams, hosts, perHost,
				s.bytes/s.msgs, float64(s.table.writes)/seconds)
			must.SliceEmpty(t, s.check.errs)
			must.LessEq(t, domains*seconds/2+domains, s.table.writes)
			must.Less(t, 6000, perHost)
		}
	}
}
