package limits

import (
	"math"
	"slices"
	"sort"
	"time"

	"samphirewell/internal/api"
)

const (
	renewPeriod        = time.Second            // interval at which unchanged reports are sent again to renew the grants
	measurePeriod      = 200 * time.Millisecond // shortest interval between two measurements of demand
	demandSamples      = 2                      // number of latest measurements; the highest is the demand
	promptDropFraction = 0.25                   // demand below this fraction of the reported one is reported immediately, since other hosts may be short
	promptDropOfPlan   = 1. / 32                // provided that it fell by more than this fraction of the plan's rate
	steadyFraction     = 0.7                    // lower demand is reported only below this fraction of the reported one
)

// holder is the part of a node that uses the shares granted to this host. It measures the demand and reports it to the share owners.
type holder struct {
	n          *Node
	teams      map[string]*heldShare // includes removed teams whose calls still run
	peers      map[string]*exchange
	lastNumber int // number of the last demand, counted over all peers so that the numbers sent to a peer that rejoins keep rising
	measuredAt time.Time
}

// heldShare is a team's share on this host, with the state of its reports and the measured demand.
type heldShare struct {
	team             *team
	appliedNumber    int // number of the demand whose grant is in use; 0 for a share from an earlier view
	sentWhenApplied  int // number of the last demand sent to the owner when that grant was applied
	sentReport       api.TeamReport
	sentReportNumber int // number of the demand that carried sentReport; 0 when it was not sent in this view

	lastEntries              uint32                 // entries of the gate at the last measurement
	lastRefused              int64                  // refused calls of the team at the last measurement
	rateSamples, callSamples [demandSamples]float64 // last measurements: microcalls per second; calls
	demandRate, demandCalls  float64                // demand to report, in the same units
	renewedAt, planChangedAt time.Time              // when the demand of the last grant was sent; when the plan last changed
	plan                     Plan
	planRate                 float64 // rate of the whole plan, in microcalls per second
}

// exchange is the state of the demands to one peer, as a share owner or the row writer.
type exchange struct {
	sentNumber, answeredNumber int
	session                    int // session of the peer; 0 until it responds in this view
	sentAt                     time.Time
	full                       bool // no grant was applied in this view and session, so the next demand reports all teams
	nudged                     bool // the peer has sent a nudge: it has a changed share or unit list for this host
}

func (e *exchange) retryPeriod() time.Duration {
	if e.full {
		return fullRetry
	}
	return demandRetry
}

func newHolder(n *Node) holder {
	return holder{n: n, teams: map[string]*heldShare{}, peers: map[string]*exchange{}}
}

func (h *holder) sinceBase(t time.Time) int64 { return int64(t.Sub(h.n.Limiter.base)) }

func (h *holder) setPlans(now time.Time) {
	l := h.n.Limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]*team, len(h.n.plans))
	for name, p := range h.n.plans {
		t := h.teams[name]
		if t == nil {
			t = &heldShare{team: newTeam()}
			h.teams[name] = t
		}
		t.team.callInterval.Store(p.callInterval())
		if t.plan != p && t.plan != (Plan{}) {
			t.planChangedAt = now
		}
		t.plan, t.planRate = p, float64(p.microRate())
		next[name] = t.team
	}
	l.teams.Store(&next)
	for name, t := range h.teams {
		if _, planned := h.n.plans[name]; !planned {
			t.planChangedAt = now
			t.team.setShare(Share{}, h.sinceBase(now), t.team.leaseUntil.Load())
		}
	}
}

// onViewChange keeps unexpired shares in use; from now on only grants of the new view change or renew them. Expired shares become zero.
func (h *holder) onViewChange(now time.Time) {
	for _, t := range h.teams {
		t.appliedNumber, t.sentWhenApplied, t.sentReportNumber = 0, 0, 0
		if h.sinceBase(now) >= t.team.leaseUntil.Load() {
			t.team.setShare(Share{}, h.sinceBase(now), t.team.leaseUntil.Load())
		}
	}
	members := map[string]bool{}
	for _, m := range h.n.view.Members {
		members[m] = true
		if e := h.peers[m]; e != nil {
			e.full, e.session, e.answeredNumber, e.nudged = true, 0, e.sentNumber, false
		} else {
			h.peers[m] = &exchange{full: true, sentNumber: h.lastNumber, answeredNumber: h.lastNumber}
		}
	}
	for m := range h.peers {
		if !members[m] {
			delete(h.peers, m)
		}
	}
}

// allAnswered reports whether the member has answered all demands sent to it.
func (h *holder) allAnswered(to string) bool {
	e := h.peers[to]
	return e != nil && e.answeredNumber >= e.sentNumber
}

// demandDue reports whether a demand should be sent to a member now: a retry, a renewal, a response to a nudge or an urgent report.
func (h *holder) demandDue(to string, now time.Time) bool {
	e := h.peers[to]
	if e == nil {
		return false
	}
	if e.answeredNumber < e.sentNumber {
		return now.Sub(e.sentAt) >= e.retryPeriod()
	}
	if e.full || e.nudged {
		return true
	}
	owned := h.teamsOwnedBy(to)
	if (len(owned) > 0 || to == h.n.rowWriterMember()) && now.Sub(e.sentAt) >= renewPeriod {
		return true
	}
	h.updateDemand(now)
	for _, name := range owned {
		t := h.teams[name]
		r := t.report(name)
		if t.needsPromptReport(r) || t.team.waiters.count.Load() > 0 && demandsMore(r) && now.Sub(e.sentAt) >= waitingDemandPeriod {
			return true
		}
	}
	return false
}

// nextDemand numbers and returns the next demand to a member. After the first grant in a view and session it contains only reports that changed.
func (h *holder) nextDemand(to string, now time.Time) api.ShareDemand {
	d := api.ShareDemand{View: h.n.view.ID, Reports: []api.TeamReport{}, Units: []api.TeamUnits{}, Wants: []api.TeamWant{}}
	e := h.peers[to]
	h.updateDemand(now)
	if e.nudged {
		h.resetCallDemand(to)
	}
	h.lastNumber++
	e.sentNumber, e.sentAt, e.nudged = h.lastNumber, now, false
	d.Answered = e.answeredNumber
	d.Number, d.Adoption, d.Session, d.Full = e.sentNumber, h.n.viewChanges, e.session, e.full
	for _, name := range h.teamsOwnedBy(to) {
		t := h.teams[name]
		r := t.report(name)
		if !e.full && r == t.sentReport && t.sentReportNumber <= e.answeredNumber {
			continue
		}
		t.sentReport, t.sentReportNumber = r, d.Number
		d.Reports = append(d.Reports, r)
	}
	return d
}

// resetCallDemand sets the concurrency demand of plans with few calls to the calls that run or wait now. It follows a nudge, which may mean that
// another host is short. Larger plans keep the measured demand, which includes the calls that were refused.
func (h *holder) resetCallDemand(member string) {
	few := fewCalls * len(h.n.view.Members) * max(1, len(h.n.domains))
	for _, name := range h.teamsOwnedBy(member) {
		t := h.teams[name]
		if t.plan.Calls >= few {
			continue
		}
		_, running, _ := t.team.gate.load()
		need := min(t.demandCalls, float64(running+t.team.waiters.count.Load()))
		t.demandCalls, t.callSamples = need, [demandSamples]float64{need}
	}
}

// needsPromptReport reports whether a report should be sent before the next renewal, because it lets the share owner move shares between hosts.
func (t *heldShare) needsPromptReport(r api.TeamReport) bool {
	drop := float64(t.sentReport.WantRate - r.WantRate)
	dropped := drop > float64(t.sentReport.WantRate)*(1-promptDropFraction) && drop > t.planRate*promptDropOfPlan
	useful := demandsMore(r) || r.Running > 0 || dropped || r.Rate < t.sentReport.Rate || r.Calls < t.sentReport.Calls
	return useful && r != t.sentReport
}

// teamsOwnedBy returns the teams whose share owner is the member, sorted by name.
func (h *holder) teamsOwnedBy(member string) []string {
	var names []string
	for name := range h.teams {
		if h.n.view.owner(name) == member {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (t *heldShare) report(name string) api.TeamReport {
	b := t.team.bucket.Load()
	limit, running, _ := t.team.gate.load()
	if running <= limit {
		running = 0
	}
	return api.TeamReport{
		Team: name, Applied: t.appliedNumber, Rate: int(b.rate), Burst: int(b.capacity), Calls: int(limit), Running: int(running),
		WantRate: int(t.demandRate), WantCalls: int(math.Ceil(t.demandCalls)),
	}
}

// updateDemand updates the demand of all teams: by a new measurement every measurePeriod, and by the waiting calls each time.
func (h *holder) updateDemand(now time.Time) {
	if span := now.Sub(h.measuredAt); span >= measurePeriod {
		h.measuredAt = now
		h.sample(span)
	}
	h.addWaitingCalls()
}

func (h *holder) sample(span time.Duration) {
	for name, t := range h.teams {
		_, running, entries := t.team.gate.load()
		refused := t.team.refused.Load()
		newCalls := int64((entries-t.lastEntries)&(1<<24-1)) + refused - t.lastRefused
		newlyRefused := refused - t.lastRefused
		t.lastEntries, t.lastRefused = entries, refused
		p := h.n.plans[name]
		rate := float64(newCalls) * 1e6 / min(span, time.Minute).Seconds()
		t.demandRate = smoothDemand(&t.rateSamples, rate, t.demandRate, float64(p.microRate()))
		t.demandCalls = smoothDemand(&t.callSamples, float64(running+newlyRefused), t.demandCalls, float64(p.Calls))
	}
}

// smoothDemand adds a measurement and returns the demand to report: the highest of the last measurements, at most the limit. A small decrease
// keeps the demand reported before, to save a message.
func smoothDemand(last *[demandSamples]float64, measured, before, limit float64) float64 {
	copy(last[1:], last[:demandSamples-1])
	last[0] = measured
	if limit <= 0 {
		return 0
	}
	highest := min(limit, slices.Max(last[:]))
	if highest <= before && highest >= before*steadyFraction {
		return min(limit, before)
	}
	return math.Ceil(highest)
}

// acceptGrant records the grant's number as answered. It returns false for a grant that is out of order, unexpected or already expired.
func (h *holder) acceptGrant(from string, g api.ShareGrant, sentAt, now time.Time) bool {
	e := h.peers[from]
	if e == nil || g.Answers <= e.answeredNumber || g.Answers > e.sentNumber || !now.Before(sentAt.Add(ShareLease)) {
		return false
	}
	e.answeredNumber = g.Answers
	return true
}

// ownerRestarted records the session of a share owner and reports whether it differs from the one before. In that case the shares granted by
// that owner stay in use without renewal, as after a view change, and the next demand is a full one.
func (h *holder) ownerRestarted(from string, g api.ShareGrant) bool {
	e := h.peers[from]
	if e.session == 0 || e.session == g.Session {
		e.session = g.Session
		return false
	}
	e.session, e.full, e.answeredNumber = 0, true, e.sentNumber
	for _, name := range h.teamsOwnedBy(from) {
		t := h.teams[name]
		t.appliedNumber, t.sentWhenApplied, t.sentReportNumber = 0, 0, 0
	}
	return true
}

// applyGrant applies the changed shares of a grant and renews the unchanged ones.
func (h *holder) applyGrant(from string, g api.ShareGrant, sentAt, now time.Time) {
	e, until := h.peers[from], sentAt.Add(ShareLease)
	e.full = false
	listed := map[string]bool{}
	for _, s := range g.Shares {
		listed[s.Team] = true
		t := h.teams[s.Team]
		if _, planned := h.n.plans[s.Team]; t == nil || !planned {
			continue
		}
		t.team.setShare(Share{int64(s.Rate), int64(s.Burst), int64(s.Calls)}, h.sinceBase(now), h.sinceBase(until))
		t.appliedNumber, t.sentWhenApplied, t.renewedAt = g.Answers, e.sentNumber, sentAt
	}
	for _, name := range h.teamsOwnedBy(from) {
		if t := h.teams[name]; !listed[name] && t.sentWhenApplied < g.Answers {
			b := t.team.bucket.Load()
			limit, _, _ := t.team.gate.load()
			t.renewedAt = sentAt
			t.team.setShare(Share{b.rate, b.capacity, limit}, h.sinceBase(now), h.sinceBase(until))
		}
	}
}
