package batch

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against accepting a submission that exhausts the memory of each host that becomes leader, that can never be placed, or whose numbers overflow: an
// occurrence that was due at once, or a need that counted as negative and so as within every guarantee.
func TestCheckBoundsJobs(t *testing.T) {
	one := []Step{{Tasks: 1}}
	for name, c := range map[string]struct {
		job  Job
		good bool
	}{
		"one task":                 {Job{Steps: one}, true},
		"most tasks":               {Job{Steps: []Step{{Tasks: MaxTasks - 1}, {Tasks: 1, After: []int{0}}}}, true},
		"too many tasks":           {Job{Steps: []Step{{Tasks: MaxTasks}, {Tasks: 1}}}, false},
		"overflow":                 {Job{Steps: []Step{{Tasks: math.MaxInt}, {Tasks: math.MaxInt}}}, false},
		"no steps":                 {Job{}, false},
		"no tasks":                 {Job{Steps: []Step{{}}}, false},
		"later dependency":         {Job{Steps: []Step{{Tasks: 1, After: []int{0}}}}, false},
		"negative need":            {Job{Steps: []Step{{Tasks: 1, Need: Resources{MilliCores: -1}}}}, false},
		"too many occurrences":     {Job{Steps: one, Schedule: &Schedule{Count: MaxOccurrences + 1}}, false},
		"many occurrences":         {Job{Steps: one, Schedule: &Schedule{Count: MaxOccurrences}}, true},
		"no occurrence":            {Job{Steps: one, Schedule: &Schedule{}}, false},
		"far occurrence":           {Job{Steps: one, Schedule: &Schedule{Count: 3, FirstMS: 1, IntervalMS: math.MaxInt64 / 2}}, false},
		"endless interval":         {Job{Steps: one, Schedule: &Schedule{Count: 2, IntervalMS: math.MaxInt64}}, false},
		"endless first time":       {Job{Steps: one, Schedule: &Schedule{Count: 1, FirstMS: math.MaxInt64}}, false},
		"falling due times":        {Job{Steps: one, Schedule: &Schedule{Count: 2, FirstMS: 9, IntervalMS: -1}}, false},
		"negative first time":      {Job{Steps: one, Schedule: &Schedule{Count: 2, FirstMS: math.MinInt64, IntervalMS: 1}}, false},
		"a century, every hour":    {Job{Steps: one, Schedule: &Schedule{Count: MaxOccurrences, FirstMS: 1.8e12, IntervalMS: 36e5}}, true},
		"need that overflows":      {Job{Steps: []Step{{Tasks: 4, Need: Resources{Accelerators: math.MaxInt / 2}}}}, false},
		"large need":               {Job{Steps: []Step{{Tasks: 4, Need: Resources{MilliCores: 1e6, MemoryMB: 1e7, Accelerators: 64}}}}, true},
		"negative estimate":        {Job{Steps: []Step{{Tasks: 1, Estimate: -1}}}, false},
		"endless estimate":         {Job{Steps: []Step{{Tasks: 1, Estimate: math.MaxInt64}}}, false},
		"estimate of a month":      {Job{Steps: []Step{{Tasks: 1, Estimate: 30 * 24 * time.Hour}}}, true},
		"negative latency target":  {Job{Steps: []Step{{Tasks: 1, LatencyTarget: -1}}}, false},
		"negative max per worker":  {Job{Steps: []Step{{Tasks: 1, MaxPerWorker: -1}}}, false},
		"negative max unavailable": {Job{Steps: []Step{{Tasks: 1, MaxUnavailable: -1}}}, false},
		"occurrences of two steps": {Job{Steps: append(one, one...), Schedule: &Schedule{Count: MaxOccurrences}}, false},
	} {
		must.Eq(t, c.good, c.job.Check() == "", must.Sprint(name, ": ", c.job.Check()))
	}
}
