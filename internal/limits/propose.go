package limits

import (
	"slices"
	"sort"
	"time"

	"samphirewell/internal/api"
)

const (
	fewCalls         = 4                // a plan with fewer calls per domain (or member) is divided in whole calls
	peakPeriod       = 5 * time.Second  // time for which a domain keeps its highest demand for a plan with few calls
	domainSlotPeriod = 20 * time.Second // shortest time slot of a domain when a plan has too few calls for all domains

	demandStep     = 50  // units; a smaller change of the demand is not written
	shortageFactor = 1.5 // factor on the demand of a domain that is short: its callers are refused, so the measured demand is too low
	surgeThreshold = 4   // multiple of the held units above which a demand is treated as the first measurement after load has moved to the domain
	surgeFactor    = 3.  // factor on such a demand: the measurement covers only a part of the time since the move
	minMove        = 5   // units; smaller moves between domains are not worth a write
)

// propose returns the row that this domain should write, and whether it has to be written. It also starts and ends releases: a team whose units are
// to be released gets a cap first, and the units are removed from the domain's entry in the row once all members comply with the cap.
func (w *rowWriter) propose(now time.Time) (api.ShareRow, bool) {
	// A cap whose write has an unknown outcome is removed only once a later version of the row shows that the write can no longer take effect, so the
	// row is written to get a later version.
	row, changed := w.copyRow(), len(w.row.caps) > 0 && !w.row.writesResolved()
	demands := w.demandedUnits()
	w.row.moving = false
	for i := range row.Teams {
		t := &row.Teams[i]
		if _, planned := w.n.plans[t.Team]; !planned {
			continue
		}
		if w.proposeTeam(t, demands[t.Team], now) {
			changed = true
		}
	}
	return row, changed
}

// proposeTeam updates the domain's entry for one team of the row and reports whether it has to be written.
func (w *rowWriter) proposeTeam(t *api.RowTeam, demand int64, now time.Time) (changed bool) {
	own, hasEntry := domainEntry(t, w.n.domain)
	demand = w.peakDemand(t.Team, demand, now)
	switch held := max(int64(own.Units), MinQuotaUnits); {
	case demand > surgeThreshold*held:
		demand = min(QuotaUnits, int64(float64(demand)*surgeFactor))
	case demand > held:
		demand = min(QuotaUnits, int64(float64(demand)*shortageFactor))
	}
	if !hasEntry {
		demand = max(demand, MinQuotaUnits)
	}
	div := w.divide(t, demand, now)
	w.row.moving = w.row.moving || div.movesUnits(t)
	target := div.target
	held := int64(own.Units)
	// A domain without an entry, or with fewer units than the minimum, takes free units without waiting for a shortage.
	switch {
	case !hasEntry || (div.short && target > held+minMove) || held < MinQuotaUnits:
		w.removeCap(t.Team)
		if _, capped := w.row.caps[t.Team]; !capped {
			if take := min(div.free, target-held); take > 0 {
				own.Units += int(take)
				changed = true
			}
		}
	case div.short && target < held-minMove || div.short && target == MinQuotaUnits && held > target:
		if !w.stepRelease(t.Team, held, target) {
			return false // the lower demand is written together with the release, which would otherwise have to wait for the next write
		}
		own.Units = int(w.row.caps[t.Team].units)
		div.assignReleased(t, held-int64(own.Units))
		changed = true
	default:
		w.removeCap(t.Team)
	}
	if changed || !hasEntry || w.demandWriteDue(t, div, own, demand, now) {
		own.Want = int(demand)
		changed = true
	}
	if changed {
		setDomainEntry(t, own)
	}
	return changed
}

// division is how the units of one team should be divided, given the row and this domain's current demand.
type division struct {
	short  bool  // some domain demands more units than it holds
	target int64 // units that this domain should hold
	free   int64 // units that this domain may take

	domains []string
	targets []int64 // units that each domain should hold
}

// demandPeak is the highest demand for a team in the last peakPeriod.
type demandPeak struct {
	units int64
	at    time.Time
}

// peakDemand returns the demand of the domain. For a plan with few calls this is the highest demand in peakPeriod, since single calls that start and
// end would otherwise keep moving whole calls between the domains.
func (w *rowWriter) peakDemand(name string, demand int64, now time.Time) int64 {
	if !w.n.plans[name].domainShare(QuotaUnits).servesFewCallers(len(w.n.domains)) {
		return demand
	}
	p := w.peakDemands[name]
	if demand >= p.units || now.Sub(p.at) >= peakPeriod {
		p = demandPeak{demand, now}
		w.peakDemands[name] = p
	}
	return p.units
}

// movesUnits reports whether some domain is short and some domain does not hold its target.
func (d division) movesUnits(t *api.RowTeam) bool {
	for i, name := range d.domains {
		e, _ := domainEntry(t, name)
		if diff := int64(e.Units) - d.targets[i]; d.short && (diff > minMove || diff < -minMove) {
			return true
		}
	}
	return false
}

// assignReleased adds released units to the entries of the domains that are short, so that they need no write of their own to take them.
func (d division) assignReleased(t *api.RowTeam, released int64) {
	for i, name := range d.domains {
		e, hasEntry := domainEntry(t, name)
		if n := min(released, d.targets[i]-int64(e.Units)); hasEntry && e.Want > e.Units && n > 0 {
			e.Units += int(n)
			released -= n
			setDomainEntry(t, e)
		}
	}
}

// divide divides the units among all domains by their demands, after MinQuotaUnits for each.
func (w *rowWriter) divide(t *api.RowTeam, demand int64, now time.Time) division {
	domains := slices.Clone(w.n.domains)
	if !slices.Contains(domains, w.n.domain) {
		domains = append(domains, w.n.domain)
	}
	demands := make([]float64, len(domains))
	d := division{free: QuotaUnits}
	own := 0
	for i, name := range domains {
		e, hasEntry := domainEntry(t, name)
		if name == w.n.domain {
			e.Want, own = int(demand), i
		} else if !hasEntry {
			d.free -= MinQuotaUnits
		}
		demands[i] = max(0, float64(e.Want-MinQuotaUnits))
		d.short = d.short || e.Want > e.Units
	}
	for _, entry := range t.Domains {
		d.free -= int64(entry.Units)
	}
	d.domains, d.targets = domains, targetUnits(w.n.plans[t.Team], demands, now)
	d.target = d.targets[own]
	d.free = max(0, d.free)
	return d
}

// targetUnits divides the units of a plan by the demands of the domains and returns the units of each domain. A plan with few calls is divided in
// whole calls among as many domains as it can serve, which change from time slot to time slot; no domain can use a fraction of a call.
func targetUnits(p Plan, demands []float64, now time.Time) []int64 {
	n := len(demands)
	targets := make([]int64, n)
	plan := p.domainShare(QuotaUnits)
	callers := plan.concurrentCallers()
	if plan.servesFewCallers(n) {
		demands = demandsOfFirst(demands, callers, p.slotMember(n, domainSlotPeriod, now))
		inCalls := make([]float64, n)
		for i, demand := range demands {
			inCalls[i] = demand / QuotaUnits * float64(callers)
		}
		for i, calls := range maxMinFairWhole(callers, inCalls, 0) {
			targets[i] = unitsFor(callers, calls)
		}
	}
	spare := int64(QuotaUnits)
	for i := range targets {
		targets[i] = max(targets[i], MinQuotaUnits)
		spare -= targets[i]
	}
	more := make([]float64, n)
	for i, demand := range demands {
		more[i] = max(0, demand-float64(targets[i]))
	}
	for i, units := range maxMinFair(float64(max(0, spare)), more) {
		targets[i] += int64(units)
	}
	return targets
}

// stepRelease sets or lowers the cap of a team's units. It reports whether all members comply with the cap, so that the released units may be
// removed from the row.
func (w *rowWriter) stepRelease(name string, held, target int64) bool {
	c, capped := w.row.caps[name]
	if !capped || c.units >= held || target < c.units-minMove {
		w.row.caps[name] = unitCap{units: target}
		return false
	}
	return c.serial > 0 && w.allConfirmed(c.serial)
}

// removeCap ends a release unless a write of it can still take effect.
func (w *rowWriter) removeCap(name string) {
	if w.row.writesResolved() {
		delete(w.row.caps, name)
	}
}

// demandWriteDue reports whether the demand in the row is too inaccurate for the other domains: the units would be divided differently, or the
// demand differs by more than shortageFactor, as when the first measurement after a move covers only a part of the demand. Other changes are not
// significant, and under overload each of them would cost a write.
func (w *rowWriter) demandWriteDue(t *api.RowTeam, current division, own api.RowDomain, demand int64, now time.Time) bool {
	written := int64(own.Want)
	if abs(demand-written) < demandStep || !current.short && own.Want <= own.Units {
		return false
	}
	if float64(demand) > shortageFactor*float64(written) || float64(written) > shortageFactor*float64(demand) {
		return true
	}
	return abs(w.divide(t, written, now).target-current.target) > minMove
}

func domainEntry(t *api.RowTeam, domain string) (api.RowDomain, bool) {
	for _, d := range t.Domains {
		if d.Domain == domain {
			return d, true
		}
	}
	return api.RowDomain{Domain: domain}, false
}

func setDomainEntry(t *api.RowTeam, e api.RowDomain) {
	for i := range t.Domains {
		if t.Domains[i].Domain == e.Domain {
			t.Domains[i] = e
			return
		}
	}
	t.Domains = append(t.Domains, e)
	sort.Slice(t.Domains, func(a, b int) bool { return t.Domains[a].Domain < t.Domains[b].Domain })
}
