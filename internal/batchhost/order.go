package batchhost

import (
	"cmp"
	"slices"

	"samphirewell/internal/batch"
)

// sortByAcceptance sorts jobs by acceptance time, then by id.
func sortByAcceptance(jobs []batch.Job) {
	slices.SortFunc(jobs, func(a, b batch.Job) int {
		return cmp.Or(cmp.Compare(a.AcceptedMS, b.AcceptedMS), cmp.Compare(a.ID, b.ID))
	})
}
