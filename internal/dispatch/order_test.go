package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
)

// Guards against a new leader that takes every stored job for a new one and serves those first that have no worth any more.
func TestNewLeaderKnowsTheAgeOfJobs(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	s.leaders[0].frozen = true
	job := func(id string) batch.Job {
		j := simpleJob(id, "normal", 1, 1, batch.Room{MilliCores: 1000, Accelerators: 8})
		j.Steps[0].Estimate = 2 * time.Second
		return j
	}
	for n := range 8 {
		s.submit(job(fmt.Sprintf("worthless-%d", n)))
	}
	s.run(time.Minute)
	s.submit(job("fresh"))
	s.run(time.Second)
	s.elect()
	s.run(5 * time.Second)
	s.mustHold()
	must.Eq(t, batch.Completed, s.state("fresh"), must.Sprint("8 jobs past three times their objective were served before it"))
}
