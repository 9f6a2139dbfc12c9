package timeline

import (
	"sync"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
)

// DefaultCapacity is the capacity of a host's ring in events; an event takes about 300 bytes.
const DefaultCapacity = 16384

// Ring keeps the newest events of one host. It is safe for concurrent use.
type Ring struct {
	hostID, domain string
	clk            clock.Clock
	hlc            *HLC

	mu      sync.Mutex
	events  []api.Event // circular; event seq is at index (seq-1) % cap
	nextSeq int         // seq of the next event
}

// NewRing returns an empty ring for capacity events.
func NewRing(hostID, domain string, capacity int, clk clock.Clock) *Ring {
	return &Ring{hostID: hostID, domain: domain, clk: clk, hlc: NewHLC(clk), events: make([]api.Event, 0, capacity), nextSeq: 1}
}

// HLC returns the clock that stamps the events; messages between hosts carry its readings.
func (r *Ring) HLC() *HLC { return r.hlc }

// Record stamps e with the host, a sequence number and the time, and stores it. A Count of 0 is stored as 1.
func (r *Ring) Record(e api.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.hlc.Now()
	e.HostID, e.FailureDomain = r.hostID, r.domain
	e.HlcMS, e.HlcCount = now.Ms, now.Count
	e.WallMS = int(r.clk.Now().UnixMilli())
	e.Seq = r.nextSeq
	if e.Count == 0 {
		e.Count = 1
	}
	r.nextSeq++
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[(e.Seq-1)%cap(r.events)] = e
}

// Page returns at most limit events with a sequence number of at least from, oldest first. If OldestSeq of the page is above 1, older
// events were overwritten.
func (r *Ring) Page(from, limit int) api.TimelinePage {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.nextSeq - len(r.events)
	from = max(from, oldest)
	end := min(r.nextSeq, from+limit)
	page := api.TimelinePage{
		HostID: r.hostID, OldestSeq: oldest, NextSeq: r.nextSeq,
		HlcMS: r.hlc.Now().Ms, WallMS: int(r.clk.Now().UnixMilli()), Events: make([]api.Event, 0, max(0, end-from)),
	}
	for seq := from; seq < end; seq++ {
		page.Events = append(page.Events, r.events[(seq-1)%cap(r.events)])
	}
	return page
}
