package config

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"samphirewell/internal/api"
)

// Guards against domain limits that add up to more or less than the plan allows, or that are below the guarantee of a domain.
func TestDomainLimitsAddUpToThePlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lists api.Lists
		for i := range rapid.IntRange(1, 7).Draw(t, "domains") {
			lists.FailureDomains = append(lists.FailureDomains, fmt.Sprint("d", i))
		}
		var plan api.Plan
		guaranteed := map[string]int{}
		total := 0
		for range rapid.IntRange(0, 4).Draw(t, "guarantees") {
			g := api.Guarantee{
				FailureDomain: rapid.SampledFrom(lists.FailureDomains).Draw(t, "domain"), Count: rapid.IntRange(1, 2).Draw(t, "count"),
				Parts: rapid.IntRange(1, 8).Draw(t, "parts"), Accelerators: rapid.IntRange(0, 8).Draw(t, "accelerators"),
			}
			plan.Guarantees = append(plan.Guarantees, g)
			guaranteed[g.FailureDomain] += g.Count * g.Parts * g.Accelerators
			total += g.Count * g.Parts * g.Accelerators
		}
		plan.AcceleratorLimit = total + rapid.IntRange(0, 300).Draw(t, "borrowed")
		team := rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "team")
		sum := 0
		for _, d := range lists.FailureDomains {
			limit := DomainAcceleratorLimit(lists, team, plan, d)
			if limit < guaranteed[d] {
				t.Fatalf("domain %s: limit %d is below the guarantee %d", d, limit, guaranteed[d])
			}
			sum += limit
		}
		if sum != plan.AcceleratorLimit {
			t.Fatalf("the domains allow %d accelerators, the plan %d", sum, plan.AcceleratorLimit)
		}
	})
}
