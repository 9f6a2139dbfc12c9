package callkey

import (
	"fmt"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/member"
	"samphirewell/internal/outcome"
	"samphirewell/internal/peer"
)

// simCall is a non-repeatable call with its attempts.
type simCall struct {
	key         string
	attempts    int
	firstSentAt time.Duration
	mayHaveRun  int // attempts that have not ended with NotRun
	answered    bool
}

// attempt is one attempt at an entry host.
type attempt struct {
	call        *simCall
	number      int
	host        *simHost
	incarnation int
	sequence    *ClaimSequence
	owner       *simHost
	solo        bool // claimed by the host itself during solo work
	requestSeq  int  // also incremented when a request ends, so that late and duplicate responses are ignored
	ran         bool
	ended       bool
}

// attempt sends the next attempt of a call to a host, which drops it if it arrives more than MaxTransit after it was sent.
func (sim *simulation) attempt(c *simCall, to *simHost, transit time.Duration) {
	if c.mayHaveRun == 0 { // each earlier attempt certainly did not run: the next one is a first attempt
		c.attempts, c.firstSentAt = 0, sim.now
	}
	c.attempts++
	c.mayHaveRun++
	sent := sim.now
	age := time.Duration(float64(sim.now-c.firstSentAt) * 0.99)
	a := &attempt{call: c, number: c.attempts, host: to, incarnation: to.incarnation}
	sim.after(transit, func() {
		to.receive(func() {
			if sim.now-sent <= MaxTransit && a.alive() {
				a.begin(age)
			}
		})
	})
}

func (a *attempt) alive() bool { return a.host.up && a.host.incarnation == a.incarnation }

func (a *attempt) begin(age time.Duration) {
	h := a.host
	st := h.core.State(h.clock())
	a.solo = st.Solo(h.clock())
	if !st.Acting(h.clock()) && !a.solo && a.number <= 1 {
		a.end(outcome.Refuse(outcome.NoView, 0))
		return
	}
	h.claimCount++
	claimID := fmt.Sprintf("%s/%d/%d", h.id, h.incarnation, h.claimCount)
	call := Call{Team: "t", Key: a.call.key, Attempt: a.number, FirstAttemptAge: age}
	a.sequence = NewClaimSequence(call, claimID, st.View.ID, h.domain, h.sim.domains, h.sim.rules)
	a.owner = h.sim.host(st.View.Owner(KeyName("t", a.call.key)))
	if a.solo {
		a.owner = h
	}
	a.next()
}

// next sends the next request of the claim sequence.
func (a *attempt) next() {
	sim, step := a.host.sim, a.sequence.Next(5*time.Second)
	to := a.owner
	if step.Domain != a.host.domain {
		to = sim.anyHost(step.Domain)
	}
	if to == nil {
		a.applyDecision(a.sequence.OnError(step, true))
		return
	}
	a.requestSeq++
	requestSeq := a.requestSeq
	reply := func(from *simHost, f func() (Decision, bool)) {
		sim.deliver(from, a.host, func() {
			if a.requestSeq != requestSeq || a.ended || !a.alive() {
				return
			}
			a.requestSeq++
			if d, done := f(); done {
				a.applyDecision(d)
			} else {
				a.next()
			}
		})
	}
	sim.deliver(a.host, to, func() { a.serve(to, step, false, reply) })
	sim.after(rpcTimeout, func() {
		a.host.receive(func() {
			if a.requestSeq == requestSeq && !a.ended && a.alive() {
				a.requestSeq++
				a.applyDecision(a.sequence.OnError(step, false))
			}
		})
	})
}

// serve handles a request of a claim sequence at a host, which forwards queries to the key owner of its view.
func (a *attempt) serve(at *simHost, step Step, forwarded bool, reply func(*simHost, func() (Decision, bool))) {
	st := at.core.State(at.clock())
	if step.Method == peer.MethodKeyClaim {
		a.serveClaim(at, step, "", func(resp api.KeyClaimResponse) {
			reply(at, func() (Decision, bool) { return a.sequence.OnClaim(resp) })
		})
		return
	}
	owner := at.sim.host(st.View.Owner(KeyName("t", a.call.key)))
	if owner != nil && owner != at && !forwarded && !st.Solo(at.clock()) {
		at.sim.deliver(at, owner, func() { a.serve(owner, step, true, reply) })
		return
	}
	a.serveQuery(at, step, "", func(resp api.KeyQueryResponse) {
		reply(at, func() (Decision, bool) { return a.sequence.OnQuery(resp) })
	})
}

func (a *attempt) serveClaim(at *simHost, step Step, confirmedView string, respond func(api.KeyClaimResponse)) {
	st := at.core.State(at.clock())
	if a.solo && at == a.host {
		respond(at.records.ClaimSolo(at.clock(), st, step.Claim))
		return
	}
	resp, needsBlocks := at.records.Claim(at.clock(), st, step.Claim, confirmedView)
	if needsBlocks && confirmedView == "" {
		at.blockAtMembers(st.View, a.call.key, func(view string) { a.serveClaim(at, step, view, respond) })
		return
	}
	respond(resp)
}

func (a *attempt) serveQuery(at *simHost, step Step, confirmedView string, respond func(api.KeyQueryResponse)) {
	st := at.core.State(at.clock())
	if st.Solo(at.clock()) {
		respond(at.records.QuerySolo(at.clock(), st, step.Query))
		return
	}
	resp, needsBlocks := at.records.Query(at.clock(), st, step.Query, step.Method == peer.MethodKeyTombstone, confirmedView)
	if needsBlocks && confirmedView == "" {
		at.blockAtMembers(st.View, a.call.key, func(view string) { a.serveQuery(at, step, view, respond) })
		return
	}
	respond(resp)
}

// blockAtMembers requests each other member to block the key. After all have confirmed, it calls onConfirmed at the host with the id of the view.
func (h *simHost) blockAtMembers(v member.View, key string, onConfirmed func(view string)) {
	missing := map[string]bool{}
	for _, m := range v.Members {
		missing[m.ID] = m.ID != h.id
	}
	req := api.KeyBlockRequest{ViewID: v.ID, Hash: formatHash(keyHash("t", key))}
	for _, m := range v.Members {
		to := h.sim.host(m.ID)
		if to == h {
			continue
		}
		h.sim.deliver(h, to, func() {
			if !to.records.Block(to.clock(), to.core.State(to.clock()), req).Blocked {
				return
			}
			h.sim.deliver(to, h, func() {
				delete(missing, m.ID)
				if len(missing) == 1 { // only the entry of this host is left
					missing[m.ID] = true // a duplicate must not call onConfirmed again
					onConfirmed(v.ID)
				}
			})
		})
	}
}

// fetchBlocks requests the blocked keys from another member after a join.
func (h *simHost) fetchBlocks() {
	st := h.core.State(h.clock())
	if h.sim.rules.NoBlockFetch || !st.Acting(h.clock()) || HasAllBlocks(h.clock(), st) || h.sim.rng.Intn(4) != 0 {
		return
	}
	to := h.sim.host(st.View.Members[h.sim.rng.Intn(len(st.View.Members))].ID)
	if to == h {
		return
	}
	h.sim.deliver(h, to, func() {
		resp := to.records.Blocks(to.clock(), to.core.State(to.clock()), api.KeyBlocksRequest{ViewID: st.View.ID})
		h.sim.deliver(to, h, func() {
			if since, ok := h.records.ApplyBlocks(h.clock(), resp); ok {
				h.core.ExtendBlockHistory(st.Period, since)
			}
		})
	})
}

// applyDecision ends the attempt, or executes a granted call after a delay of up to 300 ms, and after the end of a pause of the host.
func (a *attempt) applyDecision(d Decision) {
	sim := a.host.sim
	if step, ok := a.sequence.Release(d); ok {
		a.finish(step.Finish)
	}
	if d.Kind != Granted {
		a.end(d.Outcome)
		return
	}
	sim.grants++
	if a.solo {
		sim.soloGrants++
	}
	sim.after(time.Duration(sim.rng.Intn(300))*time.Millisecond, func() {
		a.host.receive(func() {
			if !a.alive() {
				return
			}
			a.execute(d.Grant)
		})
	})
}

// execute runs a granted call in three of four cases; otherwise the call ends with NotRun. Both outcomes are reported to the key owner.
func (a *attempt) execute(g Grant) {
	sim := a.host.sim
	o := outcome.Refuse(outcome.NotStarted, 0)
	if sim.rng.Intn(4) != 0 {
		a.ran = true
		o = outcome.Answer(200, []byte("x"))
		if sim.runs[a.call.key]++; sim.runs[a.call.key] > 1 {
			sim.fail("key %s ran twice, last as attempt %d at %s", a.call.key, a.number, a.host.id)
		}
	}
	a.finish(api.KeyFinishRequest{Team: g.Team, Key: g.Key, ClaimID: g.ClaimID, Outcome: encode(o)})
	a.end(o)
}

func (a *attempt) finish(req api.KeyFinishRequest) {
	to := a.owner
	if to != nil {
		a.host.sim.deliver(a.host, to, func() { to.records.Finish(to.clock(), req) })
	}
}

// end returns the outcome to the caller and checks that NotRun is true.
func (a *attempt) end(o outcome.Outcome) {
	a.ended = true
	sim := a.host.sim
	if o.Kind == outcome.NotRun && (a.ran || a.number > 1 && sim.runs[a.call.key] > 0) {
		sim.fail("NotRun for attempt %d of %s is false", a.number, a.call.key)
	}
	if o.Kind == outcome.NotRun {
		a.call.mayHaveRun--
	}
	if o.Kind == outcome.Answered {
		a.call.answered = true
	}
}

func (sim *simulation) anyHost(domain string) *simHost {
	var in []*simHost
	for _, h := range sim.hosts {
		if h.domain == domain {
			in = append(in, h)
		}
	}
	return in[sim.rng.Intn(len(in))]
}
