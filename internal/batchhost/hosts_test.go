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

// Guards against a leader that has no addresses of other hosts: with an empty list of seed hosts, no other host could forward its requests to the
// adviser or to the table.
func TestHostListNamesTheOtherHosts(t *testing.T) {
	var l hostList
	now := time.Unix(1000, 0)
	must.NoError(t, l.observe([]rowstore.Row{hostRowOf("a", "1:1"), hostRowOf("b", "2:1"), hostRowOf("c", "3:1"),
		{Key: rowstore.Key{Table: "states", Key: "job"}, Value: []byte(`{"s":"pending"}`)}}, true, now))
	must.Eq(t, []string{"1:1", "3:1"}, l.others("b"))
	deleted := hostRowOf("a", "")
	deleted.Deleted = true
	must.NoError(t, l.observe([]rowstore.Row{deleted, hostRowOf("b", "2:2")}, false, now))
	must.Eq(t, []string{"2:2"}, l.others("c"))
	must.Error(t, l.observe([]rowstore.Row{hostRowOf("d", "")}, false, now))
}

// Guards against a list that keeps every host that ever ran, and against a listing of the whole table that changes the age of rows: hosts that still
// write would be removed, or hosts that stopped would be kept.
func TestHostListForgetsHostsThatStoppedWriting(t *testing.T) {
	var l hostList
	now := time.Unix(1000, 0)
	rows := []rowstore.Row{hostRowOf("a", "1:1"), hostRowOf("b", "2:1")}
	must.NoError(t, l.observe(rows, true, now))
	later := now.Add(staleHostAge + time.Second)
	must.NoError(t, l.observe(rows[1:], false, later.Add(-time.Minute)))
	must.NoError(t, l.observe(rows, true, later))
	must.Eq(t, []string{"a"}, l.stale(later))
}
