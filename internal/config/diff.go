package config

import (
	"fmt"
	"slices"
	"strings"

	"samphirewell/internal/api"
)

// Diff describes the differences between two versions of the lists in operators' terms, one change per line. Order, comments and layout are ignored,
// so the result is empty if both versions have the same meaning.
func Diff(from, to api.Lists) []string {
	var d differ
	d.diffSet("failure domain", from.FailureDomains, to.FailureDomains)
	d.diffValue("policy: completion weight", from.Policy.CompletionWeight, to.Policy.CompletionWeight)
	d.diffValue("policy: fragmentation weight", from.Policy.FragmentationWeight, to.Policy.FragmentationWeight)
	d.diffTeams(from.Teams, to.Teams)
	d.diffPlans(from.Plans, to.Plans)
	return d.lines
}

type differ struct{ lines []string }

func (d *differ) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func (d *differ) diffValue(label string, from, to any) {
	if from != to {
		d.add("%s %v -> %v", label, from, to)
	}
}

// diffSet reports entries that are in only one of the lists. Repeated entries are compared by their number.
func (d *differ) diffSet(label string, from, to []string) {
	unmatched := slices.Clone(to)
	for _, name := range from {
		if i := slices.Index(unmatched, name); i >= 0 {
			unmatched = slices.Delete(unmatched, i, i+1)
			continue
		}
		d.add("%s %s removed", label, name)
	}
	for _, name := range unmatched {
		d.add("%s %s added", label, name)
	}
}

func (d *differ) diffTeams(from, to []api.Team) {
	name := func(t api.Team) string { return t.Name }
	oldByName := indexByName(from, name)
	for _, team := range to {
		before, ok := oldByName[team.Name]
		if !ok {
			d.add("team %s added with plan %s", team.Name, team.Plan)
			continue
		}
		d.diffValue("team "+team.Name+": plan", before.Plan, team.Plan)
	}
	newByName := indexByName(to, name)
	for _, team := range from {
		if _, ok := newByName[team.Name]; !ok {
			d.add("team %s removed (had plan %s)", team.Name, team.Plan)
		}
	}
}

func (d *differ) diffPlans(from, to []api.Plan) {
	name := func(p api.Plan) string { return p.Name }
	oldByName := indexByName(from, name)
	for _, plan := range to {
		before, ok := oldByName[plan.Name]
		if !ok {
			d.add("plan %s added", plan.Name)
		}
		d.diffPlan("plan "+plan.Name+": ", before, plan)
	}
	newByName := indexByName(to, name)
	for _, plan := range from {
		if _, ok := newByName[plan.Name]; !ok {
			d.add("plan %s removed", plan.Name)
		}
	}
}

// diffPlan reports the fields that differ; a new plan is compared with an empty one, so all its limits are listed.
func (d *differ) diffPlan(prefix string, from, to api.Plan) {
	d.diffSet(prefix+"service", from.Services, to.Services)
	d.diffValue(prefix+"calls per second", from.CallsPerSecond, to.CallsPerSecond)
	d.diffValue(prefix+"burst calls", from.BurstCalls, to.BurstCalls)
	d.diffValue(prefix+"concurrent calls", from.ConcurrentCalls, to.ConcurrentCalls)
	d.diffValue(prefix+"weight", from.Weight, to.Weight)
	d.diffValue(prefix+"accelerator limit", from.AcceleratorLimit, to.AcceleratorLimit)
	d.diffSet(prefix+"guarantee", describeGuarantees(from.Guarantees), describeGuarantees(to.Guarantees))
}

func describeGuarantees(guarantees []api.Guarantee) []string {
	list := make([]string, len(guarantees))
	for i, g := range guarantees {
		list[i] = DescribeGuarantee(g)
	}
	return list
}

// DescribeGuarantee formats a guarantee in operators' terms.
func DescribeGuarantee(g api.Guarantee) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d x %d parts (%d cores, %d GB, %d accelerators each)", g.Count, g.Parts, g.Cores, g.MemoryGb, g.Accelerators)
	fmt.Fprintf(&b, " within one %s of %s", g.Adjacency, g.FailureDomain)
	return b.String()
}

func indexByName[T any](list []T, name func(T) string) map[string]T {
	byName := make(map[string]T, len(list))
	for _, item := range list {
		byName[name(item)] = item
	}
	return byName
}

// listsOrEmpty returns the lists of a, or empty lists if a is nil.
func listsOrEmpty(a *Accepted) api.Lists {
	if a == nil {
		return api.Lists{}
	}
	return a.Lists
}

// versionOrZero returns the version number of a, or 0 if a is nil.
func versionOrZero(a *Accepted) int {
	if a == nil {
		return 0
	}
	return a.Version
}
