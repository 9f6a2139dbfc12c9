package batchhost

import (
	"cmp"
	"slices"

	"samphirewell/internal/batch"
)

// sortByAcceptance orders jobs by the time of their acceptance.
func sortByAcceptance(jobs []batch.Job) {
	slices.SortFunc(jobs, func(a, b batch.Job) int {
		return cmp.Or(cmp.Compare(a.AcceptedMS, b.AcceptedMS), cmp.Compare(a.ID, b.ID))
	})
}
