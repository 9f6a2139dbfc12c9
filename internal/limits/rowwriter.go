package limits

import (
	"sort"
	"time"

	"samphirewell/internal/api"
)

// MinQuotaUnits is the number of quota units of each team that a domain keeps once it holds them.
const MinQuotaUnits = 5

// quotaUnits is the number of units of one team's limits that the domain may use. Settled units were held when the view began, so hosts that left
// may still use them; the rest was acquired in this view.
type quotaUnits struct{ units, settled int64 }

// rowWriter tracks the quota units of the domain on every host; only the member that is the row writer of the view reads and writes the table row.
// The row writer distributes the units as a list with a serial. Units are raised in the list only after the row contains the increase, and lowered
// in the row only after all members use the lower list. Any member that survives a view change therefore has a list that is safe to use.
type rowWriter struct {
	n      *Node
	serial int                   // serial of the list in this view; 0 while the writer has not distributed one
	units  map[string]quotaUnits // the unit list; that of an earlier view while serial is 0

	// State of the row writer, reset when the view changes.
	reportedList    map[string]bool           // members that reported their list
	memberSerial    map[string]int            // serial of the last list that each member reported or was sent
	leastUnits      map[string]int64          // lowest units per team in the lists that the members reported
	confirmedSerial map[string]int            // serial that the shares granted by each member comply with
	demands         map[string][]api.TeamWant // demand for units of the teams that each member owns

	peakDemands map[string]demandPeak // highest recent demand of the domain, for plans with few calls

	row rowState
}

func newRowWriter(n *Node) rowWriter {
	w := rowWriter{n: n, units: map[string]quotaUnits{}, peakDemands: map[string]demandPeak{}}
	w.reset()
	return w
}

func (w *rowWriter) reset() {
	w.serial = 0
	w.reportedList, w.leastUnits, w.memberSerial = map[string]bool{}, map[string]int64{}, map[string]int{}
	w.confirmedSerial, w.demands = map[string]int{}, map[string][]api.TeamWant{}
}

// onViewChange resets the list. A row writer that keeps this role while no member left also keeps the state of its own writes.
func (w *rowWriter) onViewChange(old View, now time.Time) {
	w.reset()
	stillWriter := w.n.keepsMembersOf(old) && old.owner("limits/shares") == w.n.self && w.n.rowWriterMember() == w.n.self
	w.row.onViewChange(stillWriter, now)
}

// unitsOf returns the units of a team, and how many of them hosts that left may still use.
func (w *rowWriter) unitsOf(name string) (units, settled int64) {
	u := w.units[name]
	return u.units, u.settled
}

// listToReport returns the serial of the list of this view or, while there is none, 0 and the units of the earlier view.
func (w *rowWriter) listToReport() (int, []api.TeamUnits) {
	if w.serial > 0 {
		return w.serial, []api.TeamUnits{}
	}
	return 0, w.list()
}

// list returns the units sorted by team.
func (w *rowWriter) list() []api.TeamUnits {
	out := make([]api.TeamUnits, 0, len(w.units))
	for name, u := range w.units {
		out = append(out, api.TeamUnits{Team: name, Units: int(u.units), Settled: int(u.settled)})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Team < out[b].Team })
	return out
}

// setList replaces the units by the list of the row writer.
func (w *rowWriter) setList(serial int, list []api.TeamUnits) {
	w.serial = serial
	w.units = make(map[string]quotaUnits, len(list))
	for _, u := range list {
		w.units[u.Team] = quotaUnits{int64(u.Units), int64(u.Settled)}
	}
}

// onDemand records what a member reports to the row writer. The reported units are merged only once per member and view.
func (w *rowWriter) onDemand(from string, d api.ShareDemand, _ time.Time) {
	w.confirmedSerial[from], w.demands[from] = d.Confined, d.Wants
	w.memberSerial[from] = d.Known
	if w.reportedList[from] {
		return
	}
	w.reportedList[from] = true
	for _, u := range d.Units {
		if least, ok := w.leastUnits[u.Team]; !ok || int64(u.Units) < least {
			w.leastUnits[u.Team] = int64(u.Units)
		}
	}
}

// step creates the first list of the view once all members have reported theirs, and updates it from the row afterwards.
func (w *rowWriter) step(now time.Time) {
	if w.n.rowWriterMember() != w.n.self || !w.n.hasAuthority(now) || len(w.reportedList) < len(w.n.view.Members) {
		return
	}
	if w.serial == 0 {
		w.units = map[string]quotaUnits{}
		for name, u := range w.leastUnits {
			w.units[name] = quotaUnits{u, u}
		}
		w.serial = 1
	}
	w.applyFloor()
	w.applyRow()
}

// nextSerial gives the changed list a new serial and wakes the loop that sends messages, so that the members are notified.
func (w *rowWriter) nextSerial() {
	w.serial++
	w.n.signals.signal()
}

// applyFloor lets a domain whose hosts all started without a unit list use the units that every version of the row leaves to the domain.
func (w *rowWriter) applyFloor() {
	if w.row.fenced || len(w.units) > 0 || len(w.row.floor) == 0 {
		return
	}
	for name, u := range w.row.floor {
		w.units[name] = quotaUnits{u, u}
	}
	w.nextSerial()
}

// applyRow sets the units to those of the row, or to a lower cap while a release is in progress.
func (w *rowWriter) applyRow() {
	r := &w.row
	if !r.fenced {
		return
	}
	changed := false
	for name, own := range r.unitsOfDomain(w.n.domain) {
		u := w.units[name]
		next := quotaUnits{own, u.settled}
		if r.settling {
			next.settled = max(u.settled, own)
		}
		if c, ok := r.caps[name]; ok {
			next.units = min(own, c.units)
		}
		if next != u {
			w.units[name] = next
			changed = true
		}
	}
	r.settling = false
	if changed {
		w.nextSerial()
	}
	for name, c := range r.caps {
		if c.serial == 0 {
			c.serial = w.serial
			r.caps[name] = c
		}
	}
}

// allConfirmed reports whether the shares granted by all members comply with the list with the given serial or a later one.
func (w *rowWriter) allConfirmed(serial int) bool {
	for _, m := range w.n.view.Members {
		if w.confirmedSerial[m] < serial {
			return false
		}
	}
	return true
}

// demandedUnits returns the units of each team that the domain demands.
func (w *rowWriter) demandedUnits() map[string]int64 {
	out := map[string]int64{}
	for _, demands := range w.demands {
		for _, d := range demands {
			out[d.Team] = max(out[d.Team], int64(d.Units))
		}
	}
	return out
}
