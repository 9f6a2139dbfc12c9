package relay

import "slices"

// leaderFirstHosts is the number of other hosts up to which calls are relayed through the leader first. The leader writes to the table all the time, so that it
// most likely reaches it; in a larger deployment the calls of all hosts that the table refuses would be a load of the size of the leader's other work.
const leaderFirstHosts = 8

// Order returns the addresses of the hosts through which a host relays calls, in order of preference. self is the host's own address, leader that of the leader or
// empty, and others and seeds are further hosts. In a larger deployment each host begins at another one, and the leader comes last.
func Order(self, leader string, others, seeds []string) []string {
	out := make([]string, 0, len(others)+len(seeds)+1)
	seen := map[string]bool{self: true, "": true}
	add := func(addresses ...string) {
		for _, a := range addresses {
			if !seen[a] {
				seen[a] = true
				out = append(out, a)
			}
		}
	}
	if len(others) <= leaderFirstHosts {
		add(leader)
		add(others...)
		add(seeds...)
		return out
	}
	sorted := slices.Sorted(slices.Values(others))
	begin, _ := slices.BinarySearch(sorted, self)
	isLeader := func(a string) bool { return a == leader }
	add(slices.DeleteFunc(slices.Concat(sorted[begin:], sorted[:begin]), isLeader)...)
	add(slices.DeleteFunc(slices.Clone(seeds), isLeader)...)
	add(leader)
	return out
}
