package jobs

import (
	"testing"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
)

// Guards against a job that is covered by a guarantee but sent to a domain in which the team has no such guarantee.
func TestJobGoesToADomainThatGuaranteesItsShape(t *testing.T) {
	guarantee := func(domain string, parts int, adjacency api.GuaranteeAdjacency) api.Guarantee {
		return api.Guarantee{FailureDomain: domain, Count: 1, Parts: parts, Cores: 8, MemoryGb: 64, Accelerators: 8, Adjacency: adjacency}
	}
	lists := api.Lists{
		Teams: []api.Team{{Name: "stock", Plan: "p"}, {Name: "trials", Plan: "none"}},
		Plans: []api.Plan{{Name: "none"}, {Name: "p", Guarantees: []api.Guarantee{
			guarantee("b", 4, api.GuaranteeAdjacencyRack), guarantee("c", 8, api.GuaranteeAdjacencyDomain),
		}}},
	}
	cases := []struct {
		name  string
		team  string
		parts int
		adj   api.JobSpecAdjacency
		home  string
		want  string
	}{
		{"the only domain with a rack of that size", "stock", 4, api.JobSpecAdjacencyRack, "a", "b"},
		{"home is one of the covering domains", "stock", 2, api.JobSpecAdjacencyDomain, "c", "c"},
		{"larger than the rack guarantee", "stock", 8, api.JobSpecAdjacencyDomain, "a", "c"},
		{"larger than every guarantee stays at home", "stock", 9, api.JobSpecAdjacencyDomain, "a", "a"},
		{"team without guarantees stays at home", "trials", 1, api.JobSpecAdjacencyWorker, "a", "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			spec := api.JobSpec{SubmissionKey: "k", Team: c.team, Parts: c.parts, Cores: 8, MemoryGb: 64, Accelerators: 8, Adjacency: c.adj}
			must.Eq(t, c.want, ChooseDomain(lists, spec, c.home))
		})
	}
}
