package batchhost

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/rowstore"
)

func hostRowOf(id, address string) rowstore.Row {
	return rowstore.Row{Key: hostKey(id), Value: []byte(`{"address":"` + address + `","boot":"b"}`)}
}

// Guards against a leader that knows no other host: with empty seeds it had nobody to ask the adviser for it or to reach the table through.
func TestHostListNamesTheOtherHosts(t *testing.T) {
	var l hostList
	now := time.Unix(1000, 0)
	must.NoError(t, l.observe([]rowstore.Row{hostRowOf("a", "1:1"), hostRowOf("b", "2:1"), hostRowOf("c", "3:1"),
		{Key: rowstore.Key{Table: "states", Key: "job"}, Value: []byte(`{"s":"pending"}`)}}, true, now))
	must.Eq(t, []string{"1:1", "3:1"}, l.others("b"))
	gone := hostRowOf("a", "")
	gone.Deleted = true
	must.NoError(t, l.observe([]rowstore.Row{gone, hostRowOf("b", "2:2")}, false, now))
	must.Eq(t, []string{"2:2"}, l.others("c"))
	must.Error(t, l.observe([]rowstore.Row{hostRowOf("d", "")}, false, now))
}

// Guards against a list that grows with every host that ever was, and against forgetting a host because the table was listed again.
func TestHostListForgetsHostsThatStoppedWriting(t *testing.T) {
	var l hostList
	now := time.Unix(1000, 0)
	rows := []rowstore.Row{hostRowOf("a", "1:1"), hostRowOf("b", "2:1")}
	must.NoError(t, l.observe(rows, true, now))
	later := now.Add(hostForgotten + time.Second)
	must.NoError(t, l.observe(rows[1:], false, later.Add(-time.Minute)))
	must.NoError(t, l.observe(rows, true, later))
	must.Eq(t, []string{"a"}, l.forgotten(later))
}
