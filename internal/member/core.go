package member

import (
	"slices"
	"time"

	"samphirewell/internal/api"
)

// MaxHosts bounds the hosts of a domain that are considered for a view, because the search for a view examines their subsets.
const MaxHosts = 12

// maxQuorumViews bounds the views that are kept for the quorum rule. A host that keeps this many adopts a further view only
// if every host of the domain is a member of it or has ended.
const maxQuorumViews = 16

// peerRetention is the time after the last message of a host that is not a candidate until its state is deleted.
const peerRetention = 10 * time.Minute

// Rules disables rules of the protocol, for tests which show that each rule is needed. The zero value disables none.
type Rules struct {
	NoQuorum bool // adopt any view of the hosts in contact
	NoSettle bool // act before the leases of earlier views have expired
	NoLease  bool // act without the view lease

	NoSoloWait   bool // start solo work while another host may hold a lease that this one granted
	NoSoloEpoch  bool // start solo work without a new epoch
	NoPauseCheck bool // keep the view lease and solo work after a pause of the process
	NoBlockGap   bool // treat the record of blocked keys as complete after a gap in which other hosts may have acted
}

// OutgoingPing is a ping to be sent to a host of the own domain.
type OutgoingPing struct {
	To   string // host id
	Ping api.Ping
}

// Core is the view protocol of one process. It does no I/O; the caller passes readings of a monotonic clock. It is not safe
// for concurrent use.
type Core struct {
	self   api.HostIdentity
	domain string
	rules  Rules

	candidates []string // ids of the other hosts of the domain, sorted
	ended      EndedHosts
	peers      map[string]*peerState // by host id

	view                View
	period              *period          // nil without a view
	history             []*period        // earlier periods without a gap before the current one, oldest first
	quorumViews         []View           // views that the quorum rule applies to; the last established one comes first
	epoch               int              // incremented for each adopted view and each start of solo work
	settledAt           time.Time        // from this time on no host acts in a view that this host left
	lastSeq             int              // sequence number of the last ping
	sent                map[int]sentPing // by sequence number
	nextPingAt          time.Time        // time of the next round of pings
	startedAt           time.Time
	established         bool // this process has established a view
	leaving             bool
	solo                bool      // this process does solo work; see the package comment
	lastStepAt          time.Time // time of the last call that advanced the protocol
	resumedAt           time.Time // end of the last pause
	blocksCompleteSince time.Time // this host has a record of each key that was blocked since this time
}

// peerState is the tracked state of another host of the domain.
type peerState struct {
	host         api.HostIdentity // newest process from which a message was received
	reach        []string         // ids of the hosts that answer its pings
	established  bool             // it has established a view
	leaving      bool
	lastContact  time.Time                      // when its last message was received
	consentView  string                         // id of the view that the leaving process allows others to replace without it
	lastAnswered time.Time                      // sending time of the newest ping that it answered
	lastAccepted map[api.HostIdentity]time.Time // when a ping of each process of the host was last accepted
}

// sentPing is a ping that was sent less than ViewLease ago and has not been answered.
type sentPing struct {
	to    string
	at    time.Time
	epoch int
	start time.Time // start of the period in which it was sent; zero without a view
}

// NewCore returns the core of a process that has no view yet.
func NewCore(self api.HostIdentity, domain string, now time.Time, rules Rules) *Core {
	return &Core{
		self: self, domain: domain, rules: rules, startedAt: now, nextPingAt: now,
		peers: map[string]*peerState{}, sent: map[int]sentPing{},
	}
}

// EndedHosts lists the hosts of the domain that had no running process at a given time, according to the platform's host list.
//
// The list lags, but each list must name all processes that ran at its time. It counts as evidence only if it is newer than
// the start of this process and than the last message of the host: if another group of hosts acts in a view, the list then
// names a member of that group.
type EndedHosts struct {
	AsOf  time.Time // earliest possible time of the list on the clock of this host
	Hosts map[string]bool
}

// SetCandidates replaces the configured and listed hosts of the domain and the evidence of ended processes.
func (c *Core) SetCandidates(ids []string, ended EndedHosts) {
	c.candidates = c.candidates[:0]
	for _, id := range ids {
		if id != c.self.ID && !slices.Contains(c.candidates, id) {
			c.candidates = append(c.candidates, id)
		}
	}
	slices.Sort(c.candidates)
	c.ended = ended
}

// View returns the adopted view; its id is empty when there is none.
func (c *Core) View() View { return c.view }

// Tick advances the protocol to now and returns the pings to send.
func (c *Core) Tick(now time.Time) []OutgoingPing {
	for seq, s := range c.sent {
		if now.Sub(s.at) > ViewLease {
			delete(c.sent, seq)
		}
	}
	for id, p := range c.peers {
		if now.Sub(p.lastContact) > peerRetention && !slices.Contains(c.candidates, id) {
			delete(c.peers, id)
		}
	}
	c.checkPause(now)
	changed := c.updateView(now)
	c.updateSolo(now)
	if !changed && now.Before(c.nextPingAt) {
		return nil
	}
	return c.pingAll(now)
}

// pingAll returns a ping to each target, and schedules the next round.
func (c *Core) pingAll(now time.Time) []OutgoingPing {
	c.nextPingAt = now.Add(HeartbeatPeriod)
	var out []OutgoingPing
	for _, id := range c.pingTargets() {
		c.lastSeq++
		s := sentPing{to: id, at: now, epoch: c.epoch}
		if c.period != nil {
			s.start = c.period.start
		}
		c.sent[c.lastSeq] = s
		out = append(out, OutgoingPing{To: id, Ping: c.ping(now, c.lastSeq)})
	}
	return out
}

// pingTargets returns the ids of all candidates, and of hosts that sent a message but are not listed yet.
func (c *Core) pingTargets() []string {
	ids := slices.Clone(c.candidates)
	for id := range c.peers {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) ping(now time.Time, seq int) api.Ping {
	// With its consent, a leaving process states that the view is the last one that it established, so that a successor of the view
	// need not include it; see isSuccessor.
	consent := c.leaving && len(c.quorumViews) == 1 && c.quorumViews[0].ID == c.view.ID
	return api.Ping{
		Host: c.self, Domain: c.domain, Seq: seq, ViewID: c.view.ID, Epoch: c.epoch, Reach: c.reach(now),
		SettleMS: c.settleMS(now), Established: c.established, Leaving: c.leaving, Consent: consent, Attachments: []api.Attachment{},
	}
}

// settleMS returns the time until settledAt in milliseconds, rounded up and scaled by 1% in case the clock of the receiver
// is faster.
func (c *Core) settleMS(now time.Time) int {
	left := c.settledAt.Sub(now)
	if left <= 0 {
		return 0
	}
	return int((left*101/100 + time.Millisecond - 1) / time.Millisecond)
}

// reach returns the ids of the hosts that answered a ping that was sent within ViewLease.
func (c *Core) reach(now time.Time) []string {
	ids := []string{}
	for id, p := range c.peers {
		if c.inContact(p, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// inContact reports whether the host answered a ping that was sent within ViewLease.
func (c *Core) inContact(p *peerState, now time.Time) bool {
	return !p.lastAnswered.IsZero() && now.Sub(p.lastAnswered) < ViewLease
}

// OnPing handles a ping and returns the pong and the pings to send as a result. ok is false for a ping of another domain or of
// a replaced process, which gets no pong.
func (c *Core) OnPing(now time.Time, ping api.Ping) (pong api.Pong, out []OutgoingPing, ok bool) {
	if ping.Domain != c.domain || ping.Host.ID == c.self.ID {
		return api.Pong{}, nil, false
	}
	p := c.recordContact(now, ping.Host, ping.Reach, ping.Established, ping.Leaving)
	if p == nil {
		return api.Pong{}, nil, false
	}
	if ping.Leaving && ping.Consent {
		p.consentView = ping.ViewID
	}
	out = c.Tick(now)
	accepted := !c.leaving && !ping.Leaving && c.view.ID != "" && ping.ViewID == c.view.ID && c.view.Has(ping.Host)
	if accepted {
		c.solo = false
		p.lastAccepted[ping.Host] = now
		out = append(out, c.prompt(now, ping.Host.ID)...)
	}
	return api.Pong{
		Host: c.self, Domain: c.domain, Seq: ping.Seq, ViewID: c.view.ID, Accepted: accepted, Epoch: c.epoch,
		Reach: c.reach(now), SettleMS: c.settleMS(now), Established: c.established, Leaving: c.leaving, Attachments: []api.Attachment{},
	}, out, true
}

// prompt returns pings to send immediately if the member has adopted the view but has not accepted a ping in this period yet.
// It does so once per member and period, since two hosts that cannot establish their view would otherwise prompt each other
// endlessly.
func (c *Core) prompt(now time.Time, id string) []OutgoingPing {
	if _, seen := c.period.accepted[id]; seen || c.period.prompted[id] {
		return nil
	}
	c.period.prompted[id] = true
	return c.pingAll(now)
}

// OnPong handles the response to a ping and returns the pings to send as a result.
func (c *Core) OnPong(now time.Time, pong api.Pong) []OutgoingPing {
	c.checkPause(now)
	s, tracked := c.sent[pong.Seq]
	if !tracked || s.to != pong.Host.ID || pong.Domain != c.domain {
		return nil
	}
	delete(c.sent, pong.Seq)
	p := c.recordContact(now, pong.Host, pong.Reach, pong.Established, pong.Leaving)
	if p == nil {
		return nil
	}
	if s.at.After(p.lastAnswered) {
		p.lastAnswered = s.at
	}
	// A pong to a ping of an earlier period proves nothing: the host may have left the view and rejoined it since.
	if c.period != nil && pong.Accepted && !s.at.Before(c.resumedAt) && s.epoch == c.epoch && s.start.Equal(c.period.start) && c.view.Has(pong.Host) {
		c.onAccepted(now, s.at, pong)
	}
	return c.Tick(now)
}

// recordContact updates the state of the sender of a message. It returns nil for a process that has been replaced by a newer one.
func (c *Core) recordContact(now time.Time, host api.HostIdentity, reach []string, established, leaving bool) *peerState {
	p := c.peers[host.ID]
	if p == nil {
		p = &peerState{host: host, lastAccepted: map[api.HostIdentity]time.Time{}}
		c.peers[host.ID] = p
	}
	switch {
	case host.Incarnation < p.host.Incarnation:
		return nil
	case host.Incarnation > p.host.Incarnation:
		p.host, p.leaving, p.consentView, p.lastAnswered = host, false, "", time.Time{}
	}
	p.reach, p.established, p.leaving, p.lastContact = reach, established, p.leaving || leaving, now
	return p
}

// Leave makes the process stop acting immediately and permanently, and returns the pings that announce it.
func (c *Core) Leave(now time.Time) []OutgoingPing {
	c.leaving = true
	return c.pingAll(now)
}
