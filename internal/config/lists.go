// Package config holds the operators' two lists: parsing, validation, differences, the version in force on a host, the
// conditional change of the accepted version in the platform's table, and the watcher that follows it.
package config

import (
	"fmt"
	"slices"

	"samphirewell/internal/api"
	"samphirewell/internal/settings"
)

// ParseLists reads the lists from a text in JSON with comments and validates them. Name is used only in problem reports. The error is
// settings.Problems and lists every problem.
func ParseLists(name string, text []byte) (api.Lists, error) {
	doc, err := settings.Parse(name, text)
	if err != nil {
		return api.Lists{}, err
	}
	var lists api.Lists
	if err := doc.Decode("lists.json", "Lists", &lists); err != nil {
		return api.Lists{}, err
	}
	v := validator{doc: doc, lists: lists}
	v.validate()
	if len(v.problems) > 0 {
		return api.Lists{}, v.problems
	}
	return lists, nil
}

// validator applies the rules that the schema cannot express.
type validator struct {
	doc      *settings.Document
	lists    api.Lists
	problems settings.Problems
}

func (v *validator) validate() {
	v.checkDomains()
	v.checkPolicy()
	v.checkTeams()
	v.checkPlans()
}

func (v *validator) addProblem(path, expected, got string) {
	v.problems = append(v.problems, v.doc.Problem(path, expected, got))
}

func (v *validator) checkDomains() {
	seen := map[string]bool{}
	for i, name := range v.lists.FailureDomains {
		v.checkUnique(seen, fmt.Sprintf("/failureDomains/%d", i), name, "failure domain")
	}
}

func (v *validator) checkPolicy() {
	if v.lists.Policy.CompletionWeight+v.lists.Policy.FragmentationWeight == 0 {
		v.addProblem("/policy", "at least one weight above 0", "only zeros")
	}
}

func (v *validator) checkTeams() {
	seen := map[string]bool{}
	for i, team := range v.lists.Teams {
		path := fmt.Sprintf("/teams/%d", i)
		v.checkUnique(seen, path+"/name", team.Name, "team")
		planExists := slices.ContainsFunc(v.lists.Plans, func(p api.Plan) bool { return p.Name == team.Plan })
		if !planExists {
			v.addProblem(path+"/plan", "the name of a plan in /plans", fmt.Sprintf("%q", team.Plan))
		}
	}
}

func (v *validator) checkPlans() {
	seen := map[string]bool{}
	for i, plan := range v.lists.Plans {
		path := fmt.Sprintf("/plans/%d", i)
		v.checkUnique(seen, path+"/name", plan.Name, "plan")
		v.checkServices(path, plan)
		v.checkCallLimits(path, plan)
		v.checkGuarantees(path, plan)
	}
}

func (v *validator) checkServices(path string, plan api.Plan) {
	seen := map[string]bool{}
	for i, service := range plan.Services {
		itemPath := fmt.Sprintf("%s/services/%d", path, i)
		if service == "" {
			v.addProblem(itemPath, "the name of a service", "an empty string")
			continue
		}
		v.checkUnique(seen, itemPath, service, "service")
	}
}

// checkCallLimits rejects a call limit of 0 in a plan with services: a single zero blocks every call, whatever the other limits allow.
func (v *validator) checkCallLimits(path string, plan api.Plan) {
	if len(plan.Services) == 0 {
		return
	}
	if plan.BurstCalls == 0 {
		v.addProblem(path+"/burstCalls", "at least 1 for a plan with services", "0")
	}
	if plan.ConcurrentCalls == 0 {
		v.addProblem(path+"/concurrentCalls", "at least 1 for a plan with services", "0")
	}
	if plan.CallsPerSecond == 0 {
		v.addProblem(path+"/callsPerSecond", "more than 0 for a plan with services", "0")
	}
}

func (v *validator) checkGuarantees(path string, plan api.Plan) {
	guaranteedAccelerators := 0
	for i, g := range plan.Guarantees {
		itemPath := fmt.Sprintf("%s/guarantees/%d", path, i)
		if !slices.Contains(v.lists.FailureDomains, g.FailureDomain) {
			v.addProblem(itemPath+"/failureDomain", "a name in /failureDomains", fmt.Sprintf("%q", g.FailureDomain))
		}
		if g.Cores == 0 && g.MemoryGb == 0 && g.Accelerators == 0 {
			v.addProblem(itemPath, "cores, memory or accelerators above 0", "only zeros")
		}
		guaranteedAccelerators += g.Count * g.Parts * g.Accelerators
	}
	if guaranteedAccelerators > plan.AcceleratorLimit {
		v.addProblem(path+"/guarantees", fmt.Sprintf("at most %d accelerators in total (acceleratorLimit)", plan.AcceleratorLimit), fmt.Sprint(guaranteedAccelerators))
	}
}

func (v *validator) checkUnique(seen map[string]bool, path, name, kind string) {
	if seen[name] {
		v.addProblem(path, "each "+kind+" once", fmt.Sprintf("%q again", name))
	}
	seen[name] = true
}
