package relay

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a leader that is slowed down by relaying the calls of many hosts that the table refuses, and against hosts that all relay through the same one.
func TestCallsAreRelayedThroughManyHosts(t *testing.T) {
	var all []string
	for i := range 147 {
		all = append(all, fmt.Sprintf("10.0.0.%d:7000", i))
	}
	first := map[string]int{}
	for _, self := range all {
		others := slices.DeleteFunc(slices.Clone(all), func(a string) bool { return a == self })
		order := Order(self, all[3], others, []string{all[3], all[9], "10.9.9.9:7000"})
		must.SliceNotContains(t, order, self)
		must.Eq(t, len(slices.Compact(slices.Sorted(slices.Values(order)))), len(order))
		if self != all[3] {
			must.Eq(t, all[3], order[len(order)-1])
		}
		first[order[0]]++
	}
	for _, n := range first {
		must.LessEq(t, 2, n)
	}
}

// Guards against a small deployment in which the leader isn't tried first although it most likely reaches the table.
func TestFewHostsRelayThroughTheLeaderFirst(t *testing.T) {
	must.Eq(t, []string{"c:1", "a:1", "d:1", "s:1"}, Order("b:1", "c:1", []string{"a:1", "c:1", "d:1"}, []string{"b:1", "s:1"}))
	must.Eq(t, []string{"a:1"}, Order("b:1", "", []string{"a:1"}, nil))
}
