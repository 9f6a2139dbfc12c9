package jobs

import (
	"hash/fnv"
	"slices"

	"samphirewell/internal/api"
)

// ChooseDomain returns the failure domain for a new job: the home domain if a guarantee of the team covers the job there or nowhere, else one of the
// domains in which a guarantee covers it. The job id selects among several, so that equal submissions through any host give the same domain.
func ChooseDomain(lists api.Lists, spec api.JobSpec, home string) string {
	covering := coveringDomains(lists, spec)
	if len(covering) == 0 || slices.Contains(covering, home) {
		return home
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(ID(spec.Team, spec.SubmissionKey)))
	return covering[int(h.Sum32())%len(covering)]
}

// coveringDomains returns the domains, sorted, in which a guarantee of the team covers the job.
func coveringDomains(lists api.Lists, spec api.JobSpec) []string {
	var out []string
	for _, t := range lists.Teams {
		if t.Name != spec.Team {
			continue
		}
		for _, p := range lists.Plans {
			if p.Name != t.Plan {
				continue
			}
			for _, g := range p.Guarantees {
				if covers(g, spec) {
					out = append(out, g.FailureDomain)
				}
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// adjacencyRank ranks adjacencies from the widest to the narrowest; a guarantee covers a job only if its rank is at least that of the job.
func adjacencyRank(adjacency string) int {
	return slices.Index([]string{"domain", "rack", "worker"}, adjacency)
}

// covers reports whether the guarantee is at least as large as the job in every resource and at least as narrow in adjacency.
func covers(g api.Guarantee, spec api.JobSpec) bool {
	return g.Parts >= spec.Parts && g.Cores >= spec.Cores && g.MemoryGb >= spec.MemoryGb && g.Accelerators >= spec.Accelerators &&
		adjacencyRank(string(g.Adjacency)) >= adjacencyRank(string(spec.Adjacency))
}
