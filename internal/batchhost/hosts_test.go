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

// Guards against two hosts that both take themselves for the first to probe a leader, and against probes of hosts that may claim leadership late only.
func TestHostsAgreeOnTheOrderOfProbes(t *testing.T) {
	var l hostList
	row := func(id, cores string) rowstore.Row {
		return rowstore.Row{Key: hostKey(id), Value: []byte(`{"address":"1:1","boot":"b","cores":` + cores + `}`)}
	}
	must.NoError(t, l.observe([]rowstore.Row{row("a", "0.2"), row("b", "0.8"), row("c", "0.2"), row("d", "0.8"), row("e", "0.2")}, true, time.Unix(1000, 0)))
	for epoch := range uint64(20) {
		ranks := map[int]string{}
		for id, cores := range map[string]float64{"a": 0.2, "b": 0.8, "c": 0.2, "d": 0.8, "e": 0.2} {
			ranks[l.rank(id, cores, epoch)] = id
		}
		must.MapLen(t, 5, ranks)
		must.SliceContains(t, []string{"b", "d"}, ranks[0])
		must.SliceContains(t, []string{"b", "d"}, ranks[1])
	}
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
