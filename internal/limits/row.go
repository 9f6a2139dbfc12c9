package limits

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
)

// RowKey is the key of the table row with the quota units per team and domain.
const RowKey = "limits/shares"

const (
	readPeriod     = time.Second            // interval at which the row writer of a domain reads the row
	moveReadPeriod = 500 * time.Millisecond // the same while units move between domains
	readWindow     = time.Second            // a domain makes at most four reads, or transactions that end in a conflict, within this time
	// A domain makes at most two writes within writeWindow. Demand that falls in one domain and rises in another is measured within half a second
	// in both, so a move takes a write of the demand, one or two releases, or a conflict.
	writeWindow = time.Second
)

// ErrBadRow means that the row limits/shares does not parse.
var ErrBadRow = errors.New("limits: row limits/shares is malformed")

// unitCap is the reduced limit of a team's units during a release.
type unitCap struct {
	units  int64
	serial int // serial of the first unit list that complies with it; 0 before there is one
}

// rowState is the row writer's copy of the row and the state of its requests.
type rowState struct {
	loaded  bool // some version of the row was read
	version int
	row     api.ShareRow

	// fenced: this writer has changed the version after all former writers stopped, so none of their writes can still take effect.
	fenced           bool
	settling         bool      // the units of the row as of the fence are not yet in the unit list
	fenceAfter       time.Time // time after which no former writer sends a write
	caps             map[string]unitCap
	uncertainVersion int // highest version on which a write of this writer, perhaps without a response, was conditional; -1 for none
	writeNumber      int // number of the last write
	epoch            int // incremented when a view change ends the row writer's state; responses of earlier epochs only update the copy of the row

	moving           bool // some domain is short of units, and units still have to move between domains
	requestPending   bool // a request is in flight
	nextRead         time.Time
	lastReads        [4]time.Time     // times of the last four reads, latest first
	lastWrites       [2]time.Time     // times of the last two writes, latest first
	announcedVersion int              // highest version that another domain announced
	floor            map[string]int64 // units per team that every version of the row leaves to the domain; see ApplyPeerRow
}

func (r *rowState) onViewChange(stillWriter bool, now time.Time) {
	if stillWriter {
		for name, c := range r.caps {
			r.caps[name] = unitCap{units: c.units} // serial 0: the members of the new view have to confirm it
		}
		return
	}
	r.epoch++
	r.fenced, r.settling, r.fenceAfter = false, false, now.Add(viewExpiry)
	r.caps, r.uncertainVersion, r.requestPending = map[string]unitCap{}, -1, false
}

// TableRequest is a request of the row writer to the table: a read of RowKey or a transaction.
type TableRequest struct {
	Txn   *api.TxnRequest // nil for a read
	epoch int
	fence bool
	row   api.ShareRow
}

// NextTableRequest returns the request to send now, if any. The caller passes the response or the error to OnTableResponse; no further request is
// returned until then.
func (n *Node) NextTableRequest(now time.Time) (TableRequest, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w, r := &n.rowWriter, &n.rowWriter.row
	if n.rowWriterMember() != n.self || !n.hasAuthority(now) || w.serial == 0 || r.requestPending {
		return TableRequest{}, false
	}
	if r.readDue(now) {
		r.requestPending, r.nextRead = true, now.Add(readPeriod)
		r.recordRead(now)
		if r.moving {
			r.nextRead = now.Add(moveReadPeriod)
		}
		return TableRequest{epoch: r.epoch}, true
	}
	row, changed := r.row, now.After(r.fenceAfter)
	if r.fenced {
		row, changed = w.propose(now)
		w.applyRow()
	}
	if !changed || !r.mayWrite(now) {
		return TableRequest{}, false
	}
	return w.newWrite(row, now), true
}

// readDue reports whether the row should be read: periodically, or early because another domain announced a later version.
func (r *rowState) readDue(now time.Time) bool {
	due := !r.loaded || !now.Before(r.nextRead) || r.announcedVersion > r.version
	return due && r.mayRead(now)
}

func (r *rowState) mayRead(now time.Time) bool {
	return r.lastReads[3].IsZero() || now.Sub(r.lastReads[3]) >= readWindow
}

func (r *rowState) recordRead(now time.Time) {
	r.lastReads = [4]time.Time{now, r.lastReads[0], r.lastReads[1], r.lastReads[2]}
}

func (r *rowState) mayWrite(now time.Time) bool {
	return r.mayRead(now) && (r.lastWrites[1].IsZero() || now.Sub(r.lastWrites[1]) >= writeWindow)
}

// newWrite returns the transaction that writes the row if it is still at the version that was read.
func (w *rowWriter) newWrite(row api.ShareRow, now time.Time) TableRequest {
	r := &w.row
	r.writeNumber++
	row.Writer, row.Number = w.n.self, r.writeNumber
	if row.Teams == nil {
		row.Teams = []api.RowTeam{}
	}
	text, err := json.Marshal(row)
	if err != nil {
		panic("limits: row does not marshal: " + err.Error())
	}
	r.requestPending, r.lastWrites = true, [2]time.Time{now, r.lastWrites[0]}
	r.uncertainVersion = max(r.uncertainVersion, r.version)
	return TableRequest{epoch: r.epoch, fence: !r.fenced, row: row, Txn: &api.TxnRequest{
		Conditions: []api.TableCondition{{Key: RowKey, Version: r.version}},
		Writes:     []api.TableWrite{{Key: RowKey, Value: string(text)}},
	}}
}

// OnTableResponse handles the response to a request: the rows of a read, the result of a transaction, or the error. It returns ErrBadRow when the
// row does not parse; the units then do not change.
func (n *Node) OnTableResponse(req TableRequest, rows []api.TableRow, committed bool, err error, now time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.signals.signal()
	defer n.rowWriter.step(now)
	r := &n.rowWriter.row
	current := req.epoch == r.epoch
	if current {
		r.requestPending = false
	}
	if req.Txn == nil {
		r.announcedVersion = 0
	}
	if err != nil {
		return nil
	}
	if err := r.applyRows(rows); err != nil {
		return err
	}
	if !current || req.Txn == nil {
		return nil
	}
	if !committed { // a conflict returns the row, so it counts as a read
		r.lastWrites = [2]time.Time{r.lastWrites[1]}
		r.recordRead(now)
		return nil
	}
	n.signals.rowVersion = r.version
	if req.fence {
		r.fenced, r.settling = true, true
	}
	return nil
}

// applyRows replaces the copy of the row when the given one is newer. A row that does not exist has version 0.
func (r *rowState) applyRows(rows []api.TableRow) error {
	version, row := 0, api.ShareRow{}
	for _, tr := range rows {
		if tr.Key != RowKey || tr.Version == 0 {
			continue
		}
		version = tr.Version
		if err := json.Unmarshal([]byte(tr.Value), &row); err != nil {
			return errors.Wrap(ErrBadRow, err.Error())
		}
	}
	if r.loaded && version <= r.version {
		return nil
	}
	r.loaded, r.version, r.row = true, version, row
	return nil
}

// writesResolved reports whether no write with an unknown outcome can still take effect.
func (r *rowState) writesResolved() bool { return r.version > r.uncertainVersion && !r.requestPending }

// unitsOfDomain returns the units of the domain in the row, per team.
func (r *rowState) unitsOfDomain(domain string) map[string]int64 {
	out := map[string]int64{}
	for _, t := range r.row.Teams {
		for _, d := range t.Domains {
			if d.Domain == domain {
				out[t.Team] = int64(d.Units)
			}
		}
	}
	return out
}

// ApplyPeerRow sets a copy of the row received from a host of another domain, for use while the platform is unavailable. The copy may be outdated, so
// a domain whose hosts have all just started uses at most MinQuotaUnits of each team, which no later version of the row takes from a domain. It
// returns ErrBadRow when the copy does not parse.
func (n *Node) ApplyPeerRow(value string) error {
	var row api.ShareRow
	if err := json.Unmarshal([]byte(value), &row); err != nil {
		return errors.Wrap(ErrBadRow, err.Error())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	other := rowState{row: row}
	n.rowWriter.row.floor = map[string]int64{}
	for name, units := range other.unitsOfDomain(n.domain) {
		n.rowWriter.row.floor[name] = min(units, MinQuotaUnits)
	}
	return nil
}

// Row returns the row as last read, to be passed to hosts of other domains, or "" when it was not read yet.
func (n *Node) Row() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.rowWriter.row.loaded {
		return ""
	}
	text, err := json.Marshal(n.rowWriter.row.row)
	if err != nil {
		panic("limits: row does not marshal: " + err.Error())
	}
	return string(text)
}

// copyRow returns a deep copy of the row that also contains the planned teams missing from it, sorted by team.
func (w *rowWriter) copyRow() api.ShareRow {
	out := api.ShareRow{Teams: []api.RowTeam{}}
	index := map[string]int{}
	for _, t := range w.row.row.Teams {
		index[t.Team] = len(out.Teams)
		out.Teams = append(out.Teams, api.RowTeam{Team: t.Team, Domains: append([]api.RowDomain{}, t.Domains...)})
	}
	for name := range w.n.plans {
		if _, ok := index[name]; !ok {
			out.Teams = append(out.Teams, api.RowTeam{Team: name, Domains: []api.RowDomain{}})
		}
	}
	sort.Slice(out.Teams, func(a, b int) bool { return out.Teams[a].Team < out.Teams[b].Team })
	return out
}
