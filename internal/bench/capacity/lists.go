package capacity

import (
	"encoding/json"
	"fmt"

	"samphirewell/internal/api"
)

// teamsPerGuarantee is the interval of teams with a guarantee: one team in 3 has one.
const teamsPerGuarantee = 3

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

// lists returns lists with a plan for each team. The limits are above every call rate of the measurements.
func lists(l layout) api.Lists {
	out := api.Lists{Policy: api.Policy{CompletionWeight: 1, FragmentationWeight: 1}}
	for i := range l.Domains {
		out.FailureDomains = append(out.FailureDomains, domainName(i))
	}
	for i := range max(1, l.Teams) {
		plan := api.Plan{
			Name: "plan-" + teamName(i), Services: []string{service}, CallsPerSecond: 1000, BurstCalls: 500, ConcurrentCalls: 200,
			Weight: 1, Guarantees: []api.Guarantee{},
		}
		if i%teamsPerGuarantee == 0 {
			plan.Guarantees = append(plan.Guarantees, api.Guarantee{
				FailureDomain: domainName(i % l.Domains), Count: 1, Parts: 1, Cores: 8, MemoryGb: 16, Adjacency: api.GuaranteeAdjacencyDomain,
			})
		}
		out.Plans = append(out.Plans, plan)
		out.Teams = append(out.Teams, api.Team{Name: teamName(i), Plan: plan.Name})
	}
	return out
}

// listsText returns the lists as JSON with a comment that differs for each version.
func listsText(l layout, version int) string {
	data, err := json.Marshal(lists(l))
	if err != nil {
		panic("lists cannot be encoded: " + err.Error()) // the lists hold only types that can be encoded
	}
	return fmt.Sprintf("// version after %d\n%s\n", version, data)
}

// listedWorker returns a host list entry for a worker of a domain without entry hosts, so that no host connects to it.
func listedWorker(i int) api.HostEntry {
	return api.HostEntry{
		ID: fmt.Sprintf("worker-%04d", i), Incarnation: "1", Role: api.HostEntryRoleWorker, FailureDomain: "elsewhere", Region: "r",
		Rack: fmt.Sprintf("rack-%03d", i/workersPerRack), Address: fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250+1), Cores: 130, MemoryGb: 500, Accelerators: 8,
	}
}
