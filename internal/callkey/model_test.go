package callkey

import (
	"fmt"
	"math/rand"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/member"
	"samphirewell/internal/simevent"
)

// The model is a simulation of several entry hosts. It runs their Records, claim sequences and member.Core over a network that delays,
// reorders, duplicates and drops messages. The clock of each host runs at a rate of its own against the simulated time.

const (
	modelTick   = 50 * time.Millisecond
	rpcTimeout  = 1500 * time.Millisecond
	hostListLag = 3 * time.Second // age of the platform's host list when a host reads it
)

type simulation struct {
	rng         *rand.Rand
	memberRules member.Rules
	rules       Rules
	now         time.Duration
	queue       simevent.Queue
	hosts       []*simHost
	domains     []string
	cutLinks    map[[2]string]bool // directed links that deliver no messages
	lossPercent int                // percentage of messages that are lost
	calls       []*simCall
	runs        map[string]int // number of runs by key
	grants      int
	soloGrants  int
	violation   string // first violation of an invariant, or empty
}

// simHost is a host and its running process.
type simHost struct {
	sim         *simulation
	id          string
	domain      string
	clockRate   float64
	incarnation int
	up          bool
	endedAt     time.Duration // end of the last process
	startedAt   time.Duration // start of the last process
	paused      bool
	backlog     []func() // messages that arrived during a pause
	core        *member.Core
	records     *Records
	claimCount  int
}

func newSimulation(rng *rand.Rand, sizes []int, mr member.Rules, r Rules) *simulation {
	sim := &simulation{rng: rng, memberRules: mr, rules: r, cutLinks: map[[2]string]bool{}, runs: map[string]int{}, lossPercent: 2}
	for d, n := range sizes {
		domain := string(rune('a' + d))
		sim.domains = append(sim.domains, domain)
		for i := range n {
			h := &simHost{sim: sim, id: fmt.Sprintf("%s%d", domain, i), domain: domain, clockRate: 0.995 + 0.01*rng.Float64()}
			sim.hosts = append(sim.hosts, h)
		}
	}
	for _, h := range sim.hosts {
		h.start()
	}
	sim.advance(16 * time.Second)
	return sim
}

func (sim *simulation) after(d time.Duration, f func()) {
	sim.queue.Add(sim.now+d, f)
}

// advance runs the events of the next d and checks the invariants after each of them.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now + d
	for at, ok := sim.queue.Next(); ok && at <= end && sim.violation == ""; at, ok = sim.queue.Next() {
		var event func()
		sim.now, event = sim.queue.Pop()
		event()
		sim.checkOwners()
	}
	sim.now = end
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("%v: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

// checkOwners fails if two processes of a domain both may act for a key, or if one does solo work while another one acts. Paused
// processes count, because their clocks continue to run.
func (sim *simulation) checkOwners() {
	owners, solo, actingHosts := map[[2]string]*simHost{}, map[string]*simHost{}, map[string]*simHost{}
	for _, h := range sim.hosts {
		if !h.up {
			continue
		}
		st, now := h.core.State(h.clock()), h.clock()
		if st.Solo(now) {
			solo[h.domain] = h
		}
		if st.Acting(now) {
			actingHosts[h.domain] = h
		}
		if s, a := solo[h.domain], actingHosts[h.domain]; s != nil && a != nil && s != a {
			sim.fail("%s does solo work while %s acts", s.id, a.id)
		}
		for _, key := range checkedKeys {
			if !st.Acting(now) || !st.Owns(key, now) {
				continue
			}
			if other := owners[[2]string{h.domain, key}]; other != nil {
				sim.fail("%s and %s both act for a key", other.id, h.id)
			}
			owners[[2]string{h.domain, key}] = h
		}
	}
}

var checkedKeys = []string{KeyName("t", "k0"), KeyName("t", "k1"), KeyName("t", "k2")}

func (sim *simulation) host(id string) *simHost {
	for _, h := range sim.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// deliver sends a message: f runs at the receiver within 3 ms, later, twice or never.
func (sim *simulation) deliver(from, to *simHost, f func()) {
	copies := 1
	if p := sim.rng.Intn(100); p < sim.lossPercent {
		copies = 0
	} else if p >= 97 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(sim.rng.Intn(3000)) * time.Microsecond
		if sim.rng.Intn(20) == 0 {
			delay = time.Duration(sim.rng.Intn(2500)) * time.Millisecond
		}
		inc := to.incarnation
		sim.after(delay, func() {
			if !sim.cutLinks[[2]string{from.id, to.id}] && to.incarnation == inc {
				to.receive(f)
			}
		})
	}
}

func (h *simHost) clock() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(h.sim.now) * h.clockRate))
}

func (h *simHost) start() {
	h.incarnation++
	h.up, h.paused, h.startedAt, h.backlog = true, false, h.sim.now, nil
	h.core = member.NewCore(api.HostIdentity{ID: h.id, Incarnation: h.incarnation}, h.domain, h.clock(), h.sim.memberRules)
	h.records = NewRecords(1000, h.sim.rules)
	h.tick(h.incarnation)
}

func (h *simHost) crash() {
	h.up, h.paused, h.backlog, h.endedAt = false, false, nil, h.sim.now
}

func (h *simHost) resume() {
	h.paused = false
	late := h.backlog
	h.backlog = nil
	for _, f := range late {
		f()
	}
}

// receive runs f in the process, or after its pause if it is paused.
func (h *simHost) receive(f func()) {
	switch {
	case !h.up:
	case h.paused:
		h.backlog = append(h.backlog, f)
	default:
		f()
	}
}

func (h *simHost) tick(inc int) {
	if h.incarnation != inc || !h.up {
		return
	}
	if !h.paused {
		h.updateList()
		h.send(h.core.Tick(h.clock()))
		h.fetchBlocks()
	}
	h.sim.after(modelTick+time.Duration(h.sim.rng.Intn(5000))*time.Microsecond, func() { h.tick(inc) })
}

// updateList reads the platform's host list, which shows the processes that ran hostListLag ago.
func (h *simHost) updateList() {
	var ids []string
	at := h.sim.now - hostListLag
	ended := member.EndedHosts{AsOf: h.clock().Add(-hostListLag * 101 / 100), Hosts: map[string]bool{}}
	for _, o := range h.sim.hosts {
		if o.domain != h.domain {
			continue
		}
		ids = append(ids, o.id)
		ran := o.startedAt <= at && (o.up || o.endedAt > at) || o.incarnation > 1 && o.startedAt > at && o.endedAt > at
		if !ran {
			ended.Hosts[o.id] = true
		}
	}
	h.core.SetCandidates(ids, ended)
}

func (h *simHost) send(out []member.OutgoingPing) {
	for _, o := range out {
		to := h.sim.host(o.To)
		h.sim.deliver(h, to, func() {
			pong, followUp, ok := to.core.OnPing(to.clock(), o.Ping)
			to.send(followUp)
			if ok {
				h.sim.deliver(to, h, func() { h.send(h.core.OnPong(h.clock(), pong)) })
			}
		})
	}
}
