package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against quarantining workers because of a job that fails on every worker. Such a job ends as failed, and its failures no longer count
// against the workers.
func TestBrokenJobEndsAndItsWorkersStay(t *testing.T) {
	h := NewHealth()
	for i, worker := range []string{"a", "a", "b", "c"} {
		v := h.Failed("broken", worker, testStart)
		must.Eq(t, Verdict{JobFailed: i == 3}, v)
	}
	h.Failed("other", "a", testStart)
	must.Eq(t, Verdict{}, h.Failed("third", "a", testStart), must.Sprint("the ended job still counts against the worker"))
}

// Guards against jobs that end as failed because of a faulty worker. The worker is quarantined instead, and probed until a probe succeeds.
func TestBadWorkerIsQuarantinedAndProbed(t *testing.T) {
	h := NewHealth()
	h.Failed("j1", "bad", testStart)
	h.Failed("j2", "bad", testStart)
	must.Eq(t, Verdict{Quarantined: true}, h.Failed("j3", "bad", testStart))
	must.SliceEmpty(t, h.FailedWorkers("j1"))
	must.SliceEmpty(t, h.ProbesDue(testStart.Add(FirstProbeDelay-1)))
	at := testStart.Add(FirstProbeDelay)
	must.Eq(t, []string{"bad"}, h.ProbesDue(at))
	h.Probed("bad", false, at)
	must.SliceEmpty(t, h.ProbesDue(at.Add(2*FirstProbeDelay-1)))
	h.Probed("bad", true, at.Add(2*FirstProbeDelay))
	must.False(t, h.Quarantined("bad"))
}

// Guards against quarantining healthy workers, or ending jobs without faults, when faulty jobs and faulty workers occur at the same time.
func TestBrokenJobsAndBadWorkersAtOnce(t *testing.T) {
	h := NewHealth()
	ended, quarantined := map[string]bool{}, map[string]bool{}
	for round := range 40 {
		for j := range 12 {
			job := fmt.Sprintf("sound%d-%d", round, j)
			if j < 2 {
				job = fmt.Sprintf("broken%d", j)
			}
			worker := fmt.Sprintf("w%d", (round*3+j*7)%10)
			if ended[job] || h.Quarantined(worker) {
				continue
			}
			if j >= 2 && worker != "w0" && worker != "w1" {
				h.Succeeded(job, []string{worker})
				continue
			}
			v := h.Failed(job, worker, testStart.Add(time.Duration(round)*time.Second))
			ended[job] = ended[job] || v.JobFailed
			if v.Quarantined {
				quarantined[worker] = true
			}
		}
	}
	must.Eq(t, map[string]bool{"w0": true, "w1": true}, quarantined)
	for job, failed := range ended {
		must.True(t, !failed || job == "broken0" || job == "broken1", must.Sprint(job))
	}
	must.True(t, ended["broken0"] && ended["broken1"])
}
