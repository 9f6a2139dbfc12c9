package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/api"
)

var start = time.Unix(1000, 0)

func list(asOf, now int, ids ...string) api.HostListResponse {
	l := api.HostListResponse{AsOfMS: asOf, NowMS: now}
	for _, id := range ids {
		l.Hosts = append(l.Hosts, api.HostEntry{ID: id, Incarnation: "1", Role: api.HostEntryRoleExecutor})
	}
	return l
}

func ids(r *Registry) (out []string) {
	for _, s := range r.Snapshot().Servers {
		out = append(out, s.ID)
	}
	return out
}

// Guards against a registry that removes servers because of an empty, stale or repeated list, or that never removes absent ones.
func TestOnlyThreeFreshListsRemoveAnAbsentServer(t *testing.T) {
	r := New()
	r.Observe(list(1, 1, "a", "b"), start)
	for i := range 5 {
		r.Observe(list(10+i, 10+i), start)        // empty
		r.Observe(list(10+i, 31_000, "a"), start) // stale
		r.Observe(list(10, 10, "a"), start)       // not newer
		must.Eq(t, []string{"a", "b"}, ids(r))
	}
	for i := range 2 {
		r.Observe(list(100+i, 100, "a"), start)
		must.Eq(t, []string{"a", "b"}, ids(r))
	}
	r.ObserveSuccess("b", "1", start.Add(time.Second))
	r.Observe(list(102, 102, "a"), start)
	must.Eq(t, []string{"a", "b"}, ids(r), must.Sprint("a server that responds was removed"))
	r.Observe(list(103, 103, "a", "b"), start.Add(2*time.Second))
	for i := range 3 {
		r.Observe(list(104+i, 104+i, "a"), start.Add(2*time.Second))
	}
	must.Eq(t, []string{"a"}, ids(r))
}

// Guards against a leaving incarnation that becomes usable again because of a later list.
func TestLeavingIsStickyForTheIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now, left := New(), start, map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			inc := fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "incarnation"))
			if rapid.Bool().Draw(t, "observe") {
				l := list(rapid.IntRange(1, 50).Draw(t, "asOf"), 50, "a")
				l.Hosts[0].Incarnation, l.Hosts[0].Leaving = inc, rapid.Bool().Draw(t, "leaving")
				left[inc] = left[inc] || l.Hosts[0].Leaving
				r.Observe(l, now)
			} else {
				r.ObserveLeaving("a", inc, now)
				left[inc] = true
			}
			for _, s := range r.Snapshot().Servers {
				must.Eq(t, left[s.Incarnation], s.Leaving)
			}
		}
	})
}
