package batch

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against accepting a submission that exhausts the memory of each host that becomes leader, or that can never be placed.
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
		"occurrences of two steps": {Job{Steps: append(one, one...), Schedule: &Schedule{Count: MaxOccurrences}}, false},
	} {
		must.Eq(t, c.good, c.job.Check() == "", must.Sprint(name, ": ", c.job.Check()))
	}
}
