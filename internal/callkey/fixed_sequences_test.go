package callkey

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/member"
)

// Fixed sequences of faults that random runs reach rarely. Each returns the first violation and the number of grants.

// keyOf returns a key for which f holds.
func keyOf(f func(name string) bool) string {
	for i := 0; ; i++ {
		if key := fmt.Sprintf("s%d", i); f(KeyName("t", key)) {
			return key
		}
	}
}

func losslessSimulation(seed int64, sizes []int, mr member.Rules, r Rules) *simulation {
	sim := newSimulation(rand.New(rand.NewSource(seed)), sizes, mr, r)
	sim.lossPercent = 0
	return sim
}

func (sim *simulation) isolate(h *simHost) {
	for _, o := range sim.hosts {
		if o != h {
			sim.cutLinks[[2]string{h.id, o.id}], sim.cutLinks[[2]string{o.id, h.id}] = true, true
		}
	}
}

// startCall starts a call with its first attempt and runs the simulation for 100 ms.
func (sim *simulation) startCall(key string, to *simHost, transit time.Duration) *simCall {
	c := &simCall{key: key}
	sim.attempt(c, to, transit)
	sim.advance(100 * time.Millisecond)
	return c
}

// ownerRestarts: a retry overtakes the first attempt, and the key owner restarts and joins the view before the first attempt arrives.
func ownerRestarts(seed int64, _ int, mr member.Rules, r Rules) (string, int) {
	sim := losslessSimulation(seed, []int{3}, mr, r)
	c := sim.startCall(keyOf(func(k string) bool { return sim.hosts[0].core.View().Owner(k) == "a0" }), sim.hosts[1], 8*time.Second)
	sim.attempt(c, sim.hosts[2], 0)
	sim.advance(time.Second)
	sim.hosts[0].crash()
	sim.advance(3 * time.Second)
	sim.hosts[0].start()
	sim.advance(10 * time.Second)
	return sim.violation, sim.grants
}

// ownerAfterGap: a retry overtakes the first attempt while a host is cut off; the host is connected again and becomes the key
// owner before the first attempt arrives.
func ownerAfterGap(seed int64, _ int, mr member.Rules, r Rules) (string, int) {
	sim := losslessSimulation(seed, []int{3}, mr, r)
	all := sim.hosts[0].core.View()
	rest := member.NewView(all.Members[1:])
	key := keyOf(func(k string) bool { return all.Owner(k) == "a0" && rest.Owner(k) == "a2" })
	sim.isolate(sim.hosts[2])
	sim.advance(8 * time.Second)
	c := sim.startCall(key, sim.hosts[1], 8*time.Second)
	sim.attempt(c, sim.hosts[1], 0)
	sim.advance(500 * time.Millisecond)
	clear(sim.cutLinks)
	sim.advance(1500 * time.Millisecond)
	sim.hosts[0].crash()
	sim.advance(12 * time.Second)
	return sim.violation, sim.grants
}

// retriesInTwoHalves: the two hosts of a domain are cut off from each other, and a retry goes to the host that did not get the first
// attempt.
func retriesInTwoHalves(seed int64, _ int, mr member.Rules, r Rules) (string, int) {
	sim := losslessSimulation(seed, []int{2}, mr, r)
	sim.isolate(sim.hosts[0])
	sim.advance(5 * time.Second)
	for i := range 6 {
		c := sim.startCall(fmt.Sprint("s", i), sim.hosts[i%2], 0)
		sim.advance(time.Second)
		sim.attempt(c, sim.hosts[(i+1)%2], 0)
		sim.advance(time.Second)
	}
	return sim.violation, sim.grants
}

// retryAfterSolo: a first attempt runs as solo work, and its retry reaches the key owner after the cut has healed.
func retryAfterSolo(seed int64, _ int, mr member.Rules, r Rules) (string, int) {
	sim := losslessSimulation(seed, []int{2}, mr, r)
	sim.advance(10 * time.Second)
	sim.isolate(sim.hosts[0])
	sim.advance(4 * time.Second)
	c := sim.startCall(keyOf(func(k string) bool { return sim.hosts[0].core.View().Owner(k) == "a1" }), sim.hosts[0], 0)
	sim.advance(time.Second)
	clear(sim.cutLinks)
	sim.advance(4 * time.Second)
	sim.attempt(c, sim.hosts[1], 0)
	sim.advance(2 * time.Second)
	return sim.violation, sim.grants
}

// Guards against a second run of a key in the fixed sequences that prove that a rule is needed.
func TestFixedSequencesHold(t *testing.T) {
	t.Parallel()
	for name, run := range map[string]func(int64, int, member.Rules, Rules) (string, int){
		"owner restarts": ownerRestarts, "owner after a gap": ownerAfterGap,
		"retries in two halves": retriesInTwoHalves, "retry after solo work": retryAfterSolo,
	} {
		t.Run(name, func(t *testing.T) {
			grants := 0
			for seed := int64(1); seed <= 10; seed++ {
				v, n := run(seed, 0, member.Rules{}, Rules{})
				must.Eq(t, "", v)
				grants += n
			}
			must.Positive(t, grants)
		})
	}
}

// Guards against first attempts that are refused for MaxTransit although a member of the earlier view still runs: after the crash of
// either host of two, while both are cut off from each other, and after a join.
func TestFirstAttemptsGoOnAfterAViewChange(t *testing.T) {
	for i := range 2 {
		sim := losslessSimulation(int64(i), []int{2}, member.Rules{}, Rules{})
		remaining, crashed := sim.hosts[i], sim.hosts[1-i]
		crashed.crash()
		sim.advance(2700 * time.Millisecond)
		sim.mustGrant(t, remaining)
		must.Positive(t, sim.soloGrants)
		crashed.start()
		sim.advance(time.Second)
		sim.mustGrant(t, remaining)
		sim.mustGrant(t, crashed)
		sim.isolate(remaining)
		sim.advance(2700 * time.Millisecond)
		sim.mustGrant(t, remaining)
		sim.mustGrant(t, crashed)
		must.Eq(t, "", sim.violation)
	}
}

// mustGrant checks that first attempts for keys of all owners are granted at the host.
func (sim *simulation) mustGrant(t *testing.T, at *simHost) {
	t.Helper()
	for i := range 4 {
		before := sim.grants
		sim.startCall(fmt.Sprintf("g%d-%d", sim.queue.Added(), i), at, 0)
		sim.advance(3 * time.Second / 2)
		must.Eq(t, before+1, sim.grants, must.Sprintf("%s at %v", at.id, sim.now))
	}
}

// Guards against a domain that grants first attempts as soon as it has started, although a retry of one of them may have run before the
// start.
func TestFreshDomainWaitsForMaxTransit(t *testing.T) {
	sim := losslessSimulation(1, []int{2}, member.Rules{}, Rules{})
	for _, h := range sim.hosts {
		h.crash()
	}
	for _, h := range sim.hosts {
		h.start()
	}
	sim.advance(6 * time.Second)
	sim.startCall("k", sim.hosts[0], 0)
	sim.advance(time.Second)
	must.Eq(t, 0, sim.grants)
	sim.advance(10 * time.Second)
	sim.mustGrant(t, sim.hosts[0])
}

// Guards against a host that confirms a block for a view other than its own.
func TestBlockIsConfirmedOnlyInTheView(t *testing.T) {
	o := newOwner(100)
	st := singleHostState(o.start, o.now)
	req := api.KeyBlockRequest{ViewID: "other", Hash: formatHash(keyHash("t", "k"))}
	must.False(t, o.records.Block(o.now, st, req).Blocked)
	req.ViewID = st.View.ID
	must.True(t, o.records.Block(o.now, st, req).Blocked)
	must.Eq(t, api.KeyClaimResponseDecisionRefused, o.claim("k", "1", 1, 0).Decision)
	o.now = o.now.Add(BlockTTL + time.Second)
	must.Eq(t, api.KeyClaimResponseDecisionGranted, o.claim("k", "1", 1, 0).Decision)
}
