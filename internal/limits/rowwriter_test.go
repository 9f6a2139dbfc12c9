package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
)

// teamOwner returns a node in a view of three members, in which it is the share owner of team "a" and another member is the row writer.
func teamOwner(t *testing.T) (n *Node, others []string) {
	for i := range 100 {
		id := fmt.Sprintf("h%d", i)
		v := View{ID: id, Members: []string{id, "x", "y"}}
		if v.owner("a") == id && v.owner(RowKey) != id {
			n = NewNode(id, "d0", start)
			n.SetPlans(map[string]Plan{"a": {Rate: 100, Burst: 50, Calls: 10}}, []string{"d0"}, start)
			n.OnViewChange(v, start)
			n.SetViewLease(start.Add(time.Hour))
			n.rowWriter.setList(1, []api.TeamUnits{{Team: "a", Units: QuotaUnits}})
			return n, v.Members[1:]
		}
	}
	t.Fatal("no name owns the team")
	return nil, nil
}

// Guards against a share owner that grants what a member that has not reported yet is still using.
func TestOwnerGrantsNothingBeforeAllMembersReported(t *testing.T) {
	n, others := teamOwner(t)
	n.Tick(start)
	demand := api.ShareDemand{View: n.view.ID, Number: 1, Full: true,
		Reports: []api.TeamReport{{Team: "a", WantCalls: 10, WantRate: 1e6}}}
	g, ok := n.OnDemand(others[0], demand, start)
	must.True(t, ok)
	must.SliceEmpty(t, g.Shares)
	_, _ = n.OnDemand(others[1], api.ShareDemand{View: n.view.ID, Number: 1, Full: true,
		Reports: []api.TeamReport{{Team: "a", Calls: 7}}}, start)
	demand.Number = 2
	g, _ = n.OnDemand(others[0], demand, start)
	must.Eq(t, 3, g.Shares[0].Calls)
}

// Guards against a new row writer that continues with units that, according to a survivor's list, are being released.
func TestNewRowWriterUsesLeastUnitsOfSurvivors(t *testing.T) {
	n := NewNode("b", "d0", start)
	n.OnViewChange(View{ID: "v", Members: []string{"b"}}, start)
	n.SetViewLease(start.Add(time.Hour))
	n.rowWriter.onDemand("b", api.ShareDemand{Units: []api.TeamUnits{{Team: "a", Units: 300}}}, start)
	n.rowWriter.onDemand("c", api.ShareDemand{Units: []api.TeamUnits{{Team: "a", Units: 400}}}, start)
	n.rowWriter.step(start)
	must.Eq(t, quotaUnits{300, 300}, n.rowWriter.units["a"])
}

// Guards against using units again while a write with unknown outcome that releases them can still take effect.
func TestCapStaysWhileAWriteIsUncertain(t *testing.T) {
	w := newRowWriter(NewNode("b", "d0", start))
	w.row = rowState{version: 5, uncertainVersion: 5, caps: map[string]unitCap{"a": {units: 300, serial: 1}}}
	w.removeCap("a")
	must.MapLen(t, 1, w.row.caps)
	w.row.version = 6
	w.removeCap("a")
	must.MapEmpty(t, w.row.caps)
}
